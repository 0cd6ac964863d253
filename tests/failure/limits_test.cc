// Tests the limits on replicas and memory under fences, restarts, late orders, races and lowered
// limits.
#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "hingespan/table/record_codec.h"
#include "tests/failure/test_cluster.h"

namespace hingespan::failure {
namespace {

using load::CallerOutcome;

bool AllSlotsGranted(const GrantRecord& grant, std::size_t count) {
  return grant.slots.size() == count;
}

void WaitForSlots(TestCluster& cluster, const std::string& model, std::size_t count) {
  cluster.WaitForGrant(ModelName(model),
                       [count](const GrantRecord& grant) { return AllSlotsGranted(grant, count); });
}

// Calls until the model answers; its first grant may not have arrived yet.
void ServeOnce(const TestCluster& cluster, const std::string& node, const std::string& model) {
  REQUIRE(TestCluster::WaitUntil(
      [&] { return cluster.Call(node, MakeCall(model)).outcome == CallerOutcome::kAnswered; }));
}

// Number of models whose replicas don't all fit into memory; a worker holds two.
constexpr int kManyModels = 18;

std::string ManyName(int model) { return absl::StrCat("many-", model); }

std::vector<FinishedCall> ColdStartManyModels(TestCluster& cluster) {
  CallGroup calls;
  const std::vector<std::string> addresses = cluster.Addresses();
  for (int model = 0; model < kManyModels; ++model) {
    for (std::size_t node = 0; node < addresses.size(); node += 2) {
      calls.Add(addresses[node], MakeCall(ManyName(model)));
    }
  }
  return calls.Finish();
}

void PutManyRows(TestCluster& cluster) {
  for (int model = 0; model < kManyModels; ++model) {
    cluster.WriteRow(MakeRow(ManyName(model), 1));
  }
  for (int model = 0; model < kManyModels; ++model) {
    WaitForSlots(cluster, ManyName(model), 1);
  }
}

TEST_CASE("more models than memory: nothing overcommits, every request ends") {
  TestCluster cluster;
  PutManyRows(cluster);
  for (const std::string worker : {"w1a", "w1b", "w2a", "w2b", "w3a", "w3b"}) {
    REQUIRE(!cluster.admin().DuplicateOrders(WorkerId(worker), absl::Milliseconds(150)));
  }
  const std::vector<FinishedCall> finished = ColdStartManyModels(cluster);
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  std::map<std::string, std::uint64_t> limits;
  for (int model = 0; model < kManyModels; ++model) {
    limits[ManyName(model)] = 1;
  }
  CheckLimits(cluster, limits);
}

TEST_CASE("without the ledger memory is overcommitted (shows that the test above can fail)") {
  TestClusterOptions options;
  options.node_overrides = {{"test_only.disable_ledger", "true"}};
  TestCluster cluster(options);
  PutManyRows(cluster);
  ColdStartManyModels(cluster);
  const Result<load::Totals> totals = cluster.admin().ReadTotals();
  REQUIRE(totals.ok());
  CHECK(totals->overcommits > 0);
}

TEST_CASE("without the limit more replicas are loaded (shows that the limit's checks can fail)") {
  TestClusterOptions options;
  options.node_overrides = {{"test_only.disable_limit", "true"},
                            {"test_only.disable_coalescing", "true"}};
  TestCluster cluster(options);
  cluster.PutRow(MakeRow("unlimited", 1));
  REQUIRE(TestCluster::WaitUntil([&] {
    CallGroup calls;
    for (const std::string& address : cluster.Addresses()) {
      calls.Add(address, MakeCall("unlimited"));
    }
    calls.Finish();
    const Result<load::Totals> totals = cluster.admin().ReadTotals();
    return totals.ok() && totals->maximum_replicas.contains("unlimited") &&
           totals->maximum_replicas.at("unlimited") > 1;
  }));
}

TEST_CASE("keeper paused during a takeover, then resumed: its orders are refused") {
  TestCluster cluster;
  cluster.PutRow(MakeRow("paused", 1));
  WaitForSlots(cluster, "paused", 1);
  const std::string worker = cluster.ReadGrant(ModelName("paused")).slots.front().worker.value();
  const std::string zone = cluster.ReadGrant(ModelName("paused")).slots.front().zone.value();
  const std::string keeper = cluster.KeeperOf(worker);
  const std::uint64_t before = cluster.LogEnd();
  REQUIRE(cluster.processes().Pause(NodeId(keeper)).ok());
  cluster.WaitForLog({.event = "fenced", .worker = worker, .after = before});
  const std::string successor = keeper == zone + "-n1" ? zone + "-n2" : zone + "-n1";
  ServeOnce(cluster, successor, "paused");
  REQUIRE(cluster.processes().Continue(NodeId(keeper)).ok());
  ServeOnce(cluster, keeper, "paused");
  ServeOnce(cluster, successor, "paused");
  CheckLimits(cluster, {{"paused", 1}});
}

TEST_CASE("engine restarted while orders are in flight, each order duplicated late") {
  TestClusterOptions options;
  options.emulator_overrides = {{"engine.remote_load_ms_per_gib", "100"}};
  TestCluster cluster(options);
  cluster.PutRow(MakeRow("restarted", 1));
  WaitForSlots(cluster, "restarted", 1);
  const std::string worker = cluster.ReadGrant(ModelName("restarted")).slots.front().worker.value();
  REQUIRE(!cluster.admin().DuplicateOrders(WorkerId(worker), absl::Milliseconds(200)));
  CallGroup calls;
  for (const std::string& address : cluster.Addresses()) {
    calls.Add(address, MakeCall("restarted"));
  }
  cluster.WaitForLog({.event = "load_begin", .model = "restarted"});
  REQUIRE(!cluster.admin().RestartEngine(WorkerId(worker)));
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  ServeOnce(cluster, "z1-n1", "restarted");
  CheckLimits(cluster, {{"restarted", 1}});
}

TEST_CASE("limit lowered under load: replicas come down to it and stay there") {
  TestCluster cluster;
  cluster.PutRow(MakeRow("lowered", 3));
  WaitForSlots(cluster, "lowered", 3);
  for (const std::string node : {"z1-n1", "z2-n1", "z3-n1"}) {
    ServeOnce(cluster, node, "lowered");
  }
  cluster.PutRow(MakeRow("lowered", 1));
  WaitForSlots(cluster, "lowered", 1);
  const std::uint64_t lowered_at = cluster.LogEnd();
  CallGroup calls;
  for (const std::string& address : cluster.Addresses()) {
    calls.Add(address, MakeCall("lowered"));
  }
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  const Result<std::vector<load::LogEntry>> log = cluster.admin().Log(lowered_at);
  REQUIRE(log.ok());
  for (const load::LogEntry& entry : *log) {
    if (entry.event == "load_begin" && entry.model == "lowered") {
      CHECK(entry.replicas_of_model <= 1);
    }
  }
}

TEST_CASE("two operators race on one row: one wins, the other gets a conflict; nothing reverts") {
  TestCluster cluster;
  cluster.PutRow(MakeRow("contested", 1));
  const std::string key = RowKey(ModelName("contested"));
  const Result<StoredValue> seen = cluster.table().Read(key, kWaitBound);
  REQUIRE(seen.ok());
  int committed = 0;
  for (const std::uint32_t limit : {2U, 3U}) {
    Transaction transaction;
    transaction.preconditions.push_back({key, seen->revision});
    transaction.writes.push_back({key, EncodeRecord(MakeRow("contested", limit))});
    const Result<TransactionResult> result = cluster.table().Commit(transaction, kWaitBound);
    REQUIRE(result.ok());
    committed += result->committed ? 1 : 0;
    CHECK((result->committed || !result->conflicting.empty()));
  }
  CHECK(committed == 1);
  for (const load::RunningNode& node : cluster.processes().Nodes()) {
    REQUIRE(TestCluster::WaitUntil([&] {
      return cluster.Explain(node.node.value(), ModelName("contested"))
                 .find("at most 2 replicas") != std::string::npos;
    }));
  }
}

}  // namespace
}  // namespace hingespan::failure
