#include "hingespan/routing/worker_loads.h"

#include <algorithm>

namespace hingespan {
namespace {

std::uint32_t ReadyReplicas(const KnownWorker& worker) {
  const auto is_ready = [](const auto& entry) {
    return entry.second.state == ReplicaState::kReady;
  };
  return static_cast<std::uint32_t>(
      std::count_if(worker.replicas.begin(), worker.replicas.end(), is_ready));
}

}  // namespace

void WorkerLoads::Reserve(const WorkerId& worker, const ModelName& model) {
  Entry& entry = EntryOf(worker);
  ++entry.own;
  entry.peak = std::max(entry.peak, entry.own);
  ++running_[{worker, model}];
}

void WorkerLoads::Release(const WorkerId& worker, const ModelName& model) {
  const auto place = running_.find({worker, model});
  if (place == running_.end()) {
    return;
  }
  if (--place->second == 0) {
    running_.erase(place);
  }
  --EntryOf(worker).own;
}

bool WorkerLoads::HasRoom(const KnownWorker& worker, const ModelName& model,
                          std::uint32_t max_concurrency) {
  const auto place = running_.find({worker.report.worker, model});
  if (place == running_.end()) {
    return true;
  }
  Entry& entry = EntryOf(worker.report.worker);
  ApplyReport(worker, &entry);
  const std::uint32_t others = entry.others / std::max<std::uint32_t>(1, ReadyReplicas(worker));
  return place->second + others < max_concurrency;
}

std::uint32_t WorkerLoads::LoadOf(const KnownWorker& worker) {
  Entry& entry = EntryOf(worker.report.worker);
  ApplyReport(worker, &entry);
  return entry.own + entry.others;
}

CircuitBreaker& WorkerLoads::BreakerOf(const KnownWorker& worker) {
  Entry& entry = EntryOf(worker.report.worker);
  if (entry.incarnation != worker.report.incarnation) {
    entry.incarnation = worker.report.incarnation;
    entry.breaker = CircuitBreaker(options_);
  }
  return entry.breaker;
}

CircuitBreaker* WorkerLoads::FindBreaker(const WorkerId& worker) {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? nullptr : &found->second.breaker;
}

void WorkerLoads::ForgetUnknown(const ReplicaDirectory& directory) {
  if (workers_.size() <= directory.workers().size()) {
    return;
  }
  absl::erase_if(workers_, [&directory](const auto& entry) {
    return entry.second.own == 0 && directory.Find(entry.first) == nullptr;
  });
}

std::size_t WorkerLoads::running() const {
  std::size_t total = 0;
  for (const auto& [place, count] : running_) {
    total += count;
  }
  return total;
}

WorkerLoads::Entry& WorkerLoads::EntryOf(const WorkerId& worker) {
  return workers_.try_emplace(worker, options_).first->second;
}

void WorkerLoads::ApplyReport(const KnownWorker& worker, Entry* entry) {
  // Heartbeats carry no load, so only a new report is applied.
  if (worker.reported_at <= entry->reported_at) {
    return;
  }
  entry->reported_at = worker.reported_at;
  const std::uint32_t own_at_most = std::max(entry->peak, entry->previous_peak);
  const std::uint32_t reported = worker.report.running;
  entry->others = reported > own_at_most ? reported - own_at_most : 0;
  entry->previous_peak = entry->peak;
  entry->peak = entry->own;
}

}  // namespace hingespan
