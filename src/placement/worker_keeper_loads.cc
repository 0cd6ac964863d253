// Loads, unloads and revocations of a keeper.
#include <algorithm>
#include <limits>
#include <utility>

#include "hingespan/placement/worker_keeper.h"

namespace hingespan {
namespace {

// Time after which a router may ask again after a refusal for lack of memory.
constexpr absl::Duration kMemoryRetry = absl::Seconds(1);
// Expected time of an eviction.
constexpr absl::Duration kEvictionTime = absl::Milliseconds(500);
// Minimum expected wait of a load that is overdue.
constexpr absl::Duration kOverdueWait = absl::Milliseconds(100);
// Time that a waiting load is kept past its deadline. The placer sends a later deadline while other
// requests wait.
constexpr absl::Duration kDeadlineGrace = absl::Seconds(2);
// Deadline of a load request that carries none.
constexpr absl::Duration kDefaultDeadline = absl::Seconds(30);
// A permit number consists of the keeper's epoch and a counter of this many bits.
constexpr int kPermitNumberBits = 32;

std::uint32_t ToMilliseconds(absl::Duration duration) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT32_MAX));
}

const std::string& CheckpointOf(const ModelRow& row) {
  return row.checkpoint.empty() ? row.name.value() : row.checkpoint;
}

}  // namespace

LoadReply WorkerKeeper::HandleLoad(const LoadRequest& request, absl::Time now, Outbox* outbox) {
  LoadReply reply;
  reply.worker = request.worker;
  reply.incarnation = request.incarnation;
  reply.model = request.model;
  reply.generation = request.generation;
  if (const std::optional<LoadOutcome> outcome = RefuseLoad(request, now)) {
    reply.outcome = *outcome;
    reply.expected_wait_ms = *outcome == LoadOutcome::kNoMemory ? ToMilliseconds(kMemoryRetry) : 0;
    return reply;
  }
  const auto held = replicas_.find(request.model);
  const bool loading = held != replicas_.end() && held->second.order != OrderKind::kUnload;
  if (!loading) {
    EnqueueLoad(request, now);
    EnqueueBase(request, now);
    TryStartLoads(now, outbox);
    SendAnnouncements(now, outbox);
  }
  reply.outcome = LoadOutcome::kAccepted;
  reply.expected_wait_ms = ToMilliseconds(ExpectedWait(request.model, now));
  return reply;
}

// Returns the reason for which the load can't be accepted, or kReady if there is nothing to load.
std::optional<LoadOutcome> WorkerKeeper::RefuseLoad(const LoadRequest& request,
                                                    absl::Time now) const {
  const auto row = store_->FindRow(request.model);
  const bool is_keeper = request.worker == machine_.worker && state_ == KeeperState::kHolding;
  if (!is_keeper || row == nullptr) {
    return LoadOutcome::kNotKeeper;
  }
  if (request.incarnation != incarnation_) {
    return LoadOutcome::kOtherIncarnation;
  }
  if (machine_.state != MachineState::kLive || !reachable_) {
    return LoadOutcome::kLeaving;
  }
  const auto revoked = revoked_.find(request.model);
  const auto revocation = revocations_.find(request.model);
  const bool is_void =
      (revoked != revoked_.end() && request.generation <= revoked->second) ||
      (revocation != revocations_.end() && request.generation <= revocation->second.generation);
  if (is_void) {
    return LoadOutcome::kOtherIncarnation;
  }
  const auto held = replicas_.find(request.model);
  if (held != replicas_.end() && held->second.order != OrderKind::kUnload) {
    const bool ready = held->second.state == ReplicaState::kReady;
    return ready ? std::optional<LoadOutcome>(LoadOutcome::kReady) : std::nullopt;
  }
  const auto refused = refused_until_.find(request.model);
  if (refused != refused_until_.end() && now < refused->second) {
    return LoadOutcome::kNoMemory;
  }
  const BaseState base = BaseOf(*row);
  std::uint32_t needed_mib = row->memory_mib;
  if (base == BaseState::kPending && !replicas_.contains(row->base)) {
    needed_mib += store_->FindRow(row->base)->memory_mib;
  }
  if (base == BaseState::kNotGranted || !CanMakeRoom(request.model, needed_mib, now)) {
    return LoadOutcome::kNoMemory;
  }
  return std::nullopt;
}

void WorkerKeeper::EnqueueLoad(const LoadRequest& request, absl::Time now) {
  const bool is_new = !waiting_loads_.contains(request.model);
  WaitingLoad& load = waiting_loads_[request.model];
  const GrantGeneration generation = std::max(load.request.generation, request.generation);
  load.request = request;
  load.request.generation = generation;
  load.deadline =
      now + (request.earliest_deadline_ms == 0 ? kDefaultDeadline
                                               : absl::Milliseconds(request.earliest_deadline_ms));
  const auto history = histories_.find(request.model);
  if (is_new && history != histories_.end() && history->second.last_used != absl::InfinitePast()) {
    history->second.gaps.push_back(absl::ToDoubleSeconds(now - history->second.last_used));
    history->second.last_used = absl::InfinitePast();
  }
}

// Loads an adapter's base first, within the base's own grant.
void WorkerKeeper::EnqueueBase(const LoadRequest& request, absl::Time now) {
  const auto row = store_->FindRow(request.model);
  const bool needed = row != nullptr && BaseOf(*row) == BaseState::kPending &&
                      !replicas_.contains(row->base) && !waiting_loads_.contains(row->base);
  if (!needed) {
    return;
  }
  LoadRequest base = request;
  base.model = row->base;
  base.generation = GrantedSlot(row->base)->generation;
  EnqueueLoad(base, now);
}

RevokeReply WorkerKeeper::HandleRevoke(const RevokeRequest& request, absl::Time now,
                                       Outbox* outbox) {
  RevokeReply reply{request.worker, request.incarnation, request.model, request.generation, false};
  if (request.worker != machine_.worker) {
    return reply;
  }
  if (request.incarnation < incarnation_) {
    reply.confirmed = true;
    return reply;
  }
  if (state_ != KeeperState::kHolding || request.incarnation != incarnation_) {
    return reply;
  }
  const auto revoked = revoked_.find(request.model);
  if (revoked != revoked_.end() && revoked->second >= request.generation) {
    reply.confirmed = true;
    return reply;
  }
  const auto held = replicas_.find(request.model);
  if (held != replicas_.end() && held->second.order_generation > request.generation) {
    // The request is late: the model has since been granted again. The engine refuses older loads
    // once it has reported the newer replica.
    reply.confirmed =
        held->second.reported_by_engine && held->second.generation > request.generation;
    return reply;
  }
  const auto waiting = waiting_loads_.find(request.model);
  if (waiting != waiting_loads_.end() && waiting->second.request.generation < request.generation) {
    waiting_loads_.erase(waiting);
  }
  revocations_[request.model] = request;
  OrderUnload(request.model, request.generation, now, outbox);
  SendAnnouncements(now, outbox);
  return reply;
}

// Returns a permit that is not expected, as it was granted to a late copy of a request.
void WorkerKeeper::HandlePermit(const PermitReply& reply, absl::Time now, Outbox* outbox) {
  if (!reply.granted) {
    return;
  }
  const auto permit = permits_.find(reply.model);
  if (permit == permits_.end() || permit->second.number != reply.number) {
    ReturnPermit(reply.model, reply.number, outbox);
    return;
  }
  permit->second.granted = true;
  if (state_ == KeeperState::kHolding) {
    TryStartLoads(now, outbox);
  }
  ReleaseUnusedPermits(outbox);
}

std::vector<ModelName> WorkerKeeper::WaitingByDeadline() const {
  std::vector<ModelName> models;
  for (const auto& [model, load] : waiting_loads_) {
    models.push_back(model);
  }
  std::stable_sort(models.begin(), models.end(), [this](const auto& left, const auto& right) {
    return waiting_loads_.at(left).deadline < waiting_loads_.at(right).deadline;
  });
  return models;
}

void WorkerKeeper::DropExpiredLoads(absl::Time now) {
  for (auto load = waiting_loads_.begin(); load != waiting_loads_.end();) {
    const bool expired = now >= load->second.deadline + kDeadlineGrace;
    load = expired ? waiting_loads_.erase(load) : std::next(load);
  }
}

// Starts the loads that can start, earliest deadline first. Memory that is being freed for an
// earlier load is not given to a later one.
void WorkerKeeper::TryStartLoads(absl::Time now, Outbox* outbox) {
  std::uint64_t earlier_loads_mib = 0;
  for (const ModelName& model : WaitingByDeadline()) {
    const auto row = store_->FindRow(model);
    const auto held = replicas_.find(model);
    const bool loaded = held != replicas_.end() && held->second.order != OrderKind::kUnload;
    if (row == nullptr || loaded) {
      waiting_loads_.erase(model);
      continue;
    }
    if (TryStartLoad(*row, earlier_loads_mib, now, outbox)) {
      waiting_loads_.erase(model);
    } else {
      earlier_loads_mib += row->memory_mib;
    }
  }
}

bool WorkerKeeper::TryStartLoad(const ModelRow& row, std::uint64_t earlier_loads_mib,
                                absl::Time now, Outbox* outbox) {
  WaitingLoad& load = waiting_loads_[row.name];
  const BaseState base = BaseOf(row);
  const bool base_usable = base == BaseState::kNotNeeded || base == BaseState::kReady;
  if (replicas_.contains(row.name) || !base_usable) {
    return false;
  }
  const std::uint64_t needed_mib = earlier_loads_mib + row.memory_mib;
  const bool fits = options_.disable_ledger_for_test || needed_mib <= ledger_.free_mib();
  if (!fits) {
    const std::uint64_t expected_free_mib = std::uint64_t{ledger_.free_mib()} + BeingFreedMib();
    if (needed_mib > expected_free_mib) {
      Evict(static_cast<std::uint32_t>(needed_mib - expected_free_mib), now, outbox);
    }
    return false;
  }
  if (!HasPermit(row.name, now)) {
    RequestPermit(row.name, &load, now, outbox);
    return false;
  }
  if (!Reserve(row.name, row.memory_mib)) {
    return false;
  }
  OrderLoad(load.request, row, load.deadline, now, outbox);
  return true;
}

bool WorkerKeeper::HasPermit(const ModelName& model, absl::Time now) const {
  if (!options_.use_permits || TierOf(model) != CacheTier::kRemote) {
    return true;
  }
  const auto permit = permits_.find(model);
  return permit != permits_.end() && permit->second.granted &&
         now - permit->second.asked_at < options_.permit_use_within;
}

// A request that was not granted in time for use is replaced by a new one, which also returns the
// permit that may have been granted for the old one.
void WorkerKeeper::RequestPermit(const ModelName& model, WaitingLoad* load, absl::Time now,
                                 Outbox* outbox) {
  if (now < load->next_permit_request || permit_holder_.empty()) {
    return;
  }
  load->next_permit_request = now + options_.permit_retry;
  Permit& permit = permits_[model];
  if (permit.number == 0 || now - permit.asked_at >= options_.permit_use_within) {
    permit = {(epoch_.value() << kPermitNumberBits) + next_permit_++, now, false};
  }
  PermitRequest request;
  request.worker = machine_.worker;
  request.model = model;
  request.number = permit.number;
  request.waiting = load->request.waiting;
  request.earliest_deadline_ms = ToMilliseconds(load->deadline - now);
  outbox->Send(permit_holder_, request);
}

// Returns permits whose load has ended or is no longer wanted, including those not granted yet.
void WorkerKeeper::ReleaseUnusedPermits(Outbox* outbox) {
  for (auto permit = permits_.begin(); permit != permits_.end();) {
    const auto held = replicas_.find(permit->first);
    const bool loading = held != replicas_.end() && held->second.state == ReplicaState::kLoading;
    if (loading || waiting_loads_.contains(permit->first)) {
      ++permit;
      continue;
    }
    ReturnPermit(permit->first, permit->second.number, outbox);
    permit = permits_.erase(permit);
  }
}

void WorkerKeeper::ReturnPermit(const ModelName& model, std::uint64_t number, Outbox* outbox) {
  PermitRequest request;
  request.worker = machine_.worker;
  request.model = model;
  request.number = number;
  request.release = true;
  outbox->Send(permit_holder_, request);
}

// Spec action: Reserve.
bool WorkerKeeper::Reserve(const ModelName& model, std::uint32_t memory_mib) {
  return options_.disable_ledger_for_test || ledger_.Reserve(model, memory_mib);
}

// Spec action: OrderLoad. The caller has reserved the memory.
void WorkerKeeper::OrderLoad(const LoadRequest& request, const ModelRow& row, absl::Time deadline,
                             absl::Time now, Outbox* outbox) {
  Replica replica;
  replica.generation = request.generation;
  replica.order_generation = request.generation;
  replica.memory_mib = row.memory_mib;
  replica.seen_at = now;
  replica.tier = TierOf(row.name);
  replica.load_started = now;
  replica.expected_ready = now + estimator_.Estimate(replica.tier, row.memory_mib);
  replica.load_deadline = deadline + kDeadlineGrace;
  replica.first_call = next_call_;
  Replica& held = replicas_[row.name];
  held = replica;
  SendLoad(row, &held, now, outbox);
  Announce(row.name, false, now);
}

void WorkerKeeper::SendLoad(const ModelRow& row, Replica* replica, absl::Time now, Outbox* outbox) {
  LoadOrder order;
  order.fence = NextFence(replica->order_generation);
  order.model = row.name;
  if (row.kind == RowKind::kAdapter) {
    order.base = row.base;
  }
  order.checkpoint = CheckpointOf(row);
  order.memory_mib = replica->memory_mib;
  replica->order = OrderKind::kLoad;
  SendOrder(row.name, replica, std::move(order), now, outbox);
}

// Spec action: OrderUnload. Also raises the engine's generation for the model if there is no
// replica, so that every earlier load order is void.
void WorkerKeeper::OrderUnload(const ModelName& model, GrantGeneration generation, absl::Time now,
                               Outbox* outbox) {
  const bool present = replicas_.contains(model);
  Replica& replica = replicas_[model];
  if (!present) {
    replica.announced = false;
    replica.state = ReplicaState::kDraining;
    replica.seen_at = now;
    replica.first_call = next_call_;
  }
  const bool ordered = replica.order == OrderKind::kUnload &&
                       replica.order_generation >= generation && replica.stage != OrderStage::kLost;
  if (ordered) {
    return;
  }
  replica.order = OrderKind::kUnload;
  replica.order_generation = std::max(replica.order_generation, generation);
  UnloadOrder order;
  order.fence = NextFence(replica.order_generation);
  order.model = model;
  SendOrder(model, &replica, std::move(order), now, outbox);
  SetState(model, &replica, ReplicaState::kDraining, now);
}

void WorkerKeeper::SendOrder(const ModelName& model, Replica* replica,
                             std::variant<LoadOrder, UnloadOrder> order, absl::Time now,
                             Outbox* outbox) {
  replica->stage = OrderStage::kUnanswered;
  replica->order_sequence = sequence_;
  PendingCall pending;
  pending.order = replica->order;
  pending.model = model;
  pending.sequence = sequence_;
  EngineCall call;
  std::visit([&call](auto& alternative) { call.order = std::move(alternative); }, order);
  Call(std::move(call), std::move(pending), now, outbox);
  next_status_ = std::min(next_status_, NextStatus(now));
}

// A lost order may still be applied at any time. Only the answer to a later order for the model
// makes its state certain, as the engine then refuses the earlier one.
void WorkerKeeper::RepeatLostOrders(absl::Time now, Outbox* outbox) {
  for (auto& [model, replica] : replicas_) {
    if (replica.stage != OrderStage::kLost || now < replica.retry_at) {
      continue;
    }
    const auto row = store_->FindRow(model);
    const bool load_again = replica.order == OrderKind::kLoad && row != nullptr &&
                            now < replica.load_deadline && replica.state == ReplicaState::kLoading;
    if (load_again) {
      SendLoad(*row, &replica, now, outbox);
    } else {
      OrderUnload(model, replica.order_generation, now, outbox);
    }
  }
}

WorkerKeeper::BaseState WorkerKeeper::BaseOf(const ModelRow& row) const {
  if (row.kind != RowKind::kAdapter || store_->FindRow(row.base) == nullptr) {
    return BaseState::kNotNeeded;
  }
  const auto base = replicas_.find(row.base);
  const bool loaded = base != replicas_.end() && base->second.order != OrderKind::kUnload;
  if (loaded && base->second.state == ReplicaState::kReady) {
    return BaseState::kReady;
  }
  return loaded || GrantedSlot(row.base).has_value() ? BaseState::kPending : BaseState::kNotGranted;
}

std::optional<GrantSlot> WorkerKeeper::GrantedSlot(const ModelName& model) const {
  const auto record = store_->FindGrant(model);
  if (record == nullptr) {
    return std::nullopt;
  }
  for (const GrantSlot& slot : record->slots) {
    const bool here = slot.worker == machine_.worker && slot.incarnation == incarnation_;
    if (here && slot.state == SlotState::kGranted) {
      return slot;
    }
  }
  return std::nullopt;
}

absl::Duration WorkerKeeper::ExpectedWait(const ModelName& model, absl::Time now) const {
  const auto held = replicas_.find(model);
  if (held != replicas_.end() && held->second.order != OrderKind::kUnload) {
    return std::max(held->second.expected_ready - now, kOverdueWait);
  }
  const auto row = store_->FindRow(model);
  if (row == nullptr) {
    return kOverdueWait;
  }
  absl::Duration wait = estimator_.Estimate(TierOf(model), row->memory_mib);
  if (BeingFreedMib() > 0) {
    wait += kEvictionTime;
  }
  if (BaseOf(*row) == BaseState::kPending) {
    wait += ExpectedWait(row->base, now);
  }
  return wait;
}

CacheTier WorkerKeeper::TierOf(const ModelName& model) const {
  const auto row = store_->FindRow(model);
  const std::string& checkpoint = row == nullptr ? model.value() : CheckpointOf(*row);
  for (const CachedCheckpoint& cached : cached_) {
    if (cached.checkpoint == checkpoint) {
      return cached.tier;
    }
  }
  return CacheTier::kRemote;
}

}  // namespace hingespan
