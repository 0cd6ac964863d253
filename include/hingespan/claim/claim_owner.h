// Decides which attempt may run a request that is not repeatable, for the key intervals that this
// incarnation of this node owns permanently. No clock takes part in a decision, so no pause of the
// process can make it wrong.
#ifndef HINGESPAN_CLAIM_CLAIM_OWNER_H_
#define HINGESPAN_CLAIM_CLAIM_OWNER_H_

#include <cstdint>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"
#include "hingespan/table/record_store.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

struct ClaimOptions {
  std::uint32_t range_count = 64;
  // Length of an interval of key time. Ownership is assigned interval by interval.
  absl::Duration interval = absl::Seconds(10);
  // Ownership is assigned this far ahead. A longer time tolerates longer outages of the platform,
  // but keys of that time are refused if their owner dies.
  absl::Duration ahead = absl::Minutes(10);
  // Claims on keys older than this are forgotten, and such keys are refused.
  absl::Duration remember = absl::Hours(1);
  // Keys issued further in the future than this are refused.
  absl::Duration future_skew = absl::Seconds(30);
  // For tests only: grant every claim without a check for earlier ones.
  bool disable_claims_for_test = false;
};

// Not thread-safe. Its platform calls carry CallOwner::kClaims. All nodes of a deployment must use
// the same `range_count`.
class ClaimOwner {
 public:
  ClaimOwner(NodeId self, NodeIncarnation incarnation, ZoneId zone, ClaimOptions options,
             const RecordStore* store, std::uint64_t seed);

  // Extends ownership of the ranges for which this node holds the kKeyRange duty (`my_ranges`).
  // Writes are retried, also if answers of the platform are lost.
  // Spec action: GiveInterval.
  void Tick(const std::vector<KeyRangeId>& my_ranges, absl::Time wall_time, absl::Time now,
            Outbox* outbox);
  void HandleAnswer(const PlatformAnswer& answer, absl::Time now);

  // Spec action: Claim.
  // Idempotent for one attempt until it is released: a released attempt is never granted again.
  // Time and range are derived from the key; a request that names others is refused.
  ClaimOutcome Claim(const ClaimRequest& request, absl::Time wall_time);
  // Spec action: Release.
  // Also remembers an attempt whose claim arrives later.
  void Release(const ClaimRelease& release);

  // Planned stop: returns the intervals that have not begun, so that a successor can own them. From
  // this call on, Claim refuses their keys; Tick repeats the write until the record shows it. An
  // interval in which a key was granted counts as begun even if it lies in the future, as keys may
  // be issued up to `future_skew` early.
  // Spec action: GiveBack.
  void GiveBack(absl::Time wall_time, absl::Time now, Outbox* outbox);

  // Returns the key time (milliseconds since 1970) up to which this owner still decides after
  // GiveBack; 0 if it owns no interval. A stopping node keeps running until then.
  std::uint64_t owned_until_ms() const;

  // Number of stored claims.
  std::size_t claim_count() const { return claims_.size(); }

 private:
  struct KeyState {
    // Attempt that holds the key; empty if the key is free.
    RequestId attempt;
    std::uint64_t key_time_ms = 0;
    std::vector<RequestId> released;
  };

  ClaimSegment Self() const;
  bool Owns(KeyRangeId range, std::uint64_t key_time_ms) const;
  // Returns the entry of a key, added if necessary; null if this owner does not decide about the
  // key.
  KeyState* FindOrAdd(const IdempotencyKey& key, KeyRangeId range, std::uint64_t key_time_ms);
  void Extend(KeyRangeId range, std::uint64_t now_ms, absl::Time now, Outbox* outbox);
  void WriteGiveBacks(absl::Time now, Outbox* outbox);
  // Spec action: WriteKeys (table).
  void WriteRecord(const ClaimRangeRecord& record, absl::Time now, Outbox* outbox);
  bool MayWrite(KeyRangeId range, absl::Time now) const;
  // Spec action: ForgetBefore.
  void ForgetBefore(std::uint64_t watermark_ms);

  NodeId self_;
  NodeIncarnation incarnation_;
  ZoneId zone_;
  ClaimOptions options_;
  const RecordStore* store_;
  absl::flat_hash_map<IdempotencyKey, KeyState> claims_;
  absl::btree_multimap<std::uint64_t, IdempotencyKey> claims_by_time_;
  // Keys issued before this time are refused permanently. Never decreases.
  std::uint64_t closed_before_ms_ = 0;
  // After GiveBack, keys issued at or after this time are refused.
  std::uint64_t given_back_from_ms_ = UINT64_MAX;
  // Latest time of any granted key.
  std::uint64_t latest_granted_ms_ = 0;
  Random random_;
  absl::flat_hash_map<KeyRangeId, absl::Time> next_write_;
  absl::flat_hash_map<std::uint64_t, KeyRangeId> outstanding_;
  std::uint64_t next_call_ = 1;
};

}  // namespace hingespan

#endif  // HINGESPAN_CLAIM_CLAIM_OWNER_H_
