// Chooses a replica by prefix affinity, or the less loaded of two. No state.
#ifndef HINGESPAN_ROUTING_LOAD_BALANCER_H_
#define HINGESPAN_ROUTING_LOAD_BALANCER_H_

#include <cstdint>
#include <vector>

#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"

namespace hingespan {

struct Candidate {
  WorkerId worker;
  // Requests of this node that run at the worker, plus the estimated requests of other nodes.
  std::uint32_t load = 0;
};

// Returns an index into `candidates`, which must not be empty. The candidate that rendezvous
// hashing selects for `prefix_hash` takes the request unless its load exceeds that of the less
// loaded of two other candidates by more than `affinity_slack`. A `prefix_hash` of 0 means that no
// prefix is known; then the less loaded of two candidates is chosen.
std::size_t ChooseReplica(const std::vector<Candidate>& candidates, std::uint64_t prefix_hash,
                          std::uint32_t affinity_slack, Random* random);

}  // namespace hingespan

#endif  // HINGESPAN_ROUTING_LOAD_BALANCER_H_
