// Every message between nodes. Messages travel as datagrams: they may be lost, doubled, late and
// out of order, and every receiver is written for that. Times on the wire are durations left, never
// instants, since nodes share no clock.
#ifndef HINGESPAN_TRANSPORT_MESSAGE_H_
#define HINGESPAN_TRANSPORT_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hingespan/backing/machine_list.h"
#include "hingespan/common/ids.h"
#include "hingespan/engine/engine_client.h"
#include "hingespan/table/records.h"

namespace hingespan {

// --- Membership of a zone ---------------------------------------------------------------------

// kLeft: the node said itself that it stops; kDead: others concluded it.
enum class MemberState { kAlive, kSuspect, kLeaving, kLeft, kDead };

struct MemberUpdate {
  NodeId node;
  NodeIncarnation incarnation;
  // Raised by the member itself to refute a suspicion within one incarnation.
  std::uint32_t refutation = 0;
  MemberState state = MemberState::kAlive;
  std::string control_address;
  std::string http_address;

  friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

// "Are you there?", with rumours. `table_revision` starts anti-entropy of the replicated records.
struct Probe {
  std::uint64_t sequence = 0;
  std::vector<MemberUpdate> updates;
  TableRevision table_revision;
};

struct ProbeAck {
  std::uint64_t sequence = 0;
  std::vector<MemberUpdate> updates;
  TableRevision table_revision;
};

// Asks the receiver to probe `target` on behalf of the sender, who got no answer.
struct IndirectProbeRequest {
  std::uint64_t sequence = 0;
  NodeId target;
};

// The target answered the helper's probe.
struct IndirectProbeAck {
  std::uint64_t sequence = 0;
  NodeId target;
};

struct JoinRequest {
  MemberUpdate self;
};

struct JoinReply {
  std::vector<MemberUpdate> members;
};

// --- Replicated records -----------------------------------------------------------------------

// Asks for changes after a revision.
struct RecordFetch {
  TableRevision after;
};

// Changes in (`after`, `through`], oldest first. Applied only when the receiver has `after`.
struct RecordChanges {
  TableRevision after;
  TableRevision through;
  // The newest revision that the sender holds; above `through`, there is more to fetch.
  TableRevision latest;
  std::vector<RecordChange> changes;
};

// Hints of the platform's machine list, passed on by the node that read it. May be a part.
struct MachineListUpdate {
  std::vector<NodeMachine> nodes;
  std::vector<WorkerMachine> workers;
};

// --- Residency: from a worker's keeper to the nodes of its zone ---------------------------------

// A replica's state changed. `version` counts such changes; a gap makes the receiver ask for all.
struct ReplicaUpdate {
  WorkerId worker;
  WorkerIncarnation incarnation;
  KeeperEpoch epoch;
  ReplicaListVersion version;
  ModelName model;
  GrantGeneration generation;
  ReplicaState state = ReplicaState::kLoading;
  // True: the replica is gone; `state` has no meaning.
  bool removed = false;
  // For kLoading: expected time left.
  std::uint32_t ready_in_ms = 0;
};

// Summary of a worker, and its liveness as the keeper sees it. Sent when it changes in what a
// router or a placer decides by; in between, heartbeats confirm it.
struct WorkerReport {
  WorkerId worker;
  WorkerIncarnation incarnation;
  KeeperEpoch epoch;
  ReplicaListVersion version;
  // Grows with each report of one keeper, so that a late one is told from a newer one.
  std::uint64_t sequence = 0;
  std::string base_url;
  // False while the keeper can't reach the engine.
  bool reachable = true;
  // True: no new work may go to it.
  bool leaving = false;
  std::uint32_t memory_mib = 0;
  std::uint32_t memory_charged_mib = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

// Confirms the newest report of a worker, named by its sequence, and the version of its replica
// list.
struct WorkerHeartbeat {
  WorkerId worker;
  WorkerIncarnation incarnation;
  KeeperEpoch epoch;
  ReplicaListVersion version;
  std::uint64_t sequence = 0;
};

// Of all workers that the sender keeps. A receiver that holds another report of one asks for it.
struct KeeperHeartbeat {
  std::vector<WorkerHeartbeat> workers;
};

// Answered by the newest WorkerReport.
struct WorkerReportRequest {
  WorkerId worker;
};

struct ReplicaListRequest {
  WorkerId worker;
};

struct ReplicaEntry {
  ModelName model;
  GrantGeneration generation;
  ReplicaState state = ReplicaState::kLoading;
  std::uint32_t ready_in_ms = 0;
};

// All replicas of a worker at one version. Large lists are split: `part` of `parts`.
struct ReplicaList {
  WorkerId worker;
  WorkerIncarnation incarnation;
  KeeperEpoch epoch;
  ReplicaListVersion version;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<ReplicaEntry> replicas;
};

// --- Cold starts -------------------------------------------------------------------------------

// From a router to the model's placer in its zone; repeated while requests wait.
struct WakeRequest {
  ModelName model;
  std::uint32_t waiting = 0;
  // Time left of the waiting request that is due first, and of the one due last.
  std::uint32_t earliest_deadline_ms = 0;
  std::uint32_t latest_deadline_ms = 0;
  // Mean time of the model's requests at engines, as the sender saw it; 0: none seen lately.
  std::uint32_t service_ms = 0;
};

enum class WakeOutcome {
  kLoading,
  kReady,
  // No replica can come: see WakeReply::reason.
  kRefused,
};

enum class WakeRefusal {
  kNone,
  // The row allows no (more) replicas, or no slot is granted and none can be now.
  kNoGrant,
  // All memory is taken by replicas that are in use.
  kNoMemory,
  kNoWorker,
  kUnknownModel,
};

struct WakeReply {
  ModelName model;
  WakeOutcome outcome = WakeOutcome::kLoading;
  WakeRefusal reason = WakeRefusal::kNone;
  // Expected time until a replica is ready; when refused, when to ask again.
  std::uint32_t expected_wait_ms = 0;
};

// From a placer to a worker's keeper: load inside the grant with this generation.
struct LoadRequest {
  WorkerId worker;
  WorkerIncarnation incarnation;
  ModelName model;
  GrantGeneration generation;
  std::uint32_t waiting = 0;
  std::uint32_t earliest_deadline_ms = 0;
};

enum class LoadOutcome { kAccepted, kReady, kNoMemory, kNotKeeper, kOtherIncarnation, kLeaving };

struct LoadReply {
  WorkerId worker;
  WorkerIncarnation incarnation;
  ModelName model;
  GrantGeneration generation;
  LoadOutcome outcome = LoadOutcome::kAccepted;
  std::uint32_t expected_wait_ms = 0;
};

// From a placer to a worker's keeper: unload, and make older generations void.
struct RevokeRequest {
  WorkerId worker;
  WorkerIncarnation incarnation;
  ModelName model;
  GrantGeneration generation;
};

// The engine confirmed, under the keeper's fence, that no replica of the model is left and that no
// load below `generation` can come any more; or that `incarnation` has ended.
struct RevokeReply {
  WorkerId worker;
  WorkerIncarnation incarnation;
  ModelName model;
  GrantGeneration generation;
  bool confirmed = false;
};

// Permission to fetch from the weight store now; between keepers and their zone's permit holder.
struct PermitRequest {
  WorkerId worker;
  ModelName model;
  // Grows with each permit that a keeper of the worker asks for; the same in repeats and in the
  // return, so that a late one is told from a newer one.
  std::uint64_t number = 0;
  std::uint32_t waiting = 0;
  std::uint32_t earliest_deadline_ms = 0;
  // True: the load has ended, the permit is returned.
  bool release = false;
};

struct PermitReply {
  WorkerId worker;
  ModelName model;
  std::uint64_t number = 0;
  bool granted = false;
  std::uint32_t expected_wait_ms = 0;
};

// "May I alone lend and use this zone's slots of the weight store?" From a permit holder to its
// zone's nodes; `round` numbers the holder's questions.
struct PermitVoteRequest {
  std::uint64_t round = 0;
};

struct PermitVoteReply {
  std::uint64_t round = 0;
  bool granted = false;
};

// From the permit holder of zone `borrower` to that of zone `lender`; another node passes it on.
struct PermitLoanRequest {
  ZoneId lender;
  ZoneId borrower;
  NodeId holder;
  NodeIncarnation incarnation;
  std::uint64_t sequence = 0;
  // Slots that the borrower keeps of what it was lent; the others are returned herewith.
  std::uint32_t held = 0;
  // Loads that wait for a slot, slots that would also serve to begin them sooner, requests that
  // wait for those loads, and the time left of the first that is due.
  std::uint32_t waiting_loads = 0;
  std::uint32_t extra_slots = 0;
  std::uint32_t waiting = 0;
  std::uint32_t earliest_deadline_ms = 0;
  bool passed_on = false;
};

// All slots lent to the borrower, as an answer to its request `sequence`; may be repeated, larger.
struct PermitLoanReply {
  ZoneId lender;
  NodeIncarnation incarnation;
  std::uint64_t sequence = 0;
  std::uint32_t slots = 0;
};

// --- Claims on not-repeatable requests ----------------------------------------------------------

// "May attempt `attempt` run the request with this key?"
struct ClaimRequest {
  IdempotencyKey key;
  // Milliseconds since 1970, out of the key.
  std::uint64_t key_time_ms = 0;
  KeyRangeId range;
  RequestId attempt;
};

enum class ClaimOutcome {
  // This attempt, and no other ever, may run.
  kGranted,
  // Another attempt has it: this one was not run, the key may have run.
  kAlreadyClaimed,
  // The receiver does not own the key's interval.
  kNotOwner,
  // The key is older than the owner remembers, or issued in the future.
  kOutOfTime,
};

struct ClaimReply {
  IdempotencyKey key;
  RequestId attempt;
  ClaimOutcome outcome = ClaimOutcome::kNotOwner;
};

// The attempt provably did not run: its claim may be given to another attempt.
struct ClaimRelease {
  IdempotencyKey key;
  std::uint64_t key_time_ms = 0;
  KeyRangeId range;
  RequestId attempt;
};

using Message =
    std::variant<Probe, ProbeAck, IndirectProbeRequest, IndirectProbeAck, JoinRequest, JoinReply,
                 RecordFetch, RecordChanges, MachineListUpdate, ReplicaUpdate, WorkerReport,
                 ReplicaListRequest, ReplicaList, WakeRequest, WakeReply, LoadRequest, LoadReply,
                 RevokeRequest, RevokeReply, PermitRequest, PermitReply, ClaimRequest, ClaimReply,
                 ClaimRelease, KeeperHeartbeat, WorkerReportRequest, PermitVoteRequest,
                 PermitVoteReply, PermitLoanRequest, PermitLoanReply>;

struct Envelope {
  NodeId from;
  NodeIncarnation from_incarnation;
  ZoneId from_zone;
  // Where to answer, when the receiver may not know the sender: see reply_address.h.
  std::string reply_address;
  Message message;
};

// Largest datagram before its signature, in bytes: common networks carry 1,400 in one packet.
// Record changes and lists are split by their senders to stay below.
inline constexpr std::size_t kMaximumDatagramBytes = 1400;
// Largest encoded envelope, in bytes. One that passes kMaximumDatagramBytes travels as fragments:
// the changes of one revision can't be split, so one transaction must stay below this.
inline constexpr std::size_t kMaximumMessageBytes = 48 * 1024;

}  // namespace hingespan

#endif  // HINGESPAN_TRANSPORT_MESSAGE_H_
