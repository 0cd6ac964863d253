#include "hingespan/claim/claim_owner.h"

#include <algorithm>
#include <utility>

#include "claim_segments.h"
#include "hingespan/claim/key_time.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

// Maximum number of writes started by one Tick, so that many ranges do not load the platform at
// once.
constexpr int kWritesPerTick = 4;
// Time after which a write that does not show in the record store is retried. A random part is
// added.
constexpr absl::Duration kRetryInterval = absl::Seconds(2);
// A range is extended when less than `ahead` divided by this is left.
constexpr std::uint64_t kExtendDivisor = 2;

std::uint64_t Milliseconds(absl::Duration duration) {
  return static_cast<std::uint64_t>(absl::ToInt64Milliseconds(duration));
}

std::uint64_t Milliseconds(absl::Time wall_time) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, absl::ToUnixMillis(wall_time)));
}

std::uint64_t RoundDown(std::uint64_t value, std::uint64_t unit) { return value - value % unit; }

std::uint64_t RoundUp(std::uint64_t value, std::uint64_t unit) {
  return RoundDown(value + unit - 1, unit);
}

std::uint64_t SubtractOrZero(std::uint64_t value, std::uint64_t subtrahend) {
  return value > subtrahend ? value - subtrahend : 0;
}

}  // namespace

ClaimOwner::ClaimOwner(NodeId self, NodeIncarnation incarnation, ZoneId zone, ClaimOptions options,
                       const RecordStore* store, std::uint64_t seed)
    : self_(std::move(self)),
      incarnation_(incarnation),
      zone_(std::move(zone)),
      options_(options),
      store_(store),
      random_(seed) {}

ClaimSegment ClaimOwner::Self() const { return {0, self_, incarnation_, zone_}; }

// --- Claims -------------------------------------------------------------------------------------

bool ClaimOwner::Owns(KeyRangeId range, std::uint64_t key_time_ms) const {
  const ClaimRangeRecord* record = store_->FindClaimRange(range);
  if (record == nullptr || key_time_ms >= given_back_from_ms_) {
    return false;
  }
  const ClaimSegment* segment = SegmentAt(*record, key_time_ms);
  return segment != nullptr && SameOwner(*segment, Self());
}

ClaimOwner::KeyState* ClaimOwner::FindOrAdd(const IdempotencyKey& key, KeyRangeId range,
                                            std::uint64_t key_time_ms) {
  const bool matches_key =
      KeyTimeMs(key) == key_time_ms && RangeOf(key, options_.range_count) == range;
  if (!matches_key || !Owns(range, key_time_ms)) {
    return nullptr;
  }
  const auto [entry, added] = claims_.try_emplace(key);
  if (added) {
    entry->second.key_time_ms = key_time_ms;
    claims_by_time_.emplace(key_time_ms, key);
  }
  return &entry->second;
}

ClaimOutcome ClaimOwner::Claim(const ClaimRequest& request, absl::Time wall_time) {
  const std::uint64_t now_ms = Milliseconds(wall_time);
  ForgetBefore(SubtractOrZero(now_ms, Milliseconds(options_.remember)));
  const bool too_new = request.key_time_ms > now_ms + Milliseconds(options_.future_skew);
  if (request.key_time_ms < closed_before_ms_ || too_new) {
    return ClaimOutcome::kOutOfTime;
  }
  KeyState* state = FindOrAdd(request.key, request.range, request.key_time_ms);
  if (state == nullptr) {
    return ClaimOutcome::kNotOwner;
  }
  const bool was_released = std::find(state->released.begin(), state->released.end(),
                                      request.attempt) != state->released.end();
  const bool taken = !state->attempt.empty() && state->attempt != request.attempt;
  if ((was_released || taken) && !options_.disable_claims_for_test) {
    return ClaimOutcome::kAlreadyClaimed;
  }
  state->attempt = request.attempt;
  latest_granted_ms_ = std::max(latest_granted_ms_, request.key_time_ms);
  return ClaimOutcome::kGranted;
}

void ClaimOwner::Release(const ClaimRelease& release) {
  if (release.key_time_ms < closed_before_ms_) {
    return;
  }
  KeyState* state = FindOrAdd(release.key, release.range, release.key_time_ms);
  if (state == nullptr) {
    return;
  }
  if (std::find(state->released.begin(), state->released.end(), release.attempt) ==
      state->released.end()) {
    state->released.push_back(release.attempt);
  }
  if (state->attempt == release.attempt) {
    state->attempt = RequestId();
  }
}

void ClaimOwner::ForgetBefore(std::uint64_t watermark_ms) {
  if (watermark_ms <= closed_before_ms_) {
    return;
  }
  closed_before_ms_ = watermark_ms;
  const auto end = claims_by_time_.lower_bound(watermark_ms);
  for (auto claim = claims_by_time_.begin(); claim != end; ++claim) {
    claims_.erase(claim->second);
  }
  claims_by_time_.erase(claims_by_time_.begin(), end);
}

// --- Ownership ----------------------------------------------------------------------------------

void ClaimOwner::Tick(const std::vector<KeyRangeId>& my_ranges, absl::Time wall_time,
                      absl::Time now, Outbox* outbox) {
  const std::uint64_t now_ms = Milliseconds(wall_time);
  ForgetBefore(SubtractOrZero(now_ms, Milliseconds(options_.remember)));
  if (given_back_from_ms_ != UINT64_MAX) {
    WriteGiveBacks(now, outbox);
    return;
  }
  const std::size_t limit = outbox->platform_calls.size() + kWritesPerTick;
  for (const KeyRangeId range : my_ranges) {
    if (outbox->platform_calls.size() < limit && MayWrite(range, now)) {
      Extend(range, now_ms, now, outbox);
    }
  }
}

void ClaimOwner::Extend(KeyRangeId range, std::uint64_t now_ms, absl::Time now, Outbox* outbox) {
  const std::uint64_t interval_ms = Milliseconds(options_.interval);
  const std::uint64_t ahead_ms = Milliseconds(options_.ahead);
  const ClaimRangeRecord* record = store_->FindClaimRange(range);
  if (record != nullptr && record->until_ms >= now_ms + ahead_ms / kExtendDivisor) {
    return;
  }
  Extension extension;
  extension.first_from_ms = RoundDown(now_ms, interval_ms);
  extension.until_ms = RoundUp(now_ms + ahead_ms, interval_ms);
  extension.forget_before_ms =
      RoundDown(SubtractOrZero(now_ms, Milliseconds(options_.remember)), interval_ms);
  WriteRecord(ExtendRecord(record, range, Self(), extension), now, outbox);
}

void ClaimOwner::GiveBack(absl::Time wall_time, absl::Time now, Outbox* outbox) {
  if (given_back_from_ms_ == UINT64_MAX) {
    // Keys before this time may have been granted, or granted and forgotten.
    const std::uint64_t begun_ms =
        std::max({Milliseconds(wall_time), latest_granted_ms_, closed_before_ms_});
    const std::uint64_t interval_ms = Milliseconds(options_.interval);
    given_back_from_ms_ = RoundDown(begun_ms, interval_ms) + interval_ms;
    next_write_.clear();
  }
  WriteGiveBacks(now, outbox);
}

void ClaimOwner::WriteGiveBacks(absl::Time now, Outbox* outbox) {
  for (std::uint32_t number = 0; number < options_.range_count; ++number) {
    const KeyRangeId range(number);
    const ClaimRangeRecord* record = store_->FindClaimRange(range);
    if (record == nullptr || !MayWrite(range, now)) {
      continue;
    }
    if (const auto shortened = TruncateRecord(*record, Self(), given_back_from_ms_)) {
      WriteRecord(*shortened, now, outbox);
    }
  }
}

bool ClaimOwner::MayWrite(KeyRangeId range, absl::Time now) const {
  const auto next_write = next_write_.find(range);
  return next_write == next_write_.end() || now >= next_write->second;
}

void ClaimOwner::WriteRecord(const ClaimRangeRecord& record, absl::Time now, Outbox* outbox) {
  const std::string key = ClaimKey(record.range);
  Transaction transaction;
  transaction.preconditions.push_back({key, store_->RevisionOf(key)});
  transaction.writes.push_back({key, EncodeRecord(Record(record))});
  PlatformCall call;
  call.call = next_call_++;
  call.owner = CallOwner::kClaims;
  call.request = std::move(transaction);
  outstanding_[call.call] = record.range;
  next_write_[record.range] = now + kRetryInterval * (1 + random_.Fraction());
  outbox->platform_calls.push_back(std::move(call));
}

void ClaimOwner::HandleAnswer(const PlatformAnswer& answer, absl::Time now) {
  const auto call = outstanding_.find(answer.call);
  if (answer.owner != CallOwner::kClaims || call == outstanding_.end()) {
    return;
  }
  // The outcome is taken from the record in the store, not from the answer, which may be lost.
  if (answer.error) {
    next_write_[call->second] = now + kRetryInterval * (1 + random_.Fraction());
  }
  outstanding_.erase(call);
}

std::uint64_t ClaimOwner::owned_until_ms() const {
  std::uint64_t until_ms = 0;
  for (std::uint32_t number = 0; number < options_.range_count; ++number) {
    const ClaimRangeRecord* record = store_->FindClaimRange(KeyRangeId(number));
    if (record == nullptr) {
      continue;
    }
    for (const ClaimSegment& segment : record->segments) {
      if (SameOwner(segment, Self()) && segment.from_ms < given_back_from_ms_) {
        until_ms = std::max(until_ms, std::min(SegmentEnd(*record, segment), given_back_from_ms_));
      }
    }
  }
  return until_ms;
}

}  // namespace hingespan
