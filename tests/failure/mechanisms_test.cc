// Tests each mechanism enabled and disabled in the same scenario. With the mechanism disabled by
// its test_only.* setting, the same check must find a violation.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "hingespan/operator/table_editor.h"
#include "tests/failure/test_cluster.h"

namespace hingespan::failure {
namespace {

using load::CallerOutcome;

constexpr int kMaximumRequests = 5;
constexpr absl::Duration kBeginBound = absl::Seconds(15);
constexpr char kNode[] = "z1-n1";

TestClusterOptions OneZone(int nodes, std::vector<SettingOverride> node_overrides = {}) {
  TestClusterOptions options;
  options.zone_count = 1;
  options.nodes_per_zone = nodes;
  options.node_overrides = std::move(node_overrides);
  return options;
}

load::Totals TotalsOf(const TestCluster& cluster) {
  const Result<load::Totals> totals = cluster.admin().ReadTotals();
  REQUIRE(totals.ok());
  return *totals;
}

// --- Coalescing ---------------------------------------------------------------------------------

// Returns the number of loads after one call at each of four routers for a cold model that may have
// two replicas.
std::uint64_t LoadsForOneModel(TestCluster& cluster) {
  cluster.PutRow(MakeRow("shared", 2));
  cluster.WaitForSlots("shared", 2);
  CallGroup calls;
  for (const std::string& address : cluster.Addresses()) {
    calls.Add(address, MakeCall("shared"));
  }
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  CheckLimits(cluster, {{"shared", 2}});
  return TotalsOf(cluster).loads_begun;
}

TEST_CASE("many routers ask for one cold model with room for two: one load") {
  TestCluster cluster(OneZone(4));
  CHECK(LoadsForOneModel(cluster) == 1);
}

TEST_CASE("without coalescing one cold model is loaded more than once") {
  TestCluster cluster(OneZone(4, {{"test_only.disable_coalescing", "true"}}));
  CHECK(LoadsForOneModel(cluster) > 1);
}

// --- Leaving ------------------------------------------------------------------------------------

// Timeouts for a platform so slow that the slots of a leaving worker are still granted when every
// node knows of the leave; only the routers then keep new work away from it.
std::vector<SettingOverride> TolerateSlowPlatform() {
  return {{"platform.timeout_ms", "20000"}, {"records.answer_timeout_ms", "25000"}};
}

// Returns the number of requests that were sent after every node knew of the leave and still began
// at the worker.
std::uint64_t LateRequestsAtLeavingWorker(TestCluster& cluster) {
  ModelRow row = MakeRow("staying", 2);
  row.min_replicas = 2;
  cluster.PutRow(row);
  cluster.WaitForSlots("staying", 2);
  for (const std::string worker : {"w1a", "w1b"}) {
    cluster.WaitForLog({.event = "load_ready", .worker = worker, .model = "staying"});
  }
  cluster.ServeOnce(kNode, "staying");
  load::PlatformFault slow;
  slow.mode = load::PlatformMode::kSlow;
  slow.delay = absl::Seconds(3);
  REQUIRE(!cluster.admin().SetMachine(WorkerId("w1a"), "leaving"));
  REQUIRE(!cluster.admin().SetPlatform(slow));
  for (const load::RunningNode& node : cluster.processes().Nodes()) {
    REQUIRE(TestCluster::WaitUntil([&] { return cluster.KnowsLeave(node.node.value(), "w1a"); }));
  }
  const std::uint64_t heard = cluster.LogEnd();
  CallGroup calls;
  std::set<std::string> tags;
  for (const std::string& address : cluster.Addresses()) {
    for (int call = 0; call < 10; ++call) {
      const load::CallerRequest request = MakeCall("staying");
      tags.insert(request.tag);
      calls.Add(address, request);
    }
  }
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  const Result<std::vector<load::LogEntry>> log = cluster.admin().Log(heard);
  REQUIRE(log.ok());
  return static_cast<std::uint64_t>(
      std::count_if(log->begin(), log->end(), [&](const load::LogEntry& entry) {
        return entry.event == "generate_begin" && entry.worker == "w1a" && tags.contains(entry.key);
      }));
}

TEST_CASE("no request goes to a leaving worker although it still has its slots") {
  TestCluster cluster(OneZone(2, TolerateSlowPlatform()));
  CHECK(LateRequestsAtLeavingWorker(cluster) == 0);
}

TEST_CASE("without the leaving check requests go to a leaving worker") {
  std::vector<SettingOverride> overrides = TolerateSlowPlatform();
  overrides.push_back({"test_only.disable_leaving", "true"});
  TestCluster cluster(OneZone(2, overrides));
  CHECK(LateRequestsAtLeavingWorker(cluster) > 0);
}

// --- Repeat protection --------------------------------------------------------------------------

// Restarts the engine after it has begun a request and before the first token. If the request is
// refused as not run because its key has no owner yet, sends another one.
FinishedCall RestartEngineUnderRequest(TestCluster& cluster) {
  cluster.PutRow(MakeRow("dealer", 2));
  cluster.WaitForSlots("dealer", 2);
  cluster.ServeOnce(kNode, "dealer");
  for (int sent = 0; sent < kMaximumRequests; ++sent) {
    const std::uint64_t before = cluster.LogEnd();
    CallGroup calls;
    calls.Add(cluster.Address(kNode), MakeOnceCall("dealer"));
    const std::optional<load::LogEntry> begin = cluster.TryWaitForLog(
        {.event = "generate_begin", .model = "dealer", .after = before}, kBeginBound);
    if (begin.has_value()) {
      REQUIRE(!cluster.admin().RestartEngine(WorkerId(begin->worker)));
    }
    const std::vector<FinishedCall> finished = calls.Finish();
    CheckCallsEnded(finished);
    if (begin.has_value()) {
      return finished.front();
    }
    REQUIRE(finished.front().result.outcome == CallerOutcome::kRefused);
  }
  FAIL("no request was begun");
  return {};
}

TestClusterOptions SlowFirstToken(std::vector<SettingOverride> node_overrides = {}) {
  TestClusterOptions options = OneZone(2, std::move(node_overrides));
  options.emulator_overrides = {{"engine.prefill_ms_per_1k_tokens", "400000"}};
  return options;
}

TEST_CASE("an engine restarts under a request that may run once only: it is not repeated") {
  TestCluster cluster(SlowFirstToken());
  const FinishedCall call = RestartEngineUnderRequest(cluster);
  CHECK(call.result.outcome == CallerOutcome::kFailed);
  CHECK(call.result.attempt == "may_have_run");
  CheckRuns(cluster, {call});
  CHECK(TotalsOf(cluster).runs_by_key.at(call.request.tag) == 1);
}

TEST_CASE("without repeat protection a request that may run once only runs again") {
  TestCluster cluster(SlowFirstToken({{"test_only.disable_repeat_protection", "true"}}));
  const FinishedCall call = RestartEngineUnderRequest(cluster);
  CHECK(TotalsOf(cluster).runs_by_key.at(call.request.tag) > 1);
}

// --- Early refusal ------------------------------------------------------------------------------

// Settings with which a load takes 40 s and the estimator expects that.
TestClusterOptions HopelessLoads(std::vector<SettingOverride> node_overrides = {}) {
  TestClusterOptions options = OneZone(2, std::move(node_overrides));
  options.emulator_overrides = {{"engine.remote_load_ms_per_gib", "10000"}};
  options.node_overrides.push_back({"keeper.estimator.remote_per_gib_ms", "10000"});
  return options;
}

std::vector<FinishedCall> CallWithHopelessWait(TestCluster& cluster) {
  cluster.PutRow(MakeRow("far", 1));
  cluster.WaitForSlots("far", 1);
  CallGroup calls;
  for (const std::string& address : cluster.Addresses()) {
    load::CallerRequest request = MakeCall("far");
    request.time_limit = absl::Seconds(3);
    calls.Add(address, request);
  }
  std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  return finished;
}

TEST_CASE("hopeless waits are refused before their limit, with a time to come back") {
  TestCluster cluster(HopelessLoads());
  for (const FinishedCall& call : CallWithHopelessWait(cluster)) {
    CHECK(call.result.code == "wait_hopeless");
    CHECK(call.result.attempt == "not_run");
    CHECK(call.result.retry_after > absl::ZeroDuration());
    CHECK(call.result.total < call.request.time_limit);
  }
}

TEST_CASE("without early refusal hopeless waits last to their limit") {
  TestCluster cluster(HopelessLoads({{"test_only.disable_early_refusal", "true"}}));
  for (const FinishedCall& call : CallWithHopelessWait(cluster)) {
    CHECK(call.result.code == "wait_expired");
    CHECK(call.result.total >= call.request.time_limit);
  }
}

// --- Two operators ------------------------------------------------------------------------------

struct RaceResult {
  EditStatus first = EditStatus::kFailed;
  EditStatus second = EditStatus::kFailed;
  ModelRow row;
};

// Lets two editors read the row; then one writes its replica limit and the other its longest wait.
RaceResult RaceOfTwoEdits(TestCluster& cluster, bool compare_and_set) {
  const ModelName name("contested");
  cluster.PutRow(MakeRow(name.value(), 1));
  TableEditorOptions options;
  options.editor = "racer";
  options.disable_compare_and_set_for_test = !compare_and_set;
  TableEditor first(&cluster.table(), options);
  TableEditor second(&cluster.table(), options);
  const Result<VersionedRow> seen_first = first.ReadRow(name);
  const Result<VersionedRow> seen_second = second.ReadRow(name);
  REQUIRE((seen_first.ok() && seen_second.ok()));
  RowEdit limit{name, seen_first->revision, seen_first->row};
  limit.wanted->max_replicas = 2;
  RowEdit wait{name, seen_second->revision, seen_second->row};
  wait.wanted->max_wait_ms = 7000;
  RaceResult race;
  race.first = first.Apply(limit).status;
  race.second = second.Apply(wait).status;
  const Result<VersionedRow> present = first.ReadRow(name);
  REQUIRE((present.ok() && present->row.has_value()));
  race.row = *present->row;
  return race;
}

TEST_CASE(
    "two operators read one row and both edit it: the second gets a conflict, no edit is lost") {
  TestCluster cluster(OneZone(1));
  const RaceResult race = RaceOfTwoEdits(cluster, true);
  CHECK(race.first == EditStatus::kApplied);
  CHECK(race.second == EditStatus::kConflict);
  CHECK(race.row.max_replicas == 2);
}

TEST_CASE("without compare-and-set an operator's accepted edit is lost") {
  TestCluster cluster(OneZone(1));
  const RaceResult race = RaceOfTwoEdits(cluster, false);
  CHECK(race.first == EditStatus::kApplied);
  CHECK(race.row.max_replicas == 1);
}

// --- Planned stop -------------------------------------------------------------------------------

// Returns the outcome of a request that runs for about a second at a node that is stopped
// meanwhile.
FinishedCall StopUnderRequest(TestCluster& cluster) {
  cluster.PutRow(MakeRow("lasting", 1));
  cluster.ServeOnce(kNode, "lasting");
  const std::uint64_t before = cluster.LogEnd();
  load::CallerRequest request = MakeCall("lasting");
  request.max_tokens = 200;
  CallGroup calls;
  calls.Add(cluster.Address(kNode), request);
  cluster.WaitForLog({.event = "generate_begin", .model = "lasting", .after = before});
  load::ExitStatus exit;
  REQUIRE(cluster.processes().BeginStop(NodeId(kNode)).ok());
  REQUIRE(cluster.processes().WaitForExit(NodeId(kNode), absl::Seconds(60), &exit).ok());
  return calls.Finish().front();
}

TEST_CASE("a planned stop lets the request in progress end whole") {
  TestCluster cluster(OneZone(2, {{"claims.interval_ms", "1000"}}));
  const FinishedCall call = StopUnderRequest(cluster);
  CheckCallsEnded({call});
  CHECK(call.result.outcome == CallerOutcome::kAnswered);
}

TEST_CASE("without the drain a planned stop cuts the request in progress") {
  TestCluster cluster(
      OneZone(2, {{"claims.interval_ms", "1000"}, {"test_only.disable_drain", "true"}}));
  const FinishedCall call = StopUnderRequest(cluster);
  CHECK(call.result.outcome == CallerOutcome::kLost);
}

}  // namespace
}  // namespace hingespan::failure
