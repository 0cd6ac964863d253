// Inventory of a keeper: the state of the worker's replicas.
#include <algorithm>
#include <utility>

#include "hingespan/placement/worker_keeper.h"
#include "worker_keeper_time.h"

namespace hingespan {
namespace {

// Number of gaps between calls that are kept for each model.
constexpr std::size_t kMaximumGaps = 8;

void AddGap(double seconds, std::vector<double>* gaps) {
  gaps->push_back(seconds);
  if (gaps->size() > kMaximumGaps) {
    gaps->erase(gaps->begin());
  }
}

}  // namespace

// Applies a status that was taken under this keeper's fence. `call` is the number of the call that
// it answers.
void WorkerKeeper::ApplyStatus(const EngineStatus& status, std::uint64_t call, absl::Time now,
                               Outbox* outbox) {
  if (call < newest_applied_call_) {
    return;
  }
  newest_applied_call_ = call;
  running_ = status.running;
  queued_ = status.queued;
  cached_ = status.cached;
  absl::flat_hash_set<ModelName> reported_models;
  for (const EngineReplica& reported : status.replicas) {
    reported_models.insert(reported.model);
    const bool unknown = !replicas_.contains(reported.model);
    if (unknown && call >= unknown_from_call_) {
      // Can't happen under this keeper's fence. If it does, a new fence makes the inventory
      // authoritative again.
      BecomeFencing(now);
      return;
    }
    if (!unknown) {
      ApplyReplicaStatus(reported, call, now);
    }
  }
  std::vector<ModelName> gone;
  std::vector<ModelName> failed;
  for (const auto& [model, replica] : replicas_) {
    if (!reported_models.contains(model)) {
      if (IsGone(replica, call)) {
        gone.push_back(model);
      }
    }
    if (replica.state == ReplicaState::kFailed && replica.order != OrderKind::kUnload) {
      failed.push_back(model);
    }
  }
  for (const ModelName& model : gone) {
    ConfirmGone(model, now);
  }
  for (const ModelName& model : failed) {
    if (replicas_.contains(model)) {
      OrderUnload(model, replicas_[model].generation, now, outbox);
    }
  }
  UnloadIdle(now, outbox);
}

void WorkerKeeper::AdoptReplica(const EngineReplica& reported, absl::Time now) {
  Replica replica;
  replica.generation = reported.generation;
  replica.order_generation = reported.generation;
  replica.state = reported.state;
  replica.memory_mib = reported.memory_mib;
  replica.seen_at = now;
  replica.load_started = now;
  replica.tier = TierOf(reported.model);
  replica.expected_ready = now + estimator_.Estimate(replica.tier, reported.memory_mib);
  replica.order = reported.state == ReplicaState::kDraining ? OrderKind::kUnload : OrderKind::kNone;
  replica.reported_by_engine = true;
  replica.first_call = next_call_;
  replica.conclusive_from_call = next_call_;
  replicas_[reported.model] = replica;
}

void WorkerKeeper::ApplyReplicaStatus(const EngineReplica& reported, std::uint64_t call,
                                      absl::Time now) {
  Replica& replica = replicas_[reported.model];
  if (call < replica.first_call) {
    return;
  }
  RecordCall(reported.model, reported, replica, now);
  replica.reported_by_engine = true;
  replica.generation = reported.generation;
  replica.memory_mib = reported.memory_mib;
  replica.running = reported.running;
  replica.idle_ms = reported.idle_ms;
  replica.seen_at = now;
  if (replica.order != OrderKind::kUnload) {
    SetState(reported.model, &replica, reported.state, now);
    return;
  }
  SetState(reported.model, &replica, ReplicaState::kDraining, now);
  const bool unload_missed = replica.stage == OrderStage::kSettled &&
                             call >= replica.conclusive_from_call &&
                             reported.state != ReplicaState::kDraining;
  if (unload_missed) {
    replica.stage = OrderStage::kLost;
    replica.retry_at = now + options_.order_retry;
  }
}

// A replica is gone if it is missing from a status that was taken after the newest order for it was
// answered: earlier orders are void by then, and a late copy of the newest one is refused.
bool WorkerKeeper::IsGone(const Replica& replica, std::uint64_t call) const {
  return replica.stage == OrderStage::kSettled && call >= replica.conclusive_from_call;
}

// Spec action: ConfirmGone.
void WorkerKeeper::ConfirmGone(const ModelName& model, absl::Time now) {
  const Replica replica = replicas_[model];
  ledger_.Release(model);
  if (replica.announced) {
    Announce(model, true, now);
    histories_[model].last_used = replica.seen_at - absl::Milliseconds(replica.idle_ms);
  }
  const auto revocation = revocations_.find(model);
  const bool revoked = revocation != revocations_.end() && replica.order == OrderKind::kUnload &&
                       replica.order_generation >= revocation->second.generation;
  if (revoked || replica.load_refused) {
    // A load refused under this keeper's fence means that the engine has seen a larger generation.
    GrantGeneration& highest = revoked_[model];
    highest = std::max(highest, replica.order_generation);
  }
  if (revoked) {
    revocations_.erase(revocation);
  }
  replicas_.erase(model);
  unknown_from_call_ = next_call_;
}

void WorkerKeeper::RecordCall(const ModelName& model, const EngineReplica& reported,
                              const Replica& held, absl::Time now) {
  const bool was_idle = held.running == 0 && held.idle_ms > 0;
  const bool was_called = reported.running > 0 || reported.idle_ms < held.idle_ms;
  if (was_idle && was_called) {
    AddGap(static_cast<double>(held.idle_ms) / 1000.0, &histories_[model].gaps);
  }
  if (reported.running > 0) {
    histories_[model].last_used = now;
  }
}

void WorkerKeeper::SetState(const ModelName& model, Replica* replica, ReplicaState state,
                            absl::Time now) {
  if (replica->state == state) {
    return;
  }
  const bool loaded = replica->state == ReplicaState::kLoading && state == ReplicaState::kReady;
  replica->state = state;
  if (loaded) {
    replica->ready_since = now;
    estimator_.Observe(replica->tier, replica->memory_mib, now - replica->load_started);
  }
  if (replica->announced) {
    Announce(model, false, now);
  }
}

void WorkerKeeper::Announce(const ModelName& model, bool removed, absl::Time now) {
  const Replica& replica = replicas_[model];
  version_ = version_.Next();
  ReplicaUpdate update;
  update.worker = machine_.worker;
  update.incarnation = incarnation_;
  update.epoch = epoch_;
  update.version = version_;
  update.model = model;
  update.generation = replica.generation;
  update.state = replica.state;
  update.removed = removed;
  if (replica.state == ReplicaState::kLoading) {
    update.ready_in_ms = MillisecondsLeft(replica.expected_ready, now);
  }
  pending_updates_.push_back(update);
  local_updates_.push_back(std::move(update));
}

}  // namespace hingespan
