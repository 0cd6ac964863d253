#include "tests/soak/repeat_budget.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>

#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

using Times = std::vector<absl::Time>;

struct ServiceTimes {
  // Times at which callers sent requests for the service.
  Times requests;
  // Times of the arrivals at workers after the first of each request.
  Times repeats;
};

constexpr const char* kPlainService = "plain";
constexpr const char* kModelService = "models";

double CountWithin(const Times& sorted, absl::Time begin, absl::Time end) {
  return static_cast<double>(std::distance(std::lower_bound(sorted.begin(), sorted.end(), begin),
                                           std::upper_bound(sorted.begin(), sorted.end(), end)));
}

std::map<std::string, ServiceTimes> TimesOf(const SoakRecords& records,
                                            const std::vector<SoakWorkerView>& workers) {
  std::map<std::string, ServiceTimes> services;
  for (const auto& request : records.requests) {
    services[request->IsStream() ? kModelService : kPlainService].requests.push_back(request->sent);
  }
  std::map<std::string, std::map<std::string, Times>> arrivals;
  for (const SoakWorkerView& view : workers) {
    for (const auto& arrival : view.worker->arrivals()) {
      arrivals[view.service][arrival.id].push_back(arrival.at);
    }
  }
  for (auto& [service, requests] : arrivals) {
    Times& repeats = services[service].repeats;
    for (auto& [id, times] : requests) {
      std::sort(times.begin(), times.end());
      repeats.insert(repeats.end(), std::next(times.begin()), times.end());
    }
  }
  for (auto& [service, times] : services) {
    std::sort(times.requests.begin(), times.requests.end());
    std::sort(times.repeats.begin(), times.repeats.end());
  }
  return services;
}

// Returns the number of requests that counts for a window: the most of the window itself, the
// window before it and the one that begins half a window earlier.
double RequestsFor(const Times& requests, absl::Time begin, absl::Duration window) {
  double most = 0;
  for (const absl::Duration earlier : {absl::ZeroDuration(), window / 2, window}) {
    most = std::max(most, CountWithin(requests, begin - earlier, begin - earlier + window));
  }
  return most;
}

}  // namespace

void CheckRepeatBudget(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                       std::vector<BrokenPromise>* broken) {
  const RepeatLimits& limits = records.repeats;
  for (const auto& [service, times] : TimesOf(records, workers)) {
    double worst = 0;
    std::string what;
    // The window with the most repeats begins or ends with a repeat.
    for (const absl::Time repeat : times.repeats) {
      for (const absl::Time begin : {repeat, repeat - limits.window}) {
        const double count = CountWithin(times.repeats, begin, begin + limits.window);
        const double requests = RequestsFor(times.requests, begin, limits.window);
        const double allowed = limits.ratio * requests + limits.extra;
        if (count - allowed > worst) {
          worst = count - allowed;
          what = absl::StrCat("service ", service, ": ", count, " arrivals beyond the first in ",
                              absl::FormatDuration(limits.window), " from ",
                              absl::FormatDuration(begin - records.traffic_began), " for ",
                              requests, " requests; allowed ", allowed);
        }
      }
    }
    if (worst > 0) {
      broken->push_back({"the budget of repeats", what});
    }
  }
}

}  // namespace hingespan::soak
