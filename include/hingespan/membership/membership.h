// Membership of a zone, based on SWIM: probes, indirect probes, suspicion and incarnations.
//
// States of a member are ordered by (incarnation, refutation, state); wherever two states meet, the
// larger one replaces the smaller one. A member that learns of its own suspicion or death increases
// its refutation, so that its own state is the larger one again. A restarted member has a larger
// incarnation. Every probe and every answer carries the sender's own state, the receiver's state
// unless it is alive, and the states that were sent least often.
#ifndef HINGESPAN_MEMBERSHIP_MEMBERSHIP_H_
#define HINGESPAN_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

struct MembershipOptions {
  absl::Duration probe_interval = absl::Seconds(1);
  // Time without an answer after which other members are asked to probe.
  absl::Duration probe_timeout = absl::Milliseconds(300);
  int indirect_probes = 2;
  // A suspect that does not refute within this time is declared dead.
  absl::Duration suspicion_timeout = absl::Seconds(3);
  // A dead or left member is forgotten after this time.
  absl::Duration forget_after = absl::Minutes(5);
  // Maximum number of updates in one probe or answer.
  int updates_per_message = 8;
  // Interval at which a joined node exchanges all states with one seed. This merges a zone that was
  // partitioned for longer than `forget_after`.
  absl::Duration exchange_interval = absl::Seconds(30);
  // A node counts as joined if no seed has answered for this long, as it may be the first of its
  // zone.
  absl::Duration join_alone_after = absl::Seconds(5);
};

// Not thread-safe; deterministic for a given seed and sequence of calls.
class Membership {
 public:
  Membership(MemberUpdate self, MembershipOptions options, std::uint64_t seed);

  // Asks the seeds (control addresses) to admit this node. Tick repeats the request until one
  // answers, and later sends it to one of them periodically. May be called again with newer
  // addresses.
  void Join(std::vector<std::string> seeds, absl::Time now, Outbox* outbox);
  // Must be called at least every probe_timeout. A longer gap means that this node itself was
  // paused; its suspicions then restart, as it could not receive refutations.
  void Tick(absl::Time now, Outbox* outbox);
  // Handles Probe, ProbeAck, IndirectProbe* and Join*. Any other message only confirms that the
  // sender is alive.
  void Handle(const Envelope& envelope, absl::Time now, Outbox* outbox);
  // Announces a planned stop to all peers: kLeaving hands over the duties, kLeft is announced last.
  // After kLeft this node neither probes nor answers.
  void SetSelfState(MemberState state, absl::Time now, Outbox* outbox);

  // Members that may hold duties: those in kAlive and kSuspect, sorted by id. Includes this node
  // unless it is leaving.
  const std::vector<NodeId>& duty_holders() const { return duty_holders_; }
  // Members that receive broadcasts: all except kLeft, kDead and this node, sorted by id.
  const std::vector<NodeId>& peers() const { return peers_; }
  // Returns null if the member is unknown.
  const MemberUpdate* Find(const NodeId& node) const;
  const MemberUpdate& self() const { return self_; }
  bool joined() const { return joined_; }
  // Number of changes of duty_holders() so far.
  std::uint64_t view_version() const { return view_version_; }

  // Sets the table revision that is sent with probes and answers; see RecordSync.
  void SetTableRevision(TableRevision revision) { table_revision_ = revision; }

 private:
  struct Member {
    MemberUpdate update;
    // Time at which `update.state` was learned.
    absl::Time state_since;
    // Time since which this node suspects the member; InfiniteFuture if it does not.
    absl::Time suspected_since = absl::InfiniteFuture();
    // Number of times that the current state was sent.
    int transmissions = 0;
  };
  struct OutstandingProbe {
    NodeId target;
    std::uint64_t sequence = 0;
    absl::Time sent_at;
    bool indirect_sent = false;
    // Set if the probe was sent on behalf of another node.
    NodeId requested_by;
    std::uint64_t requester_sequence = 0;
  };

  void HandleProbe(const Envelope& envelope, const Probe& probe, absl::Time now, Outbox* outbox);
  void HandleProbeAck(const ProbeAck& ack, absl::Time now, Outbox* outbox);
  void HandleIndirectRequest(const Envelope& envelope, const IndirectProbeRequest& request,
                             absl::Time now, Outbox* outbox);
  void HandleJoinRequest(const Envelope& envelope, const JoinRequest& request, absl::Time now,
                         Outbox* outbox);
  void MergeAll(const std::vector<MemberUpdate>& updates, absl::Time now);
  void Merge(const MemberUpdate& update, absl::Time now);
  void RefuteIfNeeded(const MemberUpdate& update);
  // Called for each message of this incarnation of the node, which shows that it is alive.
  void ConfirmAlive(const NodeId& node, NodeIncarnation incarnation, absl::Time now);
  // Returns false if the member is already suspected, or gone.
  bool Suspect(const NodeId& node, absl::Time now);
  OutstandingProbe& SendProbe(const NodeId& target, absl::Time now, Outbox* outbox);
  void CheckOutstanding(absl::Time now, Outbox* outbox);
  void RequestIndirectProbes(const OutstandingProbe& probe, Outbox* outbox);
  void ExpireSuspects(absl::Time now);
  void ForgetMembers(absl::Time now);
  void RestartTimersAfterPause(absl::Time now);
  void SendJoinRequests(absl::Time now, Outbox* outbox);
  // Returns the next peer of a shuffled round, or occasionally a dead member, which may have come
  // back.
  NodeId NextTarget();
  std::vector<MemberUpdate> TakeUpdates(const NodeId& receiver);
  int TransmissionLimit() const;
  void RebuildViews();

  MemberUpdate self_;
  MembershipOptions options_;
  Random random_;
  absl::btree_map<NodeId, Member> members_;
  std::vector<OutstandingProbe> outstanding_;
  std::vector<NodeId> probe_order_;
  std::vector<NodeId> duty_holders_;
  std::vector<NodeId> peers_;
  std::vector<std::string> seeds_;
  absl::Time next_probe_;
  absl::Time next_join_;
  absl::Time join_began_ = absl::InfiniteFuture();
  absl::Time last_tick_ = absl::InfiniteFuture();
  std::uint64_t next_sequence_ = 1;
  std::uint64_t view_version_ = 1;
  bool joined_ = false;
  // True if members have changed since the views were built.
  bool views_stale_ = true;
  TableRevision table_revision_;
};

}  // namespace hingespan

#endif  // HINGESPAN_MEMBERSHIP_MEMBERSHIP_H_
