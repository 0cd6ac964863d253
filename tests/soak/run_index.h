// Index of the workers' records by request, to compare with what the callers saw.
#ifndef TESTS_SOAK_RUN_INDEX_H_
#define TESTS_SOAK_RUN_INDEX_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/soak/promises.h"

namespace hingespan::soak {

// Keeps references to the records and workers, which must outlive it.
class RunIndex {
 public:
  using Run = emulator::PlatformWorker::Run;
  // Runs of a request, each with the id of its worker.
  using RunList = std::vector<std::pair<std::string, const Run*>>;

  RunIndex(const SoakRecords& records, const std::vector<SoakWorkerView>& workers);

  const RunList& RunsOf(const RequestRecord& request) const;
  // Returns whether the gateway is known to have read the whole request.
  bool WasRead(const RequestRecord& request) const;
  std::string Describe(const RequestRecord& request) const;

 private:
  const SoakRecords& records_;
  std::map<std::string, RunList> runs_;
  std::set<std::string> arrived_;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_RUN_INDEX_H_
