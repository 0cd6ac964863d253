// Messages between nodes. They are sent as datagrams, which may be lost, duplicated, late and out
// of order; every receiver tolerates that. Times on the wire are remaining durations, never
// instants, as nodes do not share a clock.
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

// kLeft: the node announced that it stops. kDead: other nodes concluded that it failed.
enum class MemberState { kAlive, kSuspect, kLeaving, kLeft, kDead };

struct MemberUpdate {
  NodeId node;
  NodeIncarnation incarnation;
  // Incremented by the member itself to refute a suspicion within one incarnation.
  std::uint32_t refutation = 0;
  MemberState state = MemberState::kAlive;
  std::string control_address;
  std::string http_address;

  friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

// Liveness probe with membership updates. `table_revision` starts anti-entropy of the replicated
// records.
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

// Asks the receiver to probe `target` on behalf of the sender, whose own probe was not answered.
struct IndirectProbeRequest {
  std::uint64_t sequence = 0;
  NodeId target;
};

// Reports that the target answered the helper's probe.
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

// Requests the changes after a revision.
struct RecordFetch {
  TableRevision after;
};

// Changes in (`after`, `through`], oldest first. Applied only if the receiver is at `after`.
struct RecordChanges {
  TableRevision after;
  TableRevision through;
  // Newest revision of the sender; if it is above `through`, more changes can be fetched.
  TableRevision latest;
  std::vector<RecordChange> changes;
};

// Hints from the platform's machine list, forwarded by the node that read it. May hold a part of
// the list.
struct MachineListUpdate {
  std::vector<NodeMachine> nodes;
  std::vector<WorkerMachine> workers;
};

// --- Residency: from a worker's keeper to the nodes of its zone ---------------------------------

// Change of a replica's state. `version` counts such changes; after a gap the receiver requests the
// whole list.
struct ReplicaUpdate {
  WorkerId worker;
  WorkerIncarnation incarnation;
  KeeperEpoch epoch;
  ReplicaListVersion version;
  ModelName model;
  GrantGeneration generation;
  ReplicaState state = ReplicaState::kLoading;
  // True if the replica was removed; `state` is then meaningless.
  bool removed = false;
  // Expected time left for kLoading.
  std::uint32_t ready_in_ms = 0;
};

// Summary of a worker and its liveness as seen by its keeper. Sent when a value changes that
// routers or placers use for decisions; between reports, heartbeats confirm it.
struct WorkerReport {
  WorkerId worker;
  WorkerIncarnation incarnation;
  KeeperEpoch epoch;
  ReplicaListVersion version;
  // Increases with each report of one keeper, so that a late report is recognized.
  std::uint64_t sequence = 0;
  std::string base_url;
  // False while the keeper cannot reach the engine.
  bool reachable = true;
  // True if the worker may get no new requests.
  bool leaving = false;
  std::uint32_t memory_mib = 0;
  std::uint32_t memory_charged_mib = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

// Confirms the newest report of a worker, identified by its sequence, and the version of its
// replica list.
struct WorkerHeartbeat {
  WorkerId worker;
  WorkerIncarnation incarnation;
  KeeperEpoch epoch;
  ReplicaListVersion version;
  std::uint64_t sequence = 0;
};

// Heartbeats of all workers that the sender keeps. A receiver that has another report of a worker
// requests the new one.
struct KeeperHeartbeat {
  std::vector<WorkerHeartbeat> workers;
};

// Requests the newest WorkerReport.
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

// All replicas of a worker at one version. Large lists are split: this is number `part` of `parts`.
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
  // Time left of the waiting request with the earliest deadline, and of the one with the latest.
  std::uint32_t earliest_deadline_ms = 0;
  std::uint32_t latest_deadline_ms = 0;
  // Mean time of the model's requests at engines, as observed by the sender; 0 if none ended
  // recently.
  std::uint32_t service_ms = 0;
};

enum class WakeOutcome {
  kLoading,
  kReady,
  // No replica can be loaded; see WakeReply::reason.
  kRefused,
};

enum class WakeRefusal {
  kNone,
  // The row allows no (more) replicas, or no slot is granted and none can be granted now.
  kNoGrant,
  // All memory is used by replicas that are in use.
  kNoMemory,
  kNoWorker,
  kUnknownModel,
};

struct WakeReply {
  ModelName model;
  WakeOutcome outcome = WakeOutcome::kLoading;
  WakeRefusal reason = WakeRefusal::kNone;
  // Expected time until a replica is ready. For kRefused, the time after which to ask again.
  std::uint32_t expected_wait_ms = 0;
};

// From a placer to a worker's keeper: loads the model under the grant of this generation.
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

// From a placer to a worker's keeper: unloads the model and invalidates older generations.
struct RevokeRequest {
  WorkerId worker;
  WorkerIncarnation incarnation;
  ModelName model;
  GrantGeneration generation;
};

// If `confirmed`, the engine reported under the fence of the keeper that no replica of the model is
// left and that no load below `generation` can start any more, or `incarnation` has ended.
struct RevokeReply {
  WorkerId worker;
  WorkerIncarnation incarnation;
  ModelName model;
  GrantGeneration generation;
  bool confirmed = false;
};

// Requests permission to fetch from the weight store now. Sent by a keeper to the permit holder of
// its zone.
struct PermitRequest {
  WorkerId worker;
  ModelName model;
  // Increases with each permit that a keeper of the worker requests. Repeats and the return use the
  // same number, so that late ones are recognized.
  std::uint64_t number = 0;
  std::uint32_t waiting = 0;
  std::uint32_t earliest_deadline_ms = 0;
  // True if the load has ended and the permit is returned.
  bool release = false;
};

struct PermitReply {
  WorkerId worker;
  ModelName model;
  std::uint64_t number = 0;
  bool granted = false;
  std::uint32_t expected_wait_ms = 0;
};

// Asks whether the sender alone may lend and use this zone's slots of the weight store. Sent by a
// permit holder to the nodes of its zone; `round` numbers the votes of the holder.
struct PermitVoteRequest {
  std::uint64_t round = 0;
};

struct PermitVoteReply {
  std::uint64_t round = 0;
  bool granted = false;
};

// From the permit holder of zone `borrower` to that of zone `lender`. Another node forwards it.
struct PermitLoanRequest {
  ZoneId lender;
  ZoneId borrower;
  NodeId holder;
  NodeIncarnation incarnation;
  std::uint64_t sequence = 0;
  // Lent slots that the borrower keeps; the others are returned by this message.
  std::uint32_t held = 0;
  // Loads that wait for a slot, further slots that would let them start sooner, requests that wait
  // for those loads, and the time left of the earliest deadline among them.
  std::uint32_t waiting_loads = 0;
  std::uint32_t extra_slots = 0;
  std::uint32_t waiting = 0;
  std::uint32_t earliest_deadline_ms = 0;
  bool passed_on = false;
};

// Number of all slots lent to the borrower, in answer to its request `sequence`. May be repeated
// with a larger number.
struct PermitLoanReply {
  ZoneId lender;
  NodeIncarnation incarnation;
  std::uint64_t sequence = 0;
  std::uint32_t slots = 0;
};

// --- Claims on not-repeatable requests ----------------------------------------------------------

// Asks whether `attempt` may run the request with this key.
struct ClaimRequest {
  IdempotencyKey key;
  // Time of the key in milliseconds since 1970.
  std::uint64_t key_time_ms = 0;
  KeyRangeId range;
  RequestId attempt;
};

enum class ClaimOutcome {
  // This attempt may run, and no other attempt ever.
  kGranted,
  // Another attempt holds the key: this attempt was not run, the request with this key may have
  // run.
  kAlreadyClaimed,
  // The receiver does not own the key's interval.
  kNotOwner,
  // The key is older than the time for which the owner keeps claims, or issued in the future.
  kOutOfTime,
};

struct ClaimReply {
  IdempotencyKey key;
  RequestId attempt;
  ClaimOutcome outcome = ClaimOutcome::kNotOwner;
};

// Releases the claim of an attempt that provably did not run, so that another attempt may get it.
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
  // Address to which to reply if the receiver may not know the sender; see reply_address.h.
  std::string reply_address;
  Message message;
};

// Maximum size of a datagram without its signature, in bytes; common networks carry 1,400 bytes in
// one packet. Senders split record changes and lists to stay below it.
inline constexpr std::size_t kMaximumDatagramBytes = 1400;
// Maximum size of an encoded envelope, in bytes. An envelope above kMaximumDatagramBytes is sent as
// fragments. The changes of one revision cannot be split, so one transaction must stay below this
// size.
inline constexpr std::size_t kMaximumMessageBytes = 48 * 1024;

}  // namespace hingespan

#endif  // HINGESPAN_TRANSPORT_MESSAGE_H_
