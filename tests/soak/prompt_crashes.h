// Checks that few prompts with a part that crashes workers reach them, and that sound prompts are
// served.
#ifndef TESTS_SOAK_PROMPT_CRASHES_H_
#define TESTS_SOAK_PROMPT_CRASHES_H_

#include <vector>

#include "tests/soak/promises.h"

namespace hingespan::soak {

// Sound prompts of one period, and those of them that were served at the first attempt.
struct PromptShare {
  int all = 0;
  int served = 0;
  double value() const { return all == 0 ? 0 : static_cast<double>(served) / all; }
};

// Prompts that were sent by gateways in touch.
struct PromptCounts {
  // Arrivals at workers of prompts with the crashing part, once the bound holds.
  int late_arrivals = 0;
  // Sound prompts before the first crash, and once they are to be served again while prompts with
  // the crashing part still come.
  PromptShare before;
  PromptShare after;
};
PromptCounts CountPrompts(const SoakRecords& records, const std::vector<SoakWorkerView>& workers);

void CheckPromptCrashes(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                        std::vector<BrokenPromise>* broken);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_PROMPT_CRASHES_H_
