// Handles the machine list and decides which sources are trusted about a worker's leave.
#include "absl/container/flat_hash_set.h"
#include "hingespan/node/machine_list_parts.h"
#include "hingespan/node/node_core.h"

namespace hingespan {
namespace {

// A node that is not the zone's reader reads the machine list less often by this factor.
constexpr int kFollowerReadFactor = 15;

}  // namespace

void NodeCore::ReadMachines(absl::Time now, Outbox* outbox) {
  // A follower that becomes the reader reads at once unless it has just read.
  const bool follower = !IsPlatformReader() && !machines_.empty();
  const int factor = follower ? kFollowerReadFactor : 1;
  if (now < last_machine_read_ + options_.machine_list_interval * factor) {
    return;
  }
  last_machine_read_ = now;
  PlatformCall call;
  call.call = next_call_++;
  call.owner = CallOwner::kMachines;
  call.request = ReadMachinesCall{};
  outbox->platform_calls.push_back(std::move(call));
  if (workers_.empty() && !membership_->peers().empty()) {
    // An empty update requests the full list from a peer, in case the platform does not answer.
    outbox->Send(membership_->peers().front(), MachineListUpdate{});
  }
}

void NodeCore::HandleMachineListing(const PlatformAnswer& answer, absl::Time now, Outbox* outbox) {
  const auto* listing = std::get_if<MachineListing>(&answer.value);
  if (answer.error || listing == nullptr || answer.call <= machines_answered_) {
    return;
  }
  machines_answered_ = answer.call;
  MachineListUpdate changes =
      UpdateMachines({listing->nodes, listing->workers}, MachineSource::kPlatform, now);
  if (!IsPlatformReader()) {
    return;
  }
  // Sent again after every read, because the message that announced a leave may have been lost.
  AddNonLiveWorkers(&changes);
  for (const MachineListUpdate& part : SplitMachineList(changes)) {
    for (const NodeId& peer : membership_->peers()) {
      outbox->Send(peer, part);
    }
  }
}

void NodeCore::AddNonLiveWorkers(MachineListUpdate* update) const {
  absl::flat_hash_set<WorkerId> held;
  for (const WorkerMachine& machine : update->workers) {
    held.insert(machine.worker);
  }
  for (const auto& [worker, machine] : workers_) {
    if (machine.state != MachineState::kLive && !held.contains(worker)) {
      update->workers.push_back(machine);
    }
  }
}

MachineListUpdate NodeCore::UpdateMachines(const MachineListUpdate& update, MachineSource source,
                                           absl::Time now) {
  MachineListUpdate changes;
  for (const NodeMachine& machine : update.nodes) {
    NodeMachine& held = machines_[machine.node];
    if (!(held == machine)) {
      held = machine;
      changes.nodes.push_back(machine);
    }
  }
  for (const WorkerMachine& machine : update.workers) {
    if (machine.zone == options_.zone && UpdateWorker(machine, source, now)) {
      changes.workers.push_back(machine);
    }
  }
  if (!changes.nodes.empty()) {
    router_->SetRemoteNodes(RemoteNodes());
    other_zone_nodes_ = OtherZoneNodes();
    other_zones_ = OtherZones();
  }
  return changes;
}

WorkerIncarnation NodeCore::ReportedIncarnation(const WorkerId& worker) const {
  const KnownWorker* const known = directory_->Find(worker);
  return known == nullptr ? WorkerIncarnation() : known->report.incarnation;
}

// Within one incarnation a worker goes from live to leaving to gone. Only a read of the platform by
// this node itself can withdraw a leave, because a peer may send an outdated state. Gone is final,
// because the slots of a gone worker have been given to others.
bool NodeCore::MayReplace(const WorkerMachine& held, const WorkerMachine& machine,
                          MachineSource source, absl::Time now) const {
  if (held == machine || held.state == MachineState::kGone) {
    return false;
  }
  if (source == MachineSource::kPeer && machine.state == MachineState::kLeaving &&
      LeaveRecentlyWithdrawn(machine.worker, now)) {
    return false;
  }
  if (source == MachineSource::kPlatform || machine.state >= held.state) {
    return true;
  }
  const auto left = left_incarnations_.find(machine.worker);
  const bool incarnation_known =
      left != left_incarnations_.end() && left->second != WorkerIncarnation();
  return incarnation_known && ReportedIncarnation(machine.worker) > left->second;
}

// After this time every node of the zone has read the list itself.
bool NodeCore::LeaveRecentlyWithdrawn(const WorkerId& worker, absl::Time now) const {
  const auto withdrawn = withdrawn_leaves_.find(worker);
  return withdrawn != withdrawn_leaves_.end() &&
         now - withdrawn->second < options_.machine_list_interval * (kFollowerReadFactor + 1);
}

// Spec action: HandleReport. A reported leave is remembered.
void NodeCore::NoteReportedLeave(const WorkerId& worker, absl::Time now) {
  const KnownWorker* const known = directory_->Find(worker);
  const auto held = workers_.find(worker);
  if (known == nullptr || !known->report.leaving || held == workers_.end() ||
      held->second.state != MachineState::kLive) {
    return;
  }
  WorkerMachine machine = held->second;
  machine.state = MachineState::kLeaving;
  UpdateWorker(machine, MachineSource::kPeer, now);
}

bool NodeCore::UpdateWorker(const WorkerMachine& machine, MachineSource source, absl::Time now) {
  const auto [entry, inserted] = workers_.try_emplace(machine.worker);
  WorkerMachine& held = entry->second;
  if (!MayReplace(held, machine, source, now)) {
    return false;
  }
  const bool was_live = held.state == MachineState::kLive;
  const bool is_live = machine.state == MachineState::kLive;
  if (was_live && !is_live) {
    left_incarnations_[machine.worker] = ReportedIncarnation(machine.worker);
  }
  if (!was_live && is_live && source == MachineSource::kPlatform) {
    withdrawn_leaves_[machine.worker] = now;
  }
  held = machine;
  if (!inserted) {
    leave_gossip_.Note(machine);  // The zone already knows workers that are new to this node.
  }
  workers_changed_ = true;
  directory_->MarkLeaving(machine.worker, machine.state != MachineState::kLive);
  const auto keeper = keepers_.find(machine.worker);
  if (keeper != keepers_.end()) {
    keeper->second.keeper->SetMachine(machine);
  }
  return true;
}

std::vector<RemoteNode> NodeCore::RemoteNodes() const {
  std::vector<RemoteNode> remote;
  for (const auto& [node, machine] : machines_) {
    if (machine.zone != options_.zone && machine.state == MachineState::kLive) {
      remote.push_back({node, machine.zone, machine.http_address});
    }
  }
  return remote;
}

std::vector<NodeId> NodeCore::OtherZoneNodes() const {
  std::vector<NodeId> nodes;
  for (const auto& [node, machine] : machines_) {
    if (machine.zone != options_.zone && machine.state == MachineState::kLive) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

}  // namespace hingespan
