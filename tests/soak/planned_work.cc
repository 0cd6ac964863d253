#include "tests/soak/planned_work.h"

#include <algorithm>
#include <csignal>

namespace hingespan::soak {
namespace {

// Of a machine: undisturbed for so long before the request.
constexpr absl::Duration kContact = absl::Seconds(4);
// After a stop was asked for, beyond the time within which it ends.
constexpr absl::Duration kAfterGrace = absl::Seconds(1);
// After new settings were told of.
constexpr absl::Duration kSettingsApply = absl::Seconds(2);
// A request may be broken off at the end of the grace period when it was sent so soon after
// SIGTERM.
constexpr absl::Duration kSentEarly = absl::Seconds(3);
constexpr double kLastPartOfGrace = 1.0 / 6;
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
    return IsAroundPlannedWork(request) && !IsOutOfGrace(request);
  }

 private:
  bool IsAroundPlannedWork(const RequestRecord& request) const {
    if (records_.planned_only) {
      return true;
    }
    if (records_.DisturbedUnplanned(request.sent - kContact, request.ended_at)) {
      return false;
    }
    return std::any_of(records_.signals.begin(), records_.signals.end(), [&](const auto& signal) {
      if (!IsOf(signal, request) || request.ended_at < signal.at) {
        return false;
      }
      return signal.signal == SIGTERM ? request.ended_at <= signal.at + records_.grace + kAfterGrace
                                      : request.sent <= signal.at + kSettingsApply;
    });
  }

  // Its answer was still being made, or taken by a slow caller, as the grace period ended.
  bool IsOutOfGrace(const RequestRecord& request) const {
    const auto stop = std::find_if(
        records_.signals.begin(), records_.signals.end(),
        [&](const auto& signal) { return signal.signal == SIGTERM && IsOf(signal, request); });
    if (stop == records_.signals.end() || request.sent > stop->at + kSentEarly ||
        request.ended_at < stop->at + records_.grace * (1 - kLastPartOfGrace)) {
      return false;
    }
    const RunIndex::RunList& runs = runs_.RunsOf(request);
    return request.read_slowly || std::any_of(runs.begin(), runs.end(),
                                              [](const auto& run) { return !run.second->ended; });
  }

  static bool IsOf(const OperatorSignal& signal, const RequestRecord& request) {
    return signal.gateway == request.gateway && signal.life == request.life;
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
