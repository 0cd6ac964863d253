// Checkpoints that a worker keeps in memory or on disk, with least-recently-used eviction.
#ifndef HINGESPAN_EMULATOR_CHECKPOINT_CACHE_H_
#define HINGESPAN_EMULATOR_CHECKPOINT_CACHE_H_

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "hingespan/engine/engine_client.h"

namespace hingespan::emulator {

// One cache tier. Not thread-safe.
class CheckpointTier {
 public:
  explicit CheckpointTier(std::uint64_t limit_mib) : limit_mib_(limit_mib) {}
  // Marks the checkpoint as most recently used and evicts others to make room. A checkpoint larger
  // than the tier is not kept.
  void Put(const std::string& checkpoint, std::uint64_t size_mib);
  bool Holds(const std::string& checkpoint) const;
  std::vector<std::string> checkpoints() const;

 private:
  struct Entry {
    std::string checkpoint;
    std::uint64_t size_mib = 0;
  };
  std::uint64_t limit_mib_;
  std::uint64_t used_mib_ = 0;
  // Most recently used first.
  std::list<Entry> entries_;
};

// Two tiers: memory, then disk. Not thread-safe.
class CheckpointCache {
 public:
  CheckpointCache(std::uint64_t memory_limit_mib, std::uint64_t disk_limit_mib);
  // Returns the nearest tier that holds the checkpoint.
  CacheTier TierOf(const std::string& checkpoint) const;
  // Records a load: the checkpoint is kept in both tiers.
  void Put(const std::string& checkpoint, std::uint64_t size_mib);
  void PutOnDisk(const std::string& checkpoint, std::uint64_t size_mib);
  // Lists each checkpoint once, under its nearest tier.
  std::vector<CachedCheckpoint> List() const;
  // Clears the memory tier and keeps the disk tier, as an engine restart does.
  void ClearMemory();

 private:
  std::uint64_t memory_limit_mib_;
  CheckpointTier memory_;
  CheckpointTier disk_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_CHECKPOINT_CACHE_H_
