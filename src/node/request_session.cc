#include "hingespan/node/request_session.h"

#include <memory>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"
#include "hingespan/common/log.h"

namespace hingespan {
namespace {

// Extra wait for the router, which decides at its next tick after the deadline at the latest.
constexpr absl::Duration kDecisionGrace = absl::Milliseconds(200);

std::string KindName(CallKind kind) { return kind == CallKind::kChat ? "chat" : "completion"; }

}  // namespace

RouteRequest RequestSession::MakeRouteRequest() const {
  RouteRequest route;
  route.request = request_.id;
  route.model = request_.caller.model;
  route.priority = request_.caller.priority;
  route.repeatable = request_.caller.repeatable;
  route.key = request_.caller.key;
  route.deadline = request_.deadline;
  route.prefix_hash = request_.caller.prefix_hash;
  route.forwarded = request_.forwarded;
  return route;
}

AnswerIdentity RequestSession::IdentityOf(const RequestId& attempt) const {
  AnswerIdentity identity;
  identity.kind = request_.caller.kind;
  identity.request = attempt;
  identity.model = request_.caller.model;
  identity.created = absl::ToUnixSeconds(SystemClock().WallTime());
  identity.include_usage = request_.caller.include_usage;
  return identity;
}

void RequestSession::Run() {
  const std::shared_ptr<PendingRequest> pending = parts_.driver->Submit(MakeRouteRequest());
  const absl::Cleanup forget = [this] { parts_.driver->Forget(request_.id); };
  bool decided = false;
  while (true) {
    const auto gone = [this] { return answer_->caller_gone(); };
    // A stream that was interrupted after the deadline still gets its final decision.
    const absl::Time now = SystemClock().Now();
    const absl::Time until = std::max(request_.deadline, now) + kDecisionGrace;
    const std::optional<RouteDecision> decision = pending->Wait(until, gone);
    if (!decision.has_value()) {
      GiveUp(pending.get());
      return;
    }
    if (!decided) {
      decided = true;
      parts_.metrics->ObserveWait(SystemClock().Now() - request_.arrival);
    }
    const std::optional<AttemptOutcome> outcome = Execute(*decision);
    if (!outcome.has_value()) {
      return;
    }
    parts_.driver->Finish(request_.id, *outcome);
    if (*outcome == AttemptOutcome::kComplete) {
      End("complete");
      return;
    }
    if (*outcome == AttemptOutcome::kRefusedElsewhere) {
      RelayRemoteRefusal();
      return;
    }
    may_have_run_ = may_have_run_ || *outcome == AttemptOutcome::kFailedBeforeOutput;
    if (*outcome == AttemptOutcome::kCancelled) {
      End("caller_gone");
      return;
    }
  }
}

std::optional<AttemptOutcome> RequestSession::Execute(const RouteDecision& decision) {
  switch (decision.action) {
    case RouteAction::kDispatch:
      return RunOnEngine(decision);
    case RouteAction::kForward:
      return Forward(decision);
    case RouteAction::kRefuse:
      break;
  }
  Refuse(decision.refusal);
  return std::nullopt;
}

AttemptOutcome RequestSession::RunOnEngine(const RouteDecision& decision) {
  ++attempts_;
  GenerationRequest generation;
  generation.request = request_.id;
  if (attempts_ > 1) {
    // The engine may still know an earlier attempt under the same id.
    generation.request = RequestId(absl::StrCat(request_.id.value(), "~", attempts_));
  }
  generation.model = request_.caller.model;
  generation.kind = KindName(request_.caller.kind);
  generation.body = request_.caller.body;
  generation.priority = request_.caller.priority;
  generation.incarnation = decision.incarnation;
  generation.before_wait = [this] { answer_->Flush(); };
  generation.cancelled = [this] { return answer_->caller_gone(); };
  if (request_.caller.stream) {
    generation.idle_limit = request_.idle_limit;
  }
  answer_->BeginAttempt(IdentityOf(generation.request));
  std::uint64_t chunks = 0;
  const ChunkSink sink = [this, &chunks](const GenerationChunk& chunk) {
    ++chunks;
    const bool taken = answer_->AddChunk(chunk);
    if (!first_chunk_seen_) {
      first_chunk_seen_ = true;
      parts_.metrics->ObserveFirstToken(SystemClock().Now() - request_.arrival);
    }
    return taken;
  };
  const GenerationResult result =
      parts_.engines->Generate(decision.base_url, generation, request_.deadline, sink);
  parts_.metrics->CountTokens(chunks);
  if (result.outcome == GenerationOutcome::kComplete) {
    answer_->Complete();
  }
  return OutcomeOf(result);
}

AttemptOutcome RequestSession::OutcomeOf(const GenerationResult& result) const {
  switch (result.outcome) {
    case GenerationOutcome::kComplete:
      return AttemptOutcome::kComplete;
    case GenerationOutcome::kCancelled:
      return AttemptOutcome::kCancelled;
    case GenerationOutcome::kNotRun:
      return result.error == Error::kNotLoaded ? AttemptOutcome::kNotLoaded
                                               : AttemptOutcome::kNotRun;
    case GenerationOutcome::kMayHaveRun:
      break;
  }
  if (answer_->started()) {
    return AttemptOutcome::kFailedAfterOutput;
  }
  return result.error == Error::kTimeout ? AttemptOutcome::kDeadlineExceeded
                                         : AttemptOutcome::kFailedBeforeOutput;
}

AttemptOutcome RequestSession::Forward(const RouteDecision& decision) {
  ForwardedRequest forwarded;
  forwarded.address = decision.forward_address;
  forwarded.request = request_.id;
  forwarded.deadline = request_.deadline;
  answer_->BeginAttempt(IdentityOf(request_.id));
  ForwardResult result = parts_.forwarder->Forward(forwarded, request_.caller, answer_);
  if (result.outcome == AttemptOutcome::kComplete) {
    answer_->Complete();
  }
  remote_refusal_ = std::move(result.refusal);
  return result.outcome;
}

void RequestSession::GiveUp(PendingRequest* pending) {
  const bool gone = answer_->caller_gone();
  parts_.driver->Cancel(request_.id);
  // The router reports what is known of the attempt. Without its decision the request counts as
  // possibly run.
  Refusal refusal;
  refusal.attempt = RunState::kMayHaveRun;
  refusal.key = RunState::kMayHaveRun;
  const auto at_once = [] { return true; };
  const std::optional<RouteDecision> last = pending->Wait(SystemClock().Now(), at_once);
  if (last.has_value() && last->action == RouteAction::kRefuse) {
    refusal = last->refusal;
  } else if (last.has_value()) {
    // A decision arrived too late and was not executed.
    parts_.driver->Finish(request_.id, AttemptOutcome::kCancelled);
    refusal.attempt = attempts_ == 0 ? RunState::kNotRun : RunState::kMayHaveRun;
  }
  if (gone) {
    End("caller_gone");
    return;
  }
  refusal.code = RefusalCode::kWaitExpired;
  refusal.detail = "the time limit ran out while waiting";
  Refuse(refusal);
}

void RequestSession::RelayRemoteRefusal() {
  Refusal refusal = remote_refusal_;
  // The other node knows nothing of earlier attempts.
  if (may_have_run_) {
    refusal.attempt = RunState::kMayHaveRun;
    refusal.key = RunState::kMayHaveRun;
  }
  Refuse(refusal);
}

void RequestSession::Refuse(const Refusal& refusal) {
  answer_->Refuse(refusal);
  End(RefusalCodeName(refusal.code));
}

void RequestSession::End(std::string_view outcome) {
  parts_.metrics->CountRequest(outcome);
  const absl::Duration taken = SystemClock().Now() - request_.arrival;
  Log(LogLevel::kInfo, "request_end",
      {{"request", request_.id.value()},
       {"model", request_.caller.model.value()},
       {"outcome", std::string(outcome)},
       {"attempts", absl::StrCat(attempts_)},
       {"ms", absl::StrCat(absl::ToInt64Milliseconds(taken))}});
}

}  // namespace hingespan
