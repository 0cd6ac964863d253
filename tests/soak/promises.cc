#include "tests/soak/promises.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "tests/soak/brittle_workers.h"
#include "tests/soak/planned_work.h"
#include "tests/soak/prompt_crashes.h"
#include "tests/soak/repeat_budget.h"
#include "tests/soak/request_crashes.h"
#include "tests/soak/run_index.h"
#include "tests/soak/stream_versions.h"

namespace hingespan::soak {
namespace {

using emulator::PlatformWorker;
using gateway::ExchangeResult;

// Bounds that the user documentation states, each with an allowance for a busy machine.
constexpr absl::Duration kAnswerSlack = absl::Seconds(2);
constexpr absl::Duration kConfigurationInForce = absl::Seconds(4);
constexpr absl::Duration kRollbackSlack = absl::Milliseconds(500);
constexpr absl::Duration kDrainTime = absl::Seconds(4);
constexpr absl::Duration kCallerGoneTime = absl::Seconds(2);
// A gateway counts as undisturbed after this long without a disturbance.
constexpr absl::Duration kUndisturbedTime = absl::Seconds(4);
// Requests that are sent later than this after SIGTERM may find the gateway closed.
constexpr absl::Duration kAcceptedAfterStop = absl::Seconds(1);
// Longest time of a request after recovery; a stream takes 0.4 s.
constexpr absl::Duration kMaxLatencyAfterRecovery = absl::Seconds(5);
constexpr std::size_t kMaxShownBytes = 80;
constexpr double kMinServedAfterFaults = 0.9;

class Checker {
 public:
  Checker(const SoakRecords& records, const std::vector<SoakWorkerView>& workers)
      : records_(records), workers_(workers), runs_(records, workers) {
    for (const auto& request : records.requests) {
      by_id_[request->id] = request.get();
    }
  }

  std::vector<BrokenPromise> Check() {
    for (const auto& request : records_.requests) {
      CheckAnswer(*request);
      CheckRuns(*request);
      CheckEnd(*request);
      CheckCallerGone(*request);
    }
    CheckStops();
    CheckStreamVersions(records_, &broken_);
    CheckStreamsGoOn(records_, &broken_);
    CheckPlannedWork(records_, runs_, &broken_);
    CheckRepeatBudget(records_, workers_, &broken_);
    CheckPromptCrashes(records_, workers_, &broken_);
    CheckBrittleWorkers(records_, workers_, &broken_);
    CheckCrashingRequests(records_, workers_, &broken_);
    CheckConfiguration();
    CheckLeaves();
    CheckOrders();
    CheckRecovery();
    for (const std::string& failure : records_.process_failures) {
      ReportBroken("processes end only when they are told to", failure);
    }
    return std::move(broken_);
  }

 private:
  void ReportBroken(std::string promise, std::string what) {
    broken_.push_back({std::move(promise), std::move(what)});
  }

  std::string Describe(const RequestRecord& request) const { return runs_.Describe(request); }

  // A persistent connection may have been closed before the request arrived; then it was not read.
  bool MayBeUnread(const RequestRecord& request) const {
    return request.on_persistent_connection && !runs_.WasRead(request);
  }

  bool WasUndisturbed(std::size_t gateway, absl::Time from, absl::Time to) const {
    using Component = Disturbance::Component;
    return !records_.Disturbed(Component::kGateway, gateway, from - kUndisturbedTime, to) &&
           !records_.Disturbed(Component::kStoreLink, gateway, from - kUndisturbedTime, to) &&
           !records_.Disturbed(Component::kStore, 0, from - kUndisturbedTime, to);
  }

  // Checks that each caller receives the complete answer to its own request.
  void CheckAnswer(const RequestRecord& request) {
    if (request.surplus) {
      ReportBroken("no bytes behind an answer", Describe(request));
    }
    const bool success = request.head.status / 100 == 2;
    if (!success || request.kind == RequestKind::kProbe) {
      return;
    }
    const std::string* const id = gateway::FindField(request.head.fields, "Attempt-Id");
    const std::string* const seal = gateway::FindField(request.head.fields, "Server-Seal");
    const std::string wanted_seal = absl::StrCat("seal-", request.id);
    if (id == nullptr || *id != request.id || seal == nullptr ||
        seal->compare(0, wanted_seal.size(), wanted_seal) != 0) {
      ReportBroken("own answer", Describe(request));
      return;
    }
    if (request.IsStream()) {
      CheckStream(request);
    } else if (request.result == ExchangeResult::kComplete &&
               !absl::StrContains(request.body, absl::StrCat(" to ", request.id))) {
      ReportBroken("own answer", absl::StrCat(Describe(request), " body ", request.body));
    }
  }

  void CheckStream(const RequestRecord& request) {
    int next = request.last_event + 1;
    const std::vector<std::string> events = absl::StrSplit(request.body, "\n\n", absl::SkipEmpty());
    const bool complete = request.result == ExchangeResult::kComplete;
    for (std::size_t index = 0; index < events.size(); ++index) {
      const std::string wanted =
          absl::StrCat("id: ", next, "\ndata: event ", next, " of ", request.id,
                       VersionSuffix(events[index]), std::string(request.padding, '.'));
      const bool cut_off = !complete && index + 1 == events.size();
      if (events[index] != wanted && !cut_off) {
        ReportBroken("events in order", absl::StrCat(Describe(request), " event ",
                                                     events[index].substr(0, kMaxShownBytes)));
        return;
      }
      ++next;
    }
    if (complete && next != request.events + 1) {
      ReportBroken("a broken stream does not look complete", Describe(request));
    }
  }

  // Checks that a request marked as not repeatable runs at most once, and not at all if it was
  // refused.
  void CheckRuns(const RequestRecord& request) {
    const std::size_t count = runs_.RunsOf(request).size();
    if (request.MayRunAgain() || request.kind == RequestKind::kProbe) {
      return;
    }
    if (count > 1) {
      ReportBroken("at most once", absl::StrCat(Describe(request), " runs ", count));
    }
    const int status = request.head.status;
    const bool refused = status == 503 || status == 429 || status == 408 || status == 421;
    if (refused && count > 0) {
      ReportBroken("a refusal is true", Describe(request));
    }
  }

  // Checks that every request is answered within its time limit.
  void CheckEnd(const RequestRecord& request) {
    const absl::Time limit = request.sent + request.deadline + kAnswerSlack;
    if (request.cancelled() || records_.Disturbed(Disturbance::Component::kGateway, request.gateway,
                                                  request.sent, limit)) {
      return;
    }
    if (request.ended_at > limit) {
      ReportBroken("answered within its time", Describe(request));
    }
    const bool kept = request.result == ExchangeResult::kComplete ||
                      (request.IsStream() && request.head.status == 200);
    if (!kept && !MayBeUnread(request)) {
      ReportBroken("none is silently dropped", Describe(request));
    }
  }

  void CheckCallerGone(const RequestRecord& request) {
    if (!request.cancelled()) {
      return;
    }
    const absl::Time limit = request.cancelled_at + kCallerGoneTime;
    if (records_.Disturbed(Disturbance::Component::kGateway, request.gateway, request.sent,
                           limit) ||
        records_.Disturbed(Disturbance::Component::kWorker, 0, request.sent, limit)) {
      return;
    }
    for (const auto& [worker, run] : runs_.RunsOf(request)) {
      if (!run->ended && run->caller_disconnected_at > limit) {
        ReportBroken("a caller that left ends its run",
                     absl::StrCat(Describe(request), " at worker ", worker));
      }
    }
  }

  // Checks that a planned stop cuts off no request in flight. Requests of slow callers may outlast
  // the stop and are checked by CheckPlannedWork.
  void CheckStops() {
    for (const PlannedStop& stop : records_.stops) {
      for (const auto& request : records_.requests) {
        if (request->gateway != stop.gateway || request->incarnation != stop.incarnation ||
            request->cancelled() || request->sent > stop.at + kAcceptedAfterStop ||
            request->ended_at < stop.at || request->read_slowly || MayBeUnread(*request)) {
          continue;
        }
        const absl::Time end = std::min(request->ended_at, stop.at + absl::Seconds(10));
        const bool worker_disturbed =
            records_.Disturbed(Disturbance::Component::kWorker, 0, request->sent, end);
        const bool excused = request->IsStream() && worker_disturbed;
        const bool killed = records_.HadUnplannedFault(stop.gateway, stop.at, request->ended_at);
        if (request->result != ExchangeResult::kComplete && !excused && !killed) {
          ReportBroken("a planned stop cuts off nothing", Describe(*request));
        }
      }
    }
  }

  // Checks that an accepted change takes effect within seconds and never reverts.
  void CheckConfiguration() {
    std::map<std::pair<std::size_t, int>, std::pair<int, absl::Time>> newest;
    for (const auto& request : records_.requests) {
      if (request->kind != RequestKind::kProbe || !request->ended() ||
          request->result != ExchangeResult::kComplete) {
        continue;
      }
      const int status = request->head.status;
      const bool found = status == 200 || status / 100 == 5;
      CheckInForce(*request, status);
      auto& [version, seen_at] = newest[{request->gateway, request->incarnation}];
      if (status == 200 && request->probed_version > version) {
        version = request->probed_version;
        seen_at = request->ended_at;
      } else if (found && status == 200 && request->probed_version < version &&
                 request->sent > seen_at + kRollbackSlack) {
        ReportBroken("a change never reverts",
                     absl::StrCat(Describe(*request), " version ", request->probed_version,
                                  " after ", version));
      }
    }
  }

  void CheckInForce(const RequestRecord& request, int status) {
    for (const ConfigurationChange& change : records_.changes) {
      if (change.version != request.probed_version || status != 404) {
        continue;
      }
      const bool replaced =
          std::any_of(records_.changes.begin(), records_.changes.end(), [&](const auto& other) {
            return other.version > change.version && other.at < request.ended_at;
          });
      if (!replaced && request.sent > change.at + kConfigurationInForce &&
          WasUndisturbed(request.gateway, change.at, request.sent)) {
        ReportBroken("a change takes effect within seconds",
                     absl::StrCat(Describe(request), " version ", change.version));
      }
    }
  }

  // Checks that a leaving worker receives no new work after a few seconds.
  void CheckLeaves() {
    for (const WorkerLeave& leave : records_.leaves) {
      for (const SoakWorkerView& view : workers_) {
        if (view.id != leave.worker_id) {
          continue;
        }
        for (const PlatformWorker::Run& run : view.worker->runs()) {
          const auto request = by_id_.find(run.id);
          if (run.began > leave.at + kDrainTime && request != by_id_.end() &&
              WasUndisturbed(request->second->gateway, leave.at, run.began)) {
            ReportBroken("a leaving worker gets no new work",
                         absl::StrCat(Describe(*request->second), " at worker ", view.id));
          }
        }
      }
    }
  }

  // Checks that no two holders share a fencing token and that no worker exceeds its memory.
  void CheckOrders() {
    std::map<std::uint64_t, std::string> holders;
    for (const SoakWorkerView& view : workers_) {
      if (view.worker->exceeded_memory()) {
        ReportBroken("memory is never overcommitted", absl::StrCat("worker ", view.id));
      }
      std::uint64_t highest = 0;
      for (const PlatformWorker::Order& order : view.worker->orders()) {
        const auto [entry, fresh] = holders.emplace(order.token, order.holder);
        if (!fresh && entry->second != order.holder) {
          ReportBroken("one holder a token", absl::StrCat("token ", order.token, " of ",
                                                          entry->second, " and ", order.holder));
        }
        if (order.status / 100 == 2 && order.token < highest) {
          ReportBroken("tokens rise", absl::StrCat("worker ", view.id, " token ", order.token));
        }
        highest = std::max(highest, order.token);
      }
    }
  }

  // Checks that requests are served again, and quickly, after recovery.
  void CheckRecovery() {
    std::map<std::size_t, std::pair<int, int>> served_of;
    for (const auto& request : records_.requests) {
      if (request->sent < records_.recovery_began || request->cancelled() ||
          request->kind == RequestKind::kProbe) {
        continue;
      }
      auto& [served, all] = served_of[request->gateway];
      ++all;
      if (request->ended_at - request->sent > kMaxLatencyAfterRecovery) {
        ReportBroken("nothing is slow in good times", Describe(*request));
      }
      served += request->result == ExchangeResult::kComplete && request->head.status == 200;
    }
    for (const auto& [gateway, counts] : served_of) {
      if (counts.first < kMinServedAfterFaults * counts.second) {
        ReportBroken(
            "all is served again after the faults",
            absl::StrCat("gateway ", gateway, " served ", counts.first, " of ", counts.second));
      }
    }
    if (records_.recovery_began != absl::InfiniteFuture() && served_of.empty()) {
      ReportBroken("all is served again after the faults", "no request was sent");
    }
  }

  const SoakRecords& records_;
  const std::vector<SoakWorkerView>& workers_;
  RunIndex runs_;
  std::map<std::string, const RequestRecord*> by_id_;
  std::vector<BrokenPromise> broken_;
};

}  // namespace

std::vector<BrokenPromise> CheckPromises(const SoakRecords& records,
                                         const std::vector<SoakWorkerView>& workers) {
  return Checker(records, workers).Check();
}

}  // namespace hingespan::soak
