// Tests a keeper that is paused until another node has taken over, and then resumes with orders
// still to send. The engine's fence refuses them; without the fence they overcommit its memory.
#include <doctest/doctest.h>

#include <optional>

#include "absl/strings/str_cat.h"
#include "tests/failure/test_cluster.h"

namespace hingespan::failure {
namespace {

constexpr int kModels = 10;
// Replicas that fit into the memory of a worker.
constexpr std::size_t kReplicasPerWorker = 2;
// A resumed keeper may learn of its successor before it sends its order; the scenario is then tried
// again.
constexpr int kMaxAttempts = 5;
constexpr absl::Duration kOrderBound = absl::Seconds(10);

std::string FenceModel(int model) { return absl::StrCat("fenced-", model); }

std::string OtherNode(const std::string& node) { return node == "z1-n1" ? "z1-n2" : "z1-n1"; }

// A worker, its keeper, the node that takes over, and models granted to the worker.
struct FenceScenario {
  std::string worker;
  std::string keeper;
  std::string successor;
  // Models that the successor places, so that their load requests reach the paused keeper.
  std::vector<std::string> requested_while_paused;
  // Models that fill the worker after the takeover.
  std::vector<std::string> filling_models;
};

bool IsPlacedBy(const TestCluster& cluster, const std::string& model, const std::string& node) {
  return cluster.Explain(node, ModelName(model)).find(absl::StrCat("placer in zone z1: ", node)) !=
         std::string::npos;
}

// Returns nothing if too few models are granted to the worker or placed by the successor.
std::optional<FenceScenario> FindScenario(TestCluster& cluster, const std::string& worker) {
  FenceScenario scenario;
  scenario.worker = worker;
  scenario.keeper = cluster.KeeperOf(worker);
  scenario.successor = OtherNode(scenario.keeper);
  for (int model = 0; model < kModels; ++model) {
    const std::string name = FenceModel(model);
    if (cluster.ReadGrant(ModelName(name)).slots.front().worker.value() != worker) {
      continue;
    }
    if (scenario.requested_while_paused.empty() && IsPlacedBy(cluster, name, scenario.successor)) {
      scenario.requested_while_paused.push_back(name);
    } else if (scenario.filling_models.size() < kReplicasPerWorker) {
      scenario.filling_models.push_back(name);
    }
  }
  const bool whole = !scenario.requested_while_paused.empty() &&
                     scenario.filling_models.size() == kReplicasPerWorker;
  return whole ? std::optional<FenceScenario>(scenario) : std::nullopt;
}

FenceScenario MakeScenario(TestCluster& cluster) {
  for (int model = 0; model < kModels; ++model) {
    cluster.WriteRow(MakeRow(FenceModel(model), 1));
  }
  for (int model = 0; model < kModels; ++model) {
    cluster.WaitForSlots(FenceModel(model), 1);
  }
  std::optional<FenceScenario> scenario = FindScenario(cluster, "w1a");
  if (!scenario.has_value()) {
    scenario = FindScenario(cluster, "w1b");
  }
  REQUIRE(scenario.has_value());
  return *scenario;
}

// Returns the reason for which the engine refused the first order of the resumed keeper; empty if
// it refused none.
std::optional<std::string> RefusalOfResumedKeeper(TestCluster& cluster) {
  const FenceScenario scenario = MakeScenario(cluster);
  const std::uint64_t before = cluster.LogEnd();
  REQUIRE(cluster.processes().Pause(NodeId(scenario.keeper)).ok());
  CallGroup calls;
  for (const std::string& model : scenario.requested_while_paused) {
    calls.Add(cluster.Address(scenario.successor), MakeCall(model));
  }
  cluster.WaitForLog({.event = "fenced", .worker = scenario.worker, .after = before});
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  for (const std::string& model : scenario.filling_models) {
    cluster.ServeOnce(scenario.successor, model);
  }
  const std::uint64_t resumed_at = cluster.LogEnd();
  REQUIRE(cluster.processes().Continue(NodeId(scenario.keeper)).ok());
  const std::optional<load::LogEntry> refused =
      cluster.TryWaitForLog({.event = "order_refused",
                             .worker = scenario.worker,
                             .model = scenario.requested_while_paused.front(),
                             .after = resumed_at},
                            kOrderBound);
  return refused.has_value() ? std::optional<std::string>(refused->reason) : std::nullopt;
}

TestClusterOptions OneZone() {
  TestClusterOptions options;
  options.zone_count = 1;
  // A short timeout keeps the tests short: a paused node is declared dead sooner.
  options.node_overrides = {{"membership.suspicion_timeout_ms", "1000"}};
  return options;
}

TEST_CASE("a keeper resumes after a takeover: the engine refuses its orders") {
  std::map<std::string, std::uint64_t> limits;
  for (int model = 0; model < kModels; ++model) {
    limits[FenceModel(model)] = 1;
  }
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    TestCluster cluster(OneZone());
    const std::optional<std::string> answer = RefusalOfResumedKeeper(cluster);
    CheckLimits(cluster, limits);
    if (answer.has_value()) {
      CHECK(*answer == "epoch");
      return;
    }
  }
  FAIL("no resumed keeper's order was refused");
}

TEST_CASE("without the fence the orders of a resumed keeper overcommit memory") {
  TestClusterOptions options = OneZone();
  options.emulator_overrides = {{"engine.test_only_disable_fence", "true"}};
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    TestCluster cluster(options);
    const std::optional<std::string> answer = RefusalOfResumedKeeper(cluster);
    const Result<load::Totals> totals = cluster.admin().ReadTotals();
    REQUIRE(totals.ok());
    if (totals->overcommits > 0) {
      CHECK(answer == std::optional<std::string>("out_of_memory"));
      return;
    }
  }
  FAIL("no resumed keeper's order overcommitted memory");
}

}  // namespace
}  // namespace hingespan::failure
