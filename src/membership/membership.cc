#include "hingespan/membership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "member_order.h"

namespace hingespan {
namespace {

// Number of times that a state is sent per doubling of the number of members.
constexpr int kTransmissionFactor = 3;
// One in this many probes goes to a dead member, if there is one.
constexpr std::uint64_t kDeadProbePeriod = 10;
// Maximum number of members in one JoinReply, which keeps it below kMaximumDatagramBytes.
constexpr std::size_t kMembersPerJoinReply = 8;

}  // namespace

Membership::Membership(MemberUpdate self, MembershipOptions options, std::uint64_t seed)
    : self_(std::move(self)), options_(options), random_(seed) {
  RebuildViews();
}

// --- Joining ------------------------------------------------------------------------------------

void Membership::Join(std::vector<std::string> seeds, absl::Time now, Outbox* outbox) {
  seeds_ = std::move(seeds);
  std::erase(seeds_, self_.control_address);
  join_began_ = std::min(join_began_, now);
  next_join_ = now;
  SendJoinRequests(now, outbox);
}

void Membership::SendJoinRequests(absl::Time now, Outbox* outbox) {
  if (now < next_join_ || now < join_began_) {
    return;
  }
  if (seeds_.empty() || now - join_began_ >= options_.join_alone_after) {
    joined_ = true;
  }
  next_join_ = now + (joined_ ? options_.exchange_interval : options_.probe_interval);
  if (joined_ && !seeds_.empty()) {
    outbox->SendToAddress(seeds_[random_.Below(seeds_.size())], JoinRequest{self_});
    return;
  }
  for (const std::string& seed : seeds_) {
    outbox->SendToAddress(seed, JoinRequest{self_});
  }
}

void Membership::HandleJoinRequest(const Envelope& envelope, const JoinRequest& request,
                                   absl::Time now, Outbox* outbox) {
  Merge(request.self, now);
  std::vector<MemberUpdate> members = {self_};
  for (const auto& [node, member] : members_) {
    members.push_back(member.update);
  }
  for (std::size_t begin = 0; begin < members.size(); begin += kMembersPerJoinReply) {
    const std::size_t end = std::min(begin + kMembersPerJoinReply, members.size());
    JoinReply reply;
    reply.members.assign(members.begin() + begin, members.begin() + end);
    outbox->SendToAddress(envelope.reply_address, std::move(reply));
  }
}

// --- Timers -------------------------------------------------------------------------------------

void Membership::Tick(absl::Time now, Outbox* outbox) {
  if (self_.state == MemberState::kLeft) {
    return;
  }
  RestartTimersAfterPause(now);
  SendJoinRequests(now, outbox);
  CheckOutstanding(now, outbox);
  ExpireSuspects(now);
  ForgetMembers(now);
  RebuildViews();
  if (now < next_probe_) {
    return;
  }
  next_probe_ = now + options_.probe_interval;
  const NodeId target = NextTarget();
  if (!target.empty()) {
    SendProbe(target, now, outbox);
  }
}

void Membership::RestartTimersAfterPause(absl::Time now) {
  const bool paused = now - last_tick_ > options_.probe_interval;
  last_tick_ = now;
  if (!paused) {
    return;
  }
  outstanding_.clear();
  for (auto& [node, member] : members_) {
    if (member.suspected_since != absl::InfiniteFuture()) {
      member.suspected_since = now;
    }
  }
}

void Membership::CheckOutstanding(absl::Time now, Outbox* outbox) {
  std::vector<NodeId> silent;
  for (OutstandingProbe& probe : outstanding_) {
    const absl::Duration waited = now - probe.sent_at;
    if (!probe.requested_by.empty()) {
      continue;
    }
    if (waited >= options_.probe_interval) {
      silent.push_back(probe.target);
    } else if (waited >= options_.probe_timeout && !probe.indirect_sent) {
      probe.indirect_sent = true;
      RequestIndirectProbes(probe, outbox);
    }
  }
  std::erase_if(outstanding_, [&](const OutstandingProbe& probe) {
    return now - probe.sent_at >= options_.probe_interval;
  });
  for (const NodeId& node : silent) {
    if (Suspect(node, now)) {
      // The probe carries the suspicion to the suspect, which can refute it immediately.
      SendProbe(node, now, outbox);
    }
  }
}

void Membership::RequestIndirectProbes(const OutstandingProbe& probe, Outbox* outbox) {
  std::vector<NodeId> helpers = peers_;
  std::erase(helpers, probe.target);
  for (int requested = 0; requested < options_.indirect_probes && !helpers.empty(); ++requested) {
    const std::size_t index = random_.Below(helpers.size());
    outbox->Send(helpers[index], IndirectProbeRequest{probe.sequence, probe.target});
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

bool Membership::Suspect(const NodeId& node, absl::Time now) {
  const auto found = members_.find(node);
  if (found == members_.end() || IsGone(found->second.update.state)) {
    return false;
  }
  Member& member = found->second;
  if (member.suspected_since != absl::InfiniteFuture()) {
    return false;
  }
  member.suspected_since = now;
  MemberUpdate suspicion = member.update;
  suspicion.state = MemberState::kSuspect;
  Merge(suspicion, now);
  return true;
}

void Membership::ExpireSuspects(absl::Time now) {
  for (auto& [node, member] : members_) {
    if (IsGone(member.update.state) || now - member.suspected_since < options_.suspicion_timeout) {
      continue;
    }
    member.update.state = MemberState::kDead;
    member.state_since = now;
    member.suspected_since = absl::InfiniteFuture();
    member.transmissions = 0;
    views_stale_ = true;
  }
}

void Membership::ForgetMembers(absl::Time now) {
  absl::erase_if(members_, [&](const auto& entry) {
    const Member& member = entry.second;
    return IsGone(member.update.state) && now - member.state_since >= options_.forget_after;
  });
}

NodeId Membership::NextTarget() {
  std::vector<NodeId> dead;
  for (const auto& [node, member] : members_) {
    if (member.update.state == MemberState::kDead) {
      dead.push_back(node);
    }
  }
  if (!dead.empty() && (peers_.empty() || random_.Below(kDeadProbePeriod) == 0)) {
    return dead[random_.Below(dead.size())];
  }
  while (!probe_order_.empty()) {
    NodeId target = probe_order_.back();
    probe_order_.pop_back();
    if (std::binary_search(peers_.begin(), peers_.end(), target)) {
      return target;
    }
  }
  probe_order_ = peers_;
  for (std::size_t last = probe_order_.size(); last > 1; --last) {
    std::swap(probe_order_[last - 1], probe_order_[random_.Below(last)]);
  }
  if (probe_order_.empty()) {
    return NodeId();
  }
  NodeId target = probe_order_.back();
  probe_order_.pop_back();
  return target;
}

Membership::OutstandingProbe& Membership::SendProbe(const NodeId& target, absl::Time now,
                                                    Outbox* outbox) {
  OutstandingProbe probe;
  probe.target = target;
  probe.sequence = next_sequence_++;
  probe.sent_at = now;
  outbox->Send(target, Probe{probe.sequence, TakeUpdates(target), table_revision_});
  outstanding_.push_back(std::move(probe));
  return outstanding_.back();
}

// --- Views --------------------------------------------------------------------------------------

int Membership::TransmissionLimit() const {
  return kTransmissionFactor * std::bit_width(members_.size() + 1);
}

std::vector<MemberUpdate> Membership::TakeUpdates(const NodeId& receiver) {
  std::vector<MemberUpdate> updates = {self_};
  const auto known_receiver = members_.find(receiver);
  if (known_receiver != members_.end() &&
      known_receiver->second.update.state != MemberState::kAlive) {
    updates.push_back(known_receiver->second.update);
  }
  std::vector<Member*> unsent;
  for (auto& [node, member] : members_) {
    if (node != receiver && member.transmissions < TransmissionLimit()) {
      unsent.push_back(&member);
    }
  }
  std::stable_sort(unsent.begin(), unsent.end(), [](const Member* left, const Member* right) {
    return left->transmissions < right->transmissions;
  });
  const auto limit = static_cast<std::size_t>(options_.updates_per_message);
  for (Member* member : unsent) {
    if (updates.size() >= limit) {
      break;
    }
    updates.push_back(member->update);
    ++member->transmissions;
  }
  return updates;
}

void Membership::RebuildViews() {
  if (!views_stale_) {
    return;
  }
  views_stale_ = false;
  std::vector<NodeId> duty_holders;
  peers_.clear();
  if (MayHoldDuties(self_.state)) {
    duty_holders.push_back(self_.node);
  }
  for (const auto& [node, member] : members_) {
    if (MayHoldDuties(member.update.state)) {
      duty_holders.push_back(node);
    }
    if (!IsGone(member.update.state)) {
      peers_.push_back(node);
    }
  }
  std::sort(duty_holders.begin(), duty_holders.end());
  if (duty_holders != duty_holders_) {
    duty_holders_ = std::move(duty_holders);
    ++view_version_;
  }
}

const MemberUpdate* Membership::Find(const NodeId& node) const {
  if (node == self_.node) {
    return &self_;
  }
  const auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second.update;
}

}  // namespace hingespan
