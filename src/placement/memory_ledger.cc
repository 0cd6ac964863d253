#include "hingespan/placement/memory_ledger.h"

namespace hingespan {

void MemoryLedger::Reset(const EngineStatus& inventory) {
  charges_.clear();
  charged_mib_ = 0;
  for (const EngineReplica& replica : inventory.replicas) {
    charges_[replica.model] = replica.memory_mib;
    charged_mib_ += replica.memory_mib;
  }
  capacity_mib_ = inventory.memory_mib;
}

bool MemoryLedger::Reserve(const ModelName& model, std::uint32_t memory_mib) {
  const auto charge = charges_.find(model);
  if (charge != charges_.end()) {
    return memory_mib <= charge->second;
  }
  if (memory_mib > free_mib()) {
    return false;
  }
  charges_[model] = memory_mib;
  charged_mib_ += memory_mib;
  return true;
}

void MemoryLedger::Release(const ModelName& model) {
  const auto charge = charges_.find(model);
  if (charge == charges_.end()) {
    return;
  }
  charged_mib_ -= charge->second;
  charges_.erase(charge);
}

}  // namespace hingespan
