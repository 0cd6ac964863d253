// Selects the key ranges whose ownership this node should extend now. Does no I/O.
#ifndef HINGESPAN_NODE_CLAIM_RANGES_H_
#define HINGESPAN_NODE_CLAIM_RANGES_H_

#include <vector>

#include "absl/time/time.h"
#include "hingespan/claim/claim_owner.h"
#include "hingespan/common/ids.h"
#include "hingespan/table/record_store.h"

namespace hingespan {

struct ClaimRangeDuties {
  NodeId self;
  ZoneId zone;
  const std::vector<ZoneId>* zones = nullptr;
  // Members of this zone that may hold duties.
  const std::vector<NodeId>* members = nullptr;
  const ClaimOptions* options = nullptr;
  const RecordStore* store = nullptr;
  // Time since this node started.
  absl::Duration running_for;
};

// Returns the home zone of a range. Ranges are assigned to zones round-robin.
ZoneId HomeZone(KeyRangeId range, const std::vector<ZoneId>& zones);

// Returns the ranges whose home is this zone and whose duty this node holds. After this node has
// run for a while, also returns ranges of other zones that nobody extends any more because the zone
// was lost.
std::vector<KeyRangeId> RangesToExtend(const ClaimRangeDuties& duties, absl::Time wall_time);

}  // namespace hingespan

#endif  // HINGESPAN_NODE_CLAIM_RANGES_H_
