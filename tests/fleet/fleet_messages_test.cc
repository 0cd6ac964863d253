#include "hingespan/fleet/fleet_messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace hingespan::gateway {
namespace {

TEST_CASE("a demand report is decoded as it was encoded") {
  const DemandReport report{
      "n1", 5, 9, {{"s", "m", "a1", 1, 2, 3, 900}}, {{"w1", 4, 500, {{"m", 3}, {"n", 1}}}}, {"w7"}};
  const auto read = DecodeFleetMessage(EncodeFleetMessage(report));
  REQUIRE(read.has_value());
  const auto* const same = std::get_if<DemandReport>(&*read);
  REQUIRE(same != nullptr);
  CHECK(same->node == "n1");
  CHECK(same->number == 9);
  REQUIRE(same->demands.size() == 1);
  CHECK(same->demands[0].adapter == "a1");
  CHECK(same->demands[0].arrived == 3);
  CHECK(same->demands[0].arrived_tokens == 900);
  REQUIRE(same->loads.size() == 1);
  CHECK(same->loads[0].unread_tokens == 500);
  REQUIRE(same->loads[0].models.size() == 2);
  CHECK(same->loads[0].models[1].model == "n");
  CHECK(same->loads[0].models[1].running == 1);
  CHECK(same->unreachable == std::vector<std::string>{"w7"});
}

TEST_CASE("a placement update is decoded as it was encoded") {
  const PlacementUpdate update{
      "n1", "1.2.3.4:5", 7, 2, {{"w1", "m", "", ReplicaState::kLoading, 40}}, {}};
  const auto read = DecodeFleetMessage(EncodeFleetMessage(update));
  REQUIRE(read.has_value());
  const auto* const same = std::get_if<PlacementUpdate>(&*read);
  REQUIRE(same != nullptr);
  CHECK(same->token == 7);
  CHECK(same->address == "1.2.3.4:5");
  REQUIRE(same->replicas.size() == 1);
  CHECK(same->replicas[0].state == ReplicaState::kLoading);
  CHECK(same->replicas[0].expected_in_ms == 40);
  CHECK(!same->loads.has_value());
}

TEST_CASE("an update without loads differs from one with no loaded workers") {
  PlacementUpdate update;
  update.loads.emplace();
  const auto none = DecodeFleetMessage(EncodeFleetMessage(update));
  REQUIRE(none.has_value());
  REQUIRE(std::get<PlacementUpdate>(*none).loads.has_value());
  CHECK(std::get<PlacementUpdate>(*none).loads->empty());
  update.loads = {{"w1", 2, 30, {}}};
  const auto some = DecodeFleetMessage(EncodeFleetMessage(update));
  REQUIRE(some.has_value());
  REQUIRE(std::get<PlacementUpdate>(*some).loads.has_value());
  CHECK(std::get<PlacementUpdate>(*some).loads->at(0).running == 2);
}

TEST_CASE("a length beyond the available memory is not a valid message") {
  // An array of 2^59 entries.
  CHECK(!DecodeFleetMessage(absl::string_view("\x9b\x08\0\0\0\0\0\0\0", 9)).has_value());
}

TEST_CASE("property: arbitrary bytes are decoded safely") {
  CHECK(rc::check("any datagram", [] {
    std::string bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    if (*rc::gen::arbitrary<bool>()) {
      bytes = EncodeFleetMessage(DemandReport{"n1", 5, 9, {{"s", "m", "a", 1, 2, 3}}, {}, {}});
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
    }
    (void)DecodeFleetMessage(bytes);
  }));
}

}  // namespace
}  // namespace hingespan::gateway
