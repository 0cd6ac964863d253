// The promise that all gateways together keep to the budget of repeats.
#ifndef TESTS_SOAK_REPEAT_BUDGET_H_
#define TESTS_SOAK_REPEAT_BUDGET_H_

#include <vector>

#include "tests/soak/promises.h"

namespace hingespan::soak {

void CheckRepeatBudget(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                       std::vector<BrokenPromise>* broken);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_REPEAT_BUDGET_H_
