#include "hingespan/placement/load_estimator.h"

#include <algorithm>

namespace hingespan {
namespace {

constexpr double kMibPerGib = 1024.0;

std::size_t IndexOf(CacheTier tier) { return static_cast<std::size_t>(tier); }

}  // namespace

LoadEstimator::LoadEstimator(LoadEstimatorOptions options) : options_(options) {
  seconds_per_gib_[IndexOf(CacheTier::kMemory)] = absl::ToDoubleSeconds(options.memory_per_gib);
  seconds_per_gib_[IndexOf(CacheTier::kDisk)] = absl::ToDoubleSeconds(options.disk_per_gib);
  seconds_per_gib_[IndexOf(CacheTier::kRemote)] = absl::ToDoubleSeconds(options.remote_per_gib);
}

absl::Duration LoadEstimator::Estimate(CacheTier tier, std::uint32_t memory_mib) const {
  const double gib = memory_mib / kMibPerGib;
  return options_.fixed + absl::Seconds(gib * seconds_per_gib_[IndexOf(tier)]);
}

void LoadEstimator::Observe(CacheTier tier, std::uint32_t memory_mib, absl::Duration taken) {
  if (memory_mib == 0) {
    return;
  }
  const double gib = memory_mib / kMibPerGib;
  const double variable_seconds = absl::ToDoubleSeconds(taken - options_.fixed);
  const double observed = std::max(0.0, variable_seconds) / gib;
  double& average = seconds_per_gib_[IndexOf(tier)];
  average += options_.smoothing * (observed - average);
}

}  // namespace hingespan
