#include "emulator/prefix_cache.h"

#include <xxhash.h>

#include "absl/strings/str_format.h"

namespace hingespan::emulator {
namespace {

constexpr std::size_t kBlockBytes = 256;
constexpr std::size_t kEventLimit = 10000;

}  // namespace

PrefixCache::PrefixCache(PrefixCacheOptions options, std::uint64_t seed)
    : options_(options), random_(seed) {}

std::size_t PrefixCache::Use(const ModelName& model, std::string_view prompt, absl::Time now) {
  std::size_t cached_bytes = 0;
  bool all_cached_so_far = true;
  for (std::size_t end = kBlockBytes; end <= prompt.size(); end += kBlockBytes) {
    const Key key(model, XXH64(prompt.data(), end, 0));
    all_cached_so_far = all_cached_so_far && index_.contains(key);
    if (all_cached_so_far) {
      cached_bytes = end;
    }
    Store(key, now);
  }
  return cached_bytes;
}

void PrefixCache::Store(const Key& key, absl::Time now) {
  auto found = index_.find(key);
  if (found != index_.end()) {
    blocks_.splice(blocks_.begin(), blocks_, found->second);
    return;
  }
  blocks_.push_front(key);
  index_[key] = blocks_.begin();
  Publish(key, PrefixAction::kStored, now);
  while (blocks_.size() > options_.block_limit) {
    const Key evicted = blocks_.back();
    blocks_.pop_back();
    index_.erase(evicted);
    Publish(evicted, PrefixAction::kRemoved, now);
  }
}

void PrefixCache::Drop(const ModelName& model, absl::Time now) {
  for (auto block = blocks_.begin(); block != blocks_.end();) {
    if (block->first == model) {
      index_.erase(*block);
      Publish(*block, PrefixAction::kRemoved, now);
      block = blocks_.erase(block);
    } else {
      ++block;
    }
  }
}

void PrefixCache::Publish(const Key& key, PrefixAction action, absl::Time now) {
  ++last_sequence_;
  if (random_.Fraction() < options_.event_gap_probability) {
    return;
  }
  PrefixEvent event;
  event.sequence = last_sequence_;
  event.visible_at = now + options_.event_lag;
  event.model = key.first;
  event.prefix = absl::StrFormat("%016x", key.second);
  event.action = action;
  events_.push_back(std::move(event));
  if (events_.size() > kEventLimit) {
    events_.pop_front();
  }
}

std::vector<PrefixEvent> PrefixCache::EventsAfter(std::uint64_t after, absl::Time now) const {
  std::vector<PrefixEvent> found;
  for (const PrefixEvent& event : events_) {
    if (event.sequence > after && event.visible_at <= now) {
      found.push_back(event);
    }
  }
  return found;
}

}  // namespace hingespan::emulator
