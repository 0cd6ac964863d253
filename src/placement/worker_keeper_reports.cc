// Reports of a keeper to its zone: replica changes at once, a report when the worker changes in a
// way that affects the decisions of others, and the data that its node's heartbeats confirm.
#include <algorithm>
#include <tuple>
#include <utility>

#include "hingespan/placement/worker_keeper.h"
#include "worker_keeper_time.h"

namespace hingespan {
namespace {

// Maximum size of one part of a replica list, well below the size of a datagram.
constexpr std::size_t kListPartBytes = 1000;
constexpr std::size_t kListEntryBytes = 24;
// A load is reported again when it differs by a quarter, or by one below eight requests.
constexpr std::uint32_t kLoadFraction = 4;

// Returns whether the reports differ in a field that decides which workers may receive new work at
// all.
bool DifferInEligibility(const WorkerReport& left, const WorkerReport& right) {
  const auto eligibility = [](const WorkerReport& report) {
    return std::tie(report.incarnation, report.epoch, report.base_url, report.reachable,
                    report.leaving, report.memory_mib);
  };
  return eligibility(left) != eligibility(right);
}

bool DifferInLoad(std::uint32_t reported, std::uint32_t current) {
  const std::uint32_t difference = std::max(reported, current) - std::min(reported, current);
  return difference >= std::max<std::uint32_t>(1, reported / kLoadFraction);
}

// Returns whether the reports differ in a field by which eligible workers are ranked.
bool DifferInRanking(const WorkerReport& reported, const WorkerReport& current) {
  return reported.memory_charged_mib != current.memory_charged_mib ||
         DifferInLoad(reported.running, current.running) ||
         DifferInLoad(reported.queued, current.queued);
}

}  // namespace

void WorkerKeeper::SetPeers(const std::vector<NodeId>& peers) {
  if (peers == peers_) {
    return;
  }
  for (const NodeId& peer : peers) {
    if (std::find(peers_.begin(), peers_.end(), peer) == peers_.end()) {
      new_peers_.push_back(peer);
    }
  }
  peers_ = peers;
}

void WorkerKeeper::SendAnnouncements(absl::Time now, Outbox* outbox) {
  SendUpdates(outbox);
  const bool never_held = epoch_ == KeeperEpoch();
  if (never_held || state_ == KeeperState::kFenced) {
    return;
  }
  SendReports(now, outbox);
}

void WorkerKeeper::SendUpdates(Outbox* outbox) {
  std::vector<ReplicaUpdate> updates;
  updates.swap(pending_updates_);
  for (const ReplicaUpdate& update : updates) {
    for (const NodeId& peer : peers_) {
      outbox->Send(peer, update);
    }
  }
}

// Spec action: SendReport.
void WorkerKeeper::SendReports(absl::Time now, Outbox* outbox) {
  const std::vector<NodeId> new_peers = std::exchange(new_peers_, {});
  const bool eligibility_changed = !sent_report_ || DifferInEligibility(*sent_report_, Describe());
  const bool ranking_changed =
      !eligibility_changed && now >= next_report_ && DifferInRanking(*sent_report_, Describe());
  const bool repeated = now >= repeat_report_;
  if (eligibility_changed || ranking_changed) {
    sent_report_ = Report();
    next_report_ = now + options_.report_interval;
  }
  if (eligibility_changed) {
    repeat_report_ = next_report_;
  } else if (repeated) {
    repeat_report_ = absl::InfiniteFuture();
  }
  const bool to_all = eligibility_changed || ranking_changed || repeated;
  for (const NodeId& peer : to_all ? peers_ : new_peers) {
    outbox->Send(peer, *sent_report_);
  }
}

std::vector<ReplicaUpdate> WorkerKeeper::TakeLocalUpdates() {
  return std::exchange(local_updates_, {});
}

WorkerReport WorkerKeeper::Report() {
  ++report_sequence_;
  return Describe();
}

const WorkerReport* WorkerKeeper::SentReport() const {
  const bool is_keeper = sent_report_ && state_ != KeeperState::kFenced;
  return is_keeper ? &*sent_report_ : nullptr;
}

std::optional<WorkerHeartbeat> WorkerKeeper::Heartbeat() const {
  const WorkerReport* report = SentReport();
  if (report == nullptr || report->epoch != epoch_ || report->incarnation != incarnation_) {
    return std::nullopt;
  }
  return WorkerHeartbeat{report->worker, report->incarnation, report->epoch, version_,
                         report->sequence};
}

WorkerReport WorkerKeeper::Describe() const {
  WorkerReport report;
  report.worker = machine_.worker;
  report.incarnation = incarnation_;
  report.epoch = epoch_;
  report.version = version_;
  report.sequence = report_sequence_;
  report.base_url = machine_.base_url;
  report.reachable = reachable_ && state_ == KeeperState::kHolding;
  report.leaving = machine_.state != MachineState::kLive;
  report.memory_mib = ledger_.capacity_mib();
  report.memory_charged_mib = ledger_.charged_mib();
  report.running = running_;
  report.queued = queued_;
  return report;
}

std::vector<ReplicaList> WorkerKeeper::ListReplicas(absl::Time now) const {
  ReplicaList part;
  part.worker = machine_.worker;
  part.incarnation = incarnation_;
  part.epoch = epoch_;
  part.version = version_;
  std::vector<ReplicaList> parts = {part};
  std::size_t part_bytes = 0;
  for (const auto& [model, replica] : replicas_) {
    if (!replica.announced) {
      continue;
    }
    const std::size_t entry_bytes = model.value().size() + kListEntryBytes;
    if (part_bytes + entry_bytes > kListPartBytes && !parts.back().replicas.empty()) {
      parts.push_back(part);
      part_bytes = 0;
    }
    part_bytes += entry_bytes;
    ReplicaEntry entry;
    entry.model = model;
    entry.generation = replica.generation;
    entry.state = replica.state;
    if (replica.state == ReplicaState::kLoading) {
      entry.ready_in_ms = MillisecondsLeft(replica.expected_ready, now);
    }
    parts.back().replicas.push_back(std::move(entry));
  }
  for (std::size_t index = 0; index < parts.size(); ++index) {
    parts[index].part = static_cast<std::uint32_t>(index);
    parts[index].parts = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

}  // namespace hingespan
