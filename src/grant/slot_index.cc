#include "hingespan/grant/slot_index.h"

#include <utility>

namespace hingespan {
namespace {

template <typename Key>
void EraseFrom(absl::flat_hash_map<Key, absl::flat_hash_set<ModelName>>* map, const Key& key,
               const ModelName& model) {
  const auto models = map->find(key);
  if (models == map->end()) {
    return;
  }
  models->second.erase(model);
  if (models->second.empty()) {
    map->erase(models);
  }
}

template <typename Key>
void Visit(const absl::flat_hash_map<Key, absl::flat_hash_set<ModelName>>& map, const Key& key,
           const SlotIndex::Visitor& visit) {
  const auto models = map.find(key);
  if (models == map.end()) {
    return;
  }
  for (const ModelName& model : models->second) {
    visit(model);
  }
}

}  // namespace

void SlotIndex::Set(const ModelName& model, Entry entry) {
  Erase(model);
  for (const WorkerId& worker : entry.workers) {
    on_worker_[worker].insert(model);
  }
  if (!entry.base.empty()) {
    adapters_[entry.base].insert(model);
  }
  if (entry.short_of_slots) {
    short_of_slots_.insert(model);
  }
  entries_.emplace(model, std::move(entry));
}

void SlotIndex::Erase(const ModelName& model) {
  const auto entry = entries_.find(model);
  if (entry == entries_.end()) {
    return;
  }
  for (const WorkerId& worker : entry->second.workers) {
    EraseFrom(&on_worker_, worker, model);
  }
  EraseFrom(&adapters_, entry->second.base, model);
  short_of_slots_.erase(model);
  entries_.erase(entry);
}

void SlotIndex::EraseUnless(const std::function<bool(const ModelName&)>& keep) {
  std::vector<ModelName> erased;
  for (const auto& [model, entry] : entries_) {
    if (!keep(model)) {
      erased.push_back(model);
    }
  }
  for (const ModelName& model : erased) {
    Erase(model);
  }
}

void SlotIndex::ForEachOnWorker(const WorkerId& worker, const Visitor& visit) const {
  Visit(on_worker_, worker, visit);
}

void SlotIndex::ForEachShortOfSlots(const Visitor& visit) const {
  for (const ModelName& model : short_of_slots_) {
    visit(model);
  }
}

void SlotIndex::ForEachAdapterOf(const ModelName& base, const Visitor& visit) const {
  Visit(adapters_, base, visit);
}

}  // namespace hingespan
