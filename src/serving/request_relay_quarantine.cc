// Requests that may crash workers, by their prompts or by themselves.
#include "hingespan/fleet/quarantine_exchange.h"
#include "hingespan/serving/request_relay.h"

namespace hingespan::gateway {
namespace {

// A worker that crashes on a prompt does so as it begins the answer; one that is still writing
// after this time has not.
constexpr absl::Duration kAnswerSurvives = absl::Milliseconds(100);

}  // namespace

bool RequestRelay::RefuseIfQuarantined() {
  if (shared_parts_.empty()) {
    return false;
  }
  const QuarantineVerdict verdict = context_->quarantine->Admit(service_, shared_parts_);
  is_trial_ = verdict.kind == QuarantineVerdict::Kind::kTrial;
  if (verdict.kind != QuarantineVerdict::Kind::kRefused) {
    return false;
  }
  quarantine_retry_after_ = verdict.retry_after;
  Refuse(kQuarantined);
  return true;
}

bool RequestRelay::IsQuarantined() {
  if (is_trial_ || shared_parts_.empty()) {
    return false;
  }
  const auto retry_after = context_->quarantine->RetryAfter(service_, shared_parts_);
  quarantine_retry_after_ = retry_after.value_or(absl::ZeroDuration());
  return retry_after.has_value();
}

void RequestRelay::OnQuarantine() {
  if (answer_started_ || stream_started_ || state_ == State::kEnded || !IsQuarantined()) {
    return;
  }
  if (state_ == State::kRunning) {
    may_have_run_ = true;
    EndAttempt(AttemptOutcome::kCancelled);
  }
  GiveUp(502, kQuarantined);
}

bool RequestRelay::HasEndedWorkers() const {
  return context_->quarantine->RefusedFor(content_) > absl::ZeroDuration();
}

void RequestRelay::NoteInterrupted() {
  // Callers don't repeat what may run only once. A path that counts as lost excuses nothing: it
  // also does when the workers themselves have ended.
  if (peer_.empty() && route_->MayRunAgain()) {
    context_->quarantine->OnRequestInterrupted(content_, worker_id_, worker_address_);
  }
}

void RequestRelay::NoteAnswerGoesOn(absl::Time now) {
  if (now - answer_started_at_ >= kAnswerSurvives) {
    NoteAnswerSurvived();
  }
}

void RequestRelay::NoteAnswerSurvived() {
  if (!answer_survived_) {
    answer_survived_ = true;
    context_->quarantine->RecordAnswered(service_, shared_parts_);
  }
}

void RequestRelay::NoteConnectionEnded() {
  if (peer_.empty() && !answer_survived_) {
    context_->host->OnAttemptBroken(worker_id_, service_);
  }
}

}  // namespace hingespan::gateway
