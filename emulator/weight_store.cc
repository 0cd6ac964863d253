#include "emulator/weight_store.h"

#include <algorithm>

namespace hingespan::emulator {
namespace {

// Tolerance for rounding of durations, which could otherwise leave a transfer unfinished.
constexpr absl::Duration kFinishedTolerance = absl::Nanoseconds(10);

}  // namespace

WeightStore::WeightStore(WeightStoreOptions options) : options_(options) {}

TransferId WeightStore::Request(absl::Duration full_speed_time, absl::Time now) {
  Advance(now);
  const TransferId id = next_id_++;
  queue_.push_back({id, std::max(full_speed_time, absl::Microseconds(1))});
  Advance(now);
  return id;
}

void WeightStore::Abort(TransferId transfer, absl::Time now) {
  Advance(now);
  active_.erase(transfer);
  std::erase_if(queue_, [&](const Queued& queued) { return queued.id == transfer; });
  std::erase(finished_, transfer);
}

void WeightStore::SetSlowdown(double factor, absl::Time now) {
  Advance(now);
  slowdown_ = std::max(1.0, factor);
}

void WeightStore::Advance(absl::Time now) {
  if (advanced_to_ == absl::InfinitePast()) {
    advanced_to_ = now;
  }
  while (NextEvent() <= now) {
    AdvanceTransfers(NextEvent());
    EndDueTransfers();
    BeginDueTransfers();
  }
  AdvanceTransfers(now);
}

std::vector<TransferId> WeightStore::TakeFinished() {
  std::vector<TransferId> finished;
  finished.swap(finished_);
  return finished;
}

absl::Time WeightStore::NextEvent() const { return std::min(NextBegin(), NextEnd()); }

double WeightStore::Speed() const {
  const double count = static_cast<double>(active_.size());
  const double share = std::min(1.0, options_.full_speed_concurrency / std::max(1.0, count));
  return share / slowdown_;
}

absl::Time WeightStore::NextBegin() const {
  if (queue_.empty()) {
    return absl::InfiniteFuture();
  }
  return std::max(advanced_to_, next_permit_);
}

absl::Time WeightStore::NextEnd() const {
  if (active_.empty()) {
    return absl::InfiniteFuture();
  }
  absl::Duration least = absl::InfiniteDuration();
  for (const auto& [id, left] : active_) {
    least = std::min(least, left);
  }
  return advanced_to_ + least / Speed();
}

void WeightStore::AdvanceTransfers(absl::Time until) {
  if (until <= advanced_to_) {
    return;
  }
  const absl::Duration done = (until - advanced_to_) * Speed();
  for (auto& [id, left] : active_) {
    left -= done;
  }
  advanced_to_ = until;
}

void WeightStore::BeginDueTransfers() {
  if (queue_.empty() || NextBegin() > advanced_to_) {
    return;
  }
  const Queued begun = queue_.front();
  queue_.pop_front();
  active_[begun.id] = begun.full_speed_time;
  next_permit_ = advanced_to_ + absl::Seconds(1.0 / options_.begins_per_second);
  peak_concurrency_ = std::max(peak_concurrency_, active());
}

void WeightStore::EndDueTransfers() {
  for (auto transfer = active_.begin(); transfer != active_.end();) {
    if (transfer->second <= kFinishedTolerance) {
      finished_.push_back(transfer->first);
      transfer = active_.erase(transfer);
    } else {
      ++transfer;
    }
  }
}

}  // namespace hingespan::emulator
