// Forwarding of requests to other nodes.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/request_relay.h"

namespace hingespan::gateway {
namespace {

// Number of distinct workers that can't be reached before a request is forwarded.
constexpr std::size_t kUnreachableBeforeForward = 2;
// Number of peers that may decline a request; fewer while this node has a path to workers, as the
// wanted ones are then more likely to be gone for all nodes.
constexpr std::size_t kMaxPeersDeclined = 6;
constexpr std::size_t kMaxPeersDeclinedWithPath = 2;
// An attempt that has been silent for this long when the path is lost is taken elsewhere.
constexpr absl::Duration kMinSilence = absl::Milliseconds(400);

ForwardOutcome OutcomeOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return ForwardOutcome::kAnswered;
    case AttemptOutcome::kFull:
      return ForwardOutcome::kDeclined;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kUnreachable:
      return ForwardOutcome::kUnreachable;
    case AttemptOutcome::kCancelled:
      break;
  }
  return ForwardOutcome::kCancelled;
}

}  // namespace

bool RequestRelay::PrefersForward() const {
  return path_->lost() || unreachable_workers_.size() >= kUnreachableBeforeForward;
}

bool RequestRelay::MayForward() const {
  const std::size_t limit = path_->lost() ? kMaxPeersDeclined : kMaxPeersDeclinedWithPath;
  return !origin_.forwarded && declined_peers_.size() < limit;
}

bool RequestRelay::TryForward(absl::Time now) {
  const Peer* const peer = MayForward() ? context_->peers->Choose(declined_peers_, now) : nullptr;
  if (peer == nullptr) {
    return false;
  }
  if (!AcquireRepeat(now)) {
    return true;
  }
  BeginAttempt(peer->name, now);
  peer_ = peer->name;
  ++context_->metrics->forwards;
  context_->peers->OnStarted(peer_);
  AttemptFacts attempt;
  attempt.time_left = deadline_ - now;
  attempt.last_event_id = events_.last_event_id();
  RequestOrigin origin = origin_;
  origin.tried_workers = tried_workers_;
  origin.source = source_;
  SendAttempt(peer->address, attempt, OriginFields(origin));
  SetTimer(now);
  return true;
}

void RequestRelay::EndForward(AttemptOutcome outcome, absl::Time now) {
  context_->peers->OnEnded(peer_, OutcomeOf(outcome), now);
  if (outcome == AttemptOutcome::kFull || outcome == AttemptOutcome::kUnreachable) {
    declined_peers_.insert(peer_);
  } else if (outcome == AttemptOutcome::kFailed) {
    ++lost_forwards_;
  }
}

void RequestRelay::OnPeerVerdict(PeerVerdict verdict) {
  switch (verdict) {
    case PeerVerdict::kUnavailable:
      ++context_->metrics->forwards_declined;
      EndAttempt(AttemptOutcome::kFull);
      --arrivals_;
      BeginWaiting();
      return;
    case PeerVerdict::kRefused:
      EndAttempt(AttemptOutcome::kServed);
      --arrivals_;
      if (stream_started_ || may_have_run_) {
        GiveUp(502, "peer_refused");
        return;
      }
      RelayRefusal();
      return;
    case PeerVerdict::kFailed:
      EndAttempt(AttemptOutcome::kServed);
      may_have_run_ = true;
      GiveUp(answer_head_.status, "peer_failed");
      return;
  }
}

void RequestRelay::RelayRefusal() {
  context_->host->Dequeue(place_);
  HeaderFields fields;
  const std::string* const retry_after = FindField(answer_head_.fields, kRetryAfter);
  if (retry_after != nullptr) {
    fields.push_back({kRetryAfter, *retry_after});
  }
  ++context_->metrics->refusals["peer_refused"];
  exchange_->Answer(503, ReasonPhrase(503), fields, {});
  Finish(503, "peer_refused");
}

void RequestRelay::OnPathLost() {
  const absl::Time now = context_->loop->Now();
  const bool silent = now - std::max(last_progress_, attempt_started_) >= kMinSilence;
  // The workers may also be silent without a fault of the path. A stream that has begun is not put
  // at risk for that; it goes elsewhere once its worker has been silent for too long.
  if (state_ == State::kRunning && peer_.empty() && silent && !stream_started_ &&
      route_->MayRunAgain()) {
    EndAttempt(AttemptOutcome::kFailed);
    OnFailedAttempt("path_lost");
  }
}

}  // namespace hingespan::gateway
