#include "hingespan/fleet/weight_store_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hingespan::gateway {
namespace {

constexpr double kLeastLimit = 1;
// The limit counts in whole loads; estimates a little below the next whole one count as it.
constexpr double kRounding = 0.3;

}  // namespace

void WeightStoreLimit::Begin(const WeightStoreEstimate& inherited) {
  loads_.clear();
  others_ = 0;
  advanced_ = absl::InfinitePast();
  at_full_speed_ = 0;
  if (inherited.limit >= kLeastLimit) {
    limit_ = inherited.limit;
    settled_ = inherited.settled;
  }
}

void WeightStoreLimit::Advance(absl::Time now) {
  if (advanced_ != absl::InfinitePast() && now > advanced_) {
    const double seconds = absl::ToDoubleSeconds(now - advanced_);
    for (auto& [id, load] : loads_) {
      load.load_seconds += seconds * running();
    }
  }
  advanced_ = now;
}

void WeightStoreLimit::LoadBegan(const std::string& worker_id, absl::Duration full_speed,
                                 bool timed, absl::Time now) {
  Advance(now);
  loads_[worker_id] = Load{full_speed, timed, now, now};
}

void WeightStoreLimit::LoadSeenRunning(const std::string& worker_id, absl::Time now) {
  const auto load = loads_.find(worker_id);
  if (load != loads_.end()) {
    load->second.last_seen_running = now;
  }
}

void WeightStoreLimit::LoadEnded(const std::string& worker_id, absl::Time now) {
  Advance(now);
  const auto entry = loads_.find(worker_id);
  if (entry == loads_.end()) {
    return;
  }
  const Load load = entry->second;
  loads_.erase(entry);
  const double seen_seconds = absl::ToDoubleSeconds(now - load.began);
  if (!load.timed || seen_seconds <= 0) {
    return;
  }
  const double at_once = load.load_seconds / seen_seconds;
  // It ended between the last look that saw it under way and this one.
  const absl::Duration took = load.last_seen_running - settings_.observation_lag - load.began;
  if (took < load.full_speed * settings_.slow_factor) {
    TakeFullSpeed(at_once, load.limit_bound);
    return;
  }
  TakeSlow(at_once * absl::FDivDuration(load.full_speed, took));
}

void WeightStoreLimit::LoadDropped(const std::string& worker_id, absl::Time now) {
  Advance(now);
  loads_.erase(worker_id);
}

void WeightStoreLimit::SetOtherLoads(int count, absl::Time now) {
  Advance(now);
  others_ = count;
}

void WeightStoreLimit::TakeFullSpeed(double at_once, bool limit_bound) {
  limit_ = std::max(limit_, std::floor(at_once));
  if (!limit_bound) {
    return;
  }
  if (!settled_) {
    limit_ += settings_.growth;
    return;
  }
  at_full_speed_ += 1;
  if (at_full_speed_ >= settings_.loads_each_place_before_trial * limit_) {
    at_full_speed_ = 0;
    limit_ += 1;
  }
}

void WeightStoreLimit::TakeSlow(double sample) {
  const double weight = settled_ ? settings_.sample_weight : 1.0;
  limit_ = std::max(kLeastLimit, limit_ + weight * (std::min(sample, limit_) - limit_));
  settled_ = true;
  at_full_speed_ = 0;
}

void WeightStoreLimit::TakeOverdue(absl::Time now) {
  double least = limit_;
  int overdue = 0;
  for (const auto& [id, load] : loads_) {
    const absl::Duration ran = load.last_seen_running - load.began;
    if (!load.timed || ran - settings_.observation_lag < load.full_speed * settings_.slow_factor) {
      continue;
    }
    const double seconds = absl::ToDoubleSeconds(now - load.began);
    const double at_once = load.load_seconds / seconds;
    least = std::min(least, at_once * absl::FDivDuration(load.full_speed, ran));
    ++overdue;
  }
  // One alone may be the fault of its worker.
  constexpr int kLeastOverdue = 2;
  if (overdue >= kLeastOverdue && least < limit_) {
    limit_ = std::max(kLeastLimit, least);
    settled_ = true;
    at_full_speed_ = 0;
  }
}

bool WeightStoreLimit::MayBegin(int planned, double part, absl::Time now) {
  Advance(now);
  TakeOverdue(now);
  const int wanted = running() + planned + 1;
  const double most = settings_.enabled ? limit_ + kRounding : std::numeric_limits<double>::max();
  if (wanted <= most) {
    return wanted <= std::max(kLeastLimit, most * part);
  }
  for (auto& [id, load] : loads_) {
    load.limit_bound = true;
  }
  return false;
}

absl::Duration WeightStoreLimit::ExpectedTime(absl::Duration full_speed) const {
  if (!settled_) {
    return full_speed;
  }
  return full_speed * std::max(1.0, (running() + 1) / std::max(kLeastLimit, limit_ + kRounding));
}

}  // namespace hingespan::gateway
