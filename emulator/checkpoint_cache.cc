#include "emulator/checkpoint_cache.h"

#include <algorithm>

namespace hingespan::emulator {

void CheckpointTier::Put(const std::string& checkpoint, std::uint64_t size_mib) {
  auto found = std::find_if(entries_.begin(), entries_.end(),
                            [&](const Entry& entry) { return entry.checkpoint == checkpoint; });
  if (found != entries_.end()) {
    entries_.splice(entries_.begin(), entries_, found);
    return;
  }
  if (size_mib > limit_mib_) {
    return;
  }
  while (used_mib_ + size_mib > limit_mib_) {
    used_mib_ -= entries_.back().size_mib;
    entries_.pop_back();
  }
  entries_.push_front({checkpoint, size_mib});
  used_mib_ += size_mib;
}

bool CheckpointTier::Holds(const std::string& checkpoint) const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [&](const Entry& entry) { return entry.checkpoint == checkpoint; });
}

std::vector<std::string> CheckpointTier::checkpoints() const {
  std::vector<std::string> names;
  for (const Entry& entry : entries_) {
    names.push_back(entry.checkpoint);
  }
  return names;
}

CheckpointCache::CheckpointCache(std::uint64_t memory_limit_mib, std::uint64_t disk_limit_mib)
    : memory_limit_mib_(memory_limit_mib), memory_(memory_limit_mib), disk_(disk_limit_mib) {}

CacheTier CheckpointCache::TierOf(const std::string& checkpoint) const {
  if (memory_.Holds(checkpoint)) {
    return CacheTier::kMemory;
  }
  if (disk_.Holds(checkpoint)) {
    return CacheTier::kDisk;
  }
  return CacheTier::kRemote;
}

void CheckpointCache::Put(const std::string& checkpoint, std::uint64_t size_mib) {
  memory_.Put(checkpoint, size_mib);
  disk_.Put(checkpoint, size_mib);
}

void CheckpointCache::PutOnDisk(const std::string& checkpoint, std::uint64_t size_mib) {
  disk_.Put(checkpoint, size_mib);
}

std::vector<CachedCheckpoint> CheckpointCache::List() const {
  std::vector<CachedCheckpoint> list;
  for (const std::string& checkpoint : memory_.checkpoints()) {
    list.push_back({checkpoint, CacheTier::kMemory});
  }
  for (const std::string& checkpoint : disk_.checkpoints()) {
    if (!memory_.Holds(checkpoint)) {
      list.push_back({checkpoint, CacheTier::kDisk});
    }
  }
  return list;
}

void CheckpointCache::ClearMemory() { memory_ = CheckpointTier(memory_limit_mib_); }

}  // namespace hingespan::emulator
