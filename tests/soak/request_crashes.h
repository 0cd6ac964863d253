// Checks that a request under which workers have ended is sent to no further one, over all tries of
// its caller.
#ifndef TESTS_SOAK_REQUEST_CRASHES_H_
#define TESTS_SOAK_REQUEST_CRASHES_H_

#include <vector>

#include "tests/soak/promises.h"

namespace hingespan::soak {

// Requests that end workers.
struct CrashingRequestCounts {
  int requests = 0;
  int ended_workers = 0;
  // Arrivals at workers of requests under which so many had ended before, sent by gateways in
  // touch.
  int late_arrivals = 0;
};
CrashingRequestCounts CountCrashingRequests(const SoakRecords& records,
                                            const std::vector<SoakWorkerView>& workers);

void CheckCrashingRequests(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                           std::vector<BrokenPromise>* broken);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_REQUEST_CRASHES_H_
