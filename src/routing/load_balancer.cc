#include "hingespan/routing/load_balancer.h"

#include "hingespan/common/rendezvous_hash.h"

namespace hingespan {
namespace {

// Every node computes the same result, so all routers send one prefix to one replica.
std::size_t PreferredByPrefix(const std::vector<Candidate>& candidates, std::uint64_t prefix_hash) {
  const RendezvousKey key(prefix_hash);
  std::size_t preferred = 0;
  for (std::size_t index = 1; index < candidates.size(); ++index) {
    if (key.Prefers(candidates[index].worker.value(), candidates[preferred].worker.value())) {
      preferred = index;
    }
  }
  return preferred;
}

std::size_t LessLoaded(const std::vector<Candidate>& candidates, std::size_t left,
                       std::size_t right) {
  return candidates[right].load < candidates[left].load ? right : left;
}

// Returns the less loaded of two distinct random candidates other than `excluded`;
// candidates.size() excludes none.
std::size_t LessLoadedOfTwo(const std::vector<Candidate>& candidates, std::size_t excluded,
                            Random* random) {
  std::vector<std::size_t> eligible;
  eligible.reserve(candidates.size());
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    if (index != excluded) {
      eligible.push_back(index);
    }
  }
  if (eligible.size() == 1) {
    return eligible.front();
  }
  const std::size_t first = random->Below(eligible.size());
  const std::size_t step = 1 + random->Below(eligible.size() - 1);
  const std::size_t second = (first + step) % eligible.size();
  return LessLoaded(candidates, eligible[first], eligible[second]);
}

}  // namespace

std::size_t ChooseReplica(const std::vector<Candidate>& candidates, std::uint64_t prefix_hash,
                          std::uint32_t affinity_slack, Random* random) {
  if (candidates.size() == 1) {
    return 0;
  }
  if (prefix_hash == 0) {
    return LessLoadedOfTwo(candidates, candidates.size(), random);
  }
  const std::size_t preferred = PreferredByPrefix(candidates, prefix_hash);
  const std::size_t other = LessLoadedOfTwo(candidates, preferred, random);
  const std::uint64_t maximum_load = std::uint64_t{candidates[other].load} + affinity_slack;
  return candidates[preferred].load <= maximum_load ? preferred : other;
}

}  // namespace hingespan
