#include "tests/soak/planned_work.h"

#include <algorithm>
#include <csignal>

namespace hingespan::soak {
namespace {

// Time before the request without any unplanned disturbance.
constexpr absl::Duration kUndisturbedTime = absl::Seconds(4);
// Time after the grace period in which an end still counts as part of the stop.
constexpr absl::Duration kStopSlack = absl::Seconds(1);
// Time after SIGHUP within which new settings are applied.
constexpr absl::Duration kSettingsApply = absl::Seconds(2);
// A request that was sent up to this long after SIGTERM may be cut off at the end of the grace
// period.
constexpr absl::Duration kEarlyRequestTime = absl::Seconds(3);
constexpr double kFinalGraceFraction = 1.0 / 6;
constexpr absl::Duration kRouteTimeout = absl::Seconds(10);

class PlannedWorkCheck {
 public:
  PlannedWorkCheck(const SoakRecords& records, const RunIndex& runs)
      : records_(records), runs_(runs) {}

  bool IsLost(const RequestRecord& request) const {
    if (!request.ended() || request.cancelled() ||
        request.result == gateway::ExchangeResult::kComplete || !runs_.WasRead(request)) {
      return false;
    }
    if (request.ended_at - request.sent >= std::min(request.deadline, kRouteTimeout)) {
      return false;
    }
    return IsAroundPlannedWork(request) && !WasCutByGracePeriod(request);
  }

 private:
  bool IsAroundPlannedWork(const RequestRecord& request) const {
    if (records_.planned_only) {
      return true;
    }
    if (records_.DisturbedUnplanned(request.sent - kUndisturbedTime, request.ended_at)) {
      return false;
    }
    return std::any_of(records_.signals.begin(), records_.signals.end(), [&](const auto& signal) {
      if (!IsOf(signal, request) || request.ended_at < signal.at) {
        return false;
      }
      return signal.signal == SIGTERM ? request.ended_at <= signal.at + records_.grace + kStopSlack
                                      : request.sent <= signal.at + kSettingsApply;
    });
  }

  // Returns whether the answer was still being produced, or read by a slow caller, when the grace
  // period ended.
  bool WasCutByGracePeriod(const RequestRecord& request) const {
    const auto stop = std::find_if(
        records_.signals.begin(), records_.signals.end(),
        [&](const auto& signal) { return signal.signal == SIGTERM && IsOf(signal, request); });
    if (stop == records_.signals.end() || request.sent > stop->at + kEarlyRequestTime ||
        request.ended_at < stop->at + records_.grace * (1 - kFinalGraceFraction)) {
      return false;
    }
    const RunIndex::RunList& runs = runs_.RunsOf(request);
    return request.read_slowly || std::any_of(runs.begin(), runs.end(),
                                              [](const auto& run) { return !run.second->ended; });
  }

  static bool IsOf(const OperatorSignal& signal, const RequestRecord& request) {
    return signal.gateway == request.gateway && signal.incarnation == request.incarnation;
  }

  const SoakRecords& records_;
  const RunIndex& runs_;
};

}  // namespace

void CheckPlannedWork(const SoakRecords& records, const RunIndex& runs,
                      std::vector<BrokenPromise>* broken) {
  const PlannedWorkCheck check(records, runs);
  for (const auto& request : records.requests) {
    if (check.IsLost(*request)) {
      broken->push_back({"planned work loses no request", runs.Describe(*request)});
    }
  }
}

}  // namespace hingespan::soak
