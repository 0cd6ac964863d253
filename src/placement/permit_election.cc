#include "hingespan/placement/permit_election.h"

#include <algorithm>
#include <functional>

namespace hingespan {
namespace {

// Fractions of a lease: minimum time between two rounds of votes, and remaining time at which votes
// are renewed.
constexpr double kRoundIntervalFraction = 0.1;
constexpr double kRenewalFraction = 0.5;

}  // namespace

PermitElection::PermitElection(NodeId self, NodeIncarnation incarnation, PermitOptions options)
    : self_(std::move(self), incarnation), options_(options) {}

void PermitElection::Tick(bool is_candidate, const std::vector<NodeId>& peers, absl::Time now,
                          Outbox* outbox) {
  first_tick_ = std::min(first_tick_, now);
  UpdateAuthority(now);
  if (!is_candidate) {
    votes_.clear();
    round_sent_at_.clear();
    held_since_ = absl::InfiniteFuture();
    return;
  }
  if (!round_sent_at_.empty() &&
      now - round_sent_at_.rbegin()->second < options_.lease * kRoundIntervalFraction) {
    return;
  }
  // Votes are renewed only shortly before they are needed, as a round with many voters takes many
  // messages.
  const bool renewed = VotedUntil() - now > UsableLease(options_) * kRenewalFraction;
  if (renewed && held_since_ <= now) {
    return;
  }
  ++round_;
  round_sent_at_[round_] = now;
  while (now - round_sent_at_.begin()->second >= options_.lease) {
    round_sent_at_.erase(round_sent_at_.begin());
  }
  if (Vote(self_, now)) {
    votes_[self_.first] = now + UsableLease(options_);
  }
  for (const NodeId& peer : peers) {
    outbox->Send(peer, PermitVoteRequest{round_});
  }
  UpdateAuthority(now);
}

void PermitElection::Handle(const Envelope& envelope, const PermitVoteRequest& request,
                            absl::Time now, Outbox* outbox) {
  const bool granted = Vote({envelope.from, envelope.from_incarnation}, now);
  outbox->Send(envelope.from, PermitVoteReply{request.round, granted});
}

void PermitElection::Handle(const Envelope& envelope, const PermitVoteReply& reply,
                            absl::Time now) {
  const auto round = round_sent_at_.find(reply.round);
  if (!reply.granted || round == round_sent_at_.end()) {
    return;
  }
  UpdateAuthority(now);
  absl::Time& valid_until = votes_.try_emplace(envelope.from, absl::InfinitePast()).first->second;
  valid_until = std::max(valid_until, round->second + UsableLease(options_));
  UpdateAuthority(now);
}

bool PermitElection::MayUseZoneSlots(absl::Time now) const {
  return !Lapsed(now) && held_since_ <= now && now - held_since_ >= SettleTime(options_);
}

bool PermitElection::Vote(const Candidate& candidate, absl::Time now) {
  if (first_tick_ > now || now - first_tick_ < options_.lease) {
    return false;
  }
  if (candidate != voted_for_ && now < vote_until_) {
    return false;
  }
  voted_for_ = candidate;
  vote_until_ = std::max(vote_until_, now + options_.lease);
  return true;
}

void PermitElection::UpdateAuthority(absl::Time now) {
  if (Lapsed(now)) {
    held_since_ = absl::InfiniteFuture();
  } else {
    held_since_ = std::min(held_since_, now);
  }
}

// Returns the time until which more than half of the zone's nodes have given their vote.
absl::Time PermitElection::VotedUntil() const {
  const std::size_t needed = options_.zone_nodes / 2 + 1;
  if (votes_.size() < needed) {
    return absl::InfinitePast();
  }
  std::vector<absl::Time> ends;
  ends.reserve(votes_.size());
  for (const auto& [node, end] : votes_) {
    ends.push_back(end);
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[needed - 1];
}

bool PermitElection::Lapsed(absl::Time now) const {
  if (options_.disable_expiry_for_test && held_since_ <= now) {
    return false;
  }
  return now >= VotedUntil();
}

}  // namespace hingespan
