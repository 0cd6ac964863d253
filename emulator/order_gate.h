// Admission of orders to an engine, decided by their fencing tokens.
#ifndef HINGESPAN_EMULATOR_ORDER_GATE_H_
#define HINGESPAN_EMULATOR_ORDER_GATE_H_

#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "hingespan/engine/engine_client.h"

namespace hingespan::emulator {

enum class OrderVerdict {
  kAccepted,
  // The order names a different incarnation of the engine.
  kOtherIncarnation,
  // The order's epoch is below the highest one seen.
  kStaleEpoch,
  // The model already had this sequence or a later one in this epoch.
  kStaleSequence,
  // The load's generation is below the model's highest one.
  kStaleGeneration,
};

// Returns "incarnation", "epoch", "sequence", "generation" or "accepted".
std::string_view OrderVerdictName(OrderVerdict verdict);

// Not thread-safe. Rejected orders change nothing.
class OrderGate {
 public:
  // `admit_all` accepts every order; only for tests that show what the fences prevent.
  explicit OrderGate(WorkerIncarnation incarnation, bool admit_all = false)
      : incarnation_(incarnation), admit_all_(admit_all) {}

  // Raises the epoch if `epoch` is above the highest one seen. Incarnation 0 matches any
  // incarnation.
  // Spec action: Fence.
  OrderVerdict Fence(WorkerIncarnation incarnation, KeeperEpoch epoch);
  // Spec actions: OrderLoad (grants), TakeOrder (ledger).
  OrderVerdict AdmitLoad(const OrderFence& fence, const ModelName& model);
  // An unload may carry any generation; it raises the model's highest one.
  // Spec actions: OrderUnload (grants), TakeOrder (ledger).
  OrderVerdict AdmitUnload(const OrderFence& fence, const ModelName& model);
  OrderVerdict AdmitRole(const OrderFence& fence);

  WorkerIncarnation incarnation() const { return incarnation_; }
  KeeperEpoch epoch() const { return epoch_; }

 private:
  OrderVerdict CheckOrder(const OrderFence& fence, const ModelName& model) const;
  void Accept(const OrderFence& fence, const ModelName& model);
  void RaiseEpoch(KeeperEpoch epoch);

  WorkerIncarnation incarnation_;
  bool admit_all_ = false;
  KeeperEpoch epoch_;
  // Highest sequence in the current epoch and highest generation, by model.
  absl::flat_hash_map<ModelName, OrderSequence> sequences_;
  absl::flat_hash_map<ModelName, GrantGeneration> generations_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_ORDER_GATE_H_
