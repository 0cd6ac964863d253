#include "hingespan/serving/request_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "hingespan/serving/gateway_metrics.h"

namespace hingespan::gateway {
namespace {

// Of a caller that doesn't say how long it waits.
constexpr absl::Duration kDefaultDeadline = absl::Seconds(30);
// Part of a request's time for which it is held without a prospect; later refusals cost the caller
// the chance to be served elsewhere.
constexpr double kHeldPart = 0.47;
// What a request must have left when it is sent, so that an answer can still be in time.
constexpr absl::Duration kLeastTimeForStream = absl::Milliseconds(900);
constexpr absl::Duration kLeastTimeForPlain = absl::Milliseconds(50);
// A worker that is silent for this part of the time left is given up where that is allowed.
constexpr double kSilentPart = 0.4;
constexpr absl::Duration kLeastSilence = absl::Milliseconds(300);
constexpr absl::Duration kLeastStreamSilence = absl::Milliseconds(1300);
constexpr absl::Duration kStallCheck = absl::Milliseconds(250);
constexpr absl::Duration kStreamGapLimit = absl::Milliseconds(1200);
// The answer goes out this much before the deadline.
constexpr absl::Duration kDeadlineMargin = absl::Milliseconds(10);
// Callers give a stream without an event up after this, or a multiple of the route's targets.
constexpr absl::Duration kLeastPatience = absl::Seconds(2);
constexpr absl::Duration kDefaultRetryAfter = absl::Milliseconds(200);
// A replica is certainly usable this much after it was expected.
constexpr absl::Duration kAfterExpected = absl::Milliseconds(150);
// Bytes that may wait for a slow caller before the worker is not read any more.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;
// A request that still waits this long before its node ends is refused, so that another node may
// try.
constexpr absl::Duration kWaitBeforeStop = absl::Seconds(1);
// How long a replica that a worker denied is taken for absent.
constexpr absl::Duration kDeniedReplica = absl::Milliseconds(700);

std::string Milliseconds(absl::Duration duration) {
  return absl::StrCat(absl::ToInt64Milliseconds(duration));
}

absl::string_view ProblemName(ChoiceProblem problem) {
  switch (problem) {
    case ChoiceProblem::kNone:
      return "none";
    case ChoiceProblem::kNoWorkers:
      return "no_workers";
    case ChoiceProblem::kModelAbsent:
      return "model_absent";
    case ChoiceProblem::kAdapterAbsent:
      return "adapter_absent";
    case ChoiceProblem::kAllBusy:
      return "all_busy";
  }
  return "none";
}

}  // namespace

RequestRelay::RequestRelay(const RelayContext* context, std::shared_ptr<ServerExchange> exchange,
                           RequestFacts facts, std::shared_ptr<const RouteTable> routes,
                           const Route* route, std::uint64_t number)
    : context_(context),
      exchange_(std::move(exchange)),
      facts_(std::move(facts)),
      routes_(std::move(routes)),
      route_(route),
      service_(ChooseService(*route, facts_.id)),
      model_{facts_.model, facts_.adapter},
      arrived_(exchange_->received()),
      timer_(context->loop->MakeTimer()) {
  const absl::Duration time = std::min(route->timeout, facts_.deadline.value_or(kDefaultDeadline));
  deadline_ = arrived_ + std::max(absl::ZeroDuration(), time - kDeadlineMargin);
  place_ = {route->priority, deadline_, number};
}

void RequestRelay::Start() {
  context_->host->Begun(shared_from_this());
  exchange_->OnCallerGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  exchange_->OnDrained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && self->upstream_ != nullptr &&
        self->exchange_->pending_bytes() < kMaxPendingBytes) {
      self->upstream_->ResumeReading();
    }
  });
  context_->budget->RecordRequest(service_, context_->loop->Now());
  BeginWaiting();
}

void RequestRelay::BeginWaiting() {
  state_ = State::kWaiting;
  context_->host->Enqueue(place_, shared_from_this());
  SetTimer(context_->loop->Now());
}

WorkerDemand RequestRelay::Demand() const {
  WorkerDemand demand;
  demand.service = service_;
  demand.model = model_;
  demand.prompt_parts = &facts_.prompt_parts;
  demand.prompt_tokens = facts_.prompt_tokens;
  demand.output_tokens = facts_.max_output_tokens;
  demand.excluded = &tried_;
  return demand;
}

bool RequestRelay::TryDispatch(absl::Time now) {
  if (state_ != State::kWaiting) {
    return true;
  }
  const WorkerDemand demand = Demand();
  const WorkerChoice choice = context_->workers->Choose(demand, routes_->configuration(), now);
  if (choice.worker == nullptr) {
    last_problem_ = choice.problem;
    // Only workers that were tried already are left: the request can't be helped by waiting long.
    return false;
  }
  if (attempts_ > 0 && !context_->budget->TryTake(service_, now)) {
    ++context_->metrics->repeats_denied;
    if (may_have_run_) {
      FailUnknown(502, "retry_budget");
    } else {
      Refuse("retry_budget");
    }
    return true;
  }
  Dispatch(choice.worker, demand, now);
  return true;
}

void RequestRelay::Dispatch(WorkerState* worker, const WorkerDemand& demand, absl::Time now) {
  context_->host->Dequeue(place_);
  state_ = State::kRunning;
  if (attempts_ == 0) {
    context_->metrics->queue_wait.Record(now - arrived_);
  } else {
    ++context_->metrics->repeats;
  }
  ++attempts_;
  ++context_->metrics->attempts;
  worker_id_ = worker->record.id;
  tried_.insert(worker_id_);
  attempt_started_ = now;
  last_progress_ = now;
  attempt_began_ = false;
  passing_events_ = false;
  answer_body_.clear();
  events_.DropRest();
  context_->workers->AttemptStarted(worker, demand, now);
  context_->host->RunningChanged(service_, model_, 1);
  AttemptFacts attempt;
  attempt.worker_id = worker_id_;
  attempt.time_left = deadline_ - now;
  attempt.priority = route_->priority;
  attempt.last_event_id = events_.last_event_id();
  const RequestHead& head = exchange_->head();
  std::string message = absl::StrCat(head.method, " ", head.target, " HTTP/1.1\r\n");
  for (const HeaderField& field : context_->dialect->AttemptFields(head, attempt)) {
    absl::StrAppend(&message, field.name, ": ", field.value, "\r\n");
  }
  const std::string& body = exchange_->body();
  if (!body.empty() || head.method == "POST" || head.method == "PUT") {
    absl::StrAppend(&message, "Content-Length: ", body.size(), "\r\n");
  }
  absl::StrAppend(&message, "\r\n", body);
  upstream_ = context_->client->Send(worker->record.address, std::move(message), this);
  SetTimer(now);
}

absl::Time RequestRelay::Deadline() const {
  return std::min(deadline_, context_->host->StopLimit());
}

absl::Time RequestRelay::WaitLimit() const {
  const bool stream = route_->kind == RouteKind::kStreaming;
  const absl::Time latest = deadline_ - std::min(stream ? kLeastTimeForStream : kLeastTimeForPlain,
                                                 (deadline_ - arrived_) * 0.25);
  absl::Time limit = arrived_ + (deadline_ - arrived_) * kHeldPart;
  const absl::Time patience = arrived_ + Patience();
  const absl::Time expected = context_->host->ExpectedReady(model_);
  if (last_problem_ == ChoiceProblem::kModelAbsent && expected != absl::InfiniteFuture()) {
    // The caller is told at once to come back when its model is there, unless it will wait for it.
    limit = expected < std::min(latest, patience) ? latest : arrived_;
  }
  limit = std::min(limit, patience - kDeadlineMargin);
  const absl::Time stop = context_->host->StopLimit();
  if (stop != absl::InfiniteFuture()) {
    limit = std::min(limit, stop - kWaitBeforeStop);
  }
  return std::min(limit, latest);
}

absl::Duration RequestRelay::Patience() const {
  if (route_->kind != RouteKind::kStreaming) {
    return absl::InfiniteDuration();
  }
  return std::max({kLeastPatience, 4 * route_->target_latency, 8 * route_->target_gap});
}

bool RequestRelay::MayTryAnother(absl::Time now) const {
  return static_cast<int>(tried_.size()) < route_->max_attempts &&
         context_->budget->Available(service_, now) >= 1.0 && now < deadline_;
}

bool RequestRelay::AnotherWorkerIsFree(absl::Time now) const {
  return context_->workers->Choose(Demand(), routes_->configuration(), now).worker != nullptr;
}

absl::Time RequestRelay::StallLimit() const {
  return std::max(FirstStallLimit(), stall_checked_ + kStallCheck);
}

absl::Time RequestRelay::FirstStallLimit() const {
  if (!route_->MayRunAgain() || !MayTryAnother(attempt_started_)) {
    return absl::InfiniteFuture();
  }
  if (route_->kind != RouteKind::kStreaming) {
    return attempt_started_ + std::max(kLeastSilence, (deadline_ - attempt_started_) * kSilentPart);
  }
  if (attempt_began_) {
    return last_progress_ + std::max(kStreamGapLimit, 4 * route_->target_gap);
  }
  return attempt_started_ + std::max(kLeastStreamSilence, 2 * route_->target_latency);
}

void RequestRelay::SetTimer(absl::Time now) {
  absl::Time due = Deadline();
  if (state_ == State::kWaiting) {
    due = std::min(due, WaitLimit());
  } else if (state_ == State::kRunning) {
    due = std::min(due, StallLimit());
  }
  timer_->Set(std::max(due, now), [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnTimer();
    }
  });
}

void RequestRelay::OnTimer() {
  const absl::Time now = context_->loop->Now();
  if (state_ == State::kWaiting) {
    if (now < WaitLimit() && now < Deadline()) {
      SetTimer(now);
      return;
    }
    if (stream_started_) {
      AbortStream("no_worker_to_resume");
    } else if (may_have_run_) {
      FailUnknown(now >= Deadline() ? 504 : 502, last_failure_);
    } else {
      Refuse(ProblemName(last_problem_));
    }
    return;
  }
  if (state_ != State::kRunning) {
    return;
  }
  if (now >= Deadline()) {
    EndAttempt(AttemptOutcome::kCancelled);
    if (stream_started_) {
      AbortStream("deadline");
    } else {
      FailUnknown(504, "deadline");
    }
    return;
  }
  if (now >= StallLimit() && !AnotherWorkerIsFree(now)) {
    // Silence alone is no reason to end an answer: it may still come.
    stall_checked_ = now;
    SetTimer(now);
    return;
  }
  if (now >= StallLimit()) {
    EndAttempt(AttemptOutcome::kFailed);
    OnFailedAttempt("silent");
    return;
  }
  SetTimer(now);
}

void RequestRelay::EndAttempt(AttemptOutcome outcome) {
  upstream_.reset();
  context_->workers->AttemptEnded(worker_id_, attempt_began_ ? 0 : facts_.prompt_tokens, outcome,
                                  context_->loop->Now());
  context_->host->RunningChanged(service_, model_, -1);
  context_->host->PumpSoon();
}

bool RequestRelay::OnHead(const AnswerHead& head) {
  answer_facts_ = context_->dialect->ReadAnswer(head, worker_id_);
  const bool own = answer_facts_.id == facts_.id;
  const bool unnamed_refusal = answer_facts_.id.empty() && answer_facts_.not_executed;
  if (!own && !unnamed_refusal) {
    return false;  // The answer to another request.
  }
  const bool success = head.status / 100 == 2;
  if (success && !answer_facts_.is_signed) {
    return false;
  }
  answer_head_ = head;
  passing_events_ = success && route_->kind == RouteKind::kStreaming;
  return true;
}

void RequestRelay::OnBody(absl::string_view piece) {
  const absl::Time now = context_->loop->Now();
  last_progress_ = now;
  if (!passing_events_) {
    answer_body_.append(piece.data(), piece.size());
    return;
  }
  ForwardEvents(events_.Feed(piece));
}

void RequestRelay::ForwardEvents(const std::string& events) {
  if (events.empty()) {
    return;
  }
  const absl::Time now = context_->loop->Now();
  if (!attempt_began_) {
    attempt_began_ = true;
    context_->workers->AttemptBegan(worker_id_, facts_.prompt_tokens, now - attempt_started_, now);
    SetTimer(now);
  }
  if (!stream_started_) {
    stream_started_ = true;
    first_byte_at_ = now;
    context_->metrics->first_byte.Record(now - arrived_);
    exchange_->StartChunked(answer_head_.status, answer_head_.reason,
                            context_->dialect->CallerFields(answer_head_));
  }
  exchange_->WriteChunk(events);
  if (upstream_ != nullptr && exchange_->pending_bytes() > kMaxPendingBytes) {
    upstream_->PauseReading();
  }
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
      EndAttempt(AttemptOutcome::kUnreachable);
      // The worker has not seen it: another one may, within the budget, without counting this one.
      tried_.erase(worker_id_);
      last_failure_ = "unreachable";
      BeginWaiting();
      return;
    case ExchangeResult::kBroken:
      EndAttempt(AttemptOutcome::kFailed);
      OnFailedAttempt("broken_off");
      return;
    case ExchangeResult::kMalformed:
      EndAttempt(AttemptOutcome::kFailed);
      OnFailedAttempt("malformed");
      return;
  }
}

void RequestRelay::OnWholeAnswer() {
  if (answer_facts_.not_executed) {
    OnNotExecuted();
    return;
  }
  const absl::Time now = context_->loop->Now();
  if (passing_events_) {
    ForwardEvents(events_.TakeRest());
    EndAttempt(AttemptOutcome::kServed);
    if (!stream_started_) {
      stream_started_ = true;
      exchange_->StartChunked(answer_head_.status, answer_head_.reason,
                              context_->dialect->CallerFields(answer_head_));
    }
    exchange_->FinishChunked();
    Finish(answer_head_.status, "served");
    return;
  }
  if (!attempt_began_) {
    attempt_began_ = true;
    context_->workers->AttemptBegan(worker_id_, facts_.prompt_tokens, now - attempt_started_, now);
  }
  const bool failed = answer_head_.status >= 500;
  EndAttempt(failed ? AttemptOutcome::kFailed : AttemptOutcome::kServed);
  if (stream_started_) {
    OnFailedAttempt("refused_to_resume");
    return;
  }
  if (failed && route_->MayRunAgain() && MayTryAnother(now)) {
    OnFailedAttempt(absl::StrCat("status_", answer_head_.status));
    return;
  }
  SendWholeAnswer();
}

void RequestRelay::SendWholeAnswer() {
  context_->metrics->first_byte.Record(context_->loop->Now() - arrived_);
  exchange_->Answer(answer_head_.status, answer_head_.reason,
                    context_->dialect->CallerFields(answer_head_), answer_body_);
  Finish(answer_head_.status, answer_head_.status < 400 ? "served" : "worker_failure");
}

void RequestRelay::OnNotExecuted() {
  const absl::Time now = context_->loop->Now();
  const bool misdirected = answer_facts_.misdirected;
  EndAttempt(AttemptOutcome::kFull);
  if (answer_facts_.from_other_worker) {
    context_->workers->MarkEnded(worker_id_);
  } else if (misdirected && !model_.model.empty()) {
    context_->workers->NoteReplica(worker_id_, model_, false, now + kDeniedReplica);
  }
  last_failure_ = misdirected ? "misdirected" : "worker_full";
  if (stream_started_ || may_have_run_ || MayTryAnother(now)) {
    OnFailedAttempt(last_failure_);
    return;
  }
  Refuse(last_failure_);
}

void RequestRelay::OnFailedAttempt(absl::string_view how) {
  const absl::Time now = context_->loop->Now();
  last_failure_ = std::string(how);
  const bool not_executed =
      answer_facts_.not_executed && (how == "worker_full" || how == "misdirected");
  answer_facts_ = {};
  if (!not_executed) {
    may_have_run_ = true;
  }
  context_->log->Write(LogLevel::kInfo, "attempt_failed",
                       {{"request", facts_.id},
                        {"worker", worker_id_},
                        {"how", last_failure_},
                        {"attempt", absl::StrCat(attempts_)},
                        {"after_ms", Milliseconds(now - attempt_started_)}});
  const bool may_repeat = !may_have_run_ || route_->MayRunAgain();
  if (may_repeat && MayTryAnother(now)) {
    if (stream_started_) {
      ++context_->metrics->streams_resumed;
    }
    BeginWaiting();
    return;
  }
  if (stream_started_) {
    AbortStream(last_failure_);
    return;
  }
  if (may_have_run_) {
    FailUnknown(502, last_failure_);
    return;
  }
  Refuse(last_failure_);
}

void RequestRelay::Refuse(absl::string_view why) {
  context_->host->Dequeue(place_);
  const absl::Time now = context_->loop->Now();
  absl::Duration retry_after = kDefaultRetryAfter;
  const absl::Time expected = context_->host->ExpectedReady(model_);
  if (expected != absl::InfiniteFuture()) {
    retry_after = std::max(retry_after, expected - now + kAfterExpected);
  }
  ++context_->metrics->refusals[std::string(why)];
  exchange_->Answer(503, ReasonPhrase(503),
                    {{"Retry-After", absl::StrFormat("%.2f", absl::ToDoubleSeconds(retry_after))}},
                    {});
  Finish(503, why);
}

void RequestRelay::FailUnknown(int status, absl::string_view why) {
  context_->host->Dequeue(place_);
  exchange_->Answer(status, ReasonPhrase(status), {}, {});
  Finish(status, why);
}

void RequestRelay::AbortStream(absl::string_view why) {
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

void RequestRelay::Finish(int status, absl::string_view why) {
  const std::shared_ptr<RequestRelay> self = shared_from_this();
  context_->host->Ended(place_.number);
  state_ = State::kEnded;
  timer_->Cancel();
  const absl::Time now = context_->loop->Now();
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
       {"worker_row", absl::StrCat(worker == nullptr ? 0 : worker->row_version)},
       {"configuration", absl::StrCat(routes_->configuration().version)},
       {"sent_after_ms",
        attempts_ == 0 ? std::string("never") : Milliseconds(attempt_started_ - arrived_)},
       {"first_byte_ms",
        stream_started_ ? Milliseconds(first_byte_at_ - arrived_) : std::string("-")},
       {"total_ms", Milliseconds(now - arrived_)}});
}

}  // namespace hingespan::gateway
