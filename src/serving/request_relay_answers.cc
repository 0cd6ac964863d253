// Handling of workers' answers, and the end of a request.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "hingespan/fleet/quarantine_exchange.h"
#include "hingespan/fleet/slot_exchange.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/request_relay.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kDefaultRetryAfter = absl::Milliseconds(200);
// Margin after which a replica is certain to be usable once it was expected to be ready.
constexpr absl::Duration kReadyMargin = absl::Milliseconds(150);
// Reading from the worker pauses while more bytes than this wait for a slow caller.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;
// Time for which a replica counts as absent after its worker reported that it doesn't hold it.
constexpr absl::Duration kDeniedReplicaLifetime = absl::Milliseconds(700);

// Returns how the end of an answer's body is marked, for the log.
absl::string_view FramingName(const AnswerHead& head) {
  if (head.status == 0) {
    return "none";
  }
  if (head.ends_with_connection) {
    return "connection";
  }
  return head.body_length.has_value() ? "length" : "chunks";
}

std::string Milliseconds(absl::Duration duration) {
  return absl::StrCat(absl::ToInt64Milliseconds(duration));
}

}  // namespace

bool RequestRelay::OnHead(const AnswerHead& head) {
  NoteRead(context_->loop->Now());
  context_->host->OnHeard(service_, recipient_);
  if (peer_.empty()) {
    path_->OnBytes(context_->loop->Now());
  } else {
    verdict_ = ReadVerdict(head);
  }
  if (verdict_.has_value()) {
    answer_head_ = head;
    return true;
  }
  answer_facts_ = context_->dialect->ReadAnswer(head, worker_id_);
  if (peer_.empty() && answer_facts_.survived_rejections.has_value()) {
    context_->slots->OnBrittleAnswer({service_, *answer_facts_.survived_rejections});
  }
  const bool same_id = answer_facts_.id == facts_.id;
  const bool refusal_without_id = answer_facts_.id.empty() && answer_facts_.not_executed;
  if (!same_id && !refusal_without_id) {
    return false;  // This is the answer to another request.
  }
  if (refusal_without_id && upstream_ != nullptr) {
    // A second copy of it could not be told from the next request's answer.
    upstream_->CloseWhenComplete();
  }
  const bool success = head.status / 100 == 2;
  if (success && (!answer_facts_.is_signed || answer_facts_.is_encoded)) {
    return false;
  }
  answer_head_ = head;
  if (!peer_.empty()) {
    attempt_source_ = ReadSource(head.fields);
    RemoveSource(&answer_head_.fields);
  }
  if (success && source_.has_value() && attempt_source_ != source_) {
    return false;  // The peer's worker can't go on with the stream.
  }
  forwarding_events_ = success && route_->kind == RouteKind::kStreaming;
  return true;
}

void RequestRelay::OnBody(absl::string_view piece) {
  const absl::Time now = context_->loop->Now();
  last_progress_ = now;
  context_->host->OnHeard(service_, recipient_);
  if (peer_.empty()) {
    path_->OnBytes(now);
  }
  const bool fits = forwarding_events_ ? ReserveAnswer(0) : ReserveAnswer(piece.size());
  if (fits && forwarding_events_) {
    ForwardEvents(events_.Feed(piece));
  } else if (fits) {
    answer_body_.append(piece.data(), piece.size());
  }
  if (state_ == State::kRunning && (!fits || events_.EventTooLarge())) {
    const std::shared_ptr<RequestRelay> self = shared_from_this();
    EndAttempt(AttemptOutcome::kFailed);
    OnFailedAttempt("without_end");
  }
}

bool RequestRelay::ReserveAnswer(std::size_t more) {
  std::size_t capacity = answer_body_.capacity();
  if (answer_body_.size() + more > capacity) {
    capacity = std::max(2 * capacity, answer_body_.size() + more);
  }
  return answer_memory_.Resize(capacity + events_.held_bytes());
}

void RequestRelay::DropAnswer() {
  // An assignment would keep the memory.
  std::string().swap(answer_body_);
  events_.DropRest();
  ReserveAnswer(0);
}

void RequestRelay::ForwardEvents(const std::string& events) {
  if (events.empty()) {
    return;
  }
  const absl::Time now = context_->loop->Now();
  if (!answer_started_) {
    NoteAnswerStarted(now);
    SetTimer(now);
  }
  NoteAnswerGoesOn(now);
  if (!stream_started_) {
    first_byte_at_ = now;
    context_->metrics->first_byte.Record(now - arrived_);
    RecordSource();
    StartStream();
  }
  last_event_at_ = now;
  exchange_->WriteChunk(events);
  if (upstream_ != nullptr && exchange_->pending_bytes() > kMaxPendingBytes) {
    reading_paused_ = true;
    upstream_->PauseReading();
  }
}

void RequestRelay::StartStream() {
  stream_started_ = true;
  HeaderFields fields = context_->dialect->CallerFields(answer_head_);
  if (origin_.forwarded && attempt_source_.has_value()) {
    const HeaderFields source = SourceFields(*attempt_source_);
    fields.insert(fields.end(), source.begin(), source.end());
  }
  exchange_->StartChunked(answer_head_.status, answer_head_.reason, fields);
}

void RequestRelay::OnEnd(ExchangeResult result) {
  const std::shared_ptr<RequestRelay> self = shared_from_this();
  if (state_ != State::kRunning) {
    return;
  }
  switch (result) {
    case ExchangeResult::kComplete:
      OnWholeAnswer();
      return;
    case ExchangeResult::kNotSent:
      context_->budget->unread()->OnNotSent(sent_attempts_.back());
      OnNotSent();
      return;
    case ExchangeResult::kBroken:
      NoteRead(context_->loop->Now());
      if (peer_.empty() && answer_head_.status == 0) {
        path_->OnUnreachable(worker_id_);
        context_->host->OnPathEvent(service_);
      }
      NoteConnectionEnded();
      NoteInterrupted();
      EndAttempt(AttemptOutcome::kFailed);
      OnFailedAttempt("broken_off");
      return;
    case ExchangeResult::kMalformed:
      NoteInterrupted();
      EndAttempt(AttemptOutcome::kFailed);
      OnFailedAttempt("malformed");
      return;
  }
}

void RequestRelay::OnNotSent() {
  const absl::Time now = context_->loop->Now();
  context_->log->Write(LogLevel::kInfo, "attempt_not_sent",
                       {{"request", facts_.id},
                        {"worker", peer_.empty() ? worker_id_ : std::string()},
                        {"peer", peer_},
                        {"after_ms", Milliseconds(now - attempt_started_)}});
  const bool at_peer = !peer_.empty();
  EndAttempt(AttemptOutcome::kUnreachable);
  // Nothing arrived anywhere, so the attempt counts neither in the retry budget nor towards the
  // route's limit of attempts.
  --arrivals_;
  if (!at_peer) {
    tried_workers_.erase(worker_id_);
    unreachable_workers_.insert(worker_id_);
    path_->OnUnreachable(worker_id_);
    context_->host->OnPathEvent(service_);
  }
  last_failure_ = kUnreachable;
  BeginWaiting();
}

void RequestRelay::NoteAnswerStarted(absl::Time now) {
  answer_started_ = true;
  answer_started_at_ = now;
  if (peer_.empty()) {
    context_->workers->AnswerStarted(worker_id_, facts_.prompt_tokens, now - attempt_started_, now);
    if (!slot_of_.empty()) {
      context_->slots->OnAnswerStarted(worker_id_);
    }
  }
}

void RequestRelay::OnWholeAnswer() {
  if (verdict_.has_value()) {
    OnPeerVerdict(*verdict_);
    return;
  }
  if (answer_facts_.not_executed) {
    OnNotExecuted();
    return;
  }
  const absl::Time now = context_->loop->Now();
  if (forwarding_events_) {
    if (EndsInsideStream()) {
      NoteConnectionEnded();
      NoteInterrupted();
      EndAttempt(AttemptOutcome::kFailed);
      OnFailedAttempt("ends_inside_stream");
      return;
    }
    ForwardEvents(events_.TakeRest());
    if (answer_head_.ends_with_connection) {
      NoteConnectionEnded();  // A crash ends such an answer as well.
    } else {
      NoteAnswerSurvived();
    }
    EndAttempt(AttemptOutcome::kServed);
    if (!stream_started_) {
      StartStream();
    }
    exchange_->FinishChunked();
    Finish(answer_head_.status, "served");
    return;
  }
  if (!answer_started_) {
    NoteAnswerStarted(now);
  }
  const bool failed = answer_head_.status >= 500;
  // A worker's failure says nothing about the peer that passed it on.
  EndAttempt(failed && peer_.empty() ? AttemptOutcome::kFailed : AttemptOutcome::kServed);
  if (stream_started_) {
    OnFailedAttempt("refused_to_resume");
    return;
  }
  // A peer has repeated the request itself where it could.
  if (failed && peer_.empty() && route_->MayRunAgain() && MayTryAnotherOrRecordDenial(now)) {
    OnFailedAttempt(absl::StrCat("status_", answer_head_.status));
    return;
  }
  SendWholeAnswer();
}

bool RequestRelay::EndsInsideStream() const {
  return events_.InsideEvent() || (answer_head_.ends_with_connection && !answer_started_);
}

void RequestRelay::SendWholeAnswer() {
  context_->metrics->first_byte.Record(context_->loop->Now() - arrived_);
  exchange_->Answer(answer_head_.status, answer_head_.reason,
                    context_->dialect->CallerFields(answer_head_), answer_body_);
  Finish(answer_head_.status, answer_head_.status < 400 ? "served" : "worker_failure");
}

void RequestRelay::LogRejection() {
  ++context_->metrics->worker_rejections;
  const WorkerState* const worker = context_->workers->Find(worker_id_);
  if (worker == nullptr) {
    return;
  }
  context_->log->Write(LogLevel::kInfo, "worker_rejected",
                       {{"request", facts_.id},
                        {"worker", worker_id_},
                        {"attempt", absl::StrCat(attempts_)},
                        {"running", absl::StrCat(worker->running)},
                        {"peers_running", absl::StrCat(worker->peers_running)},
                        {"slots", absl::StrCat(worker->record.slots)}});
}

void RequestRelay::OnNotExecuted() {
  const absl::Time now = context_->loop->Now();
  const bool misdirected = answer_facts_.misdirected;
  if (!misdirected && peer_.empty()) {
    LogRejection();
  }
  EndAttempt(AttemptOutcome::kFull);
  if (answer_facts_.from_other_worker) {
    context_->workers->MarkEnded(worker_id_);
  } else if (misdirected && !model_.model.empty()) {
    context_->workers->NoteReplica(worker_id_, model_, false, now + kDeniedReplicaLifetime);
  }
  last_failure_ = misdirected ? "misdirected" : "worker_full";
  if (stream_started_ || may_have_run_ || MayTryAnotherOrRecordDenial(now)) {
    OnFailedAttempt(last_failure_);
    return;
  }
  Refuse(last_failure_);
}

void RequestRelay::OnFailedAttempt(absl::string_view how) {
  const absl::Time now = context_->loop->Now();
  last_failure_ = std::string(how);
  DropAnswer();  // The request may wait for another worker for long.
  const bool not_executed =
      answer_facts_.not_executed && (how == "worker_full" || how == "misdirected");
  answer_facts_ = {};
  if (!not_executed) {
    may_have_run_ = true;
  }
  context_->log->Write(LogLevel::kInfo, "attempt_failed",
                       {{"request", facts_.id},
                        {"worker", worker_id_},
                        {"software_version", SoftwareVersionOf(worker_id_)},
                        {"peer", peer_},
                        {"how", last_failure_},
                        {"framing", std::string(FramingName(answer_head_))},
                        {"attempt", absl::StrCat(attempts_)},
                        {"after_ms", Milliseconds(now - attempt_started_)}});
  const bool may_repeat = (!may_have_run_ || route_->MayRunAgain()) && MayRepeat();
  if (may_repeat && MayTryAnotherOrRecordDenial(now)) {
    if (stream_started_) {
      ++context_->metrics->streams_resumed;
    }
    BeginWaiting();
    return;
  }
  GiveUp(502, last_failure_);
}

void RequestRelay::GiveUp(int unknown_status, absl::string_view why) {
  if (stream_started_) {
    // The head of the answer was already sent, so no other answer may follow.
    AbortStream(why);
  } else if (may_have_run_) {
    FailUnknown(unknown_status, why);
  } else {
    Refuse(why);
  }
}

void RequestRelay::Refuse(absl::string_view why) {
  context_->host->Dequeue(place_);
  const absl::Time now = context_->loop->Now();
  absl::Duration retry_after = kDefaultRetryAfter;
  const absl::Time expected = context_->host->ExpectedReady(model_, software_version());
  if (why == kQuarantined) {
    retry_after = quarantine_retry_after_;
  } else if (why == kEndsWorkers) {
    retry_after = context_->quarantine->RefusedFor(content_);
  } else if (expected != absl::InfiniteFuture()) {
    retry_after = std::max(retry_after, expected - now + kReadyMargin);
    context_->host->ExpectReturn(service_, model_, software_version(), now + retry_after);
  }
  ++context_->metrics->refusals[std::string(why)];
  HeaderFields fields;
  // A caller whose stream can't go on would return in vain.
  if (why != kUnknownStream && why != kVersionAbsent && why != kOtherService) {
    fields.push_back({kRetryAfter, absl::StrFormat("%.2f", absl::ToDoubleSeconds(retry_after))});
  }
  if (origin_.forwarded) {
    const bool elsewhere = why == kUnreachable && arrivals_ == 0;
    fields.push_back(VerdictField(elsewhere ? PeerVerdict::kUnavailable : PeerVerdict::kRefused));
  }
  exchange_->Answer(503, ReasonPhrase(503), fields, {});
  Finish(503, why);
}

void RequestRelay::FailUnknown(int status, absl::string_view why) {
  context_->quarantine->OnRequestFailed(content_);
  context_->host->Dequeue(place_);
  HeaderFields fields;
  if (origin_.forwarded) {
    fields.push_back(VerdictField(PeerVerdict::kFailed));
  }
  exchange_->Answer(status, ReasonPhrase(status), fields, {});
  Finish(status, why);
}

void RequestRelay::AbortStream(absl::string_view why) {
  context_->quarantine->OnRequestFailed(content_);
  context_->host->Dequeue(place_);
  ++context_->metrics->streams_broken;
  exchange_->Abort();
  Finish(0, why);
}

void RequestRelay::OnCallerGone() {
  if (state_ == State::kEnded) {
    return;
  }
  ++context_->metrics->callers_gone;
  context_->host->Dequeue(place_);
  if (state_ == State::kRunning) {
    EndAttempt(AttemptOutcome::kCancelled);
  }
  Finish(0, "caller_gone");
}

std::string RequestRelay::SoftwareVersionOf(const std::string& worker_id) const {
  const WorkerState* const worker = context_->workers->Find(worker_id);
  return worker == nullptr ? std::string() : worker->record.software_version;
}

void RequestRelay::Finish(int status, absl::string_view why) {
  const std::shared_ptr<RequestRelay> self = shared_from_this();
  context_->host->OnRequestEnded(place_.number);
  state_ = State::kEnded;
  timer_->Cancel();
  const absl::Time now = context_->loop->Now();
  if (status / 100 == 2) {
    context_->quarantine->RecordServed(content_);
  }
  ++context_->metrics->requests_by_status[status];
  context_->metrics->whole_request.Record(now - arrived_);
  const WorkerState* const worker = context_->workers->Find(worker_id_);
  context_->log->Write(
      LogLevel::kInfo, "request",
      {{"request", facts_.id},
       {"route", route_->name},
       {"service", service_},
       {"model",
        model_.adapter.empty() ? model_.model : absl::StrCat(model_.model, "/", model_.adapter)},
       {"status", absl::StrCat(status)},
       {"outcome", std::string(why)},
       {"attempts", absl::StrCat(attempts_)},
       {"worker", worker_id_},
       {"software_version", SoftwareVersionOf(worker_id_)},
       {"resumes", facts_.resumed_id},
       {"last_event", facts_.last_event_id},
       {"stream_version", software_version()},
       {"peer", peer_},
       {"framing", std::string(FramingName(answer_head_))},
       {"worker_row", absl::StrCat(worker == nullptr ? 0 : worker->row_version)},
       {"configuration", absl::StrCat(routes_->configuration().version)},
       {"sent_after_ms",
        attempts_ == 0 ? std::string("never") : Milliseconds(attempt_started_ - arrived_)},
       {"first_byte_ms",
        stream_started_ ? Milliseconds(first_byte_at_ - arrived_) : std::string("-")},
       {"total_ms", Milliseconds(now - arrived_)}});
}

}  // namespace hingespan::gateway
