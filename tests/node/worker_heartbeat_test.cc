// Heartbeats between complete cores keep unchanged workers usable and repair lost reports.
#include <doctest/doctest.h>

#include "tests/simulation/simulated_fleet.h"

namespace hingespan::simulation {
namespace {

struct SettledFleet {
  static SimulatedFleetOptions Options() {
    SimulatedFleetOptions options;
    options.zones = 1;
    // Reports are not repeated, so that only heartbeats can repair what was lost.
    options.core.keeper.report_interval = absl::Minutes(5);
    return options;
  }
  SimulatedFleetOptions options = Options();
  SimulatedFleet fleet{options};

  SettledFleet() {
    REQUIRE(fleet.RunUntil([&] { return fleet.AllReady() && AllUsable(); }, absl::Seconds(60)));
  }
  bool AllUsable() const {
    for (const NodeId& node : fleet.nodes()) {
      const ReplicaDirectory& directory = fleet.core(node)->directory();
      for (const WorkerId& worker : fleet.workers()) {
        const KnownWorker* known = directory.Find(worker);
        if (known == nullptr || !directory.MayReceiveWork(*known, fleet.now())) {
          return false;
        }
      }
    }
    return true;
  }
  bool AllKnow(const WorkerId& worker, WorkerIncarnation incarnation) const {
    for (const NodeId& node : fleet.nodes()) {
      const KnownWorker* known = fleet.core(node)->directory().Find(worker);
      if (known == nullptr || known->report.incarnation != incarnation) {
        return false;
      }
    }
    return true;
  }
};

TEST_CASE_FIXTURE(SettledFleet, "unchanged workers stay usable at every node") {
  CHECK_FALSE(fleet.RunUntil([&] { return !AllUsable(); }, absl::Seconds(60)));
}

TEST_CASE_FIXTURE(SettledFleet, "a report that all nodes missed reaches them by heartbeats") {
  const WorkerId worker = fleet.workers().front();
  const NodeId any = fleet.nodes().front();
  const WorkerIncarnation before = fleet.core(any)->directory().Find(worker)->report.incarnation;
  fleet.SetLoss(1.0);
  fleet.RestartEngine(worker);
  fleet.RunFor(absl::Seconds(2));
  REQUIRE_FALSE(AllKnow(worker, before));
  REQUIRE_FALSE(AllKnow(worker, before.Next()));
  fleet.SetLoss(0.0);
  CHECK(fleet.RunUntil([&] { return AllKnow(worker, before.Next()) && AllUsable(); },
                       options.core.keeper.heartbeat_interval + absl::Milliseconds(200)));
}

}  // namespace
}  // namespace hingespan::simulation
