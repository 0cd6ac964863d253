#include "hingespan/claim/claimant.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "claim_segments.h"
#include "hingespan/claim/key_time.h"

namespace hingespan {
namespace {

// Interval at which the owner or the platform is asked again.
constexpr absl::Duration kRetryInterval = absl::Milliseconds(100);
// Added after a node answered that it is not the owner: the record store of one of the two nodes is
// behind.
constexpr absl::Duration kNotOwnerDelay = absl::Milliseconds(200);

// Callers choose arbitrary bytes as keys, while the keys of the platform are text.
std::string PlatformKey(const IdempotencyKey& key) {
  return absl::StrCat(kKeyPrefix, absl::CEscape(key.value()));
}

}  // namespace

Claimant::Claimant(NodeId self, NodeIncarnation incarnation, ClaimOptions options,
                   const RecordStore* store, ClaimOwner* local_owner)
    : self_(std::move(self)),
      incarnation_(incarnation),
      options_(options),
      store_(store),
      local_owner_(local_owner) {}

// --- Wire names ---------------------------------------------------------------------------------

RequestId Claimant::WireName(const RequestId& attempt) const {
  return RequestId(absl::StrCat(attempt.value(), "@", self_.value(), "/", incarnation_.value()));
}

RequestId Claimant::FromWireName(const RequestId& name) const {
  const std::string suffix = absl::StrCat("@", self_.value(), "/", incarnation_.value());
  absl::string_view attempt = name.value();
  if (!absl::ConsumeSuffix(&attempt, suffix)) {
    return RequestId();
  }
  return RequestId(std::string(attempt));
}

// --- Requests -----------------------------------------------------------------------------------

void Claimant::Begin(const RequestId& attempt, const IdempotencyKey& key, absl::Time deadline,
                     absl::Time wall_time, absl::Time now, Outbox* outbox) {
  const auto [entry, added] = pending_.try_emplace(attempt);
  if (!added) {
    return;
  }
  entry->second.key = key;
  entry->second.deadline = deadline;
  SendClaim(attempt, &entry->second, wall_time, now, outbox);
}

void Claimant::SendClaim(const RequestId& attempt, Pending* pending, absl::Time wall_time,
                         absl::Time now, Outbox* outbox) {
  pending->next_send = now + kRetryInterval;
  if (const std::optional<std::uint64_t> key_time_ms = KeyTimeMs(pending->key)) {
    ClaimAtOwner(attempt, pending, *key_time_ms, wall_time, outbox);
  } else if (pending->platform_call == 0) {
    ClaimInPlatform(attempt, pending, outbox);
  }
}

void Claimant::ClaimAtOwner(const RequestId& attempt, Pending* pending, std::uint64_t key_time_ms,
                            absl::Time wall_time, Outbox* outbox) {
  if (absl::FromUnixMillis(static_cast<std::int64_t>(key_time_ms)) >
      wall_time + options_.future_skew) {
    Decide(attempt, ClaimVerdict::kOutOfTime);
    return;
  }
  const KeyRangeId range = RangeOf(pending->key, options_.range_count);
  const ClaimRangeRecord* record = store_->FindClaimRange(range);
  if (record == nullptr || key_time_ms >= record->until_ms) {
    // The time has no owner yet, or the record store of this node is behind.
    return;
  }
  const ClaimSegment* segment = SegmentAt(*record, key_time_ms);
  if (segment == nullptr) {
    // The key is older than the first segment and will never have an owner.
    Decide(attempt, ClaimVerdict::kOutOfTime);
    return;
  }
  const ClaimRequest request{pending->key, key_time_ms, range, WireName(attempt)};
  if (segment->owner != self_) {
    outbox->Send(segment->owner, request);
  } else if (segment->incarnation == incarnation_) {
    DecideByOutcome(attempt, local_owner_->Claim(request, wall_time));
  } else {
    // The owner was an earlier incarnation of this node, which can no longer answer.
    Decide(attempt, ClaimVerdict::kUndecided);
  }
}

void Claimant::DecideByOutcome(const RequestId& attempt, ClaimOutcome outcome) {
  switch (outcome) {
    case ClaimOutcome::kGranted:
      Decide(attempt, ClaimVerdict::kGranted);
      break;
    case ClaimOutcome::kAlreadyClaimed:
      Decide(attempt, ClaimVerdict::kAlreadyClaimed);
      break;
    case ClaimOutcome::kOutOfTime:
      Decide(attempt, ClaimVerdict::kOutOfTime);
      break;
    case ClaimOutcome::kNotOwner:
      pending_.at(attempt).next_send += kNotOwnerDelay;
      break;
  }
}

void Claimant::HandleReply(const ClaimReply& reply) {
  const RequestId attempt = FromWireName(reply.attempt);
  const auto pending = pending_.find(attempt);
  if (pending != pending_.end() && pending->second.key == reply.key) {
    DecideByOutcome(attempt, reply.outcome);
  }
}

// --- Decisions and releases ---------------------------------------------------------------------

void Claimant::Decide(const RequestId& attempt, ClaimVerdict verdict) {
  pending_.erase(attempt);
  decisions_.push_back({attempt, verdict});
}

std::vector<ClaimDecision> Claimant::TakeDecisions() { return std::exchange(decisions_, {}); }

void Claimant::Forget(const RequestId& attempt) {
  std::erase_if(decisions_, [this, &attempt](const ClaimDecision& decision) {
    return decision.attempt == attempt;
  });
  const auto pending = pending_.find(attempt);
  if (pending != pending_.end()) {
    abandoned_.push_back({attempt, pending->second.key});
    pending_.erase(pending);
  }
}

void Claimant::GiveUp(const RequestId& attempt, Outbox* outbox) {
  const IdempotencyKey key = pending_.at(attempt).key;
  if (const std::optional<std::uint64_t> key_time_ms = KeyTimeMs(key)) {
    ReleaseAtOwner(attempt, key, *key_time_ms, outbox);
  }
  Decide(attempt, ClaimVerdict::kUndecided);
}

void Claimant::Tick(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  for (const Abandoned& claim : std::exchange(abandoned_, {})) {
    if (const std::optional<std::uint64_t> key_time_ms = KeyTimeMs(claim.key)) {
      ReleaseAtOwner(claim.attempt, claim.key, *key_time_ms, outbox);
    }
  }
  std::vector<RequestId> due;
  for (const auto& [attempt, pending] : pending_) {
    if (now >= pending.deadline || now >= pending.next_send) {
      due.push_back(attempt);
    }
  }
  for (const RequestId& attempt : due) {
    Pending& pending = pending_.at(attempt);
    if (now >= pending.deadline) {
      GiveUp(attempt, outbox);
    } else {
      SendClaim(attempt, &pending, wall_time, now, outbox);
    }
  }
}

void Claimant::Release(const RequestId& attempt, const IdempotencyKey& key, Outbox* outbox) {
  if (const std::optional<std::uint64_t> key_time_ms = KeyTimeMs(key)) {
    ReleaseAtOwner(attempt, key, *key_time_ms, outbox);
    return;
  }
  SendCall(CallKind::kReadForRelease, attempt, key, ReadCall{PlatformKey(key)}, outbox);
}

void Claimant::ReleaseAtOwner(const RequestId& attempt, const IdempotencyKey& key,
                              std::uint64_t key_time_ms, Outbox* outbox) {
  const KeyRangeId range = RangeOf(key, options_.range_count);
  const ClaimRangeRecord* record = store_->FindClaimRange(range);
  const ClaimSegment* segment = record == nullptr ? nullptr : SegmentAt(*record, key_time_ms);
  if (segment == nullptr) {
    return;
  }
  const ClaimRelease release{key, key_time_ms, range, WireName(attempt)};
  if (segment->owner == self_) {
    local_owner_->Release(release);
  } else {
    outbox->Send(segment->owner, release);
  }
}

// --- Keys without a time, claimed in the platform -----------------------------------------------

std::uint64_t Claimant::SendCall(CallKind kind, const RequestId& attempt, const IdempotencyKey& key,
                                 std::variant<Transaction, ReadCall> request, Outbox* outbox) {
  PlatformCall call;
  call.call = next_call_++;
  call.owner = CallOwner::kClaimant;
  std::visit([&call](auto& alternative) { call.request = std::move(alternative); }, request);
  platform_calls_[call.call] = {kind, attempt, key};
  outbox->platform_calls.push_back(std::move(call));
  return next_call_ - 1;
}

void Claimant::ClaimInPlatform(const RequestId& attempt, Pending* pending, Outbox* outbox) {
  const std::string key = PlatformKey(pending->key);
  if (pending->read_back) {
    pending->platform_call =
        SendCall(CallKind::kReadBack, attempt, pending->key, ReadCall{key}, outbox);
    return;
  }
  Transaction insert;
  insert.preconditions.push_back({key, TableRevision()});
  insert.writes.push_back({key, WireName(attempt).value()});
  pending->platform_call =
      SendCall(CallKind::kInsert, attempt, pending->key, std::move(insert), outbox);
}

void Claimant::HandleAnswer(const PlatformAnswer& answer, absl::Time now, Outbox* outbox) {
  const auto call = platform_calls_.find(answer.call);
  if (answer.owner != CallOwner::kClaimant || call == platform_calls_.end()) {
    return;
  }
  const PlatformClaim claim = std::move(call->second);
  platform_calls_.erase(call);
  if (const auto pending = pending_.find(claim.attempt); pending != pending_.end()) {
    pending->second.platform_call = 0;
    pending->second.read_back = true;
  }
  if (answer.error || claim.kind == CallKind::kDelete) {
    return;
  }
  if (const auto* stored = std::get_if<StoredValue>(&answer.value)) {
    HandleStored(claim, *stored, now, outbox);
    return;
  }
  const auto* result = std::get_if<TransactionResult>(&answer.value);
  if (result == nullptr) {
    return;
  }
  const std::string key = PlatformKey(claim.key);
  if (result->committed) {
    HandleStored(claim, {key, result->revision, WireName(claim.attempt).value()}, now, outbox);
    return;
  }
  for (const StoredValue& stored : result->conflicting) {
    if (stored.key == key) {
      HandleStored(claim, stored, now, outbox);
    }
  }
}

// Handles the value that the platform stores for the key.
void Claimant::HandleStored(const PlatformClaim& claim, const StoredValue& stored, absl::Time now,
                            Outbox* outbox) {
  const bool is_own = stored.value == WireName(claim.attempt).value();
  const auto pending = pending_.find(claim.attempt);
  if (pending == pending_.end() || claim.kind == CallKind::kReadForRelease) {
    // The claim was released, given up or cancelled, so the attempt will not run.
    if (is_own) {
      DeleteStored(claim, stored.revision, outbox);
    }
    return;
  }
  if (!stored.value) {
    pending->second.read_back = false;
    pending->second.next_send = now;
  } else {
    Decide(claim.attempt, is_own ? ClaimVerdict::kGranted : ClaimVerdict::kAlreadyClaimed);
  }
}

void Claimant::DeleteStored(const PlatformClaim& claim, TableRevision revision, Outbox* outbox) {
  const std::string key = PlatformKey(claim.key);
  Transaction removal;
  removal.preconditions.push_back({key, revision});
  removal.writes.push_back({key, std::nullopt});
  SendCall(CallKind::kDelete, claim.attempt, claim.key, std::move(removal), outbox);
}

}  // namespace hingespan
