// Claims on the keys of not-repeatable requests.
#include <algorithm>
#include <utility>

#include "hingespan/routing/request_router.h"

namespace hingespan {
namespace {

constexpr absl::Duration kUndecidedRetryAfter = absl::Seconds(1);
constexpr std::size_t kNoLimit = static_cast<std::size_t>(-1);

}  // namespace

void RequestRouter::HandleClaims(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  // Handling a decision can start claims that the local owner decides at once.
  std::vector<ClaimDecision> decisions = claimant_->TakeDecisions();
  while (!decisions.empty()) {
    for (const ClaimDecision& decision : decisions) {
      HandleClaim(decision, now, wall_time, outbox);
    }
    decisions = claimant_->TakeDecisions();
  }
  SendReleases(outbox);
}

void RequestRouter::HandleClaim(const ClaimDecision& decision, absl::Time now, absl::Time wall_time,
                                Outbox* outbox) {
  const auto abandoned = abandoned_claims_.extract(decision.attempt);
  if (!abandoned.empty()) {
    if (decision.verdict == ClaimVerdict::kGranted) {
      releases_.push_back({decision.attempt, abandoned.mapped()});
    }
    return;
  }
  if (claiming_.erase(decision.attempt) == 0) {
    return;
  }
  State& state = requests_.at(decision.attempt);
  const ModelName model = state.request.model;
  ReleaseReservation(&state);
  state.stage = Stage::kWaiting;
  if (decision.verdict != ClaimVerdict::kGranted) {
    RefuseUnclaimed(decision.attempt, decision.verdict);
  } else {
    state.claimed = true;
    StartClaimed(&state, now);
  }
  DispatchWaiting(model, now, wall_time, outbox);
}

void RequestRouter::StartClaimed(State* state, absl::Time now) {
  const RouteRequest& request = state->request;
  if (now >= request.deadline) {
    RefuseExpired(RequestId(request.request));
    return;
  }
  const auto row = store_->FindRow(request.model);
  const std::optional<WorkerId> worker =
      row == nullptr ? std::nullopt : ChooseWorker(*state, *row, now);
  if (worker.has_value()) {
    Dispatch(state, *worker, now);
    return;
  }
  // The replica became unavailable while the claim was pending.
  ModelState& model = models_[request.model];
  model.queue.Push(request.request, request.priority, request.deadline, kNoLimit);
  model.waiting_since = std::min(model.waiting_since, now);
}

void RequestRouter::RefuseUnclaimed(const RequestId& request, ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kAlreadyClaimed:
      Refuse(request, RefusalCode::kKeyAlreadyClaimed, absl::ZeroDuration(),
             "another attempt with this key was let through");
      break;
    case ClaimVerdict::kOutOfTime:
      Refuse(request, RefusalCode::kKeyOutOfTime, absl::ZeroDuration(),
             "the key is too old or issued in the future");
      break;
    case ClaimVerdict::kUndecided:
    case ClaimVerdict::kGranted:
      Refuse(request, RefusalCode::kKeyUndecided, kUndecidedRetryAfter,
             "nobody who may decide about this key can be reached");
      break;
  }
}

void RequestRouter::SendReleases(Outbox* outbox) {
  for (const HeldClaim& held : std::exchange(releases_, {})) {
    claimant_->Release(held.attempt, held.key, outbox);
  }
}

}  // namespace hingespan
