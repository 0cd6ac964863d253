#include "tests/soak/brittle_workers.h"

#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

constexpr int kAllowedFalls = 2;
constexpr int kWorkersPerAllowedFall = 10;
constexpr absl::Duration kRejectionWindow = absl::Seconds(1);
// Least share of the requests sent by gateways in touch that is served, although callers press
// beyond what the workers can serve.
constexpr double kMinServedShare = 0.25;
// Number of requests below which their share says nothing.
constexpr int kMinSent = 50;

using Arrivals = std::vector<emulator::PlatformWorker::Arrival>;

std::string ServiceOf(const RequestRecord& request) {
  return request.IsStream() ? "models" : "plain";
}

// Returns whether gateways in touch sent most of what the worker rejected before it fell.
bool CausedInTouch(const SoakRecords& records,
                   const std::map<std::string, const RequestRecord*>& requests,
                   const Arrivals& rejected, absl::Time fell_at) {
  int all = 0;
  int in_touch = 0;
  for (const auto& arrival : rejected) {
    const auto request = requests.find(arrival.id);
    if (request == requests.end() || arrival.at <= fell_at - kRejectionWindow ||
        arrival.at > fell_at) {
      continue;
    }
    ++all;
    in_touch += records.InTouch(request->second->gateway, arrival.at, arrival.at) ? 1 : 0;
  }
  return 2 * in_touch > all;
}

}  // namespace

std::map<std::string, BrittleCounts> CountBrittle(const SoakRecords& records,
                                                  const std::vector<SoakWorkerView>& workers) {
  std::map<std::string, BrittleCounts> counts;
  const BrittleTime& time = records.brittle;
  if (time.from == absl::InfiniteFuture()) {
    return counts;
  }
  std::map<std::string, const RequestRecord*> requests;
  for (const auto& request : records.requests) {
    requests[request->id] = request.get();
    const bool counted = request->kind != RequestKind::kProbe && !request->cancelled() &&
                         request->sent >= time.short_queues_from && request->sent < time.until &&
                         records.InTouch(request->gateway, request->sent, request->ended_at);
    if (counted) {
      BrittleCounts& of_service = counts[ServiceOf(*request)];
      ++of_service.sent;
      of_service.served +=
          request->head.status == 200 && request->result == gateway::ExchangeResult::kComplete ? 1
                                                                                               : 0;
    }
  }
  for (const auto& [service, number] : time.workers) {
    counts[service].allowed = kAllowedFalls + number / kWorkersPerAllowedFall;
  }
  for (const SoakWorkerView& view : workers) {
    BrittleCounts& of_service = counts[view.service];
    of_service.rejections += static_cast<int>(view.worker->rejected().size());
    if (view.worker->fallen() &&
        CausedInTouch(records, requests, view.worker->rejected(), view.worker->fell_at())) {
      ++of_service.falls;
    }
  }
  return counts;
}

void CheckBrittleWorkers(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                         std::vector<BrokenPromise>* broken) {
  for (const auto& [service, counts] : CountBrittle(records, workers)) {
    if (counts.falls > counts.allowed) {
      broken->push_back(
          {"brittle workers seldom fall over",
           absl::StrCat("service ", service, ": ", counts.falls, "; allowed ", counts.allowed)});
    }
    if (counts.sent >= kMinSent && counts.served < kMinServedShare * counts.sent) {
      broken->push_back(
          {"brittle workers are used", absl::StrCat("service ", service, ": ", counts.served,
                                                    " of ", counts.sent, " served in touch")});
    }
  }
}

}  // namespace hingespan::soak
