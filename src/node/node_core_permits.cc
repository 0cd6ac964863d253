// Shares the weight store's budget with other nodes; see PermitHolder.
#include "hingespan/node/node_core.h"

namespace hingespan {

// A stopping node is no longer the holder, because members exclude it from the duty.
void NodeCore::TickPermits(absl::Time now, Outbox* outbox) {
  if (!options_.keeper.use_permits) {
    return;
  }
  permits_->Tick({is_permit_holder(), membership_->peers(), other_zones_}, now, outbox);
}

ZoneNodes NodeCore::OtherZones() const {
  ZoneNodes zones;
  for (const auto& [node, machine] : machines_) {
    if (machine.zone != options_.zone && machine.state == MachineState::kLive) {
      zones[machine.zone].push_back(node);
    }
  }
  return zones;
}

void NodeCore::On(const Envelope& envelope, const PermitRequest& request, absl::Time now,
                  absl::Time, Outbox* outbox) {
  if (is_permit_holder()) {
    permits_->Handle(envelope, request, now, outbox);
  }
}

void NodeCore::On(const Envelope&, const PermitReply& reply, absl::Time now, absl::Time,
                  Outbox* outbox) {
  const auto keeper = keepers_.find(reply.worker);
  if (keeper == keepers_.end()) {
    return;
  }
  const std::size_t first_call = outbox->engine_calls.size();
  keeper->second.keeper->HandlePermit(reply, now, outbox);
  NumberEngineCalls(keeper->second.instance, first_call, outbox);
}

// Votes are exchanged only within a zone.
void NodeCore::On(const Envelope& envelope, const PermitVoteRequest& request, absl::Time now,
                  absl::Time, Outbox* outbox) {
  if (envelope.from_zone == options_.zone) {
    permits_->Handle(envelope, request, now, outbox);
  }
}

void NodeCore::On(const Envelope& envelope, const PermitVoteReply& reply, absl::Time now,
                  absl::Time, Outbox* outbox) {
  if (envelope.from_zone == options_.zone && is_permit_holder()) {
    permits_->Handle(envelope, reply, now, outbox);
  }
}

// The borrower knows nodes of this zone but not which one is the holder.
void NodeCore::On(const Envelope& envelope, const PermitLoanRequest& request, absl::Time now,
                  absl::Time, Outbox* outbox) {
  if (request.lender != options_.zone) {
    return;
  }
  if (is_permit_holder()) {
    permits_->Handle(envelope, request, now, outbox);
    return;
  }
  if (!request.passed_on && !permit_holder_.empty()) {
    PermitLoanRequest passed_on = request;
    passed_on.passed_on = true;
    outbox->Send(permit_holder_, std::move(passed_on));
  }
}

void NodeCore::On(const Envelope& envelope, const PermitLoanReply& reply, absl::Time now,
                  absl::Time, Outbox* outbox) {
  if (is_permit_holder()) {
    permits_->Handle(envelope, reply, now, outbox);
  }
}

}  // namespace hingespan
