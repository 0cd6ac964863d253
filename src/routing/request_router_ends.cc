// Ends of attempts and requests: retries, deadlines, refusals.
#include <utility>

#include "absl/algorithm/container.h"
#include "hingespan/routing/request_router.h"
#include "retry_hints.h"

namespace hingespan {

void RequestRouter::OnWorkerOutcome(State* state, AttemptOutcome outcome, absl::Time now) {
  CircuitBreaker* breaker = loads_.FindBreaker(state->worker);
  switch (outcome) {
    case AttemptOutcome::kComplete:
      service_times_.Observe(state->request.model, now - state->dispatched_at, now);
      breaker->OnSuccess();
      break;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kFailedBeforeOutput:
    case AttemptOutcome::kFailedAfterOutput:
      breaker->OnFailure(now);
      state->failed_workers.push_back(state->worker);
      break;
    case AttemptOutcome::kNotLoaded:
      breaker->OnAbandoned();
      directory_->MarkNotLoaded(state->worker, state->request.model);
      break;
    case AttemptOutcome::kDeadlineExceeded:
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kRefusedElsewhere:
      breaker->OnAbandoned();
      break;
  }
}

// Retries a request whose latest attempt failed if that is safe, otherwise refuses it.
void RequestRouter::RetryOrRefuse(const RequestId& request, bool may_have_run, absl::Time now,
                                  absl::Time wall_time, Outbox* outbox) {
  State& state = requests_.at(request);
  if (state.cancelled) {
    Refuse(request, RefusalCode::kCancelled, kNoRetry, "the caller went away");
    return;
  }
  if (may_have_run && !MayRepeat(state)) {
    Refuse(request, RefusalCode::kEngineFailed, kNoRetry, "the request may have run");
    return;
  }
  if (now >= state.request.deadline) {
    Refuse(request, RefusalCode::kWaitExpired, kDefaultRetryAfter, "no time left for a retry");
    return;
  }
  if (!may_have_run && state.stage == Stage::kRunning &&
      !AnyWorkerAllowed(state.request.model, now)) {
    // No ready worker may be tried now, so the request waits like one that was never sent. The
    // failed dispatch does not count as an attempt.
    --state.attempts;
  }
  const bool attempts_exhausted = state.attempts >= options_.maximum_attempts;
  if (attempts_exhausted || (may_have_run && !retry_budget_.TryRetry())) {
    Refuse(request, RefusalCode::kEngineFailed, kDefaultRetryAfter, "no retry left");
    return;
  }
  ++counters_.retried;
  const auto row = store_->FindRow(state.request.model);
  if (state.stage == Stage::kForwarded || row == nullptr) {
    Route(request, now, wall_time, outbox);
  } else {
    Admit(request, *row, now, wall_time, outbox);
  }
}

bool RequestRouter::MayRepeat(const State& state) const {
  return state.request.repeatable || options_.disable_repeat_protection_for_test;
}

bool RequestRouter::AnyWorkerAllowed(const ModelName& model, absl::Time now) {
  return absl::c_any_of(directory_->ReadyWorkers(model, now), [this, now](const WorkerId& worker) {
    return loads_.BreakerOf(*directory_->Find(worker)).Allows(now);
  });
}

void RequestRouter::ExpireWaits(absl::Time now) {
  for (auto& [model, state] : models_) {
    ExpireQueue(&state.queue, now);
  }
  std::vector<RequestId> expired;
  for (const RequestId& request : claiming_) {
    if (requests_.at(request).request.deadline <= now) {
      expired.push_back(request);
    }
  }
  for (const RequestId& request : expired) {
    RefuseExpired(request);
  }
}

void RequestRouter::ExpireQueue(WaitingQueue* queue, absl::Time now) {
  for (const RequestId& request : queue->TakeExpired(now)) {
    RefuseExpired(request);
  }
}

void RequestRouter::RefuseExpired(const RequestId& request) {
  Refuse(request, RefusalCode::kWaitExpired, kDefaultRetryAfter,
         "the time limit ran out while waiting");
}

// Refuses the waiting requests of rows that were deleted or set to no replicas.
void RequestRouter::RefuseUnservableModels() {
  for (const auto& [model, state] : models_) {
    const auto row = store_->FindRow(model);
    if (row == nullptr) {
      RefuseWaiting(model, RefusalCode::kUnknownModel, kNoRetry, "the row was deleted");
    } else if (row->max_replicas == 0) {
      RefuseWaiting(model, RefusalCode::kNoCapacity, kEditRetryAfter, "the row allows no replica");
    }
  }
}

void RequestRouter::RefuseWaiting(const ModelName& model, RefusalCode code,
                                  absl::Duration retry_after, const std::string& detail) {
  const auto found = models_.find(model);
  if (found == models_.end()) {
    return;
  }
  for (const RequestId& request : found->second.queue.Requests()) {
    Refuse(request, code, retry_after, detail);
  }
}

void RequestRouter::Refuse(const RequestId& request, RefusalCode code, absl::Duration retry_after,
                           std::string detail) {
  const State& state = requests_.at(request);
  const bool holds_unused_claim = state.claimed && !state.may_have_run;
  RouteDecision decision;
  decision.request = request;
  decision.refusal.code = code;
  decision.refusal.retry_after = retry_after;
  decision.refusal.detail = std::move(detail);
  if (state.may_have_run) {
    decision.refusal.attempt = RunState::kMayHaveRun;
    decision.refusal.key = RunState::kMayHaveRun;
    if (!state.request.repeatable) {
      decision.refusal.retry_after = kNoRetry;
    }
  }
  // Other attempts with the key may have run, unless this attempt holds the claim.
  if (!state.request.key.empty() && !holds_unused_claim) {
    decision.refusal.key = RunState::kMayHaveRun;
  }
  ++counters_.refused[code];
  decisions_.push_back(std::move(decision));
  End(request);
}

void RequestRouter::RefuseUnadmitted(const RouteRequest& request, RefusalCode code,
                                     absl::Duration retry_after, std::string detail) {
  State state;
  state.request = request;
  requests_.emplace(request.request, std::move(state));
  Refuse(request.request, code, retry_after, std::move(detail));
}

void RequestRouter::End(const RequestId& request) {
  const auto found = requests_.find(request);
  State& state = found->second;
  const IdempotencyKey& key = state.request.key;
  ReleaseReservation(&state);
  if (state.stage == Stage::kWaiting) {
    const auto model = models_.find(state.request.model);
    if (model != models_.end()) {
      model->second.queue.Remove(request);
      if (model->second.queue.empty()) {
        model->second.waiting_since = absl::InfiniteFuture();
      }
    }
  }
  if (claiming_.erase(request) > 0) {
    abandoned_claims_.insert_or_assign(request, key);
  }
  if (state.claimed && !state.may_have_run) {
    releases_.push_back({request, key});
  }
  requests_.erase(found);
}

}  // namespace hingespan
