#include "hingespan/fleet/lease_manager.h"

#include <algorithm>

namespace hingespan::gateway {
namespace {

// Fraction of the renewal interval after which a write without an answer is retried.
constexpr double kRetryIntervalFraction = 0.25;

}  // namespace

absl::Duration LeaseSettings::OrderLimit() const {
  return workers_check_tokens ? unconfirmed_limit : duration * unchecked_limit_fraction;
}

absl::Duration LeaseSettings::TakeoverWait() const {
  const absl::Duration wait = duration + slack;
  return workers_check_tokens ? wait : wait + OrderLimit() + order_transit;
}

absl::Duration LeaseSettings::RestartWait() const {
  return workers_check_tokens ? absl::ZeroDuration() : order_transit;
}

bool LeaseManager::IsMine(const LeaseRecord& record) const {
  return record.holder == settings_.node && record.incarnation == settings_.incarnation;
}

void LeaseManager::Lose() {
  holding_ = false;
  token_ = 0;
}

// Spec action: ReadLease.
void LeaseManager::OnRead(const std::optional<LeaseRecord>& record, std::uint64_t row_version,
                          absl::Time now) {
  if (row_known_ && row_version < row_version_) {
    return;  // This snapshot is older than the known state.
  }
  if (!row_known_ || row_version != row_version_ || unchanged_since_ == absl::InfiniteFuture()) {
    unchanged_since_ = now;
  }
  row_known_ = true;
  row_version_ = row_version;
  record_ = record;
  needs_read_ = false;
  if (!record_.has_value() || !IsMine(*record_)) {
    Lose();
    return;
  }
  // This row is a write of this process, even if its answer was lost.
  const std::uint64_t token = record_->token == 0 ? row_version : record_->token;
  if (token <= fenced_token_) {
    Lose();
    return;
  }
  holding_ = true;
  token_ = token;
}

void LeaseManager::OnReadFailed(absl::Time) {
  // While the store can't be read, a missing renewal can't be detected.
  unchanged_since_ = absl::InfiniteFuture();
}

// Spec action: SendWrite, TakeOver.
std::optional<LeaseManager::Write> LeaseManager::NextWrite(absl::Time now) {
  if (resigned_ || suspended_ || write_in_flight_ || needs_read_ || !row_known_) {
    return std::nullopt;
  }
  const absl::Duration interval =
      settings_.renew_interval * (last_failed_ ? kRetryIntervalFraction : 1.0);
  if (last_attempt_ != absl::InfinitePast() && now - last_attempt_ < interval) {
    return std::nullopt;
  }
  Write write;
  // A row without a record is malformed; it is taken over like that of an unknown holder.
  write.condition_version = row_version_;
  write.record = {settings_.node, settings_.incarnation, settings_.address, 0};
  if (holding_) {
    write.record.token = token_;
  } else if (row_version_ != 0) {
    // An earlier process on this machine has certainly ended; another machine may only be
    // unreachable.
    const bool same_machine = record_.has_value() && record_->holder == settings_.node &&
                              record_->incarnation != settings_.incarnation;
    const absl::Duration wait =
        same_machine ? settings_.RestartWait() : settings_.TakeoverWait() + extra_wait_;
    if (unchanged_since_ == absl::InfiniteFuture() || now - unchanged_since_ < wait) {
      return std::nullopt;
    }
  } else if (unchanged_since_ == absl::InfiniteFuture() || now - unchanged_since_ < extra_wait_) {
    return std::nullopt;
  }
  write_in_flight_ = true;
  write_renews_ = holding_;
  write_sent_ = now;
  last_attempt_ = now;
  return write;
}

// Spec action: WriteAnswered.
void LeaseManager::OnCommitted(std::uint64_t row_version, absl::Time now) {
  write_in_flight_ = false;
  last_failed_ = false;
  if (write_renews_ && !holding_) {
    // The lease was lost while its renewal was in flight, so the renewal took effect before the
    // loss.
    needs_read_ = true;
    return;
  }
  if (!write_renews_) {
    token_ = row_version;
  }
  holding_ = true;
  record_ = LeaseRecord{settings_.node, settings_.incarnation, settings_.address, token_};
  row_version_ = row_version;
  row_known_ = true;
  unchanged_since_ = now;
  confirmed_at_ = write_sent_;
  confirmed_since_pause_ = true;
}

void LeaseManager::OnConflict(absl::Time) {
  write_in_flight_ = false;
  last_failed_ = false;
  needs_read_ = true;
  confirmed_at_ = absl::InfinitePast();
}

// Spec action: WriteAnswered.
void LeaseManager::OnCommitFailed(absl::Time) {
  write_in_flight_ = false;
  last_failed_ = true;
  // The write may have taken effect; reading the row settles it.
  needs_read_ = true;
}

// Spec action: OrderFenced.
void LeaseManager::OnFenced(absl::Time) {
  fenced_token_ = std::max(fenced_token_, token_);
  Lose();
  needs_read_ = true;
}

void LeaseManager::OnPaused() {
  confirmed_since_pause_ = false;
  unchanged_since_ = absl::InfiniteFuture();
  needs_read_ = true;
}

void LeaseManager::SetSuspended(bool suspended) {
  if (suspended_ && !suspended) {
    OnPaused();
  }
  suspended_ = suspended;
}

bool LeaseManager::MayOrder(absl::Time now) const {
  return holding_ && !resigned_ && !suspended_ && confirmed_since_pause_ &&
         confirmed_at_ != absl::InfinitePast() && now - confirmed_at_ < settings_.OrderLimit();
}

}  // namespace hingespan::gateway
