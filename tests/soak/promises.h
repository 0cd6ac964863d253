// The promises that a run of the soak is held to, checked on what callers and workers saw.
#ifndef TESTS_SOAK_PROMISES_H_
#define TESTS_SOAK_PROMISES_H_

#include <memory>
#include <string>
#include <vector>

#include "emulator/platform_worker.h"
#include "tests/soak/soak_records.h"

namespace hingespan::soak {

struct BrokenPromise {
  // Its name, e.g. "at most once".
  std::string promise;
  std::string what;
};

// The worker of the soak and what is known of it from outside.
struct SoakWorkerView {
  std::string id;
  const emulator::PlatformWorker* worker = nullptr;
  std::string service;
};

// Pure: `records` and the workers' own notes are all it looks at.
std::vector<BrokenPromise> CheckPromises(const SoakRecords& records,
                                         const std::vector<SoakWorkerView>& workers);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_PROMISES_H_
