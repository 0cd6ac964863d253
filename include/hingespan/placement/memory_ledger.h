// Accounts for a worker's accelerator memory. Memory is reserved before a load is ordered, and the
// charge stays until the engine confirms, under the current fence, that the replica is gone.
#ifndef HINGESPAN_PLACEMENT_MEMORY_LEDGER_H_
#define HINGESPAN_PLACEMENT_MEMORY_LEDGER_H_

#include <cstdint>

#include "absl/container/btree_map.h"
#include "hingespan/common/ids.h"
#include "hingespan/engine/engine_client.h"

namespace hingespan {

// Not thread-safe. Invariant (I2): charged_mib() <= capacity_mib() after every Reserve.
class MemoryLedger {
 public:
  // Replaces all charges by the engine's inventory, which is authoritative after a new fence.
  void Reset(const EngineStatus& inventory);
  // Spec action: Reserve. Returns false and changes nothing if the amount does not fit. A model
  // that is already charged keeps its charge; the result is then true if the new amount is not
  // larger.
  bool Reserve(const ModelName& model, std::uint32_t memory_mib);
  // Spec action: ConfirmGone.
  void Release(const ModelName& model);

  bool Has(const ModelName& model) const { return charges_.contains(model); }
  std::uint32_t capacity_mib() const { return capacity_mib_; }
  std::uint32_t charged_mib() const { return charged_mib_; }
  // Returns 0 also if an inventory already holds more than the capacity.
  std::uint32_t free_mib() const {
    return charged_mib_ >= capacity_mib_ ? 0 : capacity_mib_ - charged_mib_;
  }

 private:
  std::uint32_t capacity_mib_ = 0;
  std::uint32_t charged_mib_ = 0;
  absl::btree_map<ModelName, std::uint32_t> charges_;
};

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_MEMORY_LEDGER_H_
