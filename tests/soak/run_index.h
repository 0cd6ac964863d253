// What workers noted about each request, beside what its caller saw.
#ifndef TESTS_SOAK_RUN_INDEX_H_
#define TESTS_SOAK_RUN_INDEX_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/soak/promises.h"

namespace hingespan::soak {

// Refers to what it was made of.
class RunIndex {
 public:
  using Run = emulator::PlatformWorker::Run;
  // With the id of the worker.
  using RunList = std::vector<std::pair<std::string, const Run*>>;

  RunIndex(const SoakRecords& records, const std::vector<SoakWorkerView>& workers);

  const RunList& RunsOf(const RequestRecord& request) const;
  // Whether the gateway is known to have read the request whole.
  bool WasRead(const RequestRecord& request) const;
  std::string Describe(const RequestRecord& request) const;

 private:
  const SoakRecords& records_;
  std::map<std::string, RunList> runs_;
  std::set<std::string> arrived_;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_RUN_INDEX_H_
