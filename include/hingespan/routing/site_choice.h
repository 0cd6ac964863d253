// Chooses the zone that serves a request by the weights of its row. No state.
#ifndef HINGESPAN_ROUTING_SITE_CHOICE_H_
#define HINGESPAN_ROUTING_SITE_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"

namespace hingespan {

// Zone that can be reached.
struct SiteCandidate {
  ZoneId zone;
  std::uint32_t weight = 0;
  // True if a replica slot of the model is granted in the zone.
  bool has_slot = false;
  // True if the replica limit of the row leaves at least one replica to the zone, so that a slot
  // can be granted there.
  bool has_share = false;
};

// Chooses at random by weight among the candidates with a weight above 0 that rank highest: first
// those with a slot, then those with a share of the replicas, then the others. Returns nullopt if
// no candidate has a weight.
std::optional<ZoneId> ChooseSite(const std::vector<SiteCandidate>& candidates, Random* random);

}  // namespace hingespan

#endif  // HINGESPAN_ROUTING_SITE_CHOICE_H_
