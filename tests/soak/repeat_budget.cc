#include "tests/soak/repeat_budget.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

using Times = std::vector<absl::Time>;

constexpr const char* kPlainService = "plain";
constexpr const char* kModelService = "models";

double CountWithin(const Times& sorted, absl::Time begin, absl::Time end) {
  return static_cast<double>(std::distance(std::lower_bound(sorted.begin(), sorted.end(), begin),
                                           std::upper_bound(sorted.begin(), sorted.end(), end)));
}

const char* ServiceOf(const RequestRecord& request) {
  if (request.target == kProcessTarget) {
    return kProcessService;
  }
  return request.IsStream() ? kModelService : kPlainService;
}

std::map<std::string, ServiceTraffic> TrafficOf(const SoakRecords& records,
                                                const std::vector<SoakWorkerView>& workers) {
  std::map<std::string, ServiceTraffic> services;
  for (const auto& request : records.requests) {
    services[ServiceOf(*request)].requests.push_back(request->sent);
  }
  for (const auto& arrival : records.process_arrivals) {
    services[kProcessService].arrivals[arrival.id].push_back(arrival.at);
  }
  for (const SoakWorkerView& view : workers) {
    for (const auto& arrival : view.worker->arrivals()) {
      services[view.service].arrivals[arrival.id].push_back(arrival.at);
    }
  }
  return services;
}

// Returns the sorted times of all arrivals but the first of each request.
Times RepeatsOf(std::map<std::string, Times> arrivals) {
  Times repeats;
  for (auto& [id, times] : arrivals) {
    std::sort(times.begin(), times.end());
    repeats.insert(repeats.end(), std::next(times.begin()), times.end());
  }
  std::sort(repeats.begin(), repeats.end());
  return repeats;
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

RepeatWindow WorstRepeatWindow(ServiceTraffic traffic, const RepeatLimits& limits) {
  std::sort(traffic.requests.begin(), traffic.requests.end());
  const Times repeats = RepeatsOf(std::move(traffic.arrivals));
  RepeatWindow worst;
  // The window with the most repeats begins or ends with a repeat.
  for (const absl::Time repeat : repeats) {
    for (const absl::Time begin : {repeat, repeat - limits.window}) {
      RepeatWindow window{begin, CountWithin(repeats, begin, begin + limits.window)};
      window.requests = RequestsFor(traffic.requests, begin, limits.window);
      window.allowed = limits.ratio * window.requests + limits.extra;
      if (worst.repeats == 0 || window.excess() > worst.excess()) {
        worst = window;
      }
    }
  }
  return worst;
}

void CheckRepeatBudget(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                       std::vector<BrokenPromise>* broken) {
  const RepeatLimits& limits = records.repeats;
  for (const auto& [service, traffic] : TrafficOf(records, workers)) {
    const RepeatWindow worst = WorstRepeatWindow(traffic, limits);
    if (worst.excess() <= 0) {
      continue;
    }
    broken->push_back(
        {"the budget of repeats",
         absl::StrCat("service ", service, ": ", worst.repeats, " arrivals beyond the first in ",
                      absl::FormatDuration(limits.window), " from ",
                      absl::FormatDuration(worst.begin - records.traffic_began), " for ",
                      worst.requests, " requests; allowed ", worst.allowed)});
  }
}

}  // namespace hingespan::soak
