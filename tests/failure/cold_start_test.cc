// Tests cold starts under failure: one load for many routers, a node killed during a load, a slow
// weight store, an unavailable platform.
#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "tests/failure/test_cluster.h"

namespace hingespan::failure {
namespace {

using load::CallerOutcome;

void CallFromAllNodes(TestCluster& cluster, CallGroup* calls, const std::string& model,
                      int calls_per_node) {
  for (const std::string& address : cluster.Addresses()) {
    for (int call = 0; call < calls_per_node; ++call) {
      calls->Add(address, MakeCall(model));
    }
  }
}

void CheckAllAnswered(const std::vector<FinishedCall>& calls) {
  for (const FinishedCall& call : calls) {
    INFO(call.result.code, " ", call.result.detail);
    CHECK(call.result.outcome == CallerOutcome::kAnswered);
  }
}

TEST_CASE("a burst on one cold model at all routers leads to one load and is served") {
  TestCluster cluster;
  cluster.PutRow(MakeRow("burst", 1));
  CallGroup calls;
  CallFromAllNodes(cluster, &calls, "burst", 5);
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckAllAnswered(finished);
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  CheckLimits(cluster, {{"burst", 1}});
  const Result<load::Totals> totals = cluster.admin().ReadTotals();
  REQUIRE(totals.ok());
  CHECK(totals->loads_begun == 1);
}

TEST_CASE("the keeper killed during a load: the request is still served, the limit holds") {
  TestClusterOptions options;
  options.emulator_overrides = {{"engine.remote_load_ms_per_gib", "500"}};
  TestCluster cluster(options);
  cluster.PutRow(MakeRow("interrupted", 1));
  cluster.WaitForGrant(ModelName("interrupted"),
                       [](const GrantRecord& grant) { return grant.slots.size() == 1; });
  const std::string worker =
      cluster.ReadGrant(ModelName("interrupted")).slots.front().worker.value();
  const std::string keeper = cluster.KeeperOf(worker);
  CallGroup calls;
  for (const load::RunningNode& node : cluster.processes().Nodes()) {
    if (node.node.value() != keeper) {
      calls.Add(node.http_address, MakeCall("interrupted"));
    }
  }
  cluster.WaitForLog({.event = "load_begin", .model = "interrupted"});
  REQUIRE(cluster.processes().Kill(NodeId(keeper)).ok());
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  CheckLimits(cluster, {{"interrupted", 1}});
  // A request that a router of another zone forwarded to the killed node may end in an explicit
  // error; requests at live nodes of the zone must be served.
  int answered = 0;
  for (const FinishedCall& call : finished) {
    answered += call.result.outcome == CallerOutcome::kAnswered ? 1 : 0;
  }
  CHECK(answered >= 1);
  CHECK(cluster.Call(cluster.processes().Nodes().front().node.value(), MakeCall("interrupted"))
            .outcome == CallerOutcome::kAnswered);
}

TEST_CASE("platform down for the whole run: cold starts inside grants go on") {
  TestCluster cluster;
  for (int model = 0; model < 4; ++model) {
    cluster.PutRow(MakeRow(absl::StrCat("granted-", model), 1));
  }
  for (int model = 0; model < 4; ++model) {
    cluster.WaitForGrant(ModelName(absl::StrCat("granted-", model)),
                         [](const GrantRecord& grant) { return grant.slots.size() == 1; });
  }
  // A node can only use grants that it holds before the outage.
  for (const load::RunningNode& node : cluster.processes().Nodes()) {
    for (int model = 0; model < 4; ++model) {
      const ModelName name(absl::StrCat("granted-", model));
      REQUIRE(TestCluster::WaitUntil([&] {
        return cluster.Explain(node.node.value(), name).find("slot:") != std::string::npos;
      }));
    }
  }
  load::PlatformFault down;
  down.mode = load::PlatformMode::kDown;
  REQUIRE(!cluster.admin().SetPlatform(down));
  CallGroup calls;
  for (int model = 0; model < 4; ++model) {
    CallFromAllNodes(cluster, &calls, absl::StrCat("granted-", model), 1);
  }
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckAllAnswered(finished);
  CheckCallsEnded(finished);
  CheckLimits(cluster, {{"granted-0", 1}, {"granted-1", 1}, {"granted-2", 1}, {"granted-3", 1}});
}

TEST_CASE("weight store ten times slower: every request is served or refused in time") {
  TestClusterOptions options;
  options.emulator_overrides = {{"engine.remote_load_ms_per_gib", "200"}};
  TestCluster cluster(options);
  cluster.PutRow(MakeRow("slow", 1));
  REQUIRE(!cluster.admin().SlowWeightStore(10));
  CallGroup calls;
  for (const std::string& address : cluster.Addresses()) {
    load::CallerRequest patient = MakeCall("slow");
    load::CallerRequest hurried = MakeCall("slow");
    hurried.time_limit = absl::Seconds(1);
    calls.Add(address, patient);
    calls.Add(address, hurried);
  }
  const std::vector<FinishedCall> finished = calls.Finish();
  CheckCallsEnded(finished);
  CheckRuns(cluster, finished);
  CheckLimits(cluster, {{"slow", 1}});
  for (const FinishedCall& call : finished) {
    INFO(call.result.code, " ", call.result.detail);
    if (call.request.time_limit > absl::Seconds(10)) {
      CHECK(call.result.outcome == CallerOutcome::kAnswered);
    } else if (call.result.outcome == CallerOutcome::kRefused) {
      CHECK(call.result.retry_after > absl::ZeroDuration());
    }
  }
}

}  // namespace
}  // namespace hingespan::failure
