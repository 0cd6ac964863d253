// Elects at most one node of a zone to use and lend the zone's slots. The holder needs the votes of
// more than half of the zone's nodes, each valid for a lease.
//
// A voter votes for no other node for a whole lease after its answer, while the holder counts the
// vote for less than a lease after its request. A voter that restarted gives no vote for a lease,
// as it lost the record of its last vote. Only durations are compared, each on a single clock.
#ifndef HINGESPAN_PLACEMENT_PERMIT_ELECTION_H_
#define HINGESPAN_PLACEMENT_PERMIT_ELECTION_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/placement/permit_options.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

// Not thread-safe.
class PermitElection {
 public:
  PermitElection(NodeId self, NodeIncarnation incarnation, PermitOptions options);

  // `is_candidate`: true if the zone's member list names this node as the holder. `peers`: the
  // voters.
  void Tick(bool is_candidate, const std::vector<NodeId>& peers, absl::Time now, Outbox* outbox);
  void Handle(const Envelope& envelope, const PermitVoteRequest& request, absl::Time now,
              Outbox* outbox);
  void Handle(const Envelope& envelope, const PermitVoteReply& reply, absl::Time now);

  // True if this node has authority and everything that an earlier holder permitted has ended.
  bool MayUseZoneSlots(absl::Time now) const;

 private:
  using Candidate = std::pair<NodeId, NodeIncarnation>;

  bool Vote(const Candidate& candidate, absl::Time now);
  // Clears an authority that has lapsed, and records when one was gained.
  void UpdateAuthority(absl::Time now);
  absl::Time VotedUntil() const;
  bool Lapsed(absl::Time now) const;

  Candidate self_;
  PermitOptions options_;
  // Voter state.
  absl::Time first_tick_ = absl::InfiniteFuture();
  Candidate voted_for_;
  absl::Time vote_until_ = absl::InfinitePast();
  // Candidate state: the time until which each vote counts.
  absl::btree_map<NodeId, absl::Time> votes_;
  std::uint64_t round_ = 0;
  // Send times of the rounds within the last lease.
  absl::btree_map<std::uint64_t, absl::Time> round_sent_at_;
  absl::Time held_since_ = absl::InfiniteFuture();
};

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_PERMIT_ELECTION_H_
