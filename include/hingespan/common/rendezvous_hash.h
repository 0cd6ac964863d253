// Rendezvous (highest random weight) hashing. Scores are the same at every node and in every run.
// Adding or removing a candidate moves only that candidate's share of the keys.
#ifndef HINGESPAN_COMMON_RENDEZVOUS_HASH_H_
#define HINGESPAN_COMMON_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string_view>

namespace hingespan {

// Key that is hashed once for all candidates. The candidate with the highest score is preferred.
class RendezvousKey {
 public:
  explicit RendezvousKey(std::string_view key);
  // Constructor for keys that are already hashed.
  explicit RendezvousKey(std::uint64_t key_hash) : key_hash_(key_hash) {}

  std::uint64_t Score(std::string_view candidate) const;
  // Returns true if `candidate` is preferred to `other`; ties go to the smaller name.
  bool Prefers(std::string_view candidate, std::string_view other) const;

 private:
  std::uint64_t key_hash_;
};

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_RENDEZVOUS_HASH_H_
