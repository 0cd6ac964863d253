// Selects the replicas that a keeper unloads: idle ones by the keep-warm policy, and evictions that
// make room for a load.
#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "hingespan/grant/pinned_slots.h"
#include "hingespan/placement/worker_keeper.h"

namespace hingespan {

void WorkerKeeper::UnloadIdle(absl::Time now, Outbox* outbox) {
  for (const IdleReplica& idle : IdleReplicas(now)) {
    if (idle.idle >= IdleLimit(idle, options_.keep_warm)) {
      OrderUnload(idle.model, replicas_[idle.model].generation, now, outbox);
    }
  }
}

// Unloads idle replicas within their grants so that at least `needed_mib` more becomes free.
void WorkerKeeper::Evict(std::uint32_t needed_mib, absl::Time now, Outbox* outbox) {
  const std::vector<EvictionGroup> groups = EvictionGroups(now);
  std::vector<IdleReplica> idle;
  idle.reserve(groups.size());
  for (const EvictionGroup& group : groups) {
    idle.push_back(group.sum);
  }
  for (const std::size_t index : ChooseEvictions(idle, needed_mib, options_.keep_warm)) {
    for (const ModelName& model : groups[index].members) {
      OrderUnload(model, replicas_[model].generation, now, outbox);
    }
  }
}

// Returns the groups that can be unloaded to make room: single replicas, and a base together with
// all adapters on it. Without such groups, a few MiB of idle adapters would pin the memory of their
// base.
std::vector<WorkerKeeper::EvictionGroup> WorkerKeeper::EvictionGroups(absl::Time now) const {
  absl::flat_hash_set<ModelName> wanted_bases;
  for (const auto& [model, load] : waiting_loads_) {
    wanted_bases.insert(BaseNameOf(model));
  }
  absl::btree_map<ModelName, std::vector<ModelName>> adapters;
  for (const auto& [model, replica] : replicas_) {
    adapters[BaseNameOf(model)].push_back(model);
  }
  const auto is_evictable = [&](const ModelName& model) {
    const auto replica = replicas_.find(model);
    return replica != replicas_.end() && IsIdle(replica->second) &&
           now - replica->second.ready_since >= options_.minimum_residence;
  };
  const auto is_evictable_with_adapters = [&](const ModelName& base) {
    const auto on_base = adapters.find(base);
    return !base.empty() && is_evictable(base) && !wanted_bases.contains(base) &&
           (on_base == adapters.end() ||
            std::all_of(on_base->second.begin(), on_base->second.end(), is_evictable));
  };
  std::vector<EvictionGroup> groups;
  for (const auto& [model, replica] : replicas_) {
    const bool is_base = adapters.contains(model) || wanted_bases.contains(model);
    const bool evictable = is_base ? is_evictable_with_adapters(model) : is_evictable(model);
    if (!evictable || is_evictable_with_adapters(BaseNameOf(model))) {
      continue;
    }
    EvictionGroup group;
    if (is_base && adapters.contains(model)) {
      group.members = adapters.at(model);
    }
    group.members.push_back(model);
    group.sum = DescribeGroup(group.members, now);
    groups.push_back(std::move(group));
  }
  return groups;
}

// Describes the group as one replica: its idle time is that of the member used most recently, and
// its members are reloaded one after the other.
IdleReplica WorkerKeeper::DescribeGroup(const std::vector<ModelName>& members,
                                        absl::Time now) const {
  IdleReplica sum;
  sum.idle = absl::InfiniteDuration();
  for (const ModelName& model : members) {
    const IdleReplica member = DescribeIdle(model, replicas_.at(model), now);
    sum.memory_mib += member.memory_mib;
    sum.reload_time += member.reload_time;
    sum.pinned = sum.pinned || member.pinned;
    if (member.idle < sum.idle) {
      sum.model = member.model;
      sum.idle = member.idle;
      sum.recent_gaps = member.recent_gaps;
    }
  }
  return sum;
}

ModelName WorkerKeeper::BaseNameOf(const ModelName& model) const {
  const auto row = store_->FindRow(model);
  return row != nullptr && row->kind == RowKind::kAdapter ? row->base : ModelName();
}

std::uint32_t WorkerKeeper::BeingFreedMib() const {
  std::uint32_t sum = 0;
  for (const auto& [model, replica] : replicas_) {
    if (replica.order == OrderKind::kUnload && ledger_.Has(model)) {
      sum += replica.memory_mib;
    }
  }
  return sum;
}

// Returns whether the load could get its memory by evicting every replica that is idle now.
bool WorkerKeeper::CanMakeRoom(const ModelName& model, std::uint32_t needed_mib,
                               absl::Time now) const {
  if (options_.disable_ledger_for_test) {
    return true;
  }
  std::uint64_t available_mib = std::uint64_t{ledger_.free_mib()} + BeingFreedMib();
  for (const auto& [other, replica] : replicas_) {
    const bool idle = IsIdle(replica) && !DescribeIdle(other, replica, now).pinned;
    if (idle) {
      available_mib += replica.memory_mib;
    }
  }
  std::uint64_t promised_mib = 0;
  for (const auto& [other, load] : waiting_loads_) {
    const auto row = store_->FindRow(other);
    if (other != model && row != nullptr) {
      promised_mib += row->memory_mib;
    }
  }
  return promised_mib + needed_mib <= available_mib;
}

bool WorkerKeeper::IsIdle(const Replica& replica) {
  return replica.state == ReplicaState::kReady && replica.running == 0 &&
         replica.order != OrderKind::kUnload && replica.stage == OrderStage::kSettled;
}

// Returns the replicas that may be unloaded now. A base stays loaded while an adapter on it is
// loaded or waiting.
std::vector<IdleReplica> WorkerKeeper::IdleReplicas(absl::Time now) const {
  absl::flat_hash_set<ModelName> bases_in_use;
  const auto use_base_of = [&](const ModelName& model) {
    const auto row = store_->FindRow(model);
    if (row != nullptr && row->kind == RowKind::kAdapter) {
      bases_in_use.insert(row->base);
    }
  };
  for (const auto& [model, replica] : replicas_) {
    use_base_of(model);
  }
  for (const auto& [model, load] : waiting_loads_) {
    use_base_of(model);
  }
  std::vector<IdleReplica> idle;
  for (const auto& [model, replica] : replicas_) {
    const bool resident = now - replica.ready_since >= options_.minimum_residence;
    if (IsIdle(replica) && resident && !bases_in_use.contains(model)) {
      idle.push_back(DescribeIdle(model, replica, now));
    }
  }
  return idle;
}

IdleReplica WorkerKeeper::DescribeIdle(const ModelName& model, const Replica& replica,
                                       absl::Time now) const {
  IdleReplica idle;
  idle.model = model;
  idle.memory_mib = replica.memory_mib;
  idle.idle = absl::Milliseconds(replica.idle_ms) + (now - replica.seen_at);
  idle.reload_time = estimator_.Estimate(TierOf(model), replica.memory_mib);
  const auto history = histories_.find(model);
  if (history != histories_.end()) {
    idle.recent_gaps = history->second.gaps;
  }
  if (const auto row = store_->FindRow(model)) {
    idle.row_idle = absl::Milliseconds(row->idle_ms);
    idle.pinned = IsPinned(*row);
  }
  return idle;
}

bool WorkerKeeper::IsPinned(const ModelRow& row) const {
  const auto record = store_->FindGrant(row.name);
  if (row.min_replicas == 0 || record == nullptr) {
    return false;
  }
  const std::vector<GrantSlot> pinned = PinnedSlots(row, *record);
  return std::any_of(pinned.begin(), pinned.end(), [this](const GrantSlot& slot) {
    return slot.worker == machine_.worker && slot.incarnation == incarnation_;
  });
}

}  // namespace hingespan
