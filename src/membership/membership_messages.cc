// Message handling and merging of member states.
#include <algorithm>
#include <utility>

#include "hingespan/membership/membership.h"
#include "member_order.h"

namespace hingespan {

void Membership::Handle(const Envelope& envelope, absl::Time now, Outbox* outbox) {
  if (self_.state == MemberState::kLeft || envelope.from == self_.node) {
    return;
  }
  if (const auto* probe = std::get_if<Probe>(&envelope.message)) {
    HandleProbe(envelope, *probe, now, outbox);
  } else if (const auto* ack = std::get_if<ProbeAck>(&envelope.message)) {
    MergeAll(ack->updates, now);
    HandleProbeAck(*ack, now, outbox);
  } else if (const auto* request = std::get_if<IndirectProbeRequest>(&envelope.message)) {
    HandleIndirectRequest(envelope, *request, now, outbox);
  } else if (const auto* answer = std::get_if<IndirectProbeAck>(&envelope.message)) {
    std::erase_if(outstanding_, [answer](const OutstandingProbe& outstanding) {
      return outstanding.sequence == answer->sequence && outstanding.target == answer->target;
    });
  } else if (const auto* join = std::get_if<JoinRequest>(&envelope.message)) {
    HandleJoinRequest(envelope, *join, now, outbox);
  } else if (const auto* reply = std::get_if<JoinReply>(&envelope.message)) {
    joined_ = true;
    MergeAll(reply->members, now);
  }
  ConfirmAlive(envelope.from, envelope.from_incarnation, now);
  RebuildViews();
}

void Membership::HandleProbe(const Envelope& envelope, const Probe& probe, absl::Time now,
                             Outbox* outbox) {
  MergeAll(probe.updates, now);
  ProbeAck ack{probe.sequence, TakeUpdates(envelope.from), table_revision_};
  outbox->SendToAddress(envelope.reply_address, std::move(ack));
}

void Membership::HandleProbeAck(const ProbeAck& ack, absl::Time /*now*/, Outbox* outbox) {
  const auto found = std::find_if(
      outstanding_.begin(), outstanding_.end(),
      [&ack](const OutstandingProbe& probe) { return probe.sequence == ack.sequence; });
  if (found == outstanding_.end()) {
    return;
  }
  if (!found->requested_by.empty()) {
    outbox->Send(found->requested_by, IndirectProbeAck{found->requester_sequence, found->target});
  }
  outstanding_.erase(found);
}

void Membership::HandleIndirectRequest(const Envelope& envelope,
                                       const IndirectProbeRequest& request, absl::Time now,
                                       Outbox* outbox) {
  if (request.target == self_.node || !members_.contains(request.target)) {
    return;
  }
  OutstandingProbe& probe = SendProbe(request.target, now, outbox);
  probe.requested_by = envelope.from;
  probe.requester_sequence = request.sequence;
}

void Membership::MergeAll(const std::vector<MemberUpdate>& updates, absl::Time now) {
  for (const MemberUpdate& update : updates) {
    Merge(update, now);
  }
}

void Membership::Merge(const MemberUpdate& update, absl::Time now) {
  if (update.node == self_.node) {
    RefuteIfNeeded(update);
    return;
  }
  const auto found = members_.find(update.node);
  if (found == members_.end() && IsGone(update.state)) {
    // The member was already forgotten; adding it again would circulate its state forever.
    return;
  }
  if (found != members_.end() && !Replaces(update, found->second.update)) {
    return;
  }
  Member& member = members_[update.node];
  const bool suspected = update.state == MemberState::kSuspect;
  const bool already_suspected = member.suspected_since != absl::InfiniteFuture();
  if (!suspected) {
    member.suspected_since = absl::InfiniteFuture();
  } else if (!already_suspected) {
    member.suspected_since = now;
  }
  views_stale_ = true;
  member.update = update;
  member.state_since = now;
  member.transmissions = 0;
}

void Membership::RefuteIfNeeded(const MemberUpdate& update) {
  if (update.incarnation != self_.incarnation || update.refutation < self_.refutation) {
    return;
  }
  if (update.refutation == self_.refutation && update.state == self_.state) {
    return;
  }
  self_.refutation = update.refutation + 1;
}

void Membership::ConfirmAlive(const NodeId& node, NodeIncarnation incarnation, absl::Time now) {
  const auto found = members_.find(node);
  if (found == members_.end() || found->second.update.incarnation != incarnation) {
    return;
  }
  Member& member = found->second;
  if (member.update.state == MemberState::kSuspect) {
    // Only the member's own refutation ends the suspicion, but the timeout restarts.
    member.suspected_since = now;
  } else {
    member.suspected_since = absl::InfiniteFuture();
  }
}

void Membership::SetSelfState(MemberState state, absl::Time /*now*/, Outbox* outbox) {
  if (state == self_.state) {
    return;
  }
  self_.state = state;
  ++self_.refutation;
  views_stale_ = true;
  RebuildViews();
  constexpr std::uint64_t kUnsolicited = 0;
  for (const NodeId& peer : peers_) {
    outbox->Send(peer, ProbeAck{kUnsolicited, TakeUpdates(peer), table_revision_});
  }
}

}  // namespace hingespan
