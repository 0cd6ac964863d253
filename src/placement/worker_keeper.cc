// Lifecycle of a keeper: fencing, engine calls and their answers.
#include "hingespan/placement/worker_keeper.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hingespan {
namespace {

// Maximum number of times that the fencing backoff doubles.
constexpr int kMaximumFenceDoublings = 7;
// The fencing backoff is reset after holding the worker for this long.
constexpr absl::Duration kFenceBackoffResetAfter = absl::Seconds(60);
// Interval between status calls during a load, as a fraction of the time that it has taken so far.
constexpr double kStatusIntervalFraction = 0.1;
constexpr absl::Duration kMinimumStatusInterval = absl::Milliseconds(10);
// Number of consecutive failed calls after which the engine counts as unreachable.
constexpr int kFailuresUntilUnreachable = 2;

}  // namespace

WorkerKeeper::WorkerKeeper(NodeId self, WorkerMachine machine, KeeperOptions options,
                           const RecordStore* store)
    : self_(std::move(self)),
      machine_(std::move(machine)),
      options_(options),
      store_(store),
      estimator_(options.estimator) {}

void WorkerKeeper::Tick(const std::vector<NodeId>& peers, const NodeId& permit_holder,
                        absl::Time now, Outbox* outbox) {
  SetPeers(peers);
  permit_holder_ = permit_holder;
  ExpireCalls(now, outbox);
  if (state_ == KeeperState::kFenced && now >= next_fence_) {
    BecomeFencing(now);
  }
  if (state_ == KeeperState::kFencing && control_call_ == 0 && now >= next_fence_) {
    RequestStatus(now, outbox);
  }
  if (state_ == KeeperState::kHolding) {
    TickHolding(now, outbox);
  }
  SendAnnouncements(now, outbox);
}

void WorkerKeeper::TickHolding(absl::Time now, Outbox* outbox) {
  if (control_call_ == 0 && now >= next_status_) {
    RequestStatus(now, outbox);
  }
  RepeatLostOrders(now, outbox);
  DropExpiredLoads(now);
  TryStartLoads(now, outbox);
  ReleaseUnusedPermits(outbox);
}

void WorkerKeeper::HandleAnswer(const EngineAnswer& answer, const std::vector<NodeId>& peers,
                                absl::Time now, Outbox* outbox) {
  SetPeers(peers);
  ProcessAnswer(answer, now, outbox);
  SendAnnouncements(now, outbox);
}

void WorkerKeeper::ProcessAnswer(const EngineAnswer& answer, absl::Time now, Outbox* outbox) {
  const auto found = calls_.find(answer.call);
  if (found == calls_.end()) {
    return;
  }
  const PendingCall call = found->second;
  calls_.erase(found);
  if (answer.call == control_call_) {
    control_call_ = 0;
  }
  UpdateReachability(answer.result.ok() || answer.result.error() == Error::kFenced);
  if (call.is_fence) {
    HandleFenceAnswer(answer, now, outbox);
  } else if (call.order == OrderKind::kNone) {
    HandleStatusAnswer(answer, now, outbox);
  } else {
    HandleOrderAnswer(answer, call, now, outbox);
  }
  if (state_ == KeeperState::kHolding) {
    TryStartLoads(now, outbox);
  }
}

void WorkerKeeper::SetMachine(const WorkerMachine& machine) {
  const bool moved = machine.base_url != machine_.base_url;
  machine_ = machine;
  if (moved) {
    BecomeFencing(absl::InfinitePast());
  }
}

// Spec action: Fence. Only an answered fence call counts: an equal epoch seen in a status may
// belong to another node.
void WorkerKeeper::HandleFenceAnswer(const EngineAnswer& answer, absl::Time now, Outbox* outbox) {
  if (state_ != KeeperState::kFencing) {
    return;
  }
  if (!answer.result.ok()) {
    next_fence_ = now + options_.fence_retry;
    return;
  }
  BecomeHolding(*answer.result, now, outbox);
}

void WorkerKeeper::HandleStatusAnswer(const EngineAnswer& answer, absl::Time now, Outbox* outbox) {
  if (!answer.result.ok()) {
    next_status_ = now + options_.status_interval;
    next_fence_ = now + options_.fence_retry;
    return;
  }
  const EngineStatus& status = *answer.result;
  if (state_ == KeeperState::kFencing) {
    EngineCall call;
    call.order = FenceCall{status.epoch.Next(), status.incarnation};
    PendingCall pending;
    pending.is_fence = true;
    control_call_ = Call(std::move(call), std::move(pending), now, outbox);
    return;
  }
  if (CheckFence(status, now)) {
    ApplyStatus(status, answer.call, now, outbox);
    next_status_ = NextStatus(now);
  }
}

void WorkerKeeper::HandleOrderAnswer(const EngineAnswer& answer, const PendingCall& call,
                                     absl::Time now, Outbox* outbox) {
  const auto found = replicas_.find(call.model);
  const bool is_newest = found != replicas_.end() && found->second.order == call.order &&
                         found->second.order_sequence == call.sequence;
  if (!answer.result.ok()) {
    next_status_ = now;
    if (!is_newest) {
      return;
    }
    Replica& replica = found->second;
    const std::error_code error = answer.result.error();
    const bool load_refused = error == Error::kFenced && call.order == OrderKind::kLoad;
    if (load_refused) {
      // The refusal is final within this epoch. The next status shows whether the epoch is still
      // this keeper's.
      replica.stage = OrderStage::kSettled;
      replica.conclusive_from_call = next_call_;
      replica.load_refused = true;
      return;
    }
    replica.stage = OrderStage::kLost;
    replica.retry_at = now + options_.order_retry;
    if (error == Error::kOutOfMemory) {
      refused_until_[call.model] = now + options_.status_interval;
      // The engine may apply a copy of the order later; only an unload makes it void.
      OrderUnload(call.model, replica.order_generation, now, outbox);
    }
    return;
  }
  if (!CheckFence(*answer.result, now)) {
    return;
  }
  next_status_ = std::min(next_status_, NextStatus(now));
  if (is_newest) {
    found->second.stage = OrderStage::kSettled;
    // The status in this answer was taken after the order. The status of a call that was sent
    // before this answer arrived may be older than the order.
    found->second.conclusive_from_call = answer.call;
  }
  ApplyStatus(*answer.result, answer.call, now, outbox);
  const auto settled = replicas_.find(call.model);
  if (is_newest && settled != replicas_.end() && settled->second.order_sequence == call.sequence) {
    settled->second.conclusive_from_call = next_call_;
  }
}

// Returns whether a status was taken under this keeper's incarnation and epoch. Leaves kHolding if
// the status shows that the engine was restarted or fenced by another node.
bool WorkerKeeper::CheckFence(const EngineStatus& status, absl::Time now) {
  if (state_ != KeeperState::kHolding) {
    return false;
  }
  if (status.incarnation > incarnation_) {
    BecomeFencing(now);
    return false;
  }
  const bool same_incarnation = status.incarnation == incarnation_;
  if (same_incarnation && status.epoch > epoch_) {
    BecomeFenced(now);
    return false;
  }
  return same_incarnation && status.epoch == epoch_;
}

void WorkerKeeper::BecomeFencing(absl::Time now) {
  state_ = KeeperState::kFencing;
  calls_.clear();
  control_call_ = 0;
  next_fence_ = now;
  reachable_ = false;
}

void WorkerKeeper::BecomeFenced(absl::Time now) {
  if (now - holding_since_ >= kFenceBackoffResetAfter) {
    times_fenced_ = 0;
  }
  state_ = KeeperState::kFenced;
  calls_.clear();
  control_call_ = 0;
  waiting_loads_.clear();
  pending_updates_.clear();
  next_fence_ = now + options_.fence_retry * (1 << std::min(times_fenced_, kMaximumFenceDoublings));
  ++times_fenced_;
}

void WorkerKeeper::BecomeHolding(const EngineStatus& inventory, absl::Time now, Outbox* outbox) {
  const bool restarted = inventory.incarnation != incarnation_;
  if (restarted) {
    revoked_.clear();
    revocations_.clear();
    waiting_loads_.clear();
  }
  state_ = KeeperState::kHolding;
  holding_since_ = now;
  incarnation_ = inventory.incarnation;
  epoch_ = inventory.epoch;
  sequence_ = OrderSequence();
  // Peers detect that they hold another version and request the list.
  version_ = ReplicaListVersion(1);
  pending_updates_.clear();
  local_updates_.clear();
  reachable_ = true;
  calls_.clear();
  control_call_ = 0;
  newest_applied_call_ = next_call_;
  unknown_from_call_ = next_call_;
  next_status_ = now;

  ledger_.Reset(inventory);
  absl::btree_map<ModelName, Replica> former = std::move(replicas_);
  replicas_.clear();
  for (const EngineReplica& reported : inventory.replicas) {
    AdoptReplica(reported, now);
    const auto held = former.find(reported.model);
    if (!restarted && held != former.end()) {
      replicas_[reported.model].load_started = held->second.load_started;
      replicas_[reported.model].expected_ready = held->second.expected_ready;
    }
  }
  ApplyStatus(inventory, next_call_, now, outbox);
  const absl::btree_map<ModelName, RevokeRequest> revocations = revocations_;
  for (const auto& [model, revocation] : revocations) {
    OrderUnload(model, revocation.generation, now, outbox);
  }
  TryStartLoads(now, outbox);
}

void WorkerKeeper::RequestStatus(absl::Time now, Outbox* outbox) {
  EngineCall call;
  call.order = StatusCall{};
  control_call_ = Call(std::move(call), PendingCall(), now, outbox);
}

std::uint64_t WorkerKeeper::Call(EngineCall call, PendingCall pending, absl::Time now,
                                 Outbox* outbox) {
  call.call = next_call_++;
  call.worker = machine_.worker;
  call.base_url = machine_.base_url;
  pending.sent_at = now;
  const std::uint64_t number = call.call;
  calls_[number] = std::move(pending);
  outbox->engine_calls.push_back(std::move(call));
  return number;
}

void WorkerKeeper::ExpireCalls(absl::Time now, Outbox* outbox) {
  std::vector<std::uint64_t> expired;
  for (const auto& [number, call] : calls_) {
    if (now - call.sent_at >= options_.call_timeout) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    ProcessAnswer({number, machine_.worker, Error::kTimeout}, now, outbox);
  }
}

void WorkerKeeper::UpdateReachability(bool answered) {
  failed_calls_ = answered ? 0 : failed_calls_ + 1;
  const bool holding = state_ == KeeperState::kHolding;
  if (answered && holding) {
    reachable_ = true;
  }
  if (failed_calls_ >= kFailuresUntilUnreachable) {
    reachable_ = false;
  }
}

OrderFence WorkerKeeper::NextFence(GrantGeneration generation) {
  sequence_ = sequence_.Next();
  if (options_.disable_fence_for_test) {
    constexpr std::uint64_t kNewest = std::numeric_limits<std::uint64_t>::max();
    return {WorkerIncarnation(kNewest), KeeperEpoch(kNewest), OrderSequence(kNewest),
            GrantGeneration(kNewest)};
  }
  return {incarnation_, epoch_, sequence_, generation};
}

// Returns the time of the next status call. The interval is short while an operation is in progress
// and is proportional to the elapsed time of a load, so that the end of a load is noticed within a
// small fraction of it.
absl::Time WorkerKeeper::NextStatus(absl::Time now) const {
  absl::Duration interval = IsBusy() ? options_.busy_status_interval : options_.status_interval;
  for (const auto& [model, replica] : replicas_) {
    if (replica.state == ReplicaState::kLoading) {
      const absl::Duration elapsed = now - replica.load_started;
      interval =
          std::min(interval, std::max(kMinimumStatusInterval, elapsed * kStatusIntervalFraction));
    }
  }
  return now + interval;
}

// Returns whether an operation is in progress whose result a status will show.
bool WorkerKeeper::IsBusy() const {
  if (!waiting_loads_.empty() || !revocations_.empty()) {
    return true;
  }
  return std::any_of(replicas_.begin(), replicas_.end(), [](const auto& entry) {
    const Replica& replica = entry.second;
    return replica.state != ReplicaState::kReady || replica.order == OrderKind::kUnload ||
           replica.stage != OrderStage::kSettled;
  });
}

}  // namespace hingespan
