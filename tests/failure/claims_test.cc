// Tests that a request that must not be repeated runs at most once per key, whichever routers its
// retries reach.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "hingespan/claim/claim_owner.h"
#include "hingespan/claim/key_time.h"
#include "tests/failure/test_cluster.h"

namespace hingespan::failure {
namespace {

using load::CallerOutcome;

int CountAnswered(const std::vector<FinishedCall>& calls) {
  int answered = 0;
  for (const FinishedCall& call : calls) {
    answered += call.result.outcome == CallerOutcome::kAnswered ? 1 : 0;
  }
  return answered;
}

// Returns how the calls ended, e.g. "answered: 1, key_claimed: 5", for failure messages.
std::string Outcomes(const std::vector<FinishedCall>& calls) {
  std::map<std::string, int> counts;
  for (const FinishedCall& call : calls) {
    ++counts[call.result.outcome == CallerOutcome::kAnswered ? "answered" : call.result.code];
  }
  std::string text;
  for (const auto& [outcome, count] : counts) {
    text += outcome + ": " + std::to_string(count) + ", ";
  }
  return text;
}

// Sends each of `keys` requests to every node in parallel.
std::vector<FinishedCall> SendKeysToAllNodes(TestCluster& cluster, const std::string& model,
                                             int keys) {
  CallGroup calls;
  for (int key = 0; key < keys; ++key) {
    const load::CallerRequest request = MakeOnceCall(model);
    for (const std::string& address : cluster.Addresses()) {
      calls.Add(address, request);
    }
  }
  return calls.Finish();
}

std::uint64_t MaxRunsPerKey(const TestCluster& cluster) {
  const Result<load::Totals> totals = cluster.admin().ReadTotals();
  REQUIRE(totals.ok());
  std::uint64_t most = 0;
  for (const auto& [key, runs] : totals->runs_by_key) {
    most = std::max(most, runs);
  }
  return most;
}

void Warm(TestCluster& cluster, const std::string& model) {
  cluster.PutRow(MakeRow(model, 3));
  REQUIRE(TestCluster::WaitUntil(
      [&] { return cluster.Call("z1-n1", MakeCall(model)).outcome == CallerOutcome::kAnswered; }));
}

// Waits until each range of keys has an owner. A key that was made before its range's first owner
// is refused for ever with key_out_of_time, which is correct but would disturb the tests that count
// answers.
void WaitForOwners(TestCluster& cluster, const std::string& model) {
  constexpr std::size_t kKeysAtOnce = 16;
  const std::uint32_t ranges = ClaimOptions{}.range_count;
  std::set<std::uint64_t> owned;
  REQUIRE(TestCluster::WaitUntil([&] {
    std::map<std::string, std::uint64_t> range_of_key;
    CallGroup calls;
    while (range_of_key.size() < std::min(kKeysAtOnce, ranges - owned.size())) {
      const load::CallerRequest request = MakeOnceCall(model);
      const std::uint64_t range = RangeOf(IdempotencyKey(request.idempotency_key), ranges).value();
      if (!owned.contains(range)) {
        range_of_key[request.idempotency_key] = range;
        calls.Add(cluster.Address("z1-n1"), request);
      }
    }
    for (const FinishedCall& call : calls.Finish()) {
      if (call.result.outcome == CallerOutcome::kAnswered) {
        owned.insert(range_of_key.at(call.request.idempotency_key));
      }
    }
    return owned.size() == ranges;
  }));
}

TEST_CASE("the same key at all routers at once runs once") {
  TestCluster cluster;
  Warm(cluster, "dealer");
  WaitForOwners(cluster, "dealer");
  const std::vector<FinishedCall> finished = SendKeysToAllNodes(cluster, "dealer", 10);
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  INFO(Outcomes(finished));
  CHECK(CountAnswered(finished) == 10);
}

TEST_CASE("without claims the same key runs more than once (shows that the test above can fail)") {
  TestClusterOptions options;
  options.node_overrides = {{"test_only.disable_claims", "true"}};
  TestCluster cluster(options);
  Warm(cluster, "dealer");
  SendKeysToAllNodes(cluster, "dealer", 10);
  CHECK(MaxRunsPerKey(cluster) > 1);
}

TEST_CASE("owners killed while the same keys are at all routers: no key runs twice") {
  TestCluster cluster;
  Warm(cluster, "dealer");
  CallGroup calls;
  std::vector<load::CallerRequest> requests;
  for (int key = 0; key < 20; ++key) {
    requests.push_back(MakeOnceCall("dealer"));
  }
  for (const load::CallerRequest& request : requests) {
    for (const std::string& address : cluster.Addresses()) {
      calls.Add(address, request);
    }
  }
  REQUIRE(cluster.processes().Kill(NodeId("z1-n2")).ok());
  REQUIRE(cluster.processes().RestartNode(NodeId("z1-n2")).ok());
  // The callers retry at every node, including the restarted one.
  for (const load::CallerRequest& request : requests) {
    for (const std::string& address : cluster.Addresses()) {
      calls.Add(address, request);
    }
  }
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckRuns(cluster, finished);
  CHECK(MaxRunsPerKey(cluster) <= 1);
  CHECK(CountAnswered(finished) >= 1);
}

TEST_CASE("an owner paused and resumed: no key runs twice") {
  TestCluster cluster;
  Warm(cluster, "dealer");
  REQUIRE(cluster.processes().Pause(NodeId("z2-n1")).ok());
  CallGroup calls;
  std::vector<load::CallerRequest> requests;
  for (int key = 0; key < 20; ++key) {
    requests.push_back(MakeOnceCall("dealer"));
  }
  for (const load::CallerRequest& request : requests) {
    calls.Add(cluster.Address("z1-n1"), request);
    calls.Add(cluster.Address("z3-n1"), request);
  }
  const std::vector<FinishedCall> first = calls.Finish();
  REQUIRE(cluster.processes().Continue(NodeId("z2-n1")).ok());
  CallGroup retries;
  for (const load::CallerRequest& request : requests) {
    for (const std::string& address : cluster.Addresses()) {
      retries.Add(address, request);
    }
  }
  std::vector<FinishedCall> finished = retries.Finish();
  finished.insert(finished.end(), first.begin(), first.end());
  CheckRuns(cluster, finished);
  CHECK(MaxRunsPerKey(cluster) <= 1);
}

TEST_CASE("a key that carries no time is claimed in the platform and runs once") {
  TestCluster cluster;
  Warm(cluster, "dealer");
  load::CallerRequest request = MakeOnceCall("dealer");
  request.idempotency_key = "slot-4711-of-agent-17";
  request.tag = request.idempotency_key;
  CallGroup calls;
  for (const std::string& address : cluster.Addresses()) {
    calls.Add(address, request);
  }
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  CHECK(CountAnswered(finished) == 1);
}

TEST_CASE("the platform loses its answers: keys without time run at most once") {
  TestCluster cluster;
  Warm(cluster, "dealer");
  load::PlatformFault lossy;
  lossy.mode = load::PlatformMode::kLoseAnswers;
  lossy.probability = 0.5;
  REQUIRE(!cluster.admin().SetPlatform(lossy));
  CallGroup calls;
  for (int key = 0; key < 5; ++key) {
    load::CallerRequest request = MakeOnceCall("dealer");
    request.idempotency_key = "gate-" + std::to_string(key);
    request.tag = request.idempotency_key;
    for (const std::string& address : cluster.Addresses()) {
      calls.Add(address, request);
    }
  }
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  CHECK(MaxRunsPerKey(cluster) <= 1);
}

}  // namespace
}  // namespace hingespan::failure
