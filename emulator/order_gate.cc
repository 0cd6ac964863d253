#include "emulator/order_gate.h"

#include <algorithm>

namespace hingespan::emulator {

std::string_view OrderVerdictName(OrderVerdict verdict) {
  switch (verdict) {
    case OrderVerdict::kAccepted:
      return "accepted";
    case OrderVerdict::kOtherIncarnation:
      return "incarnation";
    case OrderVerdict::kStaleEpoch:
      return "epoch";
    case OrderVerdict::kStaleSequence:
      return "sequence";
    case OrderVerdict::kStaleGeneration:
      return "generation";
  }
  return "unknown";
}

OrderVerdict OrderGate::Fence(WorkerIncarnation incarnation, KeeperEpoch epoch) {
  const bool any_incarnation = incarnation == WorkerIncarnation();
  if (!any_incarnation && incarnation != incarnation_) {
    return OrderVerdict::kOtherIncarnation;
  }
  if (epoch <= epoch_) {
    return OrderVerdict::kStaleEpoch;
  }
  RaiseEpoch(epoch);
  return OrderVerdict::kAccepted;
}

OrderVerdict OrderGate::AdmitLoad(const OrderFence& fence, const ModelName& model) {
  const OrderVerdict verdict = CheckOrder(fence, model);
  if (verdict != OrderVerdict::kAccepted) {
    return verdict;
  }
  const auto highest = generations_.find(model);
  const bool seen_newer = highest != generations_.end() && fence.generation < highest->second;
  if (seen_newer && !admit_all_) {
    return OrderVerdict::kStaleGeneration;
  }
  Accept(fence, model);
  return OrderVerdict::kAccepted;
}

OrderVerdict OrderGate::AdmitUnload(const OrderFence& fence, const ModelName& model) {
  const OrderVerdict verdict = CheckOrder(fence, model);
  if (verdict == OrderVerdict::kAccepted) {
    Accept(fence, model);
  }
  return verdict;
}

OrderVerdict OrderGate::AdmitRole(const OrderFence& fence) {
  return AdmitUnload(fence, ModelName());
}

OrderVerdict OrderGate::CheckOrder(const OrderFence& fence, const ModelName& model) const {
  if (admit_all_) {
    return OrderVerdict::kAccepted;
  }
  if (fence.incarnation != incarnation_) {
    return OrderVerdict::kOtherIncarnation;
  }
  if (fence.epoch < epoch_) {
    return OrderVerdict::kStaleEpoch;
  }
  auto highest = sequences_.find(model);
  const bool same_epoch = fence.epoch == epoch_;
  if (same_epoch && highest != sequences_.end() && fence.sequence <= highest->second) {
    return OrderVerdict::kStaleSequence;
  }
  return OrderVerdict::kAccepted;
}

void OrderGate::Accept(const OrderFence& fence, const ModelName& model) {
  RaiseEpoch(fence.epoch);
  sequences_[model] = fence.sequence;
  GrantGeneration& generation = generations_[model];
  generation = std::max(generation, fence.generation);
}

void OrderGate::RaiseEpoch(KeeperEpoch epoch) {
  if (epoch > epoch_) {
    epoch_ = epoch;
    sequences_.clear();
  }
}

}  // namespace hingespan::emulator
