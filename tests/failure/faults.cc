#include "tests/failure/faults.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "hingespan/table/record_codec.h"

namespace hingespan::failure {
namespace {

constexpr absl::Duration kStopBound = absl::Seconds(60);
constexpr absl::Duration kRaceTimeout = absl::Seconds(2);
constexpr double kSlowStore = 10;
constexpr absl::Duration kLateOrder = absl::Milliseconds(200);

void SetPlatform(TestCluster& cluster, load::PlatformMode mode) {
  load::PlatformFault fault;
  fault.mode = mode;
  REQUIRE(!cluster.admin().SetPlatform(fault));
}

void SetLinksOfFirstZone(TestCluster& cluster, load::LinkMode mode) {
  for (const char* other : {"z2", "z3"}) {
    REQUIRE(!cluster.admin().SetLink(ZoneId("z1"), ZoneId(other), mode));
  }
}

void EndOrderDuplication(TestCluster& cluster, const std::string& worker) {
  REQUIRE(!cluster.admin().PostFault(
      absl::StrCat(R"({"fault":"order_duplicates","enabled":false,"worker":")", worker, "\"}")));
}

// Lets two operators edit the row from the same revision. At most one may succeed; if the platform
// fails, possibly neither.
void RaceOperators(TestCluster& cluster) {
  const std::string key = RowKey(ModelName(kPairModel));
  const Result<StoredValue> seen = cluster.table().Read(key, kRaceTimeout);
  if (!seen.ok()) {
    return;
  }
  int committed = 0;
  for (const std::uint32_t limit : {kPairReplicas - 1, kPairReplicas}) {
    Transaction transaction;
    transaction.preconditions.push_back({key, seen->revision});
    transaction.writes.push_back({key, EncodeRecord(MakeRow(kPairModel, limit))});
    const Result<TransactionResult> result = cluster.table().Commit(transaction, kRaceTimeout);
    committed += result.ok() && result->committed ? 1 : 0;
  }
  CHECK(committed <= 1);
}

Fault NodeKilled() {
  return {
      FaultKind::kNodeKilled, "node killed", "z1-n2",
      [](TestCluster& cluster) { REQUIRE(cluster.processes().Kill(NodeId("z1-n2")).ok()); },
      [](TestCluster& cluster) { REQUIRE(cluster.processes().RestartNode(NodeId("z1-n2")).ok()); }};
}

Fault ZoneCut() {
  return {FaultKind::kZoneCut, "zone cut", "",
          [](TestCluster& cluster) { SetLinksOfFirstZone(cluster, load::LinkMode::kCut); },
          [](TestCluster& cluster) { SetLinksOfFirstZone(cluster, load::LinkMode::kUp); }};
}

Fault PlatformDown() {
  return {FaultKind::kPlatformDown, "platform down", "",
          [](TestCluster& cluster) { SetPlatform(cluster, load::PlatformMode::kDown); },
          [](TestCluster& cluster) { SetPlatform(cluster, load::PlatformMode::kUp); }};
}

Fault MachineLeaving() {
  return {FaultKind::kMachineLeaving, "machine leaving", "",
          [](TestCluster& cluster) {
            REQUIRE(!cluster.admin().SetMachine(WorkerId("w2b"), "leaving"));
          },
          nullptr};
}

Fault WeightStoreSlow() {
  return {FaultKind::kWeightStoreSlow, "weight store slow", "",
          [](TestCluster& cluster) { REQUIRE(!cluster.admin().SlowWeightStore(kSlowStore)); },
          [](TestCluster& cluster) { REQUIRE(!cluster.admin().SlowWeightStore(1)); }};
}

Fault OrdersDuplicatedLate() {
  return {FaultKind::kOrdersDuplicatedLate, "orders doubled late", "",
          [](TestCluster& cluster) {
            for (const char* worker : {"w1a", "w1b", "w2a", "w2b", "w3a", "w3b"}) {
              REQUIRE(!cluster.admin().DuplicateOrders(WorkerId(worker), kLateOrder));
            }
          },
          [](TestCluster& cluster) {
            for (const char* worker : {"w1a", "w1b", "w2a", "w2b", "w3a", "w3b"}) {
              EndOrderDuplication(cluster, worker);
            }
          }};
}

Fault EngineRestarted() {
  return {FaultKind::kEngineRestarted, "engines restarted", "",
          [](TestCluster& cluster) {
            REQUIRE(!cluster.admin().RestartEngine(WorkerId("w1a")));
            REQUIRE(!cluster.admin().RestartEngine(WorkerId("w2a")));
          },
          nullptr};
}

Fault PlatformLosesAnswers() {
  return {FaultKind::kPlatformLosesAnswers, "platform loses answers", "",
          [](TestCluster& cluster) { SetPlatform(cluster, load::PlatformMode::kLoseAnswers); },
          [](TestCluster& cluster) { SetPlatform(cluster, load::PlatformMode::kUp); }};
}

Fault StreamsBroken() {
  const auto break_all = [](TestCluster& cluster) {
    for (const char* worker : {"w1a", "w1b", "w2a", "w2b", "w3b"}) {
      REQUIRE(!cluster.admin().BreakStreams(WorkerId(worker)));
    }
  };
  // Streams break again at the end, when the requests that were sent in between are running.
  return {FaultKind::kStreamsBroken, "streams broken", "", break_all, break_all};
}

Fault NodePaused() {
  return {
      FaultKind::kNodePaused, "node paused", "z3-n1",
      [](TestCluster& cluster) { REQUIRE(cluster.processes().Pause(NodeId("z3-n1")).ok()); },
      [](TestCluster& cluster) { REQUIRE(cluster.processes().Continue(NodeId("z3-n1")).ok()); }};
}

Fault MachineReclaimed() {
  return {
      FaultKind::kMachineReclaimed, "machine reclaimed", "",
      [](TestCluster& cluster) { REQUIRE(!cluster.admin().SetMachine(WorkerId("w3a"), "gone")); },
      nullptr};
}

Fault NodeStopped() {
  return {
      FaultKind::kNodeStopped, "node stopped as planned", "z2-n1",
      [](TestCluster& cluster) { REQUIRE(cluster.processes().BeginStop(NodeId("z2-n1")).ok()); },
      [](TestCluster& cluster) {
        load::ExitStatus exit;
        const NodeId node("z2-n1");
        REQUIRE(cluster.processes().WaitForExit(node, kStopBound, &exit).ok());
        CHECK(exit.clean());
        REQUIRE(cluster.processes().RestartNode(node).ok());
      }};
}

Fault OperatorsRace() {
  return {FaultKind::kOperatorsRace, "operators race", "", RaceOperators, nullptr};
}

}  // namespace

const std::vector<Fault>& AllFaults() {
  static const auto* const kFaults = new std::vector<Fault>{
      NodeKilled(),       ZoneCut(),
      PlatformDown(),     MachineLeaving(),
      WeightStoreSlow(),  OrdersDuplicatedLate(),
      EngineRestarted(),  PlatformLosesAnswers(),
      StreamsBroken(),    NodePaused(),
      MachineReclaimed(), NodeStopped(),
      OperatorsRace(),
  };
  return *kFaults;
}

const Fault& FaultOf(FaultKind kind) { return AllFaults()[static_cast<std::size_t>(kind)]; }

}  // namespace hingespan::failure
