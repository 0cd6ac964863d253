#include "emulator/machine_service.h"

#include <algorithm>
#include <utility>

namespace hingespan::emulator {

MachineService::MachineService(std::vector<ZoneId> zones, absl::Duration lag, Clock* clock,
                               ZoneLinks* links)
    : zones_(std::move(zones)), clock_(clock), links_(links), directory_(lag) {}

void MachineService::AddInitialWorker(const WorkerMachine& worker) {
  absl::MutexLock lock(&mutex_);
  directory_.AddInitialWorker(worker);
}

MachineListing MachineService::Read(const ZoneId& zone) {
  absl::MutexLock lock(&mutex_);
  MachineListing listing = directory_.Read(clock_->Now());
  if (!IsZone(zone)) {
    return listing;
  }
  for (NodeMachine& node : listing.nodes) {
    if (node.zone != zone) {
      node.http_address = links_->HttpAddress(zone, node);
      node.control_address = links_->ControlAddress(zone, node);
    }
  }
  return listing;
}

std::error_code MachineService::Announce(const NodeMachine& node) {
  absl::MutexLock lock(&mutex_);
  if (!IsZone(node.zone)) {
    return Error::kInvalidArgument;
  }
  for (const ZoneId& zone : zones_) {
    if (zone == node.zone) {
      continue;
    }
    const std::error_code error = links_->Connect(zone, node);
    if (error) {
      return error;
    }
  }
  directory_.Announce(node, clock_->Now());
  return {};
}

std::error_code MachineService::AnnounceWorker(const WorkerId& worker, MachineState state) {
  absl::MutexLock lock(&mutex_);
  const std::optional<WorkerMachine> known = directory_.FindWorker(worker);
  if (state == MachineState::kGone) {
    return Error::kInvalidArgument;
  }
  if (!known.has_value()) {
    return Error::kNotFound;
  }
  if (known->state == MachineState::kGone) {
    return Error::kConflict;
  }
  directory_.SetWorkerState(worker, state, clock_->Now());
  return {};
}

bool MachineService::SetNodeState(const NodeId& node, MachineState state) {
  absl::MutexLock lock(&mutex_);
  return directory_.SetNodeState(node, state, clock_->Now());
}

bool MachineService::SetWorkerState(const WorkerId& worker, MachineState state) {
  absl::MutexLock lock(&mutex_);
  return directory_.SetWorkerState(worker, state, clock_->Now());
}

bool MachineService::IsZone(const ZoneId& zone) const {
  return std::find(zones_.begin(), zones_.end(), zone) != zones_.end();
}

}  // namespace hingespan::emulator
