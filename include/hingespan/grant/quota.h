// Pure arithmetic that divides a row's replicas among zones.
#ifndef HINGESPAN_GRANT_QUOTA_H_
#define HINGESPAN_GRANT_QUOTA_H_

#include <cstdint>
#include <map>
#include <vector>

#include "hingespan/common/ids.h"
#include "hingespan/table/record_store.h"
#include "hingespan/table/records.h"

namespace hingespan {

// Divides `total` by the row's weights over `zones` (sorted, all zones of the deployment) with the
// largest-remainder method. Ties are broken by a rendezvous hash of (row, zone), so that rows with
// one replica spread over zones. The values add up to `total`, or to 0 if all weights are 0.
std::map<ZoneId, std::uint32_t> DivideByWeight(const ModelRow& row, std::uint32_t total,
                                               const std::vector<ZoneId>& zones);

// Returns the number of replicas of the row that each of `zones` may hold, max_replicas in total.
// An adapter runs only beside its base, so its replicas are divided among the zones where the base
// may have some.
std::map<ZoneId, std::uint32_t> DivideReplicas(const RecordStore& store, const ModelRow& row,
                                               const std::vector<ZoneId>& zones);

// Returns the weight of a zone: the row's, or 1 for every zone if the row sets none.
std::uint32_t WeightOf(const ModelRow& row, const ZoneId& zone);

}  // namespace hingespan

#endif  // HINGESPAN_GRANT_QUOTA_H_
