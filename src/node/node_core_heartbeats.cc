// Sends heartbeats for the workers that this node keeps and handles the heartbeats of other nodes.
#include <optional>

#include "hingespan/node/node_core.h"

namespace hingespan {

void NodeCore::SendHeartbeats(absl::Time now, Outbox* outbox) {
  if (now < next_heartbeat_) {
    return;
  }
  KeeperHeartbeat message;
  for (const auto& [worker, entry] : keepers_) {
    std::optional<WorkerHeartbeat> heartbeat = entry.keeper->Heartbeat();
    if (heartbeat) {
      message.workers.push_back(*std::move(heartbeat));
    }
  }
  if (message.workers.empty()) {
    return;
  }
  next_heartbeat_ = now + options_.keeper.heartbeat_interval;
  for (const NodeId& peer : membership_->peers()) {
    outbox->Send(peer, message);
  }
}

void NodeCore::On(const Envelope& envelope, const KeeperHeartbeat& message, absl::Time now,
                  absl::Time wall_time, Outbox* outbox) {
  for (const WorkerHeartbeat& heartbeat : message.workers) {
    AddChanged(directory_->Handle(envelope.from, heartbeat, now, outbox));
  }
  NotifyRouter(now, wall_time, outbox);
}

void NodeCore::On(const Envelope& envelope, const WorkerReportRequest& request, absl::Time,
                  absl::Time, Outbox* outbox) {
  const auto keeper = keepers_.find(request.worker);
  if (keeper == keepers_.end()) {
    return;
  }
  if (const WorkerReport* report = keeper->second.keeper->SentReport()) {
    outbox->Send(envelope.from, *report);
  }
}

}  // namespace hingespan
