#include "emulator/machine_directory.h"

namespace hingespan::emulator {

MachineDirectory::MachineDirectory(absl::Duration lag) : lag_(lag) {}

void MachineDirectory::AddInitialWorker(const WorkerMachine& worker) {
  workers_[worker.worker] = worker;
  shown_workers_[worker.worker] = worker;
}

void MachineDirectory::Announce(const NodeMachine& node, absl::Time now) {
  nodes_[node.node] = node;
  pending_.push_back({now + lag_, node});
}

bool MachineDirectory::SetNodeState(const NodeId& node, MachineState state, absl::Time now) {
  auto found = nodes_.find(node);
  if (found == nodes_.end()) {
    return false;
  }
  found->second.state = state;
  pending_.push_back({now + lag_, found->second});
  return true;
}

bool MachineDirectory::SetWorkerState(const WorkerId& worker, MachineState state, absl::Time now) {
  auto found = workers_.find(worker);
  if (found == workers_.end()) {
    return false;
  }
  found->second.state = state;
  pending_.push_back({now + lag_, found->second});
  return true;
}

MachineListing MachineDirectory::Read(absl::Time now) {
  ShowDue(now);
  MachineListing listing;
  for (const auto& [id, node] : shown_nodes_) {
    listing.nodes.push_back(node);
  }
  for (const auto& [id, worker] : shown_workers_) {
    listing.workers.push_back(worker);
  }
  return listing;
}

std::optional<NodeMachine> MachineDirectory::FindNode(const NodeId& node) const {
  auto found = nodes_.find(node);
  if (found == nodes_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<WorkerMachine> MachineDirectory::FindWorker(const WorkerId& worker) const {
  auto found = workers_.find(worker);
  if (found == workers_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void MachineDirectory::ShowDue(absl::Time now) {
  while (!pending_.empty() && pending_.front().visible_at <= now) {
    const Machine& machine = pending_.front().machine;
    if (const auto* node = std::get_if<NodeMachine>(&machine)) {
      shown_nodes_[node->node] = *node;
    } else {
      const auto& worker = std::get<WorkerMachine>(machine);
      shown_workers_[worker.worker] = worker;
    }
    pending_.pop_front();
  }
}

}  // namespace hingespan::emulator
