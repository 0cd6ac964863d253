// Check that all gateways together stay within the retry budget.
#ifndef TESTS_SOAK_REPEAT_BUDGET_H_
#define TESTS_SOAK_REPEAT_BUDGET_H_

#include <vector>

#include "tests/soak/promises.h"

namespace hingespan::soak {

// Appends one entry to `broken` for each service whose budget was exceeded.
void CheckRepeatBudget(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                       std::vector<BrokenPromise>* broken);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_REPEAT_BUDGET_H_
