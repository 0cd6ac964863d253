#include "emulator/engine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::emulator {
namespace {

constexpr double kMibPerGib = 1024.0;

absl::Duration LoadTime(absl::Duration per_gib, std::uint32_t size_mib) {
  return per_gib * (size_mib / kMibPerGib);
}

}  // namespace

Engine::Engine(WorkerId worker, EngineOptions options, std::uint64_t seed,
               WeightStore* weight_store, EngineObserver* observer)
    : worker_(std::move(worker)),
      options_(options),
      weight_store_(weight_store),
      observer_(observer),
      gate_(WorkerIncarnation(1), options.disable_fence_for_test),
      cache_(options.memory_cache_mib, options.disk_cache_mib),
      prefix_cache_(options.prefix_cache, seed) {}

// --- Orders -------------------------------------------------------------------------------------

OrderResult Engine::Fence(WorkerIncarnation incarnation, KeeperEpoch epoch, absl::Time now) {
  Advance(now);
  const OrderVerdict verdict = gate_.Fence(incarnation, epoch);
  if (verdict != OrderVerdict::kAccepted) {
    return Refuse(verdict, {incarnation, epoch, {}, {}}, ModelName());
  }
  observer_->OnEvent(Entry(EngineEvent::kFenced, ModelName()));
  return OrderResult::kAccepted;
}

OrderResult Engine::Load(const LoadOrder& order, absl::Time now) {
  Advance(now);
  const OrderVerdict verdict = gate_.AdmitLoad(order.fence, order.model);
  if (verdict != OrderVerdict::kAccepted) {
    return Refuse(verdict, order.fence, order.model);
  }
  auto present = replicas_.find(order.model);
  if (present != replicas_.end() && present->second.state != ReplicaState::kFailed) {
    Replica& replica = present->second;
    replica.generation = order.fence.generation;
    if (replica.state == ReplicaState::kDraining) {
      replica.state = ReplicaState::kReady;
    }
    return OrderResult::kAccepted;
  }
  if (!order.base.empty() && !replicas_.contains(order.base)) {
    return RefuseLoad(OrderResult::kBaseNotLoaded, order);
  }
  if (order.memory_mib > options_.memory_mib - memory_used_mib_) {
    return RefuseLoad(OrderResult::kOutOfMemory, order);
  }
  BeginLoad(order, now);
  return OrderResult::kAccepted;
}

OrderResult Engine::Unload(const UnloadOrder& order, absl::Time now) {
  Advance(now);
  const OrderVerdict verdict = gate_.AdmitUnload(order.fence, order.model);
  if (verdict != OrderVerdict::kAccepted) {
    return Refuse(verdict, order.fence, order.model);
  }
  auto replica = replicas_.find(order.model);
  if (replica == replicas_.end()) {
    return OrderResult::kAccepted;
  }
  if (replica->second.state == ReplicaState::kReady) {
    UpdateMemoryUse(now);
    replica->second.state = ReplicaState::kDraining;
    RemoveIfDrained(order.model, now);
  } else if (replica->second.state != ReplicaState::kDraining) {
    RemoveReplica(replica, now);
  }
  return OrderResult::kAccepted;
}

OrderResult Engine::SetRole(const OrderFence& fence, const std::string& role, absl::Time now) {
  Advance(now);
  const OrderVerdict verdict = gate_.AdmitRole(fence);
  if (verdict != OrderVerdict::kAccepted) {
    return Refuse(verdict, fence, ModelName());
  }
  role_ = role;
  return OrderResult::kAccepted;
}

OrderResult Engine::Refuse(OrderVerdict verdict, const OrderFence& fence, const ModelName& model) {
  LogEntry entry = Entry(EngineEvent::kOrderRefused, model);
  entry.epoch = fence.epoch;
  entry.generation = fence.generation;
  entry.reason = OrderVerdictName(verdict);
  observer_->OnEvent(std::move(entry));
  return OrderResult::kFenced;
}

OrderResult Engine::RefuseLoad(OrderResult result, const LoadOrder& order) {
  const bool out_of_memory = result == OrderResult::kOutOfMemory;
  LogEntry refused = Entry(EngineEvent::kOrderRefused, order.model);
  refused.generation = order.fence.generation;
  refused.reason = out_of_memory ? "out_of_memory" : "base_not_loaded";
  observer_->OnEvent(refused);
  if (out_of_memory) {
    refused.event = EngineEvent::kOvercommit;
    refused.reason = absl::StrCat("asked for ", order.memory_mib, " MiB, used ", memory_used_mib_,
                                  " of ", options_.memory_mib);
    observer_->OnEvent(std::move(refused));
  }
  return result;
}

// --- Loads --------------------------------------------------------------------------------------

void Engine::BeginLoad(const LoadOrder& order, absl::Time now) {
  UpdateMemoryUse(now);
  Replica& replica = replicas_[order.model];
  replica = Replica();
  replica.base = order.base;
  replica.checkpoint = order.checkpoint.empty() ? order.model.value() : order.checkpoint;
  replica.generation = order.fence.generation;
  replica.memory_mib = order.memory_mib;
  replica.last_used = now;
  memory_used_mib_ += order.memory_mib;
  observer_->OnReplicaCount(order.model, 1);
  observer_->OnEvent(Entry(EngineEvent::kLoadBegin, order.model));

  switch (cache_.TierOf(replica.checkpoint)) {
    case CacheTier::kMemory:
      replica.ready_at = now + LoadTime(options_.memory_load_per_gib, order.memory_mib);
      break;
    case CacheTier::kDisk:
      replica.ready_at = now + LoadTime(options_.disk_load_per_gib, order.memory_mib);
      break;
    case CacheTier::kRemote:
      replica.transfer =
          weight_store_->Request(LoadTime(options_.remote_load_per_gib, order.memory_mib), now);
      break;
  }
}

void Engine::OnTransferDone(TransferId transfer, absl::Time now) {
  Advance(now);
  for (auto& [model, replica] : replicas_) {
    if (replica.transfer == transfer) {
      replica.transfer.reset();
      replica.ready_at = now;
    }
  }
  Advance(now);
}

void Engine::FinishDueLoads(absl::Time now) {
  std::vector<ModelName> due;
  for (const auto& [model, replica] : replicas_) {
    const bool loaded = replica.state == ReplicaState::kLoading && replica.ready_at <= now;
    if (loaded && BaseIsReady(replica)) {
      due.push_back(model);
    }
  }
  for (const ModelName& model : due) {
    CompleteLoad(model, now);
  }
}

bool Engine::BaseIsReady(const Replica& replica) const {
  if (replica.base.empty()) {
    return true;
  }
  auto base = replicas_.find(replica.base);
  return base != replicas_.end() && base->second.state == ReplicaState::kReady;
}

void Engine::CompleteLoad(const ModelName& model, absl::Time now) {
  UpdateMemoryUse(now);
  Replica& replica = replicas_.at(model);
  if (loads_to_fail_ > 0) {
    --loads_to_fail_;
    replica.state = ReplicaState::kFailed;
    memory_used_mib_ -= replica.memory_mib;
    replica.memory_mib = 0;
    observer_->OnReplicaCount(model, -1);
    observer_->OnEvent(Entry(EngineEvent::kLoadFailed, model));
    return;
  }
  replica.state = ReplicaState::kReady;
  replica.last_used = now;
  cache_.Put(replica.checkpoint, replica.memory_mib);
  observer_->OnEvent(Entry(EngineEvent::kLoadReady, model));
}

void Engine::RemoveReplica(Replicas::iterator replica, absl::Time now) {
  UpdateMemoryUse(now);
  const ModelName model = replica->first;
  LogEntry entry = Entry(EngineEvent::kUnloaded, model);
  if (replica->second.transfer.has_value()) {
    weight_store_->Abort(*replica->second.transfer, now);
  }
  if (replica->second.state != ReplicaState::kFailed) {
    observer_->OnReplicaCount(model, -1);
  }
  memory_used_mib_ -= replica->second.memory_mib;
  replicas_.erase(replica);
  prefix_cache_.Drop(model, now);
  entry.memory_used_mib = memory_used_mib_;
  observer_->OnEvent(std::move(entry));
}

void Engine::RemoveIfDrained(const ModelName& model, absl::Time now) {
  auto replica = replicas_.find(model);
  if (replica == replicas_.end() || replica->second.state != ReplicaState::kDraining) {
    return;
  }
  if (replica->second.running == 0 && replica->second.queued == 0) {
    RemoveReplica(replica, now);
  }
}

}  // namespace hingespan::emulator
