#include "hingespan/node/core_driver.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"
#include "hingespan/common/log.h"
#include "hingespan/transport/reply_address.h"

namespace hingespan {
namespace {

// Commits of one owner may run in parallel. Reads of one kind run one at a time.
std::string PlatformLane(const PlatformCall& call) {
  constexpr std::uint64_t kCommitLanes = 4;
  const int owner = static_cast<int>(call.owner);
  if (std::holds_alternative<Transaction>(call.request)) {
    return absl::StrCat("commit-", owner, "-", call.call % kCommitLanes);
  }
  return absl::StrCat("read-", owner, "-", call.request.index());
}

// Returns true for messages that a request, here or at another node, may depend on.
bool IsUrgent(const Message& message) {
  return std::holds_alternative<WakeRequest>(message) ||
         std::holds_alternative<LoadRequest>(message) ||
         std::holds_alternative<RevokeRequest>(message) ||
         std::holds_alternative<PermitRequest>(message) ||
         std::holds_alternative<PermitReply>(message) ||
         std::holds_alternative<PermitLoanRequest>(message) ||
         std::holds_alternative<PermitLoanReply>(message) ||
         std::holds_alternative<ClaimRequest>(message);
}

EngineAnswer FailedAnswer(const EngineCall& call, Error error) {
  EngineAnswer answer;
  answer.call = call.call;
  answer.worker = call.worker;
  answer.result = error;
  return answer;
}

PlatformAnswer FailedAnswer(const PlatformCall& call, Error error) {
  PlatformAnswer answer;
  answer.call = call.call;
  answer.owner = call.owner;
  answer.error = error;
  return answer;
}

template <typename T>
void Store(Result<T> result, PlatformAnswer* answer) {
  if (result.ok()) {
    answer->value = std::move(*result);
  } else {
    answer->error = result.error();
  }
}

}  // namespace

CoreDriver::CoreDriver(CoreOptions core, CoreDriverOptions options, CoreDriverParts parts)
    : options_(options),
      parts_(parts),
      core_(core),
      engine_lanes_(options.engine_lanes),
      platform_lanes_(options.platform_lanes) {
  envelope_.from = core.node;
  envelope_.from_incarnation = core.incarnation;
  envelope_.from_zone = core.zone;
  envelope_.reply_address = core.control_address;
}

CoreDriver::~CoreDriver() { Stop(); }

void CoreDriver::Start() {
  parts_.transport->Start([this](const Envelope& envelope) {
    RunStep([this, &envelope](absl::Time now, absl::Time wall_time, Outbox* outbox)
                ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                  if (IsUrgent(envelope.message)) {
                    busy_until_ = now + options_.busy_hold;
                  }
                  core_.HandleMessage(envelope, now, wall_time, outbox);
                });
  });
  timer_ = std::thread([this] { RunTimer(); });
}

void CoreDriver::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopped_ = true;
  }
  if (timer_.joinable()) {
    timer_.join();
  }
  parts_.transport->Stop();
  engine_lanes_.Shutdown();
  platform_lanes_.Shutdown();
}

void CoreDriver::RunTimer() {
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      mutex_.AwaitWithTimeout(absl::Condition(&stopped_), TickInterval());
      if (stopped_) {
        return;
      }
      ++counters_.ticks;
    }
    RunStep([this](absl::Time now, absl::Time wall_time, Outbox* outbox)
                ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                  AnswerRejectedCalls(now, wall_time, outbox);
                  core_.Tick(now, wall_time, outbox);
                });
  }
}

absl::Duration CoreDriver::TickInterval() const {
  const bool busy = core_.router().active() > 0 || SystemClock().Now() < busy_until_;
  return busy ? options_.tick_interval : options_.idle_tick_interval;
}

void CoreDriver::RunStep(const Step& step) {
  Outbox outbox;
  {
    absl::MutexLock lock(&mutex_);
    const absl::Time now = SystemClock().Now();
    step(now, SystemClock().WallTime(), &outbox);
    DeliverDecisions();
    ResolveAddresses(&outbox);
    StartCalls(outbox);
  }
  SendMessages(std::move(outbox.messages));
}

void CoreDriver::DeliverDecisions() {
  for (RouteDecision& decision : core_.TakeDecisions()) {
    const auto found = pending_.find(decision.request);
    if (found != pending_.end()) {
      found->second->Deliver(std::move(decision));
    }
  }
}

void CoreDriver::ResolveAddresses(Outbox* outbox) {
  for (OutgoingMessage& message : outbox->messages) {
    if (message.address.empty()) {
      message.address = core_.AddressOf(message.to);
    }
    if (message.address.empty()) {
      ++counters_.messages_without_address;
    }
  }
}

void CoreDriver::SendMessages(std::vector<OutgoingMessage> messages) {
  for (OutgoingMessage& message : messages) {
    if (!message.address.empty()) {
      Envelope envelope = envelope_;
      envelope.message = std::move(message.message);
      if (!NeedsReplyAddress(envelope.message)) {
        envelope.reply_address.clear();
      }
      parts_.transport->Send(message.address, envelope);
    }
  }
}

// Called under the lock, so that the orders of one worker are queued in the order of their sequence
// numbers.
void CoreDriver::StartCalls(const Outbox& outbox) {
  for (const EngineCall& call : outbox.engine_calls) {
    ++counters_.engine_calls;
    if (!engine_lanes_.TrySubmit(call.worker.value(), [this, call] { RunEngineCall(call); })) {
      ++counters_.calls_rejected;
      rejected_engine_calls_.push_back(FailedAnswer(call, Error::kUnavailable));
    }
  }
  for (const PlatformCall& call : outbox.platform_calls) {
    ++counters_.platform_calls;
    if (!platform_lanes_.TrySubmit(PlatformLane(call), [this, call] { RunPlatformCall(call); })) {
      ++counters_.calls_rejected;
      rejected_platform_calls_.push_back(FailedAnswer(call, Error::kUnavailable));
    }
  }
}

void CoreDriver::AnswerRejectedCalls(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  const std::vector<EngineAnswer> engine_answers = std::exchange(rejected_engine_calls_, {});
  for (const EngineAnswer& answer : engine_answers) {
    core_.HandleEngineAnswer(answer, now, wall_time, outbox);
  }
  const std::vector<PlatformAnswer> platform_answers = std::exchange(rejected_platform_calls_, {});
  for (const PlatformAnswer& answer : platform_answers) {
    core_.HandlePlatformAnswer(answer, now, wall_time, outbox);
  }
}

Result<EngineStatus> CoreDriver::AnswerEngineCall(const EngineCall& call) {
  const absl::Duration timeout = options_.engine_timeout;
  EngineClient& engines = *parts_.engines;
  if (const auto* const fence = std::get_if<FenceCall>(&call.order)) {
    return engines.Fence(call.base_url, fence->incarnation, fence->epoch, timeout);
  }
  if (const auto* const load = std::get_if<LoadOrder>(&call.order)) {
    return engines.Load(call.base_url, *load, timeout);
  }
  if (const auto* const unload = std::get_if<UnloadOrder>(&call.order)) {
    return engines.Unload(call.base_url, *unload, timeout);
  }
  return engines.Status(call.base_url, timeout);
}

void CoreDriver::RunEngineCall(const EngineCall& call) {
  EngineAnswer answer;
  answer.call = call.call;
  answer.worker = call.worker;
  answer.result = AnswerEngineCall(call);
  RunStep([this, &answer](absl::Time now, absl::Time wall_time, Outbox* outbox)
              ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                counters_.engine_call_failures += answer.result.ok() ? 0 : 1;
                core_.HandleEngineAnswer(answer, now, wall_time, outbox);
              });
}

PlatformAnswer CoreDriver::AnswerPlatformCall(const PlatformCall& call) {
  const absl::Duration timeout = options_.platform_timeout;
  PlatformAnswer answer;
  answer.call = call.call;
  answer.owner = call.owner;
  if (const auto* const transaction = std::get_if<Transaction>(&call.request)) {
    Store(parts_.table->Commit(*transaction, timeout), &answer);
  } else if (const auto* const changes = std::get_if<ReadChangesCall>(&call.request)) {
    Store(parts_.table->ReadChanges(changes->after, options_.changes_per_read, timeout), &answer);
  } else if (const auto* const read = std::get_if<ReadCall>(&call.request)) {
    Store(parts_.table->Read(read->key, timeout), &answer);
  } else {
    Store(parts_.machines->Read(envelope_.from_zone, timeout), &answer);
  }
  return answer;
}

void CoreDriver::RunPlatformCall(const PlatformCall& call) {
  const PlatformAnswer answer = AnswerPlatformCall(call);
  std::vector<UndecodedRecord> undecoded;
  RunStep([this, &answer, &undecoded](absl::Time now, absl::Time wall_time, Outbox* outbox)
              ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                counters_.platform_call_failures += answer.error ? 1 : 0;
                core_.HandlePlatformAnswer(answer, now, wall_time, outbox);
                undecoded = core_.TakeUndecodedRecords();
              });
  for (const UndecodedRecord& record : undecoded) {
    Log(LogLevel::kWarning, "record_not_decoded",
        {{"key", record.key}, {"revision", absl::StrCat(record.revision.value())}});
  }
}

std::shared_ptr<PendingRequest> CoreDriver::Submit(const RouteRequest& request) {
  auto pending = std::make_shared<PendingRequest>();
  RunStep([this, &request, &pending](absl::Time now, absl::Time wall_time, Outbox* outbox)
              ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                pending_[request.request] = pending;
                core_.Submit(request, now, wall_time, outbox);
              });
  return pending;
}

void CoreDriver::Finish(const RequestId& request, AttemptOutcome outcome) {
  RunStep([this, &request, outcome](absl::Time now, absl::Time wall_time, Outbox* outbox)
              ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                core_.OnFinished(request, outcome, now, wall_time, outbox);
              });
}

void CoreDriver::Cancel(const RequestId& request) {
  RunStep([this, &request](absl::Time, absl::Time, Outbox*)
              ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { core_.Cancel(request); });
}

void CoreDriver::Forget(const RequestId& request) {
  absl::MutexLock lock(&mutex_);
  pending_.erase(request);
}

void CoreDriver::BeginStop() {
  RunStep([this](absl::Time now, absl::Time wall_time, Outbox* outbox)
              ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { core_.BeginStop(now, wall_time, outbox); });
}

bool CoreDriver::StopComplete() const {
  absl::MutexLock lock(&mutex_);
  return core_.StopComplete(SystemClock().Now());
}

bool CoreDriver::Ready() const {
  absl::MutexLock lock(&mutex_);
  return core_.Ready();
}

void CoreDriver::Inspect(const std::function<void(const NodeCore&, absl::Time now)>& look) const {
  absl::MutexLock lock(&mutex_);
  look(core_, SystemClock().Now());
}

CoreDriverCounters CoreDriver::counters() const {
  absl::MutexLock lock(&mutex_);
  return counters_;
}

}  // namespace hingespan
