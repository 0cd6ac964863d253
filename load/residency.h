// Loaded models over time, derived from the engines' log.
#ifndef HINGESPAN_LOAD_RESIDENCY_H_
#define HINGESPAN_LOAD_RESIDENCY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "load/load_record.h"

namespace hingespan::load {

// Returns true if an event changes replicas or memory.
bool IsResidencyEvent(const std::string& event);

// Marks each request as cold if no replica of its model was ready at its planned instant.
void MarkColdRequests(const std::vector<ResidencyChange>& changes,
                      std::vector<RequestRecord>* requests);

// Sums over all engines after one change.
struct ResidencySample {
  absl::Duration at;
  std::uint64_t replicas = 0;
  std::uint64_t memory_used_mib = 0;
};

std::vector<ResidencySample> ResidencyOverTime(const std::vector<ResidencyChange>& changes);

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_RESIDENCY_H_
