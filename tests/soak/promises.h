// Checks the promises that every soak run must keep against the records of callers and workers.
#ifndef TESTS_SOAK_PROMISES_H_
#define TESTS_SOAK_PROMISES_H_

#include <memory>
#include <string>
#include <vector>

#include "emulator/platform_worker.h"
#include "tests/soak/soak_records.h"

namespace hingespan::soak {

struct BrokenPromise {
  // Name of the promise, e.g. "at most once".
  std::string promise;
  std::string what;
};

// A worker of the soak, with the properties that its own records don't hold.
struct SoakWorkerView {
  std::string id;
  const emulator::PlatformWorker* worker = nullptr;
  std::string service;
};

// Returns the broken promises. Depends only on `records` and on what the workers recorded.
std::vector<BrokenPromise> CheckPromises(const SoakRecords& records,
                                         const std::vector<SoakWorkerView>& workers);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_PROMISES_H_
