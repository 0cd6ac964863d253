#include "tests/soak/promises.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "tests/soak/planned_work.h"
#include "tests/soak/repeat_budget.h"
#include "tests/soak/run_index.h"

namespace hingespan::soak {
namespace {

using emulator::PlatformWorker;
using gateway::ExchangeResult;

// Bounds of the users' pages, each with what a busy machine may add.
constexpr absl::Duration kAnswerSlack = absl::Seconds(2);
constexpr absl::Duration kConfigurationInForce = absl::Seconds(4);
constexpr absl::Duration kRollbackSlack = absl::Milliseconds(500);
constexpr absl::Duration kDrainTime = absl::Seconds(4);
constexpr absl::Duration kCallerGoneTime = absl::Seconds(2);
// A gateway is in touch when nothing was wrong with it for so long.
constexpr absl::Duration kContact = absl::Seconds(4);
// Requests that come later than this after a stop was asked for may find nobody.
constexpr absl::Duration kTakenAfterStop = absl::Seconds(1);
// Once all is in order again; a stream takes 0.4 s.
constexpr absl::Duration kSlowInGoodTimes = absl::Seconds(5);
constexpr std::size_t kShownBytes = 80;
constexpr double kServedAfterFaults = 0.9;

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
    CheckPlannedWork(records_, runs_, &broken_);
    CheckRepeatBudget(records_, workers_, &broken_);
    CheckConfiguration();
    CheckLeaves();
    CheckOrders();
    CheckRecovery();
    for (const std::string& odd : records_.odd_ends) {
      Broken("processes end only when they are told to", odd);
    }
    return std::move(broken_);
  }

 private:
  void Broken(std::string promise, std::string what) {
    broken_.push_back({std::move(promise), std::move(what)});
  }

  std::string Describe(const RequestRecord& request) const { return runs_.Describe(request); }

  // A caller that keeps its connection may find that it has been closed: then nothing was read.
  bool MayBeUnread(const RequestRecord& request) const {
    return request.on_kept_connection && !runs_.WasRead(request);
  }

  bool InTouch(std::size_t gateway, absl::Time from, absl::Time to) const {
    using Of = Disturbance::Of;
    return !records_.Disturbed(Of::kGateway, gateway, from - kContact, to) &&
           !records_.Disturbed(Of::kStoreLink, gateway, from - kContact, to) &&
           !records_.Disturbed(Of::kStore, 0, from - kContact, to);
  }

  // Each caller receives the whole answer to its own request.
  void CheckAnswer(const RequestRecord& request) {
    if (request.surplus) {
      Broken("no bytes behind an answer", Describe(request));
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
      Broken("own answer", Describe(request));
      return;
    }
    if (request.IsStream()) {
      CheckStream(request);
    } else if (request.result == ExchangeResult::kComplete &&
               !absl::StrContains(request.body, absl::StrCat(" to ", request.id))) {
      Broken("own answer", absl::StrCat(Describe(request), " body ", request.body));
    }
  }

  void CheckStream(const RequestRecord& request) {
    int next = 1;
    const std::vector<std::string> events = absl::StrSplit(request.body, "\n\n", absl::SkipEmpty());
    const bool complete = request.result == ExchangeResult::kComplete;
    for (std::size_t index = 0; index < events.size(); ++index) {
      const std::string wanted = absl::StrCat("id: ", next, "\ndata: event ", next, " of ",
                                              request.id, std::string(request.padding, '.'));
      const bool cut_off = !complete && index + 1 == events.size();
      if (events[index] != wanted && !cut_off) {
        Broken("events in order",
               absl::StrCat(Describe(request), " event ", events[index].substr(0, kShownBytes)));
        return;
      }
      ++next;
    }
    if (complete && next != request.events + 1) {
      Broken("a broken stream does not look complete", Describe(request));
    }
  }

  // A request marked as not repeatable runs at most once, and a refusal is true.
  void CheckRuns(const RequestRecord& request) {
    const std::size_t count = runs_.RunsOf(request).size();
    if (request.MayRunAgain() || request.kind == RequestKind::kProbe) {
      return;
    }
    if (count > 1) {
      Broken("at most once", absl::StrCat(Describe(request), " runs ", count));
    }
    const int status = request.head.status;
    const bool refused = status == 503 || status == 429 || status == 408 || status == 421;
    if (refused && count > 0) {
      Broken("a refusal is true", Describe(request));
    }
  }

  // Every request is answered within its time limit.
  void CheckEnd(const RequestRecord& request) {
    const absl::Time limit = request.sent + request.deadline + kAnswerSlack;
    if (request.cancelled() ||
        records_.Disturbed(Disturbance::Of::kGateway, request.gateway, request.sent, limit)) {
      return;
    }
    if (request.ended_at > limit) {
      Broken("answered within its time", Describe(request));
    }
    const bool kept = request.result == ExchangeResult::kComplete ||
                      (request.IsStream() && request.head.status == 200);
    if (!kept && !MayBeUnread(request)) {
      Broken("none is silently dropped", Describe(request));
    }
  }

  void CheckCallerGone(const RequestRecord& request) {
    if (!request.cancelled()) {
      return;
    }
    const absl::Time limit = request.cancelled_at + kCallerGoneTime;
    if (records_.Disturbed(Disturbance::Of::kGateway, request.gateway, request.sent, limit) ||
        records_.Disturbed(Disturbance::Of::kWorker, 0, request.sent, limit)) {
      return;
    }
    for (const auto& [worker, run] : runs_.RunsOf(request)) {
      if (!run->ended && run->caller_disconnected_at > limit) {
        Broken("a caller that left ends its run",
               absl::StrCat(Describe(request), " at worker ", worker));
      }
    }
  }

  // A planned stop cuts off no request in progress. Slow callers may outlast it: CheckPlannedWork
  // tells theirs apart.
  void CheckStops() {
    for (const PlannedStop& stop : records_.stops) {
      for (const auto& request : records_.requests) {
        if (request->gateway != stop.gateway || request->life != stop.life ||
            request->cancelled() || request->sent > stop.at + kTakenAfterStop ||
            request->ended_at < stop.at || request->read_slowly || MayBeUnread(*request)) {
          continue;
        }
        const absl::Time end = std::min(request->ended_at, stop.at + absl::Seconds(10));
        const bool worker_harmed =
            records_.Disturbed(Disturbance::Of::kWorker, 0, request->sent, end);
        const bool excused = request->IsStream() && worker_harmed;
        const bool killed = records_.Harmed(stop.gateway, stop.at, request->ended_at);
        if (request->result != ExchangeResult::kComplete && !excused && !killed) {
          Broken("a planned stop cuts off nothing", Describe(*request));
        }
      }
    }
  }

  // An accepted change takes effect within seconds and never reverts.
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
      auto& [version, seen_at] = newest[{request->gateway, request->life}];
      if (status == 200 && request->probed_version > version) {
        version = request->probed_version;
        seen_at = request->ended_at;
      } else if (found && status == 200 && request->probed_version < version &&
                 request->sent > seen_at + kRollbackSlack) {
        Broken("a change never reverts", absl::StrCat(Describe(*request), " version ",
                                                      request->probed_version, " after ", version));
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
          InTouch(request.gateway, change.at, request.sent)) {
        Broken("a change takes effect within seconds",
               absl::StrCat(Describe(request), " version ", change.version));
      }
    }
  }

  // A worker that is leaving receives no new work after a few seconds.
  void CheckLeaves() {
    for (const WorkerLeave& leave : records_.leaves) {
      for (const SoakWorkerView& view : workers_) {
        if (view.id != leave.worker_id) {
          continue;
        }
        for (const PlatformWorker::Run& run : view.worker->runs()) {
          const auto request = by_id_.find(run.id);
          if (run.began > leave.at + kDrainTime && request != by_id_.end() &&
              InTouch(request->second->gateway, leave.at, run.began)) {
            Broken("a leaving worker gets no new work",
                   absl::StrCat(Describe(*request->second), " at worker ", view.id));
          }
        }
      }
    }
  }

  // No two holders share a token, and no worker is overfilled.
  void CheckOrders() {
    std::map<std::uint64_t, std::string> holders;
    for (const SoakWorkerView& view : workers_) {
      if (view.worker->exceeded_memory()) {
        Broken("memory is never overcommitted", absl::StrCat("worker ", view.id));
      }
      std::uint64_t highest = 0;
      for (const PlatformWorker::Order& order : view.worker->orders()) {
        const auto [entry, fresh] = holders.emplace(order.token, order.holder);
        if (!fresh && entry->second != order.holder) {
          Broken("one holder a token",
                 absl::StrCat("token ", order.token, " of ", entry->second, " and ", order.holder));
        }
        if (order.status / 100 == 2 && order.token < highest) {
          Broken("tokens rise", absl::StrCat("worker ", view.id, " token ", order.token));
        }
        highest = std::max(highest, order.token);
      }
    }
  }

  // Once all is in order again, all is served.
  void CheckRecovery() {
    std::map<std::size_t, std::pair<int, int>> served_of;
    for (const auto& request : records_.requests) {
      if (request->sent < records_.recovery_began || request->cancelled() ||
          request->kind == RequestKind::kProbe) {
        continue;
      }
      auto& [served, all] = served_of[request->gateway];
      ++all;
      if (request->ended_at - request->sent > kSlowInGoodTimes) {
        Broken("nothing is slow in good times", Describe(*request));
      }
      served += request->result == ExchangeResult::kComplete && request->head.status == 200;
    }
    for (const auto& [gateway, counts] : served_of) {
      if (counts.first < kServedAfterFaults * counts.second) {
        Broken("all is served again after the faults",
               absl::StrCat("gateway ", gateway, " served ", counts.first, " of ", counts.second));
      }
    }
    if (records_.recovery_began != absl::InfiniteFuture() && served_of.empty()) {
      Broken("all is served again after the faults", "no request was sent");
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
