#include "emulator/engine_fleet.h"

#include <algorithm>

namespace hingespan::emulator {

EngineFleet::EngineFleet(FleetOptions options, EmulatedClock* clock, EventLog* log,
                         std::function<void(const LogEntry&)> on_overcommit)
    : clock_(clock),
      log_(log),
      on_overcommit_(std::move(on_overcommit)),
      weight_store_(options.weight_store) {
  std::uint64_t seed = options.seed;
  EngineObserver* const observer = this;
  for (const FleetWorker& worker : options.workers) {
    auto engine =
        std::make_unique<Engine>(worker.worker, worker.options, ++seed, &weight_store_, observer);
    for (const CheckpointPreload& preload : worker.preloads) {
      engine->PreloadCache(preload.tier, preload.checkpoint, preload.size_mib);
    }
    members_[worker.worker].engine = std::move(engine);
  }
}

EngineFleet::~EngineFleet() { Stop(); }

void EngineFleet::Start() {
  thread_ = std::thread([this] { Run(); });
}

void EngineFleet::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    for (auto& [worker, member] : members_) {
      member.engine->AbandonStreams();
    }
    schedule_changed_.SignalAll();
    reachability_changed_.SignalAll();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

AccessResult EngineFleet::Use(const WorkerId& worker, Call call) {
  absl::MutexLock lock(&mutex_);
  auto found = members_.find(worker);
  if (found == members_.end()) {
    return AccessResult::kUnknownWorker;
  }
  Member& member = found->second;
  while (member.engine->frozen() && !stopping_) {
    reachability_changed_.Wait(&mutex_);
  }
  if (stopping_) {
    return AccessResult::kStopping;
  }
  if (member.engine->ended()) {
    return AccessResult::kEnded;
  }
  call(*member.engine, clock_->Now());
  Reschedule(worker, &member);
  WakeIfEarlier();
  return AccessResult::kReached;
}

AccessResult EngineFleet::InjectFault(const WorkerId& worker, Call call) {
  absl::MutexLock lock(&mutex_);
  auto found = members_.find(worker);
  if (found == members_.end()) {
    return AccessResult::kUnknownWorker;
  }
  call(*found->second.engine, clock_->Now());
  Reschedule(worker, &found->second);
  reachability_changed_.SignalAll();
  WakeIfEarlier();
  return AccessResult::kReached;
}

void EngineFleet::UseAfter(const WorkerId& worker, absl::Duration delay, DelayedCall call) {
  absl::MutexLock lock(&mutex_);
  pending_calls_.emplace(clock_->Now() + delay, PendingCall{worker, std::move(call)});
  WakeIfEarlier();
}

void EngineFleet::SetWeightStoreSlowdown(double factor) {
  absl::MutexLock lock(&mutex_);
  weight_store_.SetSlowdown(factor, clock_->Now());
  schedule_changed_.SignalAll();
}

FleetTotals EngineFleet::totals() {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = clock_->Now();
  FleetTotals totals;
  totals.weight_store_peak_concurrency = weight_store_.peak_concurrency();
  for (auto& [worker, member] : members_) {
    const MemoryUse use = member.engine->memory_use(now);
    totals.memory_use.idle_mib_seconds += use.idle_mib_seconds;
    totals.memory_use.busy_mib_seconds += use.busy_mib_seconds;
    totals.memory_use.loading_mib_seconds += use.loading_mib_seconds;
  }
  return totals;
}

void EngineFleet::OnEvent(LogEntry entry) {
  mutex_.AssertHeld();
  entry.at = clock_->WallTime();
  entry.replicas_of_model = static_cast<std::uint32_t>(replica_counts_[entry.model]);
  log_->Append(entry);
  if (entry.event == EngineEvent::kOvercommit && on_overcommit_) {
    on_overcommit_(entry);
  }
}

void EngineFleet::OnReplicaCount(const ModelName& model, int difference) {
  mutex_.AssertHeld();
  replica_counts_[model] += difference;
}

void EngineFleet::Run() {
  absl::MutexLock lock(&mutex_);
  while (!stopping_) {
    const absl::Time now = clock_->Now();
    RunDue(now);
    sleeping_until_ = NextEvent();
    if (sleeping_until_ > now) {
      schedule_changed_.WaitWithTimeout(&mutex_, clock_->ToReal(sleeping_until_ - now));
    }
    sleeping_until_ = absl::InfinitePast();
  }
}

absl::Time EngineFleet::NextEvent() const {
  absl::Time next = weight_store_.NextEvent();
  if (!schedule_.empty()) {
    next = std::min(next, schedule_.begin()->first);
  }
  if (!pending_calls_.empty()) {
    next = std::min(next, pending_calls_.begin()->first);
  }
  return next;
}

void EngineFleet::RunDue(absl::Time now) {
  RunPendingCalls(now);
  weight_store_.Advance(now);
  DeliverTransfers(now);
  while (!schedule_.empty() && schedule_.begin()->first <= now) {
    const WorkerId worker = schedule_.begin()->second;
    Member& member = members_.at(worker);
    member.engine->Advance(now);
    Reschedule(worker, &member);
  }
}

void EngineFleet::RunPendingCalls(absl::Time now) {
  while (!pending_calls_.empty() && pending_calls_.begin()->first <= now) {
    const PendingCall pending = std::move(pending_calls_.begin()->second);
    pending_calls_.erase(pending_calls_.begin());
    auto found = members_.find(pending.worker);
    if (found == members_.end() || found->second.engine->ended()) {
      continue;
    }
    pending.call(*found->second.engine, now);
    Reschedule(pending.worker, &found->second);
  }
}

void EngineFleet::DeliverTransfers(absl::Time now) {
  for (const TransferId transfer : weight_store_.TakeFinished()) {
    for (auto& [worker, member] : members_) {
      member.engine->OnTransferDone(transfer, now);
      Reschedule(worker, &member);
    }
  }
}

void EngineFleet::Reschedule(const WorkerId& worker, Member* member) {
  const absl::Time next = member->engine->NextEvent();
  if (next == member->scheduled) {
    return;
  }
  schedule_.erase({member->scheduled, worker});
  member->scheduled = next;
  if (next != absl::InfiniteFuture()) {
    schedule_.insert({next, worker});
  }
}

void EngineFleet::WakeIfEarlier() {
  if (NextEvent() < sleeping_until_) {
    schedule_changed_.Signal();
  }
}

}  // namespace hingespan::emulator
