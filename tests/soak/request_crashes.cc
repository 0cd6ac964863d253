#include "tests/soak/request_crashes.h"

#include <map>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

constexpr std::size_t kMaxEnded = 3;

}  // namespace

CrashingRequestCounts CountCrashingRequests(const SoakRecords& records,
                                            const std::vector<SoakWorkerView>& workers) {
  CrashingRequestCounts counts;
  std::map<std::string, const RequestRecord*> tries;
  std::set<std::string> names;
  for (const auto& request : records.requests) {
    if (!request->crashing_name.empty()) {
      tries[request->id] = request.get();
      names.insert(request->crashing_name);
    }
  }
  counts.requests = static_cast<int>(names.size());
  std::map<std::string, std::vector<absl::Time>> ends;
  for (const RequestCrash& crash : records.request_crashes) {
    ends[crash.name].push_back(crash.at);
    ++counts.ended_workers;
  }
  for (const SoakWorkerView& view : workers) {
    for (const auto& arrival : view.worker->arrivals()) {
      const auto request = tries.find(arrival.id);
      if (request == tries.end()) {
        continue;
      }
      const std::vector<absl::Time>& ended = ends[request->second->crashing_name];
      const bool late = ended.size() >= kMaxEnded && arrival.at > ended[kMaxEnded - 1] &&
                        records.InTouch(request->second->gateway, arrival.at, arrival.at);
      counts.late_arrivals += late ? 1 : 0;
    }
  }
  return counts;
}

void CheckCrashingRequests(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                           std::vector<BrokenPromise>* broken) {
  const CrashingRequestCounts counts = CountCrashingRequests(records, workers);
  if (counts.late_arrivals > 0) {
    broken->push_back({"a request that has ended workers is sent to no more of them",
                       absl::StrCat(counts.late_arrivals, " arrivals after ", kMaxEnded,
                                    " ends under the request, in touch; ", counts.ended_workers,
                                    " ended under ", counts.requests, " requests")});
  }
}

}  // namespace hingespan::soak
