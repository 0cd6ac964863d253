// Tests pairs of simultaneous faults while all nodes receive requests that may run only once and
// requests for a cold model.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <set>

#include "tests/failure/faults.h"

namespace hingespan::failure {
namespace {

// Environment variable that, set to any value, selects a long run of all pairs.
constexpr char kAllPairsVariable[] = "HINGESPAN_ALL_FAULT_PAIRS";
constexpr int kKeys = 10;
constexpr int kMinPairsPerFault = 2;

// Pairs in which each fault occurs at least twice.
constexpr FaultPair kCoveringPairs[] = {
    {FaultKind::kNodeKilled, FaultKind::kZoneCut},
    {FaultKind::kZoneCut, FaultKind::kPlatformDown},
    {FaultKind::kPlatformDown, FaultKind::kMachineLeaving},
    {FaultKind::kMachineLeaving, FaultKind::kWeightStoreSlow},
    {FaultKind::kWeightStoreSlow, FaultKind::kOrdersDuplicatedLate},
    {FaultKind::kOrdersDuplicatedLate, FaultKind::kEngineRestarted},
    {FaultKind::kEngineRestarted, FaultKind::kPlatformLosesAnswers},
    {FaultKind::kPlatformLosesAnswers, FaultKind::kStreamsBroken},
    {FaultKind::kStreamsBroken, FaultKind::kNodePaused},
    {FaultKind::kNodePaused, FaultKind::kMachineReclaimed},
    {FaultKind::kMachineReclaimed, FaultKind::kNodeStopped},
    {FaultKind::kNodeStopped, FaultKind::kOperatorsRace},
    {FaultKind::kOperatorsRace, FaultKind::kNodeKilled},
};

// Returns whether the faults can't be combined: the platform has only one state at a time.
bool Exclude(FaultKind first, FaultKind second) {
  const std::set<FaultKind> pair = {first, second};
  return pair == std::set<FaultKind>{FaultKind::kPlatformDown, FaultKind::kPlatformLosesAnswers};
}

std::vector<FaultPair> PairsToRun() {
  if (std::getenv(kAllPairsVariable) == nullptr) {
    return {std::begin(kCoveringPairs), std::end(kCoveringPairs)};
  }
  std::vector<FaultPair> pairs;
  for (const Fault& first : AllFaults()) {
    for (const Fault& second : AllFaults()) {
      if (first.kind < second.kind && !Exclude(first.kind, second.kind)) {
        pairs.push_back({first.kind, second.kind});
      }
    }
  }
  return pairs;
}

void Heal(const Fault& fault, TestCluster& cluster) {
  if (fault.heal) {
    fault.heal(cluster);
  }
}

std::vector<load::CallerRequest> MakeOnceCalls() {
  std::vector<load::CallerRequest> requests;
  requests.reserve(kKeys);
  for (int key = 0; key < kKeys; ++key) {
    requests.push_back(MakeOnceCall(kPairModel));
  }
  return requests;
}

// Calls of a run, all in flight at the same time. Calls at nodes that are killed, paused or stopped
// may lose their connection; all others must end explicitly.
class CallsOfPair {
 public:
  explicit CallsOfPair(const FaultPair& pair)
      : affected_nodes_({FaultOf(pair.first).affected_node, FaultOf(pair.second).affected_node}),
        requests_(MakeOnceCalls()) {}

  void SendAll(const std::vector<load::RunningNode>& nodes) {
    for (const load::CallerRequest& request : requests_) {
      for (const load::RunningNode& node : nodes) {
        GroupOf(node).Add(node.http_address, request);
      }
    }
    for (const load::RunningNode& node : nodes) {
      GroupOf(node).Add(node.http_address, MakeCall(kPairColdModel));
    }
  }

  void Finish(const TestCluster& cluster) {
    const std::vector<FinishedCall> others = other_calls_.Finish();
    CheckCallsEnded(others);
    std::vector<FinishedCall> all = affected_calls_.Finish();
    all.insert(all.end(), others.begin(), others.end());
    CheckRuns(cluster, all);
  }

 private:
  CallGroup& GroupOf(const load::RunningNode& node) {
    return affected_nodes_.contains(node.node.value()) ? affected_calls_ : other_calls_;
  }

  std::set<std::string> affected_nodes_;
  std::vector<load::CallerRequest> requests_;
  CallGroup other_calls_;
  CallGroup affected_calls_;
};

TestClusterOptions PairOptions(const FaultPair& pair) {
  TestClusterOptions options;
  if (pair.first == FaultKind::kNodeStopped || pair.second == FaultKind::kNodeStopped) {
    // A stopping node runs until its claim interval ends; a short interval keeps the test short.
    options.node_overrides = {{"claims.interval_ms", "1000"}};
  }
  return options;
}

void RunPair(const FaultPair& pair) {
  TestCluster cluster(PairOptions(pair));
  cluster.PutRow(MakeRow(kPairModel, kPairReplicas));
  cluster.PutRow(MakeRow(kPairColdModel, 1));
  cluster.WaitForSlots(kPairModel, kPairReplicas);
  cluster.WaitForSlots(kPairColdModel, 1);
  for (const load::RunningNode& node : cluster.processes().Nodes()) {
    cluster.ServeOnce(node.node.value(), kPairModel);
  }
  CallsOfPair calls(pair);
  const std::vector<load::RunningNode> before = cluster.processes().Nodes();
  FaultOf(pair.first).inject(cluster);
  FaultOf(pair.second).inject(cluster);
  calls.SendAll(before);
  Heal(FaultOf(pair.second), cluster);
  Heal(FaultOf(pair.first), cluster);
  calls.SendAll(cluster.processes().Nodes());
  calls.Finish(cluster);
  for (const load::RunningNode& node : cluster.processes().Nodes()) {
    cluster.ServeOnce(node.node.value(), kPairModel);
    cluster.ServeOnce(node.node.value(), kPairColdModel);
  }
  CheckLimits(cluster, {{kPairModel, kPairReplicas}, {kPairColdModel, 1}});
}

TEST_CASE("each fault takes part in two of the covering pairs") {
  for (const Fault& fault : AllFaults()) {
    INFO(fault.name);
    CHECK(FaultOf(fault.kind).name == fault.name);
    const auto takes_part = [&](const FaultPair& pair) {
      return pair.first == fault.kind || pair.second == fault.kind;
    };
    const auto count =
        std::count_if(std::begin(kCoveringPairs), std::end(kCoveringPairs), takes_part);
    CHECK(count >= kMinPairsPerFault);
  }
}

TEST_CASE("any two faults together: no key runs twice, limits hold, every node serves again") {
  for (const FaultPair& pair : PairsToRun()) {
    const std::string names =
        std::string(FaultOf(pair.first).name) + " with " + FaultOf(pair.second).name;
    INFO(names);
    MESSAGE(names);
    RunPair(pair);
  }
}

}  // namespace
}  // namespace hingespan::failure
