// Selects the granted slots that a row's min_replicas keeps loaded. Placers and keepers compute the
// same result from the same row and grant record.
#ifndef HINGESPAN_GRANT_PINNED_SLOTS_H_
#define HINGESPAN_GRANT_PINNED_SLOTS_H_

#include <vector>

#include "hingespan/table/records.h"

namespace hingespan {

// Returns the oldest granted slots, at most min_replicas of them, divided by the row's weights over
// the zones that have slots.
std::vector<GrantSlot> PinnedSlots(const ModelRow& row, const GrantRecord& record);

}  // namespace hingespan

#endif  // HINGESPAN_GRANT_PINNED_SLOTS_H_
