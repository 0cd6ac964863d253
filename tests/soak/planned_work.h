// Check that planned operator work (stops, reloads) loses no request that a gateway has read.
#ifndef TESTS_SOAK_PLANNED_WORK_H_
#define TESTS_SOAK_PLANNED_WORK_H_

#include <vector>

#include "tests/soak/promises.h"
#include "tests/soak/run_index.h"

namespace hingespan::soak {

// Appends each lost request to `broken`.
void CheckPlannedWork(const SoakRecords& records, const RunIndex& runs,
                      std::vector<BrokenPromise>* broken);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_PLANNED_WORK_H_
