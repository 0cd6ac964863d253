// Property test with random submits, replica changes, outcomes, cancellations, claim decisions and
// time steps: every request ends exactly once, by its deadline.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "tests/rapidcheck_seed.h"
#include "tests/routing/router_harness.h"

namespace hingespan {
namespace {

enum class StepKind {
  kSubmit,
  kSubmitKeyed,
  kSubmitForwarded,
  kFinish,
  kCancel,
  kReplica,
  kNoReplica,
  kRestart,
  kClaim,
  kWakeReply,
  kRemoteNodes,
  kTime,
  kCount,
};

struct Step {
  StepKind kind = StepKind::kTime;
  // Selects among the objects to which the step applies.
  std::uint32_t choice = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step) {
  return stream << static_cast<int>(step.kind) << ":" << step.choice;
}

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind,
                   rc::gen::map(rc::gen::inRange(0, static_cast<int>(StepKind::kCount)),
                                [](int kind) { return StepKind(kind); })),
      rc::gen::set(&Step::choice));
}

// State of a request as seen by its caller.
struct Caller {
  RouteRequest request;
  // True while a dispatch or a forward has no outcome.
  bool attempt_open = false;
  bool dispatched_here = false;
  bool forwarded = false;
  bool may_have_run = false;
  bool cancelled = false;
  int ends = 0;
};

class RandomRun {
 public:
  RandomRun() {
    ModelRow row = *harness_.store.FindRow(kModel);
    row.max_queue = 6;
    harness_.PutRow(row);
  }

  void Apply(const Step& step) {
    switch (step.kind) {
      case StepKind::kSubmit:
      case StepKind::kSubmitKeyed:
      case StepKind::kSubmitForwarded:
        Submit(step);
        break;
      case StepKind::kFinish:
        Finish(step.choice);
        break;
      case StepKind::kCancel:
        Cancel(step.choice);
        break;
      case StepKind::kReplica:
      case StepKind::kNoReplica:
      case StepKind::kRestart:
        ChangeWorker(step);
        break;
      case StepKind::kClaim:
        AnswerClaim(step.choice);
        break;
      case StepKind::kWakeReply:
        AnswerWake(step.choice);
        break;
      case StepKind::kRemoteNodes:
        ChangeSites(step.choice);
        break;
      case StepKind::kTime:
      case StepKind::kCount:
        harness_.Tick(absl::Milliseconds(step.choice % 400));
        CheckDeadlines();
        break;
    }
    TakeDecisions();
    CheckCounts();
  }

  // Ends every attempt and lets all deadlines pass; afterwards no request may be left.
  void Drain() {
    for (int round = 0; round < 3; ++round) {
      for (auto& [name, caller] : callers_) {
        if (caller.attempt_open) {
          FinishAs(&caller, AttemptOutcome::kComplete);
        }
      }
      harness_.Tick(kRequestTimeout);
      TakeDecisions();
    }
    CheckCounts();
    for (const auto& [name, caller] : callers_) {
      RC_ASSERT(caller.ends == 1);
    }
    RC_ASSERT(harness_.router.active() == 0U);
    RC_ASSERT(harness_.router.waiting() == 0U);
    RC_ASSERT(harness_.router.reservations() == 0U);
  }

 private:
  void Submit(const Step& step) {
    const std::string name = "r" + std::to_string(callers_.size());
    Caller& caller = callers_[name];
    RouteRequest& request = caller.request;
    request =
        step.kind == StepKind::kSubmitKeyed ? harness_.MakeKeyed(name) : harness_.MakeRequest(name);
    request.forwarded = step.kind == StepKind::kSubmitForwarded;
    request.repeatable = request.key.empty() && step.choice % 3 != 0;
    request.priority = static_cast<int>(step.choice % 2);
    request.deadline = harness_.now + absl::Milliseconds(step.choice % 3000);
    harness_.Submit(request);
  }

  void Finish(std::uint32_t choice) {
    std::vector<Caller*> open;
    for (auto& [name, caller] : callers_) {
      if (caller.attempt_open) {
        open.push_back(&caller);
      }
    }
    if (open.empty()) {
      return;
    }
    constexpr std::uint32_t kOutcomes = 7;
    static_assert(static_cast<int>(AttemptOutcome::kCancelled) == kOutcomes - 1);
    FinishAs(open[choice / kOutcomes % open.size()], AttemptOutcome(choice % kOutcomes));
  }

  void FinishAs(Caller* caller, AttemptOutcome outcome) {
    const bool not_run =
        outcome == AttemptOutcome::kNotRun || outcome == AttemptOutcome::kNotLoaded;
    caller->attempt_open = false;
    caller->may_have_run = caller->may_have_run || !not_run;
    if (outcome == AttemptOutcome::kComplete || outcome == AttemptOutcome::kCancelled) {
      ++caller->ends;
    }
    harness_.Finish(caller->request.request.value(), outcome);
    TakeDecisions();
  }

  void Cancel(std::uint32_t choice) {
    if (!callers_.empty()) {
      Caller& caller = std::next(callers_.begin(), choice % callers_.size())->second;
      caller.cancelled = true;
      harness_.router.Cancel(caller.request.request);
    }
  }

  void ChangeWorker(const Step& step) {
    const WorkerId worker("w" + std::to_string(step.choice % 3));
    const bool leaving = step.choice % 5 == 0;
    std::optional<ReplicaState> state;
    if (step.kind == StepKind::kReplica) {
      state = ReplicaState::kReady;
    }
    if (step.kind == StepKind::kRestart) {
      ++incarnations_[worker];
    }
    harness_.PutWorker(worker, state, leaving, 1 + incarnations_[worker]);
  }

  void AnswerClaim(std::uint32_t choice) {
    for (const ClaimRequest& request : harness_.Take<ClaimRequest>()) {
      const ClaimOutcome outcome = ClaimOutcome(choice % 4);
      if (outcome == ClaimOutcome::kGranted) {
        granted_.insert(request.attempt);
      }
      harness_.claimant.HandleReply({request.key, request.attempt, outcome});
    }
  }

  void AnswerWake(std::uint32_t choice) {
    const WakeReply reply{kModel, WakeOutcome(choice % 3), WakeRefusal::kNoMemory, choice % 2000};
    harness_.router.OnWakeReply(reply, harness_.now);
  }

  void ChangeSites(std::uint32_t choice) {
    ModelRow row = *harness_.store.FindRow(kModel);
    row.weights = {{kLocalZone, choice % 3}, {kRemoteZone, choice % 2}};
    harness_.PutRow(row);
    harness_.router.SetRemoteNodes({});
    if (choice % 5 != 0) {
      harness_.router.SetRemoteNodes(
          {{NodeId("x"), kRemoteZone, "x:1"}, {NodeId("y"), kRemoteZone, "y:1"}});
    }
  }

  void TakeDecisions() {
    for (const RouteDecision& decision : harness_.router.TakeDecisions()) {
      Caller& caller = callers_.at(decision.request.value());
      RC_ASSERT(caller.ends == 0);
      RC_ASSERT(!caller.attempt_open);
      if (decision.action == RouteAction::kRefuse) {
        CheckRefusal(caller, decision.refusal);
        ++caller.ends;
      } else {
        CheckAttempt(caller, decision);
        caller.attempt_open = true;
      }
    }
  }

  static void CheckRefusal(const Caller& caller, const Refusal& refusal) {
    const RunState expected = caller.may_have_run ? RunState::kMayHaveRun : RunState::kNotRun;
    RC_ASSERT(refusal.attempt == expected);
  }

  void CheckAttempt(const Caller& caller, const RouteDecision& decision) const {
    RC_ASSERT(harness_.now < caller.request.deadline);
    RC_ASSERT(!caller.cancelled);
    RC_ASSERT(caller.request.repeatable || !caller.may_have_run);
    RC_ASSERT(!(caller.request.forwarded && decision.action == RouteAction::kForward));
    if (decision.action == RouteAction::kDispatch) {
      const KnownWorker* worker = harness_.directory.Find(decision.worker);
      RC_ASSERT(harness_.directory.MayReceiveWork(*worker, harness_.now));
      RC_ASSERT(worker->replicas.at(kModel).state == ReplicaState::kReady);
      if (!caller.request.key.empty()) {
        RC_ASSERT(IsGranted(caller.request.request));
      }
    }
  }

  // Claims are sent under a name built from the attempt and the node.
  bool IsGranted(const RequestId& request) const {
    const std::string prefix = request.value() + "@";
    const auto granted = granted_.lower_bound(RequestId(prefix));
    return granted != granted_.end() && granted->value().rfind(prefix, 0) == 0;
  }

  // Directly after a tick no overdue request is waiting.
  void CheckDeadlines() {
    TakeDecisions();
    for (const auto& [name, caller] : callers_) {
      const bool overdue = caller.request.deadline <= harness_.now;
      RC_ASSERT(!overdue || caller.attempt_open || caller.ends == 1);
    }
  }

  void CheckCounts() const {
    const RouterCounters& counters = harness_.router.counters();
    std::uint64_t ended = counters.completed + counters.cancelled;
    for (const auto& [code, count] : counters.refused) {
      ended += count;
    }
    std::size_t open_here = 0;
    std::uint64_t ends = 0;
    for (const auto& [name, caller] : callers_) {
      ends += caller.ends;
      open_here += caller.attempt_open ? 1 : 0;
    }
    RC_ASSERT(counters.submitted == callers_.size());
    RC_ASSERT(ended == ends);
    RC_ASSERT(ended + harness_.router.active() == counters.submitted);
    RC_ASSERT(open_here + harness_.router.waiting() <= harness_.router.active());
  }

  RouterHarness harness_;
  std::map<std::string, Caller> callers_;
  std::map<WorkerId, std::uint64_t> incarnations_;
  std::set<RequestId> granted_;
};

TEST_CASE("property: each request ends exactly once, by its deadline, with a correct run state") {
  constexpr std::size_t kRunsPerCase = 20;
  constexpr double kLongRuns = 4;
  CHECK(rc::check("one end", [] {
    const auto steps = rc::gen::scale(kLongRuns, rc::gen::container<std::vector<Step>>(AnyStep()));
    const auto runs = *rc::gen::container<std::vector<std::vector<Step>>>(kRunsPerCase, steps);
    for (const std::vector<Step>& run_steps : runs) {
      RandomRun run;
      for (const Step& step : run_steps) {
        run.Apply(step);
      }
      run.Drain();
    }
  }));
}

}  // namespace
}  // namespace hingespan
