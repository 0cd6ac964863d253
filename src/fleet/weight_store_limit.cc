#include "hingespan/fleet/weight_store_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hingespan::gateway {
namespace {

constexpr double kMinLimit = 1;
// The limit is applied in whole loads; an estimate this close below a whole number is rounded up.
constexpr double kRoundingTolerance = 0.3;

}  // namespace

void WeightStoreLimit::Begin(const WeightStoreEstimate& inherited) {
  loads_.clear();
  other_loads_ = 0;
  advanced_ = absl::InfinitePast();
  full_speed_loads_ = 0;
  if (inherited.limit >= kMinLimit) {
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
  const double mean_concurrency = load.load_seconds / seen_seconds;
  // The load ended between the last observation that saw it running and this one.
  const absl::Duration took = load.last_seen_running - settings_.observation_lag - load.began;
  if (took < load.full_speed * settings_.slow_factor) {
    AddFullSpeedSample(mean_concurrency, load.limit_bound);
    return;
  }
  AddSlowSample(mean_concurrency * absl::FDivDuration(load.full_speed, took));
}

void WeightStoreLimit::LoadDropped(const std::string& worker_id, absl::Time now) {
  Advance(now);
  loads_.erase(worker_id);
}

void WeightStoreLimit::SetOtherLoads(int count, absl::Time now) {
  Advance(now);
  other_loads_ = count;
}

void WeightStoreLimit::AddFullSpeedSample(double mean_concurrency, bool limit_bound) {
  limit_ = std::max(limit_, std::floor(mean_concurrency));
  if (!limit_bound) {
    return;
  }
  if (!settled_) {
    limit_ += settings_.growth;
    return;
  }
  full_speed_loads_ += 1;
  if (full_speed_loads_ >= settings_.loads_per_slot_before_trial * limit_) {
    full_speed_loads_ = 0;
    limit_ += 1;
  }
}

void WeightStoreLimit::AddSlowSample(double sample) {
  const double weight = settled_ ? settings_.sample_weight : 1.0;
  limit_ = std::max(kMinLimit, limit_ + weight * (std::min(sample, limit_) - limit_));
  settled_ = true;
  full_speed_loads_ = 0;
}

void WeightStoreLimit::ApplyOverdueLoads(absl::Time now) {
  double least = limit_;
  int overdue = 0;
  for (const auto& [id, load] : loads_) {
    const absl::Duration ran = load.last_seen_running - load.began;
    if (!load.timed || ran - settings_.observation_lag < load.full_speed * settings_.slow_factor) {
      continue;
    }
    const double seconds = absl::ToDoubleSeconds(now - load.began);
    const double mean_concurrency = load.load_seconds / seconds;
    least = std::min(least, mean_concurrency * absl::FDivDuration(load.full_speed, ran));
    ++overdue;
  }
  // A single overdue load may be the fault of its worker.
  constexpr int kMinOverdueLoads = 2;
  if (overdue >= kMinOverdueLoads && least < limit_) {
    limit_ = std::max(kMinLimit, least);
    settled_ = true;
    full_speed_loads_ = 0;
  }
}

bool WeightStoreLimit::MayBegin(int planned, double fraction, absl::Time now) {
  Advance(now);
  ApplyOverdueLoads(now);
  const int wanted = running() + planned + 1;
  const double most =
      settings_.enabled ? limit_ + kRoundingTolerance : std::numeric_limits<double>::max();
  if (wanted <= most) {
    return wanted <= std::max(kMinLimit, most * fraction);
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
  return full_speed *
         std::max(1.0, (running() + 1) / std::max(kMinLimit, limit_ + kRoundingTolerance));
}

}  // namespace hingespan::gateway
