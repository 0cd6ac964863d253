#include "hingespan/membership/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/membership/simulated_zone.h"

namespace hingespan {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);
const std::vector<NodeId> kFive = SimulatedZone::Names({"n0", "n1", "n2", "n3", "n4"});
const std::vector<NodeId> kFourOfFive = SimulatedZone::Names({"n0", "n1", "n2", "n3"});

MemberState StateAt(SimulatedZone* zone, const std::string& observer, const std::string& node) {
  const MemberUpdate* member = zone->At(observer).membership->Find(NodeId(node));
  REQUIRE(member != nullptr);
  return member->state;
}

TEST_CASE("all nodes join, also when datagrams are lost") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedZone zone(seed);
    zone.loss = seed % 2 == 0 ? 0.2 : 0;
    zone.StartAll(5);
    const auto all_joined = [&] {
      return std::all_of(kFive.begin(), kFive.end(), [&zone](const NodeId& node) {
        return zone.At(node.value()).membership->joined();
      });
    };
    CHECK(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive) && all_joined(); }));
    CHECK(zone.At("n4").membership->Find(NodeId("n0"))->http_address == "n0:http");
    CHECK(zone.At("n4").membership->peers() == kFourOfFive);
  }
}

TEST_CASE("a node whose seeds do not answer counts as joined after a timeout") {
  SimulatedZone zone(1);
  zone.seeds = {"n0", "absent"};
  zone.Start("n0");
  zone.Run(absl::Seconds(1));
  CHECK_FALSE(zone.At("n0").membership->joined());
  zone.Run(MembershipOptions().join_alone_after);
  CHECK(zone.At("n0").membership->joined());
}

TEST_CASE("a crashed member is declared dead by all and later forgotten") {
  SimulatedZone zone(2);
  zone.StartAll(5);
  REQUIRE(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive); }));
  zone.At("n4").running = false;
  CHECK(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFourOfFive); }));
  CHECK(StateAt(&zone, "n0", "n4") == MemberState::kDead);
  zone.Run(MembershipOptions().forget_after + absl::Seconds(20));
  for (const NodeId& node : kFourOfFive) {
    CHECK(zone.At(node.value()).membership->Find(NodeId("n4")) == nullptr);
  }
}

TEST_CASE("a paused member that resumes refutes its death") {
  for (const absl::Duration pause : {absl::Seconds(2), absl::Seconds(30), absl::Minutes(7)}) {
    SimulatedZone zone(3);
    zone.StartAll(5);
    REQUIRE(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive); }));
    zone.At("n4").paused = true;
    zone.Run(pause);
    zone.At("n4").paused = false;
    CHECK(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive); }));
    CHECK_FALSE(zone.At("n4").ever_dead);
    zone.Run(absl::Seconds(30));
    CHECK(zone.AllSee(kFive));
  }
}

TEST_CASE("a restarted node replaces its earlier incarnation") {
  SimulatedZone zone(4);
  zone.StartAll(5);
  REQUIRE(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive); }));
  const NodeIncarnation restarted = zone.Start("n4").self.incarnation;
  const auto replaced_everywhere = [&] {
    for (const NodeId& node : kFive) {
      const MemberUpdate* member = zone.At(node.value()).membership->Find(NodeId("n4"));
      if (member == nullptr || member->incarnation != restarted) {
        return false;
      }
    }
    return zone.AllSee(kFive);
  };
  CHECK(zone.RunUntil(kLimit, replaced_everywhere));
}

TEST_CASE("a late message of an earlier incarnation changes nothing") {
  Membership membership({NodeId("n0"), NodeIncarnation(1)}, MembershipOptions(), 1);
  const absl::Time now = absl::UnixEpoch();
  Outbox outbox;
  const auto probe = [&](std::uint64_t incarnation, MemberState state) {
    const MemberUpdate update{NodeId("n1"), NodeIncarnation(incarnation), 0, state};
    membership.Handle(
        {NodeId("n1"), NodeIncarnation(incarnation), ZoneId("z1"), "n1", Probe{1, {update}}}, now,
        &outbox);
  };
  probe(7, MemberState::kAlive);
  probe(5, MemberState::kLeft);
  CHECK(membership.Find(NodeId("n1"))->incarnation == NodeIncarnation(7));
  CHECK(membership.duty_holders().size() == 2);
}

TEST_CASE("a leaving member hands over its duties at once") {
  SimulatedZone zone(5);
  zone.StartAll(5);
  REQUIRE(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive); }));
  zone.SetSelfState("n4", MemberState::kLeaving);
  zone.Run(2 * SimulatedZone::kStep);
  CHECK(zone.AllSee(kFourOfFive));
  // The member still receives broadcasts and is not declared dead while it finishes its requests.
  zone.Run(absl::Minutes(1));
  CHECK(StateAt(&zone, "n0", "n4") == MemberState::kLeaving);
  CHECK(zone.At("n0").membership->peers().size() == 4);
  zone.SetSelfState("n4", MemberState::kLeft);
  zone.At("n4").running = false;
  zone.Run(2 * SimulatedZone::kStep);
  CHECK(StateAt(&zone, "n0", "n4") == MemberState::kLeft);
  CHECK(zone.At("n0").membership->peers().size() == 3);
}

TEST_CASE("a leaving member that crashes is declared dead and never holds a duty again") {
  SimulatedZone zone(6);
  zone.StartAll(5);
  REQUIRE(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive); }));
  zone.SetSelfState("n4", MemberState::kLeaving);
  zone.Run(absl::Seconds(1));
  zone.At("n4").running = false;
  CHECK(zone.RunUntil(kLimit, [&] {
    CHECK(zone.AllSee(kFourOfFive));
    return StateAt(&zone, "n0", "n4") == MemberState::kDead;
  }));
}

TEST_CASE("a lossy network causes no lasting false death") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedZone zone(seed);
    zone.loss = 0.2;
    zone.duplication = 0.1;
    zone.maximum_delay_steps = 3;
    zone.StartAll(5);
    REQUIRE(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive); }));
    for (int minute = 0; minute < 10; ++minute) {
      zone.Run(absl::Minutes(1));
      CHECK(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive); }));
    }
  }
}

TEST_CASE("both halves of a partitioned zone merge again") {
  // The longer partition lasts longer than `forget_after`.
  for (const absl::Duration cut : {absl::Seconds(30), absl::Minutes(8)}) {
    SimulatedZone zone(7);
    zone.StartAll(5);
    REQUIRE(zone.RunUntil(kLimit, [&] { return zone.AllSee(kFive); }));
    zone.groups["n3"] = 1;
    zone.groups["n4"] = 1;
    zone.Run(cut);
    CHECK(zone.At("n4").membership->duty_holders() == SimulatedZone::Names({"n3", "n4"}));
    zone.groups.clear();
    CHECK(zone.RunUntil(absl::Minutes(3), [&] { return zone.AllSee(kFive); }));
  }
}

TEST_CASE("datagrams of a large zone stay below the limit") {
  SimulatedZone zone(8);
  zone.StartAll(40);
  zone.Run(absl::Seconds(40));
  CHECK(zone.At("n0").membership->duty_holders().size() == 40);
  CHECK(zone.largest_datagram <= kMaximumDatagramBytes);
}

}  // namespace
}  // namespace hingespan
