#include "hingespan/common/rendezvous_hash.h"

#include <xxhash.h>

namespace hingespan {

RendezvousKey::RendezvousKey(std::string_view key)
    : key_hash_(XXH3_64bits(key.data(), key.size())) {}

std::uint64_t RendezvousKey::Score(std::string_view candidate) const {
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(), key_hash_);
}

bool RendezvousKey::Prefers(std::string_view candidate, std::string_view other) const {
  const std::uint64_t score = Score(candidate);
  const std::uint64_t other_score = Score(other);
  return score > other_score || (score == other_score && candidate < other);
}

}  // namespace hingespan
