// Index of the rows that a node places, which finds the rows that a change of a worker or of
// another row may affect.
#ifndef HINGESPAN_GRANT_SLOT_INDEX_H_
#define HINGESPAN_GRANT_SLOT_INDEX_H_

#include <functional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "hingespan/common/ids.h"

namespace hingespan {

// Not thread-safe.
class SlotIndex {
 public:
  using Visitor = std::function<void(const ModelName&)>;
  struct Entry {
    // Workers that hold a slot of the row in this zone.
    std::vector<WorkerId> workers;
    // An adapter's base; empty for other rows.
    ModelName base;
    // True if the row may have one more slot, but no worker was suitable.
    bool short_of_slots = false;
  };

  // Replaces the entry of the row.
  void Set(const ModelName& model, Entry entry);
  void Erase(const ModelName& model);
  void EraseUnless(const std::function<bool(const ModelName&)>& keep);

  void ForEachOnWorker(const WorkerId& worker, const Visitor& visit) const;
  void ForEachShortOfSlots(const Visitor& visit) const;
  void ForEachAdapterOf(const ModelName& base, const Visitor& visit) const;

 private:
  using Models = absl::flat_hash_set<ModelName>;

  absl::flat_hash_map<ModelName, Entry> entries_;
  absl::flat_hash_map<WorkerId, Models> on_worker_;
  absl::flat_hash_map<ModelName, Models> adapters_;
  Models short_of_slots_;
};

}  // namespace hingespan

#endif  // HINGESPAN_GRANT_SLOT_INDEX_H_
