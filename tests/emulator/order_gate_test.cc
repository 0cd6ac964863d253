// Tests that each fence rejects stale orders and that a rejected order changes nothing.
#include "emulator/order_gate.h"

#include <doctest/doctest.h>

namespace hingespan::emulator {
namespace {

const ModelName kModel("m");

OrderFence FenceOf(std::uint64_t incarnation, std::uint64_t epoch, std::uint64_t sequence,
                   std::uint64_t generation) {
  return {WorkerIncarnation(incarnation), KeeperEpoch(epoch), OrderSequence(sequence),
          GrantGeneration(generation)};
}

struct GateInEpochTwo {
  OrderGate gate{WorkerIncarnation(5)};
  GateInEpochTwo() { gate.Fence(WorkerIncarnation(5), KeeperEpoch(2)); }
};

TEST_CASE_FIXTURE(GateInEpochTwo, "orders for another incarnation are refused") {
  CHECK(gate.AdmitLoad(FenceOf(4, 2, 1, 1), kModel) == OrderVerdict::kOtherIncarnation);
  CHECK(gate.AdmitUnload(FenceOf(6, 2, 1, 1), kModel) == OrderVerdict::kOtherIncarnation);
  CHECK(gate.Fence(WorkerIncarnation(4), KeeperEpoch(9)) == OrderVerdict::kOtherIncarnation);
  CHECK(gate.epoch() == KeeperEpoch(2));
}

TEST_CASE_FIXTURE(GateInEpochTwo, "a fence of incarnation 0 matches any incarnation") {
  CHECK(gate.Fence(WorkerIncarnation(0), KeeperEpoch(3)) == OrderVerdict::kAccepted);
  CHECK(gate.epoch() == KeeperEpoch(3));
}

TEST_CASE_FIXTURE(GateInEpochTwo, "orders of an older epoch are refused") {
  CHECK(gate.AdmitLoad(FenceOf(5, 1, 9, 9), kModel) == OrderVerdict::kStaleEpoch);
  CHECK(gate.AdmitRole(FenceOf(5, 1, 9, 9)) == OrderVerdict::kStaleEpoch);
}

TEST_CASE_FIXTURE(GateInEpochTwo, "a fence must raise the epoch") {
  CHECK(gate.Fence(WorkerIncarnation(5), KeeperEpoch(2)) == OrderVerdict::kStaleEpoch);
  CHECK(gate.Fence(WorkerIncarnation(5), KeeperEpoch(1)) == OrderVerdict::kStaleEpoch);
}

TEST_CASE_FIXTURE(GateInEpochTwo, "repeated and late sequences of a model are refused") {
  REQUIRE(gate.AdmitLoad(FenceOf(5, 2, 7, 1), kModel) == OrderVerdict::kAccepted);
  CHECK(gate.AdmitLoad(FenceOf(5, 2, 7, 1), kModel) == OrderVerdict::kStaleSequence);
  CHECK(gate.AdmitUnload(FenceOf(5, 2, 6, 1), kModel) == OrderVerdict::kStaleSequence);
  CHECK(gate.AdmitLoad(FenceOf(5, 2, 6, 1), ModelName("other")) == OrderVerdict::kAccepted);
}

TEST_CASE_FIXTURE(GateInEpochTwo, "a new epoch restarts the sequences") {
  REQUIRE(gate.AdmitLoad(FenceOf(5, 2, 7, 1), kModel) == OrderVerdict::kAccepted);
  REQUIRE(gate.Fence(WorkerIncarnation(5), KeeperEpoch(3)) == OrderVerdict::kAccepted);
  CHECK(gate.AdmitLoad(FenceOf(5, 3, 1, 1), kModel) == OrderVerdict::kAccepted);
}

TEST_CASE_FIXTURE(GateInEpochTwo, "an unload at a higher generation invalidates older loads") {
  REQUIRE(gate.AdmitUnload(FenceOf(5, 2, 1, 4), kModel) == OrderVerdict::kAccepted);
  CHECK(gate.AdmitLoad(FenceOf(5, 2, 2, 3), kModel) == OrderVerdict::kStaleGeneration);
  REQUIRE(gate.Fence(WorkerIncarnation(5), KeeperEpoch(3)) == OrderVerdict::kAccepted);
  CHECK(gate.AdmitLoad(FenceOf(5, 3, 1, 3), kModel) == OrderVerdict::kStaleGeneration);
  CHECK(gate.AdmitLoad(FenceOf(5, 3, 2, 4), kModel) == OrderVerdict::kAccepted);
}

TEST_CASE_FIXTURE(GateInEpochTwo, "a refused load does not use up its sequence") {
  REQUIRE(gate.AdmitUnload(FenceOf(5, 2, 1, 4), kModel) == OrderVerdict::kAccepted);
  REQUIRE(gate.AdmitLoad(FenceOf(5, 2, 8, 3), kModel) == OrderVerdict::kStaleGeneration);
  CHECK(gate.AdmitLoad(FenceOf(5, 2, 2, 4), kModel) == OrderVerdict::kAccepted);
}

}  // namespace
}  // namespace hingespan::emulator
