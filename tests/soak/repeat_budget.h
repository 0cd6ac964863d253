// Checks how often requests reach workers again, as the users count it.
#ifndef TESTS_SOAK_REPEAT_BUDGET_H_
#define TESTS_SOAK_REPEAT_BUDGET_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "tests/soak/promises.h"

namespace hingespan::soak {

// Requests for a service, and when workers read them.
struct ServiceTraffic {
  // Times at which callers sent requests for the service.
  std::vector<absl::Time> requests;
  // Times at which workers read a request, by its id.
  std::map<std::string, std::vector<absl::Time>> arrivals;
};

struct RepeatWindow {
  absl::Time begin;
  // Arrivals beyond the first of each request, and what is allowed.
  double repeats = 0;
  double allowed = 0;
  // Requests that count for the window.
  double requests = 0;

  double excess() const { return repeats - allowed; }
};

// Returns the window in which repeats exceed what is allowed by most; without any repeat, an empty
// window.
RepeatWindow WorstRepeatWindow(ServiceTraffic traffic, const RepeatLimits& limits);

// Adds a broken promise for each service whose workers were sent more repeats in some window than
// all gateways together may send.
void CheckRepeatBudget(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                       std::vector<BrokenPromise>* broken);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_REPEAT_BUDGET_H_
