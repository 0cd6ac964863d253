// An engine without any delays that applies fences with the same gate as the emulator's.
#ifndef HINGESPAN_TESTS_PLACEMENT_TEST_ENGINE_H_
#define HINGESPAN_TESTS_PLACEMENT_TEST_ENGINE_H_

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <variant>

#include "emulator/order_gate.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

class TestEngine {
 public:
  explicit TestEngine(std::uint32_t memory_mib = 100) : memory_mib_(memory_mib) {}

  // Applies a call. May be called again with the same call to simulate a duplicate.
  Result<EngineStatus> Apply(const EngineCall& call) {
    return std::visit([this](const auto& order) { return On(order); }, call.order);
  }
  // Completes a load or an unload that is in progress.
  void Progress(const ModelName& model) {
    const auto replica = replicas_.find(model);
    if (replica == replicas_.end()) {
      return;
    }
    if (replica->second.state == ReplicaState::kDraining) {
      replicas_.erase(replica);
    } else {
      replica->second.state = ReplicaState::kReady;
    }
  }
  void Restart() {
    replicas_.clear();
    gate_ = emulator::OrderGate(gate_.incarnation().Next());
  }
  EngineStatus Status() const {
    EngineStatus status;
    status.incarnation = gate_.incarnation();
    status.epoch = gate_.epoch();
    status.memory_mib = memory_mib_;
    status.memory_used_mib = used_mib();
    for (const auto& [model, replica] : replicas_) {
      status.replicas.push_back(replica);
    }
    return status;
  }
  std::uint32_t used_mib() const {
    std::uint32_t sum = 0;
    for (const auto& [model, replica] : replicas_) {
      sum += replica.memory_mib;
    }
    return sum;
  }
  EngineReplica* Find(const std::string& model) {
    const auto replica = replicas_.find(ModelName(model));
    return replica == replicas_.end() ? nullptr : &replica->second;
  }
  int overcommits() const { return overcommits_; }
  const std::map<ModelName, EngineReplica>& replicas() const { return replicas_; }

 private:
  // Orders of a keeper with disable_fence_for_test are admitted regardless of the gate.
  static bool IsUnfenced(const OrderFence& fence) {
    return fence.epoch == KeeperEpoch(std::numeric_limits<std::uint64_t>::max());
  }
  Result<EngineStatus> On(const FenceCall& call) {
    if (gate_.Fence(call.incarnation, call.epoch) != emulator::OrderVerdict::kAccepted) {
      return Error::kFenced;
    }
    return Status();
  }
  Result<EngineStatus> On(const StatusCall&) { return Status(); }
  Result<EngineStatus> On(const LoadOrder& order) {
    if (!IsUnfenced(order.fence) &&
        gate_.AdmitLoad(order.fence, order.model) != emulator::OrderVerdict::kAccepted) {
      return Error::kFenced;
    }
    if (replicas_.contains(order.model)) {
      EngineReplica& present = replicas_[order.model];
      if (present.state == ReplicaState::kDraining) {
        present.state = ReplicaState::kReady;
      }
      present.generation = order.fence.generation;
      return Status();
    }
    if (used_mib() + order.memory_mib > memory_mib_) {
      ++overcommits_;
      return Error::kOutOfMemory;
    }
    EngineReplica replica;
    replica.model = order.model;
    replica.generation = order.fence.generation;
    replica.memory_mib = order.memory_mib;
    replicas_[order.model] = replica;
    return Status();
  }
  Result<EngineStatus> On(const UnloadOrder& order) {
    if (!IsUnfenced(order.fence) &&
        gate_.AdmitUnload(order.fence, order.model) != emulator::OrderVerdict::kAccepted) {
      return Error::kFenced;
    }
    const auto replica = replicas_.find(order.model);
    if (replica != replicas_.end()) {
      replica->second.state = ReplicaState::kDraining;
    }
    return Status();
  }

  std::uint32_t memory_mib_;
  emulator::OrderGate gate_{WorkerIncarnation(1)};
  std::map<ModelName, EngineReplica> replicas_;
  int overcommits_ = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_PLACEMENT_TEST_ENGINE_H_
