// An engine's cache of prompt prefixes in fixed-size blocks, and the events published about it.
#ifndef HINGESPAN_EMULATOR_PREFIX_CACHE_H_
#define HINGESPAN_EMULATOR_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"

namespace hingespan::emulator {

struct PrefixCacheOptions {
  // Blocks kept over all models of an engine, with least-recently-used eviction.
  std::size_t block_limit = 4096;
  // Time for which an event can be read after it happened.
  absl::Duration event_lag = absl::Seconds(1);
  // Share of events that are never published; their sequence numbers are missing.
  double event_gap_probability = 0.02;
};

enum class PrefixAction { kStored, kRemoved };

struct PrefixEvent {
  std::uint64_t sequence = 0;
  absl::Time visible_at;
  ModelName model;
  // 16 hexadecimal digits: xxHash64 (seed 0) of the first k x 256 bytes of the prompt.
  std::string prefix;
  PrefixAction action = PrefixAction::kStored;
};

// Not thread-safe.
class PrefixCache {
 public:
  PrefixCache(PrefixCacheOptions options, std::uint64_t seed);

  // Returns how many bytes of the prompt's beginning are cached for the model, then caches all its
  // blocks.
  std::size_t Use(const ModelName& model, std::string_view prompt, absl::Time now);
  // Removes the blocks of an unloaded model.
  void Drop(const ModelName& model, absl::Time now);
  // Returns the published events after `after`, oldest first.
  std::vector<PrefixEvent> EventsAfter(std::uint64_t after, absl::Time now) const;

 private:
  using Key = std::pair<ModelName, std::uint64_t>;

  void Store(const Key& key, absl::Time now);
  void Publish(const Key& key, PrefixAction action, absl::Time now);

  PrefixCacheOptions options_;
  Random random_;
  // Most recently used first.
  std::list<Key> blocks_;
  absl::flat_hash_map<Key, std::list<Key>::iterator> index_;
  std::uint64_t last_sequence_ = 0;
  std::deque<PrefixEvent> events_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_PREFIX_CACHE_H_
