// Claims keys on behalf of the router: finds the owner of a key and repeats the request until it
// answers or the deadline passes. Keys without a time are claimed in the platform by
// insert-if-absent.
#ifndef HINGESPAN_CLAIM_CLAIMANT_H_
#define HINGESPAN_CLAIM_CLAIMANT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/claim/claim_owner.h"
#include "hingespan/common/ids.h"
#include "hingespan/table/record_store.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

enum class ClaimVerdict {
  kGranted,
  // Another attempt holds the key.
  kAlreadyClaimed,
  // No decision before the deadline, as the owner or the platform could not be reached. The attempt
  // was not run.
  kUndecided,
  // The key is too old, or issued in the future.
  kOutOfTime,
};

struct ClaimDecision {
  RequestId attempt;
  ClaimVerdict verdict = ClaimVerdict::kUndecided;
};

// Not thread-safe. Its platform calls carry CallOwner::kClaimant. On the wire, an attempt is named
// together with the node and its incarnation, so that a request id used again after a restart is
// another attempt.
//
// If the outcome of a claim on a key without a time is still unknown at its deadline, and its last
// answer is lost too, the claim stays in the platform. The key is refused from then on.
class Claimant {
 public:
  Claimant(NodeId self, NodeIncarnation incarnation, ClaimOptions options, const RecordStore* store,
           ClaimOwner* local_owner);

  // Starts a claim that is given up at `deadline`. `attempt` must be new in this incarnation of the
  // node. TakeDecisions returns the decision once.
  // Spec actions: Begin; Claim is asked for here.
  void Begin(const RequestId& attempt, const IdempotencyKey& key, absl::Time deadline,
             absl::Time wall_time, absl::Time now, Outbox* outbox);
  // Cancels a claim: no decision will be returned for it.
  // Spec action: GiveUp.
  void Forget(const RequestId& attempt);
  // Releases the claim of an attempt that was granted and provably did not run. If the release is
  // lost, the key stays claimed.
  // Spec action: Release.
  void Release(const RequestId& attempt, const IdempotencyKey& key, Outbox* outbox);

  void Tick(absl::Time now, absl::Time wall_time, Outbox* outbox);
  // Spec action: ClaimAnswered.
  void HandleReply(const ClaimReply& reply);
  void HandleAnswer(const PlatformAnswer& answer, absl::Time now, Outbox* outbox);
  std::vector<ClaimDecision> TakeDecisions();

 private:
  struct Pending {
    IdempotencyKey key;
    absl::Time deadline;
    absl::Time next_send;
    // Id of the platform call in flight; 0 if there is none.
    std::uint64_t platform_call = 0;
    // True if the outcome of the insert is unknown: the key is read before the next insert.
    bool read_back = false;
  };
  enum class CallKind { kInsert, kReadBack, kReadForRelease, kDelete };
  struct PlatformClaim {
    CallKind kind = CallKind::kInsert;
    RequestId attempt;
    IdempotencyKey key;
  };
  struct Abandoned {
    RequestId attempt;
    IdempotencyKey key;
  };

  void SendClaim(const RequestId& attempt, Pending* pending, absl::Time wall_time, absl::Time now,
                 Outbox* outbox);
  void ClaimAtOwner(const RequestId& attempt, Pending* pending, std::uint64_t key_time_ms,
                    absl::Time wall_time, Outbox* outbox);
  // Spec action: InsertClaim.
  void ClaimInPlatform(const RequestId& attempt, Pending* pending, Outbox* outbox);
  // Spec action: GiveUp.
  // Called at the deadline.
  void GiveUp(const RequestId& attempt, Outbox* outbox);
  void DecideByOutcome(const RequestId& attempt, ClaimOutcome outcome);
  void Decide(const RequestId& attempt, ClaimVerdict verdict);
  void ReleaseAtOwner(const RequestId& attempt, const IdempotencyKey& key,
                      std::uint64_t key_time_ms, Outbox* outbox);
  // Spec action: ReadBack.
  void HandleStored(const PlatformClaim& claim, const StoredValue& stored, absl::Time now,
                    Outbox* outbox);
  // Spec action: DeleteClaim.
  void DeleteStored(const PlatformClaim& claim, TableRevision revision, Outbox* outbox);
  std::uint64_t SendCall(CallKind kind, const RequestId& attempt, const IdempotencyKey& key,
                         std::variant<Transaction, ReadCall> request, Outbox* outbox);
  // Convert between an attempt and its name on the wire and in the platform. FromWireName returns
  // an empty id for names of other nodes or incarnations.
  RequestId WireName(const RequestId& attempt) const;
  RequestId FromWireName(const RequestId& name) const;

  NodeId self_;
  NodeIncarnation incarnation_;
  ClaimOptions options_;
  const RecordStore* store_;
  ClaimOwner* local_owner_;
  // Ordered, so that equal schedules make equal steps.
  absl::btree_map<RequestId, Pending> pending_;
  absl::flat_hash_map<std::uint64_t, PlatformClaim> platform_calls_;
  // Cancelled claims, to be released at the next Tick.
  std::vector<Abandoned> abandoned_;
  std::vector<ClaimDecision> decisions_;
  std::uint64_t next_call_ = 1;
};

}  // namespace hingespan

#endif  // HINGESPAN_CLAIM_CLAIMANT_H_
