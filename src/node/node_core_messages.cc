// Handlers for each type of message.
#include "hingespan/membership/duties.h"
#include "hingespan/node/machine_list_parts.h"
#include "hingespan/node/node_core.h"

namespace hingespan {

// Membership messages have been handled before this. Probes carry the sender's table revision.
void NodeCore::On(const Envelope& envelope, const Probe&, absl::Time now, absl::Time,
                  Outbox* outbox) {
  record_sync_->Handle(envelope, now, outbox);
}

void NodeCore::On(const Envelope& envelope, const ProbeAck&, absl::Time now, absl::Time,
                  Outbox* outbox) {
  record_sync_->Handle(envelope, now, outbox);
}

void NodeCore::On(const Envelope&, const IndirectProbeRequest&, absl::Time, absl::Time, Outbox*) {}
void NodeCore::On(const Envelope&, const IndirectProbeAck&, absl::Time, absl::Time, Outbox*) {}
void NodeCore::On(const Envelope&, const JoinRequest&, absl::Time, absl::Time, Outbox*) {}
void NodeCore::On(const Envelope&, const JoinReply&, absl::Time, absl::Time, Outbox*) {}

void NodeCore::On(const Envelope& envelope, const RecordFetch&, absl::Time now, absl::Time,
                  Outbox* outbox) {
  record_sync_->Handle(envelope, now, outbox);
}

void NodeCore::On(const Envelope& envelope, const RecordChanges&, absl::Time now, absl::Time,
                  Outbox* outbox) {
  record_sync_->Handle(envelope, now, outbox);
}

void NodeCore::On(const Envelope& envelope, const MachineListUpdate& update, absl::Time now,
                  absl::Time, Outbox* outbox) {
  if (envelope.from_zone != options_.zone) {
    return;
  }
  const bool requests_full_list = update.nodes.empty() && update.workers.empty();
  if (!requests_full_list) {
    const bool from_reader = envelope.from == platform_reader_;
    UpdateMachines(update, from_reader ? MachineSource::kReader : MachineSource::kPeer, now);
    return;
  }
  // The answer is larger than the request and is sent to the address given in it, so only members
  // get one. SplitMachineList returns no parts for an empty list, so the answer is never empty and
  // can't be mistaken for a request.
  if (membership_->Find(envelope.from) == nullptr) {
    return;
  }
  MachineListUpdate all;
  for (const auto& [node, machine] : machines_) {
    all.nodes.push_back(machine);
  }
  for (const auto& [worker, machine] : workers_) {
    all.workers.push_back(machine);
  }
  for (const MachineListUpdate& part : SplitMachineList(all)) {
    outbox->Send(envelope.from, part);
  }
}

void NodeCore::On(const Envelope& envelope, const ReplicaUpdate& update, absl::Time now,
                  absl::Time wall_time, Outbox* outbox) {
  AddChanged(directory_->Handle(envelope.from, update, now, outbox));
  NotifyRouter(now, wall_time, outbox);
}

void NodeCore::On(const Envelope& envelope, const WorkerReport& report, absl::Time now,
                  absl::Time wall_time, Outbox* outbox) {
  AddChanged(directory_->Handle(envelope.from, report, now, outbox));
  NoteReportedLeave(report.worker, now);
  NotifyRouter(now, wall_time, outbox);
}

void NodeCore::On(const Envelope& envelope, const ReplicaListRequest& request, absl::Time now,
                  absl::Time, Outbox* outbox) {
  const auto keeper = keepers_.find(request.worker);
  if (keeper == keepers_.end()) {
    return;
  }
  for (ReplicaList& list : keeper->second.keeper->ListReplicas(now)) {
    outbox->Send(envelope.from, std::move(list));
  }
}

void NodeCore::On(const Envelope& envelope, const ReplicaList& list, absl::Time now,
                  absl::Time wall_time, Outbox* outbox) {
  AddChanged(directory_->Handle(envelope.from, list, now));
  NotifyRouter(now, wall_time, outbox);
}

void NodeCore::On(const Envelope& envelope, const WakeRequest& request, absl::Time now, absl::Time,
                  Outbox* outbox) {
  placer_->HandleWake(
      envelope.from, request, [this](const WorkerId& worker) { return KeeperOf(worker); },
      [this](const ModelName& model) { return PlacerOf(model); }, now, outbox);
}

void NodeCore::On(const Envelope&, const WakeReply& reply, absl::Time now, absl::Time, Outbox*) {
  router_->OnWakeReply(reply, now);
}

void NodeCore::On(const Envelope& envelope, const LoadRequest& request, absl::Time now, absl::Time,
                  Outbox* outbox) {
  const auto keeper = keepers_.find(request.worker);
  LoadReply reply;
  if (keeper == keepers_.end()) {
    reply.worker = request.worker;
    reply.incarnation = request.incarnation;
    reply.model = request.model;
    reply.generation = request.generation;
    reply.outcome = LoadOutcome::kNotKeeper;
  } else {
    const std::size_t first_call = outbox->engine_calls.size();
    reply = keeper->second.keeper->HandleLoad(request, now, outbox);
    NumberEngineCalls(keeper->second.instance, first_call, outbox);
  }
  outbox->Send(envelope.from, reply);
}

void NodeCore::On(const Envelope& envelope, const LoadReply& reply, absl::Time now, absl::Time,
                  Outbox* outbox) {
  placer_->HandleLoadReply(envelope.from, reply, now, outbox);
}

void NodeCore::On(const Envelope& envelope, const RevokeRequest& request, absl::Time now,
                  absl::Time, Outbox* outbox) {
  const auto keeper = keepers_.find(request.worker);
  if (keeper == keepers_.end()) {
    return;
  }
  const std::size_t first_call = outbox->engine_calls.size();
  const RevokeReply reply = keeper->second.keeper->HandleRevoke(request, now, outbox);
  NumberEngineCalls(keeper->second.instance, first_call, outbox);
  outbox->Send(envelope.from, reply);
}

void NodeCore::On(const Envelope&, const RevokeReply& reply, absl::Time now, absl::Time, Outbox*) {
  grants_->HandleRevokeReply(reply, now);
}

void NodeCore::On(const Envelope& envelope, const ClaimRequest& request, absl::Time,
                  absl::Time wall_time, Outbox* outbox) {
  ClaimReply reply;
  reply.key = request.key;
  reply.attempt = request.attempt;
  reply.outcome = claim_owner_->Claim(request, wall_time);
  outbox->Send(envelope.from, reply);
}

void NodeCore::On(const Envelope&, const ClaimReply& reply, absl::Time now, absl::Time wall_time,
                  Outbox* outbox) {
  claimant_->HandleReply(reply);
  TickRouter(now, wall_time, outbox);
}

void NodeCore::On(const Envelope&, const ClaimRelease& release, absl::Time, absl::Time, Outbox*) {
  claim_owner_->Release(release);
}

}  // namespace hingespan
