#include "hingespan/membership/record_sync.h"

#include <doctest/doctest.h>

#include <string>

#include "tests/membership/simulated_zone.h"

namespace hingespan {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);

TEST_CASE("changes reach all members despite loss, delay and duplication, and never revert") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedZone zone(seed);
    zone.loss = 0.2;
    zone.duplication = 0.2;
    zone.maximum_delay_steps = 6;
    zone.StartAll(5);
    std::map<std::string, std::uint32_t> seen;
    const auto never_reverted = [&] {
      for (const auto& [name, node] : zone.nodes) {
        const auto row = node->store.FindRow(ModelName("m"));
        const std::uint32_t held = row == nullptr ? 0 : row->memory_mib;
        CHECK(held >= seen[name]);
        seen[name] = held;
      }
    };
    for (std::uint32_t value = 1; value <= 60; ++value) {
      zone.Commit("m", value);
      zone.Commit("other" + std::to_string(value), value);
      zone.Run(absl::Milliseconds(250));
      never_reverted();
    }
    CHECK(
        zone.RunUntil(kLimit, [&] { return zone.AllHold("m", 60) && zone.AllHold("other7", 7); }));
    never_reverted();
    CHECK(zone.largest_datagram <= kMaximumDatagramBytes);
  }
}

TEST_CASE("a change is applied everywhere within two seconds on a healthy network") {
  SimulatedZone zone(1);
  zone.StartAll(5);
  zone.Run(absl::Seconds(10));
  zone.Commit("m", 1);
  zone.Run(absl::Seconds(2));
  CHECK(zone.AllHold("m", 1));
}

TEST_CASE("members that can't reach the platform get changes from the others") {
  SimulatedZone zone(2);
  zone.StartAll(5);
  zone.Run(absl::Seconds(10));
  const NodeId reader =
      DutyHolder(Duty::kPlatformReader, "", zone.At("n0").membership->duty_holders());
  for (const std::string& seed : zone.seeds) {
    if (NodeId(seed) != reader) {
      zone.platform_down_for.insert(seed);
    }
  }
  zone.Commit("m", 1);
  CHECK(zone.RunUntil(kLimit, [&] { return zone.AllHold("m", 1); }));
}

TEST_CASE("a new node gets its snapshot from a peer while the platform is down") {
  SimulatedZone zone(3);
  zone.StartAll(5);
  for (std::uint32_t value = 1; value <= 100; ++value) {
    zone.Commit("m" + std::to_string(value), value);
  }
  REQUIRE(zone.RunUntil(kLimit, [&] { return zone.AllHold("m100", 100); }));
  zone.platform_down_for.insert(zone.seeds.begin(), zone.seeds.end());
  zone.loss = 0.2;
  zone.Start("n4");
  CHECK_FALSE(zone.At("n4").sync->ready());
  CHECK(zone.RunUntil(kLimit, [&] { return zone.At("n4").sync->ready(); }));
  CHECK(zone.At("n4").store.row_count() == 100);
}

TEST_CASE("a snapshot of many pages takes few round trips") {
  SimulatedZone zone(4);
  zone.StartAll(3);
  constexpr std::uint32_t kRows = 400;
  for (std::uint32_t value = 1; value <= kRows; ++value) {
    zone.Commit("row" + std::to_string(value), value);
  }
  const std::string last = "row" + std::to_string(kRows);
  REQUIRE(zone.RunUntil(kLimit, [&] { return zone.AllHold(last, kRows); }));
  const absl::Time started = zone.now;
  SimulatedZone::Node& fresh = zone.Start("n9");
  REQUIRE(zone.RunUntil(kLimit, [&] { return fresh.sync->ready() && zone.AllHold(last, kRows); }));
  MESSAGE("took ", (zone.now - started) / SimulatedZone::kStep, " steps");
  CHECK(zone.now - started <= 30 * SimulatedZone::kStep);
}

TEST_CASE("nodes that all start while the platform is down are not ready") {
  SimulatedZone zone(4);
  zone.platform_down_for = {"n0", "n1", "n2"};
  zone.Commit("m", 1);
  zone.StartAll(3);
  zone.Run(absl::Minutes(1));
  for (const std::string& seed : zone.seeds) {
    CHECK_FALSE(zone.At(seed).sync->ready());
  }
  zone.platform_down_for.clear();
  CHECK(zone.RunUntil(kLimit, [&] { return zone.AllHold("m", 1) && zone.At("n0").sync->ready(); }));
}

TEST_CASE("an empty table that the platform confirms makes a node ready") {
  SimulatedZone zone(5);
  zone.StartAll(1);
  CHECK(zone.RunUntil(kLimit, [&] { return zone.At("n0").sync->ready(); }));
}

TEST_CASE("a zone without the platform gets changes from another zone") {
  SimulatedZone zone(6);
  // The two zones are connected only by the cross-zone fetches: each has its own seeds.
  zone.seeds = {"a0", "a1", "a2"};
  for (const char* name : {"a0", "a1", "a2"}) {
    zone.Start(name);
    zone.platform_down_for.insert(name);
    zone.other_zones[name] = SimulatedZone::Names({"b0"});
  }
  zone.seeds = {"b0"};
  zone.Start("b0");
  zone.Commit("m", 1);
  CHECK(zone.RunUntil(kLimit, [&] { return zone.AllHold("m", 1); }));
  zone.Commit("m", 2);
  CHECK(zone.RunUntil(kLimit, [&] { return zone.AllHold("m", 2); }));
  CHECK(zone.At("a0").membership->Find(NodeId("b0")) == nullptr);
}

TEST_CASE("a record that can't be decoded is reported and counted, and delays no other key") {
  RecordStore store;
  RecordSync sync(&store, RecordSyncOptions(), 1);
  Outbox outbox;
  const absl::Time now = absl::UnixEpoch();
  sync.Tick(true, {}, {}, now, &outbox);
  ModelRow row;
  row.name = ModelName("m");
  ValueChangePage page;
  page.changes.push_back({"models/unreadable", TableRevision(1), "{"});
  page.changes.push_back({RowKey(row.name), TableRevision(2), EncodeRecord(Record(row))});
  page.through = TableRevision(2);
  page.latest = TableRevision(2);
  PlatformAnswer answer{outbox.platform_calls.back().call, CallOwner::kRecords};
  answer.value = page;
  sync.HandleAnswer(answer, {}, now, &outbox);
  CHECK(store.revision() == TableRevision(2));
  CHECK(store.FindRow(row.name) != nullptr);
  CHECK(sync.undecoded_count() == 1);
  CHECK(sync.TakeUndecoded() ==
        std::vector<UndecodedRecord>{{"models/unreadable", TableRevision(1)}});
  CHECK(sync.TakeUndecoded().empty());
}

TEST_CASE("a reader whose calls fail backs off") {
  RecordStore store;
  RecordSync sync(&store, RecordSyncOptions(), 1);
  Outbox outbox;
  absl::Time now = absl::UnixEpoch();
  for (const absl::Time end = now + absl::Minutes(1); now < end; now += absl::Milliseconds(50)) {
    const std::size_t before = outbox.platform_calls.size();
    sync.Tick(true, {}, {}, now, &outbox);
    if (outbox.platform_calls.size() > before) {
      PlatformAnswer answer{outbox.platform_calls.back().call, CallOwner::kRecords};
      answer.error = Error::kTimeout;
      sync.HandleAnswer(answer, {}, now, &outbox);
    }
  }
  CHECK(outbox.platform_calls.size() >= 12);
  CHECK(outbox.platform_calls.size() <= 30);
  CHECK(sync.last_platform_read() == absl::InfinitePast());
}

}  // namespace
}  // namespace hingespan
