#include "hingespan/serving/request_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "hingespan/fleet/quarantine_exchange.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/request_content.h"

namespace hingespan::gateway {
namespace {

// Deadline for requests that carry none.
constexpr absl::Duration kDefaultDeadline = absl::Seconds(30);
// Fraction of a request's time for which it is queued without an expected replica. A later refusal
// would leave the caller too little time to be served elsewhere.
constexpr double kMaxQueuedFraction = 0.47;
// Minimum time that a request must have left when it is sent, so that it can still be answered in
// time.
constexpr absl::Duration kMinTimeLeftForStream = absl::Milliseconds(900);
constexpr absl::Duration kMinTimeLeftForPlain = absl::Milliseconds(50);
// A worker that stays silent for this fraction of the time left is abandoned if the route allows
// it.
constexpr double kStallFraction = 0.4;
constexpr absl::Duration kMinStallTimeout = absl::Milliseconds(300);
constexpr absl::Duration kMinFirstEventStallTimeout = absl::Milliseconds(1300);
constexpr absl::Duration kStallCheckInterval = absl::Milliseconds(250);
// A stream that has begun stays with a silent worker for this fraction of the time that its caller
// waits for an event. If no other worker can go on with it, leaving its worker breaks it off.
constexpr double kEventStallFraction = 0.85;
// Requests are answered this long before their deadline.
constexpr absl::Duration kDeadlineMargin = absl::Milliseconds(10);
// Callers abandon a stream without an event after this time or a multiple of the route's targets,
// whichever is longer.
constexpr absl::Duration kMinEventTimeout = absl::Seconds(2);
// A model that is expected within this fraction of the target latency leaves enough time for the
// first event.
constexpr double kReadyInTimeFraction = 0.85;
// A refusal within this fraction of the target latency costs the caller little.
constexpr double kEarlyRefusalFraction = 0.25;
// Callers honour a Retry-After of up to a certain part of the time that they have left. This
// fraction is smaller than that part, since the expected readiness is only an estimate.
constexpr double kMaxRetryAfterFraction = 0.3;
// Reading from the worker pauses while more bytes than this wait for a slow caller.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;
// A request that still waits this long before its node's stop limit is refused, so that another
// node can serve it.
constexpr absl::Duration kQueueStopMargin = absl::Seconds(1);

absl::string_view ProblemName(ChoiceProblem problem) {
  switch (problem) {
    case ChoiceProblem::kNone:
      return "none";
    case ChoiceProblem::kNoWorkers:
      return "no_workers";
    case ChoiceProblem::kVersionAbsent:
      return "version_absent";
    case ChoiceProblem::kModelAbsent:
      return "model_absent";
    case ChoiceProblem::kAdapterAbsent:
      return "adapter_absent";
    case ChoiceProblem::kAllBusy:
      return "all_busy";
  }
  return "none";
}

// Each part of the prompt is held twice: in the facts and, unless it is the last one, as shared.
std::size_t HeldBytes(const RequestFacts& facts) {
  std::size_t bytes = facts.prompt_parts.capacity() * sizeof(PromptPart) + facts.id.capacity() +
                      facts.model.capacity() + facts.adapter.capacity();
  for (const PromptPart& part : facts.prompt_parts) {
    bytes += sizeof(std::string) + 2 * part.id.capacity();
  }
  return bytes;
}

}  // namespace

RequestRelay::RequestRelay(const RelayContext* context, std::shared_ptr<ServerExchange> exchange,
                           RequestFacts facts, RequestOrigin origin,
                           std::shared_ptr<const RouteTable> routes, const Route* route,
                           std::uint64_t number)
    : context_(context),
      exchange_(std::move(exchange)),
      facts_(std::move(facts)),
      routes_(std::move(routes)),
      route_(route),
      origin_(std::move(origin)),
      service_(ChooseService(*route, facts_.id)),
      path_(context->host->PathOf(service_)),
      model_{facts_.model, facts_.adapter},
      arrived_(exchange_->received()),
      timer_(context->loop->MakeTimer()),
      tried_workers_(origin_.tried_workers),
      excluded_workers_(origin_.tried_workers),
      answer_memory_(context->answer_memory) {
  const absl::Duration time = std::min(route->timeout, facts_.deadline.value_or(kDefaultDeadline));
  deadline_ = arrived_ + std::max(absl::ZeroDuration(), time - kDeadlineMargin);
  place_ = {route->priority, deadline_, number};
  content_ = ContentOf(exchange_->head(), facts_, exchange_->body());
  for (std::size_t index = 0; index + 1 < facts_.prompt_parts.size(); ++index) {
    shared_parts_.insert(facts_.prompt_parts[index].id);
  }
  exchange_->SetExtraBytes(HeldBytes(facts_));
}

void RequestRelay::Start() {
  context_->host->OnRequestStarted(shared_from_this());
  exchange_->OnCallerGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  exchange_->OnDrained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && self->exchange_->pending_bytes() < kMaxPendingBytes) {
      self->ResumeReading();
    }
  });
  if (HasEndedWorkers()) {
    Refuse(kEndsWorkers);
    return;
  }
  if (RefuseIfQuarantined()) {
    return;
  }
  if (TakesUpStream()) {
    FindSource();
    return;
  }
  BeginWaiting();
}

void RequestRelay::ResumeReading() {
  if (!reading_paused_ || upstream_ == nullptr) {
    return;
  }
  reading_paused_ = false;
  last_progress_ = context_->loop->Now();
  upstream_->ResumeReading();
  SetTimer(last_progress_);
}

void RequestRelay::CountInBudget() {
  if (!origin_.counted) {
    origin_.counted = true;
    context_->budget->RecordRequest(service_, context_->loop->Now());
  }
}

void RequestRelay::BeginWaiting() {
  state_ = State::kWaiting;
  if (PrefersForward() && TryForward(context_->loop->Now())) {
    return;
  }
  if (path_->lost()) {
    GiveUp(502, kUnreachable);
    return;
  }
  CountInBudget();
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
  demand.excluded = &excluded_workers_;
  if (source_.has_value()) {
    demand.software_version = &source_->software_version;
  }
  return demand;
}

bool RequestRelay::TryDispatch(absl::Time now) {
  if (state_ != State::kWaiting) {
    return true;
  }
  if (PrefersForward() && TryForward(now)) {
    return true;
  }
  if (path_->lost()) {
    GiveUp(502, kUnreachable);
    return true;
  }
  if (HasEndedWorkers()) {
    GiveUp(502, kEndsWorkers);
    return true;
  }
  if (IsQuarantined()) {
    GiveUp(502, kQuarantined);
    return true;
  }
  const WorkerDemand demand = Demand();
  const WorkerChoice choice = ChooseWorker(demand, now);
  if (choice.worker == nullptr && choice.candidates == 0 && !unreachable_workers_.empty()) {
    if (!TryForward(now)) {
      GiveUp(502, kUnreachable);
    }
    return true;
  }
  if (choice.problem == ChoiceProblem::kVersionAbsent) {
    GiveUp(502, kVersionAbsent);
    return true;
  }
  if (choice.worker == nullptr) {
    NoteProblem(choice.problem);
    return false;
  }
  if (AcquireRepeat(now)) {
    Dispatch(choice.worker, demand, now);
  } else {
    ReturnUnusedSlot();
  }
  return true;
}

bool RequestRelay::AcquireRepeat(absl::Time now) {
  if (arrivals_ == 0) {
    return true;
  }
  if (!context_->budget->TryAcquire(service_, now)) {
    ++context_->metrics->repeats_denied;
    LogRepeat("repeat_denied", now);
    GiveUp(502, "retry_budget");
    return false;
  }
  LogRepeat("repeat", now);
  return true;
}

void RequestRelay::NoteProblem(ChoiceProblem problem) {
  if (last_problem_ == problem) {
    return;
  }
  last_problem_ = problem;
  SetTimer(context_->loop->Now());
}

void RequestRelay::BeginAttempt(const std::string& recipient, absl::Time now) {
  context_->host->Dequeue(place_);
  state_ = State::kRunning;
  if (attempts_ == 0) {
    context_->metrics->queue_wait.Record(now - arrived_);
  } else {
    ++context_->metrics->repeats;
  }
  ++attempts_;
  ++arrivals_;
  ++context_->metrics->attempts;
  recipient_ = recipient;
  sent_attempts_.push_back(context_->budget->unread()->Add(service_, recipient_, now));
  if (arrivals_ > 1) {
    for (const UnreadAttempts::Key attempt : sent_attempts_) {
      context_->budget->unread()->CountAsRetry(attempt);
    }
  }
  attempt_started_ = now;
  last_progress_ = now;
  answer_started_ = false;
  answer_survived_ = false;
  reading_paused_ = false;
  answer_head_ = {};
  forwarding_events_ = false;
  DropAnswer();
  verdict_.reset();
  attempt_source_.reset();
}

void RequestRelay::Dispatch(WorkerState* worker, const WorkerDemand& demand, absl::Time now) {
  BeginAttempt(worker->record.id, now);
  peer_.clear();
  worker_id_ = worker->record.id;
  worker_address_ = worker->record.address;
  attempt_source_ = StreamSource{service_, worker->record.software_version};
  tried_workers_.insert(worker_id_);
  excluded_workers_.insert(worker_id_);
  context_->workers->AttemptStarted(worker, demand, now);
  path_->OnAttemptStarted(now);
  context_->host->RunningChanged(service_, model_, 1);
  AttemptFacts attempt;
  attempt.worker_id = worker_id_;
  attempt.time_left = deadline_ - now;
  attempt.priority = route_->priority;
  attempt.last_event_id = events_.last_event_id();
  SendAttempt(worker->record.address, attempt, {});
  SetTimer(now);
  context_->host->OnPathEvent(service_);
}

void RequestRelay::SendAttempt(const std::string& address, const AttemptFacts& attempt,
                               const HeaderFields& extra) {
  const RequestHead& head = exchange_->head();
  HeaderFields fields = context_->dialect->AttemptFields(head, attempt);
  if (!peer_.empty()) {
    RemoveOrigin(&fields);
  }
  fields.insert(fields.end(), extra.begin(), extra.end());
  std::string message = absl::StrCat(head.method, " ", head.target, " HTTP/1.1\r\n");
  for (const HeaderField& field : fields) {
    absl::StrAppend(&message, field.name, ": ", field.value, "\r\n");
  }
  const std::string& body = exchange_->body();
  if (!body.empty() || head.method == "POST" || head.method == "PUT") {
    absl::StrAppend(&message, "Content-Length: ", body.size(), "\r\n");
  }
  message.append("\r\n");
  upstream_ = context_->client->Send(address, std::move(message), this, exchange_->shared_body());
}

void RequestRelay::NoteRead(absl::Time now) {
  context_->budget->unread()->OnRead(sent_attempts_.back(), now);
}

absl::Time RequestRelay::Deadline() const {
  return std::min(deadline_, context_->host->StopLimit());
}

absl::Time RequestRelay::WaitLimit() const {
  const bool stream = route_->kind == RouteKind::kStreaming;
  const absl::Time latest =
      deadline_ - std::min(stream ? kMinTimeLeftForStream : kMinTimeLeftForPlain,
                           (deadline_ - arrived_) * 0.25);
  absl::Time limit = arrived_ + (deadline_ - arrived_) * kMaxQueuedFraction;
  const absl::Time first_event_limit = arrived_ + EventTimeout();
  const absl::Time expected = context_->host->ExpectedReady(model_, software_version());
  if (last_problem_ == ChoiceProblem::kModelAbsent && expected != absl::InfiniteFuture()) {
    limit = MayWaitFor(expected, std::min(latest, first_event_limit)) ? latest : arrived_;
  }
  limit = std::min(limit, first_event_limit - kDeadlineMargin);
  const absl::Time stop = context_->host->StopLimit();
  if (stop != absl::InfiniteFuture()) {
    limit = std::min(limit, stop - kQueueStopMargin);
  }
  return std::min(limit, latest);
}

bool RequestRelay::MayWaitFor(absl::Time expected, absl::Time latest) const {
  if (expected <= arrived_ + route_->target_latency * kReadyInTimeFraction) {
    return true;
  }
  // The answer would be late. If the caller is asked at once to retry when the model is ready, the
  // retry can still be in time.
  const absl::Time now = context_->loop->Now();
  const bool refused_early = now - arrived_ <= route_->target_latency * kEarlyRefusalFraction;
  const bool retry_in_time = expected - now <= (deadline_ - now) * kMaxRetryAfterFraction;
  if (context_->return_when_late && refused_early && retry_in_time) {
    return false;
  }
  return expected < latest;
}

absl::Duration RequestRelay::EventTimeout() const {
  if (route_->kind != RouteKind::kStreaming) {
    return absl::InfiniteDuration();
  }
  return std::max({kMinEventTimeout, 4 * route_->target_latency, 8 * route_->target_gap});
}

bool RequestRelay::MayTryAnother(absl::Time now) const {
  return AttemptsCounted() < route_->max_attempts &&
         context_->budget->Available(service_, now) >= 1.0 && now < deadline_;
}

bool RequestRelay::MayTryAnotherOrRecordDenial(absl::Time now) const {
  if (MayTryAnother(now)) {
    return true;
  }
  if (AttemptsCounted() < route_->max_attempts && now < deadline_) {
    context_->budget->RecordDenied(service_);
    ++context_->metrics->repeats_denied;
    LogRepeat("repeat_denied", now);
  }
  return false;
}

void RequestRelay::LogRepeat(absl::string_view event, absl::Time now) const {
  const RetryCounts counts = context_->budget->CountsOf(service_, now);
  context_->log->Write(LogLevel::kInfo, event,
                       {{"request", facts_.id},
                        {"service", service_},
                        {"in_window", absl::StrCat(counts.in_window)},
                        {"unread", absl::StrCat(counts.unread)},
                        {"available", absl::StrFormat("%.1f", counts.available)},
                        {"divisor", absl::StrCat(context_->budget->share().Divisor(now))},
                        {"first_window", context_->budget->InFirstWindow(now) ? "yes" : "no"}});
}

bool RequestRelay::MayRepeat() const {
  return CanGoOn() && context_->quarantine->MayRepeat(service_, shared_parts_);
}

bool RequestRelay::CanGoOnElsewhere(absl::Time now) {
  return MayRepeat() && !HasEndedWorkers() && !IsQuarantined() && MayTryAnother(now) &&
         AnotherWorkerIsFree(now);
}

bool RequestRelay::AnotherWorkerIsFree(absl::Time now) const {
  if (PrefersForward() && MayForward() &&
      context_->peers->Choose(declined_peers_, now) != nullptr) {
    return true;
  }
  if (stream_started_ && path_->lost()) {
    return false;  // The stream would be broken off.
  }
  return context_->workers->Choose(Demand(), routes_->configuration(), now).worker != nullptr;
}

absl::Time RequestRelay::StallLimit() const {
  return std::max(FirstStallLimit(), stall_checked_ + kStallCheckInterval);
}

absl::Time RequestRelay::FirstStallLimit() const {
  if (!route_->MayRunAgain() || AttemptsCounted() >= route_->max_attempts) {
    return absl::InfiniteFuture();
  }
  if (reading_paused_) {
    return absl::InfiniteFuture();  // The worker can't be heard.
  }
  if (!peer_.empty()) {
    // The peer itself leaves silent workers; it is left only if its caller would leave as well.
    return answer_started_ ? last_progress_ + EventTimeout() : absl::InfiniteFuture();
  }
  if (route_->kind != RouteKind::kStreaming) {
    return attempt_started_ +
           std::max(kMinStallTimeout, (deadline_ - attempt_started_) * kStallFraction);
  }
  if (answer_started_) {
    return last_progress_ + kEventStallFraction * EventTimeout();
  }
  const absl::Time first_event_limit =
      attempt_started_ + std::max(kMinFirstEventStallTimeout, 2 * route_->target_latency);
  if (stream_started_) {
    // The caller has events of an earlier attempt.
    return std::max(first_event_limit, last_event_at_ + kEventStallFraction * EventTimeout());
  }
  return first_event_limit;
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
  if (state_ == State::kFinding && now >= Deadline()) {
    Refuse(kUnknownStream);
    return;
  }
  if (state_ == State::kWaiting) {
    if (now < WaitLimit() && now < Deadline()) {
      SetTimer(now);
      return;
    }
    absl::string_view why = ProblemName(last_problem_);
    if (stream_started_) {
      why = "no_worker_to_resume";
    } else if (may_have_run_) {
      why = last_failure_;
    }
    GiveUp(now >= Deadline() ? 504 : 502, why);
    return;
  }
  if (state_ != State::kRunning) {
    return;
  }
  if (now >= Deadline()) {
    EndAttempt(AttemptOutcome::kCancelled);
    may_have_run_ = true;
    GiveUp(504, "deadline");
    return;
  }
  if (now >= StallLimit() && !CanGoOnElsewhere(now)) {
    // The attempt continues, as the answer may still arrive.
    stall_checked_ = now;
    SetTimer(now);
    return;
  }
  if (now >= StallLimit()) {
    NoteInterrupted();
    EndAttempt(AttemptOutcome::kFailed);
    OnFailedAttempt("silent");
    return;
  }
  SetTimer(now);
}

void RequestRelay::EndAttempt(AttemptOutcome outcome) {
  if (upstream_ != nullptr) {
    // A request that is given up must not arrive later, when a link delivers what it has held up.
    upstream_->Discard();
    upstream_.reset();
  }
  if (!peer_.empty()) {
    EndForward(outcome, context_->loop->Now());
    return;
  }
  path_->OnAttemptEnded();
  context_->workers->AttemptEnded(worker_id_, model_.model,
                                  answer_started_ ? 0 : facts_.prompt_tokens, outcome,
                                  context_->loop->Now());
  ReturnSlot(outcome);
  context_->host->RunningChanged(service_, model_, -1);
  context_->host->ScheduleDispatch();
}

}  // namespace hingespan::gateway
