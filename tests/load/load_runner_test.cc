#include "load/load_runner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "load/summary.h"
#include "tests/load/fake_node.h"

namespace hingespan::load {
namespace {

RequestClass BurstClass(const std::string& model, int requests) {
  RequestClass burst;
  burst.name = model;
  burst.models = {{model}};
  burst.bursts = {Burst{absl::ZeroDuration(), requests, absl::Milliseconds(50), 0}};
  burst.max_tokens = 3;
  burst.time_limit = absl::Seconds(20);
  return burst;
}

Scenario ShortScenario(std::vector<RequestClass> classes) {
  Scenario scenario;
  scenario.name = "short";
  scenario.duration = absl::Milliseconds(100);
  scenario.classes = std::move(classes);
  return scenario;
}

TEST_CASE("every request gets a line with its outcome, over all nodes") {
  FakeNode first;
  FakeNode second;
  RequestClass deals = BurstClass("good", 8);
  deals.repeatable = false;
  RunOptions options;
  options.nodes = {first.address(), second.address()};
  options.admin = first.address();
  const RunRecord record = RunScenario(
      ShortScenario({deals, BurstClass("refused", 4), BurstClass("swapped", 2)}), options);
  CHECK(record.requests.size() == 14);
  CHECK(first.keys().size() == 7);
  CHECK(second.keys().size() == 7);
  const ClassSummary all = Summarize(record).classes.back();
  CHECK(all.answered == 10);
  CHECK(all.refused == 4);
  CHECK(all.lost == 0);
  CHECK(all.wrong == 2);
}

TEST_CASE("each request that is not repeatable is sent with its own key") {
  FakeNode node;
  RequestClass deals = BurstClass("good", 5);
  deals.repeatable = false;
  RunOptions options;
  options.nodes = {node.address()};
  RunScenario(ShortScenario({deals, BurstClass("refused", 3)}), options);
  std::vector<std::string> keys = node.keys();
  keys.erase(std::remove(keys.begin(), keys.end(), ""), keys.end());
  CHECK(std::set<std::string>(keys.begin(), keys.end()).size() == 5);
}

TEST_CASE("the record holds the engines' counters by the requests' tags") {
  FakeNode node;
  RequestClass deals = BurstClass("good", 2);
  deals.repeatable = false;
  deals.copies = 2;
  RunOptions options;
  options.nodes = {node.address()};
  options.admin = node.address();
  const RunSummary summary = Summarize(RunScenario(ShortScenario({deals}), options));
  REQUIRE(summary.engines.measured);
  // The fake node runs every request, hence both copies of both requests.
  CHECK(summary.engines.duplicates == 2);
}

TEST_CASE("faults reach the admin address in their order") {
  FakeNode node;
  Scenario scenario = ShortScenario({BurstClass("good", 1)});
  scenario.faults = {TimedFault{absl::Milliseconds(60), R"({"fault":"second"})"},
                     TimedFault{absl::Milliseconds(10), R"({"fault":"first"})"}};
  RunOptions options;
  options.nodes = {node.address()};
  options.admin = node.address();
  const RunRecord record = RunScenario(scenario, options);
  CHECK(record.end.failed_faults == 0);
  CHECK(node.faults() == std::vector<std::string>{R"({"fault":"first"})", R"({"fault":"second"})"});
}

// Slow answers occupy all threads until the last request of the other class has arrived. With one
// thread less, that request could never be sent.
TEST_CASE("slow answers do not delay requests while threads are free") {
  FakeNode node;
  RequestClass slow = BurstClass("slow", 6);
  RequestClass good = BurstClass("good", 10);
  good.bursts[0].at = absl::Milliseconds(60);
  Scenario scenario = ShortScenario({slow, good});
  scenario.maximum_in_flight = 7;
  RunOptions options;
  options.nodes = {node.address()};
  node.ReleaseSlowAfter(16);
  const RunRecord record = RunScenario(scenario, options);
  CHECK(Summarize(record).classes.back().answered == 16);
}

TEST_CASE("requests that find no free thread are counted as late") {
  FakeNode node;
  RequestClass slow = BurstClass("slow", 2);
  Scenario scenario = ShortScenario({slow});
  scenario.classes[0].bursts[0].spread = absl::ZeroDuration();
  scenario.maximum_in_flight = 1;
  RunOptions options;
  options.nodes = {node.address()};
  // The answer comes only after kLateStart has passed since the planned instants of both requests.
  node.HoldSlowFor(2 * kLateStart);
  const RunRecord record = RunScenario(scenario, options);
  CHECK(record.end.late_starts >= 1);
  CHECK(record.requests[1].late > kLateStart);
  CHECK(record.requests[1].total >= record.requests[1].late);
}

}  // namespace
}  // namespace hingespan::load
