// Selection of the granted slots that a placer asks to load, and of their number.
#include <algorithm>
#include <utility>

#include "hingespan/placement/placer.h"

namespace hingespan {
namespace {

// Every waiting router has found a replica that became ready this long ago.
constexpr absl::Duration kReplicaFillTime = absl::Seconds(1);
// Assumed remaining time of a load that takes longer than expected.
constexpr absl::Duration kOverdueLoadTime = absl::Milliseconds(50);

}  // namespace

// Requests a first replica, and as many more as the waiting requests need to be served in time,
// regardless of how many routers sent them.
// Spec action: RequestLoad.
void Placer::StartLoads(const ModelRow& row, ColdModel* cold,
                        const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                        Outbox* outbox) {
  UpdateReadyReplicas(row.name, now, cold);
  ReplicaDemand demand = DemandFor(row, *cold, now);
  for (const Candidate& candidate : Candidates(row, *cold, now)) {
    const bool enough = !demand.replicas.empty() && !count_policy_.NeedsAnother(demand);
    if (enough && !options_.disable_coalescing_for_test) {
      break;
    }
    Attempt attempt;
    attempt.worker = candidate.slot.worker;
    attempt.incarnation = candidate.slot.incarnation;
    attempt.generation = candidate.slot.generation;
    attempt.received_at = now;
    SendLoad(row.name, *cold, &attempt, keeper_of, now, outbox);
    cold->attempts.push_back(std::move(attempt));
    demand.replicas.push_back({demand.load, false});
  }
  const bool refused_for_memory = AnyRefusedForMemory(*cold);
  if (!demand.replicas.empty() || refused_for_memory) {
    cold->no_worker_since = absl::InfiniteFuture();
  } else if (cold->no_worker_since == absl::InfiniteFuture()) {
    cold->no_worker_since = now;
  }
}

// Records when replicas became ready, as their places fill up from then on.
void Placer::UpdateReadyReplicas(const ModelName& model, absl::Time now, ColdModel* cold) const {
  const std::vector<WorkerId> ready = directory_->ReadyWorkers(model, now);
  absl::btree_map<WorkerId, absl::Time> since;
  for (const WorkerId& worker : ready) {
    const auto known = cold->ready_since.find(worker);
    const bool new_here = known == cold->ready_since.end();
    // Replicas that are ready when the first request arrives were ready before it.
    const absl::Time first_seen = cold->first_request_at == now ? absl::InfinitePast() : now;
    since[worker] = new_here ? first_seen : known->second;
  }
  cold->ready_since = std::move(since);
}

ReplicaDemand Placer::DemandFor(const ModelRow& row, const ColdModel& cold, absl::Time now) const {
  ReplicaDemand demand;
  demand.slots = row.max_concurrency;
  demand.load =
      cold.reported_load_time.value_or(load_times_.Estimate(CacheTier::kRemote, row.memory_mib));
  int routers_with_service = 0;
  for (const auto& [node, waiter] : cold.waiters) {
    const absl::Duration earliest = std::max(absl::ZeroDuration(), waiter.deadline - now);
    const absl::Duration latest = std::max(earliest, waiter.latest_deadline - now);
    demand.waiting.push_back({waiter.waiting, earliest, latest});
    demand.service += waiter.service;
    routers_with_service += waiter.service > absl::ZeroDuration() ? 1 : 0;
  }
  demand.service /= std::max(1, routers_with_service);
  for (const auto& [worker, supply] : Supplies(row.name, cold, demand.load, now)) {
    demand.replicas.push_back(supply);
  }
  return demand;
}

// Returns the replicas that are ready, loading or requested.
absl::btree_map<WorkerId, ReplicaSupply> Placer::Supplies(const ModelName& model,
                                                          const ColdModel& cold,
                                                          absl::Duration load,
                                                          absl::Time now) const {
  absl::btree_map<WorkerId, ReplicaSupply> supplies;
  for (const auto& [worker, since] : cold.ready_since) {
    supplies[worker] = {absl::ZeroDuration(), now - since >= kReplicaFillTime};
  }
  const auto add = [&](const WorkerId& worker, absl::Time expected_ready) {
    const bool known = expected_ready != absl::InfiniteFuture();
    const absl::Duration ready_in = known ? expected_ready - now : load;
    supplies.try_emplace(worker, ReplicaSupply{std::max(ready_in, kOverdueLoadTime), false});
  };
  for (const WorkerId& worker : directory_->LoadingWorkers(model, now)) {
    add(worker, directory_->Find(worker)->replicas.at(model).expected_ready);
  }
  for (const Attempt& attempt : cold.attempts) {
    if (attempt.stage != AttemptStage::kRefused) {
      add(attempt.worker, attempt.expected_ready);
    }
  }
  return supplies;
}

// Returns the slots from which a load may be requested now, best first.
std::vector<Placer::Candidate> Placer::Candidates(const ModelRow& row, const ColdModel& cold,
                                                  absl::Time now) const {
  std::vector<Candidate> candidates;
  const auto record = store_->FindGrant(row.name);
  if (record == nullptr) {
    return candidates;
  }
  for (const GrantSlot& slot : record->slots) {
    const bool tried = !options_.disable_coalescing_for_test && HasAttempt(cold, slot);
    if (IsUsable(slot, now) && !tried && !IsLoadedAt(row.name, slot.worker)) {
      candidates.push_back(Describe(row, slot));
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              if (left.base_rank != right.base_rank) {
                return left.base_rank > right.base_rank;
              }
              if (left.free_mib != right.free_mib) {
                return left.free_mib > right.free_mib;
              }
              return left.slot.generation < right.slot.generation;
            });
  return candidates;
}

Placer::Candidate Placer::Describe(const ModelRow& row, const GrantSlot& slot) const {
  const KnownWorker& worker = *directory_->Find(slot.worker);
  Candidate candidate;
  candidate.slot = slot;
  const WorkerReport& report = worker.report;
  if (report.memory_mib > report.memory_charged_mib) {
    candidate.free_mib = report.memory_mib - report.memory_charged_mib;
  }
  const auto base = worker.replicas.find(row.base);
  if (row.kind == RowKind::kAdapter && base != worker.replicas.end()) {
    const bool ready = base->second.state == ReplicaState::kReady;
    const bool loading = base->second.state == ReplicaState::kLoading;
    candidate.base_rank = ready ? 2 : (loading ? 1 : 0);
  }
  return candidate;
}

bool Placer::IsUsable(const GrantSlot& slot, absl::Time now) const {
  if (slot.zone != zone_ || slot.state != SlotState::kGranted) {
    return false;
  }
  const KnownWorker* worker = directory_->Find(slot.worker);
  return worker != nullptr && worker->report.incarnation == slot.incarnation &&
         directory_->MayReceiveWork(*worker, now);
}

bool Placer::IsLoadedAt(const ModelName& model, const WorkerId& worker) const {
  const KnownWorker* known = directory_->Find(worker);
  if (known == nullptr) {
    return false;
  }
  const auto replica = known->replicas.find(model);
  if (replica == known->replicas.end()) {
    return false;
  }
  return replica->second.state == ReplicaState::kReady ||
         replica->second.state == ReplicaState::kLoading;
}

bool Placer::HasAttempt(const ColdModel& cold, const GrantSlot& slot) {
  return std::any_of(cold.attempts.begin(), cold.attempts.end(), [&](const Attempt& attempt) {
    return attempt.worker == slot.worker && attempt.generation == slot.generation;
  });
}

std::uint32_t Placer::TotalWaiting(const ColdModel& cold) {
  std::uint32_t sum = 0;
  for (const auto& [node, waiter] : cold.waiters) {
    sum += waiter.waiting;
  }
  return sum;
}

}  // namespace hingespan
