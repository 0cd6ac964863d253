// Complete nodes in virtual time: many node cores on a simulated network with the emulator's
// engines, under faults.
#include <doctest/doctest.h>

#include <functional>

#include "absl/strings/str_cat.h"
#include "hingespan/claim/key_time.h"
#include "tests/simulation/simulated_fleet.h"

namespace hingespan::simulation {
namespace {

constexpr absl::Duration kBound = absl::Seconds(60);

SimulatedFleetOptions SmallFleetOptions() {
  SimulatedFleetOptions options;
  options.engine.memory_mib = 10240;
  options.engine.remote_load_per_gib = absl::Milliseconds(50);
  options.weight_store = {50.0, 8};
  return options;
}

ModelRow Row(const std::string& name, std::uint32_t max_replicas) {
  ModelRow row;
  row.name = ModelName(name);
  row.memory_mib = 4096;
  row.max_replicas = max_replicas;
  row.max_wait_ms = 20000;
  return row;
}

RouteRequest Request(SimulatedFleet& fleet, const std::string& model) {
  RouteRequest request;
  request.model = ModelName(model);
  request.deadline = fleet.now() + absl::Seconds(20);
  return request;
}

// Starts the fleet and waits until `rows` are known at all nodes and granted.
void Start(SimulatedFleet& fleet, const std::vector<ModelRow>& rows) {
  REQUIRE(fleet.RunUntil([&] { return fleet.AllReady(); }, kBound));
  fleet.WriteRows(rows);
  REQUIRE(fleet.RunUntil(
      [&] {
        if (!fleet.Converged()) {
          return false;
        }
        const RecordStore& store = fleet.core(fleet.nodes().front())->store();
        for (const ModelRow& row : rows) {
          const auto grant = store.FindGrant(row.name);
          if (grant == nullptr || grant->slots.size() < row.max_replicas) {
            return false;
          }
        }
        return true;
      },
      kBound));
}

// Number of violated guarantees by kind.
struct Violations {
  std::uint64_t overcommits = 0;
  int above_limit = 0;
  int repeated_keys = 0;
};

Violations FindViolations(const SimulatedFleet& fleet, const std::vector<ModelRow>& rows) {
  Violations found;
  found.overcommits = fleet.overcommits();
  for (const ModelRow& row : rows) {
    const auto held = fleet.maximum_replicas().find(row.name);
    if (held != fleet.maximum_replicas().end() &&
        held->second > static_cast<int>(row.max_replicas)) {
      found.above_limit += 1;
    }
  }
  for (const auto& [key, runs] : fleet.runs_by_key()) {
    found.repeated_keys += runs > 1 ? 1 : 0;
  }
  return found;
}

void CheckLimits(const SimulatedFleet& fleet, const std::vector<ModelRow>& rows) {
  const Violations found = FindViolations(fleet, rows);
  CHECK(found.overcommits == 0);
  CHECK(found.above_limit == 0);
  CHECK(found.repeated_keys == 0);
}

TEST_CASE("nodes of three zones come up, learn rows, grant slots and serve a cold model") {
  SimulatedFleet fleet(SmallFleetOptions());
  const std::vector<ModelRow> rows = {Row("one", 1), Row("three", 3)};
  Start(fleet, rows);
  for (const NodeId& node : fleet.nodes()) {
    fleet.Submit(node, Request(fleet, "one"));
    fleet.Submit(node, Request(fleet, "three"));
  }
  REQUIRE(fleet.RunUntil([&] { return fleet.open_requests() == 0; }, kBound));
  CHECK(fleet.requests().answered == fleet.requests().submitted);
  CheckLimits(fleet, rows);
}

TEST_CASE("requests for a row so new that no slot is granted yet wait for the grant") {
  SimulatedFleetOptions options = SmallFleetOptions();
  options.platform_delay = absl::Milliseconds(300);
  SimulatedFleet fleet(options);
  Start(fleet, {Row("old", 1)});
  const std::vector<ModelRow> rows = {Row("new", 2)};
  fleet.WriteRows(rows);
  REQUIRE(fleet.RunUntil(
      [&] {
        for (const NodeId& node : fleet.nodes()) {
          if (fleet.core(node)->store().FindRow(ModelName("new")) == nullptr) {
            return false;
          }
        }
        return true;
      },
      kBound));
  for (const NodeId& node : fleet.nodes()) {
    for (int request = 0; request < 4; ++request) {
      fleet.Submit(node, Request(fleet, "new"));
    }
  }
  REQUIRE(fleet.RunUntil([&] { return fleet.open_requests() == 0; }, kBound));
  CHECK(fleet.requests().answered == fleet.requests().submitted);
  CheckLimits(fleet, rows);
}

TEST_CASE("a burst of requests for one cold model at every node causes one load") {
  SimulatedFleet fleet(SmallFleetOptions());
  const std::vector<ModelRow> rows = {Row("cold", 1)};
  Start(fleet, rows);
  for (const NodeId& node : fleet.nodes()) {
    for (int request = 0; request < 5; ++request) {
      fleet.Submit(node, Request(fleet, "cold"));
    }
  }
  REQUIRE(fleet.RunUntil([&] { return fleet.open_requests() == 0; }, kBound));
  CHECK(fleet.requests().answered == fleet.requests().submitted);
  CHECK(fleet.loads_begun() == 1);
}

TEST_CASE("cold starts within grants continue while the platform is down") {
  SimulatedFleet fleet(SmallFleetOptions());
  const std::vector<ModelRow> rows = {Row("granted", 2)};
  Start(fleet, rows);
  fleet.SetPlatform(PlatformState::kDown);
  for (const NodeId& node : fleet.nodes()) {
    fleet.Submit(node, Request(fleet, "granted"));
  }
  REQUIRE(fleet.RunUntil([&] { return fleet.open_requests() == 0; }, kBound));
  CHECK(fleet.requests().answered == fleet.requests().submitted);
  CheckLimits(fleet, rows);
}

TEST_CASE("a restarted node gets its records from a peer while the platform is down") {
  SimulatedFleet fleet(SmallFleetOptions());
  std::vector<ModelRow> rows;
  for (int row = 0; row < 200; ++row) {
    rows.push_back(Row(absl::StrCat("row-", row), 1));
  }
  Start(fleet, rows);
  fleet.SetPlatform(PlatformState::kDown);
  const NodeId node = fleet.nodes().front();
  fleet.Kill(node);
  fleet.RunFor(absl::Seconds(1));
  fleet.Restart(node);
  REQUIRE(fleet.RunUntil(
      [&] { return fleet.core(node)->Ready() && fleet.core(node)->store().row_count() == 200; },
      kBound));
}

void InjectFault(SimulatedFleet& fleet, Random& random) {
  const std::vector<NodeId> nodes = fleet.nodes();
  const std::vector<WorkerId> workers = fleet.workers();
  const NodeId node = nodes[random.Below(nodes.size())];
  const bool runs = fleet.core(node) != nullptr;
  switch (random.Below(9)) {
    case 0:
      runs ? fleet.Kill(node) : fleet.Restart(node);
      break;
    case 1:
      fleet.Pause(node);
      break;
    case 2:
      fleet.Continue(node);
      break;
    case 3:
      fleet.RestartEngine(workers[random.Below(workers.size())]);
      break;
    case 4:
      fleet.SetPlatform(random.Below(2) == 0 ? PlatformState::kLosesAnswers : PlatformState::kUp);
      break;
    case 5:
      fleet.CutZone(ZoneId("zone-2"), random.Below(2) == 0);
      break;
    default:
      break;
  }
}

// About half of the requests are not repeatable; each of them is sent to two nodes with the same
// key.
void SubmitRandom(SimulatedFleet& fleet, const std::vector<ModelRow>& rows, Random& random) {
  const std::vector<NodeId> nodes = fleet.nodes();
  RouteRequest request = Request(fleet, rows[random.Below(rows.size())].name.value());
  request.repeatable = random.Below(2) == 0;
  if (!request.repeatable) {
    request.key = MakeKey(fleet.WallTime(), &random);
    fleet.Submit(nodes[random.Below(nodes.size())], request);
  }
  fleet.Submit(nodes[random.Below(nodes.size())], request);
}

void HealAll(SimulatedFleet& fleet) {
  for (const NodeId& node : fleet.nodes()) {
    if (fleet.core(node) == nullptr) {
      fleet.Restart(node);
    }
    fleet.Continue(node);
  }
  fleet.CutZone(ZoneId("zone-2"), false);
  fleet.SetPlatform(PlatformState::kUp);
}

// Injects random faults under load, then removes all faults; every request must end.
Violations RunRandomFaults(std::uint64_t seed, const CoreOptions& core) {
  SimulatedFleetOptions options = SmallFleetOptions();
  options.seed = seed;
  options.loss = 0.05;
  options.duplication = 0.05;
  options.core = core;
  SimulatedFleet fleet(options);
  std::vector<ModelRow> rows;
  for (int row = 0; row < 12; ++row) {
    rows.push_back(Row(absl::StrCat("model-", row), 1 + row % 3));
  }
  Start(fleet, rows);
  Random random(seed);
  constexpr int kSteps = 60;
  constexpr int kRequestsPerStep = 6;
  for (int step = 0; step < kSteps; ++step) {
    InjectFault(fleet, random);
    for (int request = 0; request < kRequestsPerStep; ++request) {
      SubmitRandom(fleet, rows, random);
    }
    fleet.RunFor(absl::Milliseconds(500));
  }
  HealAll(fleet);
  CHECK(fleet.RunUntil([&] { return fleet.open_requests() == 0; }, kBound));
  CHECK(fleet.RunUntil([&] { return fleet.AllReady() && fleet.Converged(); }, kBound));
  MESSAGE("seed ", seed, ": ", fleet.requests().answered, " of ", fleet.requests().submitted,
          " answered, ", fleet.loads_begun(), " loads");
  return FindViolations(fleet, rows);
}

constexpr std::uint64_t kSeeds = 5;

// Returns true if some seed finds a violation of this kind. Stops at the first one.
bool SomeSeedFinds(const CoreOptions& core, const std::function<bool(const Violations&)>& kind) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    if (kind(RunRandomFaults(seed, core))) {
      return true;
    }
  }
  return false;
}

TEST_CASE("random faults: limits, memory and single runs hold, every request ends") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed ", seed);
    const Violations found = RunRandomFaults(seed, CoreOptions());
    CHECK(found.overcommits == 0);
    CHECK(found.above_limit == 0);
    CHECK(found.repeated_keys == 0);
  }
}

TEST_CASE("random faults find repeated runs when claims are off") {
  CoreOptions core;
  core.claim.disable_claims_for_test = true;
  CHECK(SomeSeedFinds(core, [](const Violations& found) { return found.repeated_keys > 0; }));
}

TEST_CASE("random faults find overcommitted memory when the ledger is off") {
  CoreOptions core;
  core.keeper.disable_ledger_for_test = true;
  CHECK(SomeSeedFinds(core, [](const Violations& found) { return found.overcommits > 0; }));
}

TEST_CASE("random faults find too many replicas when the limit is off") {
  CoreOptions core;
  core.grant.disable_limit_for_test = true;
  core.placer.disable_coalescing_for_test = true;
  CHECK(SomeSeedFinds(core, [](const Violations& found) { return found.above_limit > 0; }));
}

}  // namespace
}  // namespace hingespan::simulation
