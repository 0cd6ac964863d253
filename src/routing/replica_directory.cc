#include "hingespan/routing/replica_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hingespan {
namespace {

KnownReplica FromEntry(const ReplicaEntry& entry, absl::Time now) {
  return KnownReplica{entry.generation, entry.state, now + absl::Milliseconds(entry.ready_in_ms)};
}

// Expected times are estimates, so a new one alone does not change the replica.
bool SameReplica(const KnownReplica& left, const KnownReplica& right) {
  return left.generation == right.generation && left.state == right.state;
}

std::vector<ModelName> ModelsOf(const KnownWorker& worker) {
  std::vector<ModelName> models;
  models.reserve(worker.replicas.size());
  for (const auto& [model, replica] : worker.replicas) {
    models.push_back(model);
  }
  return models;
}

}  // namespace

ReplicaDirectory::ReplicaDirectory(DirectoryOptions options) : options_(options) {}

std::vector<ModelName> ReplicaDirectory::Handle(const NodeId& from, const WorkerReport& report,
                                                absl::Time now, Outbox* outbox) {
  std::vector<ModelName> changed;
  if (!workers_.contains(report.worker)) {
    ForgetSilentWorkers(now);
  }
  KnownWorker* worker = Accept(from, report.worker, report.incarnation, report.epoch, &changed);
  if (worker == nullptr || report.sequence < worker->report.sequence) {
    return changed;
  }
  const bool could_receive = MayReceiveWork(*worker, now);
  // A replica update of a later version may have overtaken this report.
  const ReplicaListVersion version = std::max(worker->report.version, report.version);
  worker->report = report;
  worker->report.version = version;
  worker->heard_at = now;
  worker->reported_at = now;
  if (MayReceiveWork(*worker, now) != could_receive) {
    changed = ModelsOf(*worker);
  }
  RequestListIfNeeded(*worker, now, outbox);
  return changed;
}

// Spec action: HandleHeartbeat.
std::vector<ModelName> ReplicaDirectory::Handle(const NodeId& from,
                                                const WorkerHeartbeat& heartbeat, absl::Time now,
                                                Outbox* outbox) {
  const auto found = workers_.find(heartbeat.worker);
  if (found == workers_.end()) {
    outbox->Send(from, WorkerReportRequest{heartbeat.worker});
    return {};
  }
  KnownWorker& worker = found->second;
  const WorkerReport& report = worker.report;
  const auto held = std::tie(report.incarnation, report.epoch, report.sequence);
  const auto confirmed = std::tie(heartbeat.incarnation, heartbeat.epoch, heartbeat.sequence);
  if (confirmed < held) {
    return {};
  }
  if (confirmed != held) {
    outbox->Send(from, WorkerReportRequest{heartbeat.worker});
    return {};
  }
  return Confirm(heartbeat.version, now, &worker, outbox);
}

std::vector<ModelName> ReplicaDirectory::Confirm(ReplicaListVersion version, absl::Time now,
                                                 KnownWorker* worker, Outbox* outbox) {
  const bool could_receive = MayReceiveWork(*worker, now);
  worker->heard_at = now;
  worker->report.version = std::max(worker->report.version, version);
  RequestListIfNeeded(*worker, now, outbox);
  const bool may_receive = MayReceiveWork(*worker, now);
  return may_receive == could_receive ? std::vector<ModelName>() : ModelsOf(*worker);
}

std::vector<ModelName> ReplicaDirectory::Handle(const NodeId& from, const ReplicaUpdate& update,
                                                absl::Time now, Outbox* outbox) {
  std::vector<ModelName> changed;
  KnownWorker* worker = Accept(from, update.worker, update.incarnation, update.epoch, &changed);
  if (worker == nullptr || update.version <= worker->version) {
    return changed;
  }
  worker->report.version = std::max(worker->report.version, update.version);
  if (update.version != worker->version.Next() || !worker->complete) {
    RequestListIfNeeded(*worker, now, outbox);
    return changed;
  }
  worker->version = update.version;
  if (update.removed) {
    EraseReplica(worker, update.model);
  } else {
    SetReplica(worker, update.model,
               KnownReplica{update.generation, update.state,
                            now + absl::Milliseconds(update.ready_in_ms)});
  }
  changed.push_back(update.model);
  return changed;
}

std::vector<ModelName> ReplicaDirectory::Handle(const NodeId& from, const ReplicaList& list,
                                                absl::Time now) {
  std::vector<ModelName> changed;
  KnownWorker* worker = Accept(from, list.worker, list.incarnation, list.epoch, &changed);
  if (worker == nullptr || list.version < worker->version) {
    return changed;
  }
  const bool is_newer = list.version > worker->version || !worker->complete;
  if (!is_newer || !AddPart(list)) {
    return changed;
  }
  for (ModelName& model : ReplaceReplicas(worker, now)) {
    changed.push_back(std::move(model));
  }
  return changed;
}

void ReplicaDirectory::RequestList(const WorkerId& worker, absl::Time now, Outbox* outbox) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) {
    return;
  }
  absl::Time& next = next_list_request_.try_emplace(worker, absl::InfinitePast()).first->second;
  if (now < next) {
    return;
  }
  next = now + options_.list_request_interval;
  outbox->Send(found->second.keeper, ReplicaListRequest{worker});
}

void ReplicaDirectory::MarkLeaving(const WorkerId& worker, bool leaving) {
  if (leaving) {
    leaving_.insert(worker);
  } else {
    leaving_.erase(worker);
  }
}

std::vector<WorkerId> ReplicaDirectory::ReadyWorkers(const ModelName& model, absl::Time now) const {
  return WorkersInState(model, ReplicaState::kReady, now);
}

std::vector<WorkerId> ReplicaDirectory::LoadingWorkers(const ModelName& model,
                                                       absl::Time now) const {
  return WorkersInState(model, ReplicaState::kLoading, now);
}

const KnownWorker* ReplicaDirectory::Find(const WorkerId& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? nullptr : &found->second;
}

bool ReplicaDirectory::MayReceiveWork(const KnownWorker& worker, absl::Time now) const {
  const WorkerReport& report = worker.report;
  const bool leaving = report.leaving || leaving_.contains(report.worker);
  if (leaving && !options_.disable_leaving_for_test) {
    return false;
  }
  if (report.base_url.empty() || !report.reachable) {
    return false;
  }
  return now - worker.heard_at <= options_.report_timeout;
}

void ReplicaDirectory::MarkNotLoaded(const WorkerId& worker, const ModelName& model) {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.replicas.contains(model)) {
    return;
  }
  EraseReplica(&found->second, model);
  found->second.complete = false;
}

KnownWorker* ReplicaDirectory::Accept(const NodeId& from, const WorkerId& worker_id,
                                      WorkerIncarnation incarnation, KeeperEpoch epoch,
                                      std::vector<ModelName>* changed) {
  const auto [entry, inserted] = workers_.try_emplace(worker_id);
  KnownWorker& worker = entry->second;
  if (inserted) {
    worker.report.worker = worker_id;
    worker.heard_at = absl::InfinitePast();
    worker.reported_at = absl::InfinitePast();
  }
  WorkerReport& report = worker.report;
  const auto held = std::tie(report.incarnation, report.epoch);
  const auto offered = std::tie(incarnation, epoch);
  if (!inserted && offered < held) {
    return nullptr;
  }
  if (!inserted && offered == held) {
    return &worker;
  }
  if (inserted || report.incarnation != incarnation) {
    // A new engine process holds no replicas of the previous one.
    EraseAllReplicas(&worker, changed);
  }
  worker.complete = false;  // The old list stays in use until the new keeper's list arrives.
  report.incarnation = incarnation;
  report.epoch = epoch;
  report.version = ReplicaListVersion();
  report.sequence = 0;
  worker.version = ReplicaListVersion();
  worker.keeper = from;
  partial_lists_.erase(worker_id);
  next_list_request_.erase(worker_id);
  return &worker;
}

void ReplicaDirectory::RequestListIfNeeded(const KnownWorker& worker, absl::Time now,
                                           Outbox* outbox) {
  if (worker.complete && worker.version == worker.report.version) {
    return;
  }
  RequestList(worker.report.worker, now, outbox);
}

// Returns true once all parts of the list were received.
bool ReplicaDirectory::AddPart(const ReplicaList& list) {
  if (list.part >= list.parts) {
    return false;
  }
  PartialList& partial = partial_lists_[list.worker];
  const auto held = std::tie(partial.incarnation, partial.epoch, partial.version);
  const auto offered = std::tie(list.incarnation, list.epoch, list.version);
  if (offered < held) {
    return false;
  }
  if (offered != held || partial.parts != list.parts) {
    partial = PartialList{list.incarnation, list.epoch, list.version, list.parts, {}};
  }
  partial.entries.insert_or_assign(list.part, list.replicas);
  return partial.entries.size() == partial.parts;
}

std::vector<ModelName> ReplicaDirectory::ReplaceReplicas(KnownWorker* worker, absl::Time now) {
  const auto node = partial_lists_.extract(worker->report.worker);
  const PartialList& list = node.mapped();
  absl::btree_map<ModelName, KnownReplica> listed;
  for (const auto& [part, entries] : list.entries) {
    for (const ReplicaEntry& entry : entries) {
      listed.insert_or_assign(entry.model, FromEntry(entry, now));
    }
  }
  std::vector<ModelName> changed;
  for (const ModelName& model : ModelsOf(*worker)) {
    if (!listed.contains(model)) {
      EraseReplica(worker, model);
      changed.push_back(model);
    }
  }
  for (const auto& [model, replica] : listed) {
    const auto held = worker->replicas.find(model);
    if (held == worker->replicas.end() || !SameReplica(held->second, replica)) {
      changed.push_back(model);
    }
    SetReplica(worker, model, replica);
  }
  worker->version = list.version;
  worker->report.version = std::max(worker->report.version, list.version);
  worker->complete = true;
  return changed;
}

void ReplicaDirectory::SetReplica(KnownWorker* worker, const ModelName& model,
                                  const KnownReplica& replica) {
  worker->replicas.insert_or_assign(model, replica);
  holders_[model].insert(worker->report.worker);
}

void ReplicaDirectory::EraseReplica(KnownWorker* worker, const ModelName& model) {
  worker->replicas.erase(model);
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) {
    return;
  }
  holders->second.erase(worker->report.worker);
  if (holders->second.empty()) {
    holders_.erase(holders);
  }
}

void ReplicaDirectory::EraseAllReplicas(KnownWorker* worker, std::vector<ModelName>* changed) {
  for (const ModelName& model : ModelsOf(*worker)) {
    EraseReplica(worker, model);
    changed->push_back(model);
  }
}

void ReplicaDirectory::ForgetSilentWorkers(absl::Time now) {
  std::vector<ModelName> ignored;
  for (auto entry = workers_.begin(); entry != workers_.end();) {
    if (now - entry->second.heard_at <= options_.forget_after) {
      ++entry;
      continue;
    }
    EraseAllReplicas(&entry->second, &ignored);
    partial_lists_.erase(entry->first);
    next_list_request_.erase(entry->first);
    entry = workers_.erase(entry);
  }
}

std::vector<WorkerId> ReplicaDirectory::WorkersInState(const ModelName& model, ReplicaState state,
                                                       absl::Time now) const {
  std::vector<WorkerId> workers;
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) {
    return workers;
  }
  for (const WorkerId& worker_id : holders->second) {
    const KnownWorker& worker = workers_.at(worker_id);
    const bool in_state = worker.replicas.at(model).state == state;
    if (in_state && MayReceiveWork(worker, now)) {
      workers.push_back(worker_id);
    }
  }
  return workers;
}

}  // namespace hingespan
