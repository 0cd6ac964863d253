#include "load/schedule.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace hingespan::load {
namespace {

Scenario OneClass(const RequestClass& request_class) {
  Scenario scenario;
  scenario.seed = 3;
  scenario.duration = absl::Seconds(100);
  scenario.classes = {request_class};
  return scenario;
}

RequestClass SteadyClass() {
  RequestClass steady;
  steady.name = "steady";
  steady.rate_per_second = 20;
  steady.models = {{"often", 3.0}, {"seldom", 1.0}};
  return steady;
}

bool SameRequest(const PlannedRequest& left, const PlannedRequest& right) {
  return left.at == right.at && left.model == right.model && left.router == right.router &&
         left.key_bits.low == right.key_bits.low;
}

TEST_CASE("the same seed gives the same schedule, another seed another") {
  Scenario scenario = OneClass(SteadyClass());
  const std::vector<PlannedRequest> first = BuildSchedule(scenario);
  const std::vector<PlannedRequest> second = BuildSchedule(scenario);
  REQUIRE(first.size() == second.size());
  CHECK(std::equal(first.begin(), first.end(), second.begin(), SameRequest));
  scenario.seed = 4;
  const std::vector<PlannedRequest> other = BuildSchedule(scenario);
  CHECK_FALSE((other.size() == first.size() &&
               std::equal(first.begin(), first.end(), other.begin(), SameRequest)));
}

TEST_CASE("steady arrivals keep their rate and mix") {
  const std::vector<PlannedRequest> schedule = BuildSchedule(OneClass(SteadyClass()));
  std::map<std::string, int> counts;
  for (const PlannedRequest& request : schedule) {
    ++counts[request.model];
  }
  // The expected count is 2000 with a standard deviation of 45; the seed is fixed.
  CHECK(schedule.size() > 1800);
  CHECK(schedule.size() < 2200);
  CHECK(counts["often"] > 2.5 * counts["seldom"]);
  CHECK(counts["often"] < 3.6 * counts["seldom"]);
}

TEST_CASE("schedules are sorted, numbered and within the run") {
  rc::check([](std::uint64_t seed) {
    Scenario scenario = OneClass(SteadyClass());
    scenario.seed = seed;
    scenario.duration = absl::Seconds(5);
    const std::vector<PlannedRequest> schedule = BuildSchedule(scenario);
    for (std::size_t index = 0; index < schedule.size(); ++index) {
      RC_ASSERT(schedule[index].number == index);
      RC_ASSERT(schedule[index].at >= absl::ZeroDuration());
      RC_ASSERT(schedule[index].at < scenario.duration);
      RC_ASSERT(index == 0 || schedule[index - 1].at <= schedule[index].at);
    }
  });
}

TEST_CASE("a burst asks for each of its models at every router") {
  constexpr std::uint64_t kRouters = 4;
  RequestClass cold;
  cold.name = "cold";
  cold.models = {{"a"}, {"b"}, {"c"}, {"d"}, {"e"}};
  cold.bursts = {Burst{absl::Seconds(2), 12, absl::Milliseconds(100), 3}};
  std::map<std::string, std::set<std::uint64_t>> routers;
  for (const PlannedRequest& request : BuildSchedule(OneClass(cold))) {
    CHECK(request.at >= absl::Seconds(2));
    CHECK(request.at < absl::Seconds(2.1));
    routers[request.model].insert(request.router % kRouters);
  }
  REQUIRE(routers.size() == 3);
  for (const auto& [model, reached] : routers) {
    CHECK(reached.size() == kRouters);
  }
}

TEST_CASE("copies share key and time, but go to different routers") {
  RequestClass deals = SteadyClass();
  deals.repeatable = false;
  deals.copies = 3;
  const std::vector<PlannedRequest> schedule = BuildSchedule(OneClass(deals));
  REQUIRE(schedule.size() % 3 == 0);
  const std::string key = MakeUuidV7(absl::UnixEpoch(), schedule[0].key_bits);
  CHECK(MakeUuidV7(absl::UnixEpoch(), schedule[2].key_bits) == key);
  CHECK(MakeUuidV7(absl::UnixEpoch(), schedule[3].key_bits) != key);
  CHECK(schedule[0].at == schedule[2].at);
  CHECK(schedule[0].router != schedule[1].router);
  CHECK(schedule[1].router != schedule[2].router);
}

TEST_CASE("keys are UUIDs of version 7 that carry their time") {
  const absl::Time issued = absl::FromUnixMillis(0x0123456789AB);
  CHECK(MakeUuidV7(issued, KeyBits{~0ULL, ~0ULL}) == "01234567-89ab-7fff-bfff-ffffffffffff");
  CHECK(MakeUuidV7(issued, KeyBits{0, 0}) == "01234567-89ab-7000-8000-000000000000");
}

}  // namespace
}  // namespace hingespan::load
