// Tests of the weight store's budget over several zones, in virtual time: no fault makes the zones
// exceed it, and its slots are lent to the zones that need them.
#include <doctest/doctest.h>

#include <cstdint>

#include "hingespan/common/random.h"
#include "tests/simulation/simulated_permits.h"

namespace hingespan::simulation {
namespace {

constexpr int kZones = 3;
constexpr int kNodes = 3;
constexpr int kSteps = 6000;
constexpr std::uint64_t kSeeds = 20;
// Loads are requested more often than the store's rate allows.
constexpr std::uint64_t kStepsPerLoad = 30;
constexpr std::uint64_t kStepsPerFault = 250;

SimulatedPermitsOptions SmallOptions() {
  SimulatedPermitsOptions options;
  options.zones = kZones;
  options.nodes_per_zone = kNodes;
  options.permits.zone_nodes = kNodes;
  options.permits.rate_per_second = 2.0;
  options.permits.concurrency = 8;
  options.permits.lease = absl::Seconds(2);
  options.permits.permit_timeout = absl::Seconds(15);
  options.permit_use_within = absl::Seconds(3);
  return options;
}

// Time until every zone's holder may use its share.
absl::Duration StartTime(const SimulatedPermitsOptions& options) {
  return options.permits.lease * 2 + SettleTime(options.permits);
}

void InjectFault(SimulatedPermits* cluster, Random* random) {
  const int zone = static_cast<int>(random->Below(kZones));
  const int node = static_cast<int>(random->Below(kNodes));
  switch (random->Below(8)) {
    case 0:
      return cluster->Kill(zone, node);
    case 1:
    case 2:
      return cluster->Start(zone, node);
    case 3:
      return cluster->SetPaused(zone, node, random->Below(2) == 0);
    case 4:
      return cluster->SetCut(zone, random->Below(3) == 0);
    case 5:
      // The nodes disagree about the holder.
      return cluster->SetHolder(zone, node, static_cast<int>(random->Below(kNodes)));
    case 6:
      return cluster->SetHolder(zone, static_cast<int>(random->Below(kNodes)));
    default:
      return cluster->SetPaused(zone, node, false);
  }
}

struct Outcome {
  int most_running = 0;
  std::size_t ended = 0;
};

Outcome RunRandom(SimulatedPermitsOptions options, std::uint64_t seed) {
  options.seed = seed;
  options.loss = 0.1;
  options.duplication = 0.1;
  options.late_share = 0.1;
  options.drift = 0.01;
  SimulatedPermits cluster(options);
  Random random(seed ^ 0x5eed);
  cluster.Run(StartTime(options));
  for (int step = 0; step < kSteps; ++step) {
    if (random.Below(kStepsPerLoad) == 0) {
      // In alternating periods only one zone requests loads.
      const int zones = step / 2000 % 2 == 0 ? kZones : 1;
      cluster.AddLoad(static_cast<int>(random.Below(zones)), static_cast<int>(random.Below(kNodes)),
                      absl::Milliseconds(4000 + random.Below(6000)),
                      absl::Milliseconds(random.Below(20'000)));
    }
    if (random.Below(kStepsPerFault) == 0) {
      InjectFault(&cluster, &random);
    }
    cluster.Step();
  }
  Outcome outcome;
  outcome.most_running = cluster.max_running();
  for (const PermitLoad& load : cluster.loads()) {
    outcome.ended += load.ended <= cluster.now() ? 1 : 0;
  }
  return outcome;
}

// Requests `loads` loads in zone 0 that run long enough to need more than the zone's share.
void Burst(SimulatedPermits* cluster, int loads) {
  for (int load = 0; load < loads; ++load) {
    cluster->AddLoad(0, load % kNodes, absl::Seconds(8), absl::Seconds(60));
  }
}

}  // namespace

TEST_CASE(
    "concurrent loads never exceed the budget under crashes, pauses, partitions and lost "
    "messages") {
  std::size_t ended = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const Outcome outcome = RunRandom(SmallOptions(), seed);
    ended += outcome.ended;
    CHECK(outcome.most_running <= 8);
  }
  MESSAGE(ended, " loads ended");
  CHECK(ended > 0);
}

// Cuts off a zone that borrowed all slots. After the settle time the lenders use their own slots
// again.
int MostRunningAfterCut(const SimulatedPermitsOptions& options) {
  SimulatedPermits cluster(options);
  cluster.Run(StartTime(options));
  Burst(&cluster, 60);
  cluster.Run(absl::Seconds(7));
  CHECK(cluster.running() == 8);
  cluster.SetCut(0, true);
  cluster.Run(SettleTime(options.permits));
  for (int load = 0; load < 12; ++load) {
    cluster.AddLoad(1 + load % 2, load % kNodes, absl::Seconds(8), absl::Seconds(60));
  }
  cluster.Run(absl::Seconds(20));
  return cluster.max_running();
}

TEST_CASE("the budget is exceeded if leases do not expire") {
  SimulatedPermitsOptions options = SmallOptions();
  CHECK(MostRunningAfterCut(options) == 8);
  options.permits.disable_expiry_for_test = true;
  CHECK(MostRunningAfterCut(options) > 8);
}

TEST_CASE("the shares of the zones add up to the budget") {
  const std::vector<ZoneId> zones = {ZoneId("a"), ZoneId("b"), ZoneId("c")};
  CHECK(HomeSlots(8, zones, zones[0]) == 3);
  CHECK(HomeSlots(8, zones, zones[1]) == 3);
  CHECK(HomeSlots(8, zones, zones[2]) == 2);
  CHECK(HomeSlots(8, zones, ZoneId("d")) == 0);
}

TEST_CASE("a zone whose loads wait borrows the idle zones' shares and returns them") {
  const SimulatedPermitsOptions options = SmallOptions();
  SimulatedPermits cluster(options);
  cluster.Run(StartTime(options));
  Burst(&cluster, 16);
  cluster.Run(absl::Seconds(7));
  CHECK(cluster.running() == 8);
  // More urgent loads of another zone come first, although the burst still waits.
  const std::size_t urgent = cluster.AddLoad(1, 0, absl::Seconds(1), absl::Seconds(3));
  cluster.Run(absl::Seconds(4));
  CHECK(cluster.loads()[urgent].began < cluster.now());
  cluster.Run(absl::Seconds(60));
  CHECK(cluster.AllEnded());
  CHECK(cluster.borrowed(0, cluster.holder(0)) == 0);
  CHECK(cluster.max_running() == 8);
}

TEST_CASE("without lending each zone uses only its own share") {
  SimulatedPermitsOptions options = SmallOptions();
  options.permits.lend = false;
  SimulatedPermits cluster(options);
  cluster.Run(StartTime(options));
  Burst(&cluster, 16);
  cluster.Run(absl::Seconds(60));
  CHECK(cluster.max_running() == 3);
}

TEST_CASE("a partitioned zone continues with its own share, and so do the others") {
  const SimulatedPermitsOptions options = SmallOptions();
  SimulatedPermits cluster(options);
  cluster.Run(StartTime(options));
  cluster.SetCut(0, true);
  Burst(&cluster, 6);
  for (int load = 0; load < 6; ++load) {
    cluster.AddLoad(1, load % kNodes, absl::Seconds(8), absl::Seconds(60));
  }
  cluster.Run(absl::Seconds(7));
  CHECK(cluster.permits(0, 0).granted_count() == 3);
  CHECK(cluster.permits(1, 0).granted_count() == 5);
}

TEST_CASE(
    "a crash of the holder stops its zone's loads for less than a lease, as other zones lend") {
  const SimulatedPermitsOptions options = SmallOptions();
  SimulatedPermits cluster(options);
  cluster.Run(StartTime(options));
  cluster.Kill(0, 0);
  cluster.SetHolder(0, 1);
  cluster.AddLoad(0, 1, absl::Seconds(1), absl::Seconds(30));
  cluster.Run(options.permits.lease);
  CHECK(cluster.loads()[0].began < cluster.now());
  // The zone gets its own share back after the settle time.
  cluster.Run(StartTime(options));
  CHECK(cluster.has_zone_slots(0, 1));
}

TEST_CASE("a holder that was paused beyond its lease loses the zone's share") {
  const SimulatedPermitsOptions options = SmallOptions();
  SimulatedPermits cluster(options);
  cluster.Run(StartTime(options));
  CHECK(cluster.has_zone_slots(0, 0));
  cluster.SetPaused(0, 0, true);
  cluster.Run(options.permits.lease);
  cluster.SetPaused(0, 0, false);
  cluster.Step();
  CHECK(!cluster.has_zone_slots(0, 0));
}

}  // namespace hingespan::simulation
