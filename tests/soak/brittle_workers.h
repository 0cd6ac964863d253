// Checks that brittle workers seldom fall over under the requests that they reject, and that they
// are used all the same.
#ifndef TESTS_SOAK_BRITTLE_WORKERS_H_
#define TESTS_SOAK_BRITTLE_WORKERS_H_

#include <map>
#include <string>
#include <vector>

#include "tests/soak/promises.h"

namespace hingespan::soak {

// The workers of one service while they were brittle.
struct BrittleCounts {
  // Falls under rejections most of which gateways in touch have caused.
  int falls = 0;
  int allowed = 0;
  int rejections = 0;
  // Requests sent meanwhile by gateways in touch, and those that were served.
  int sent = 0;
  int served = 0;
};
// Returns the counts by service; empty if no workers were brittle.
std::map<std::string, BrittleCounts> CountBrittle(const SoakRecords& records,
                                                  const std::vector<SoakWorkerView>& workers);

void CheckBrittleWorkers(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                         std::vector<BrokenPromise>* broken);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_BRITTLE_WORKERS_H_
