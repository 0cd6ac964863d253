// Estimates load times by cache tier and size from the loads observed so far.
#ifndef HINGESPAN_PLACEMENT_LOAD_ESTIMATOR_H_
#define HINGESPAN_PLACEMENT_LOAD_ESTIMATOR_H_

#include <array>
#include <cstdint>

#include "absl/time/time.h"
#include "hingespan/engine/engine_client.h"

namespace hingespan {

struct LoadEstimatorOptions {
  // Initial estimates per GiB, used until a load of the tier has been observed.
  absl::Duration memory_per_gib = absl::Milliseconds(50);
  absl::Duration disk_per_gib = absl::Milliseconds(300);
  absl::Duration remote_per_gib = absl::Milliseconds(1500);
  absl::Duration fixed = absl::Milliseconds(100);
  // Weight of the newest observation in the moving average.
  double smoothing = 0.3;
};

class LoadEstimator {
 public:
  explicit LoadEstimator(LoadEstimatorOptions options);
  absl::Duration Estimate(CacheTier tier, std::uint32_t memory_mib) const;
  void Observe(CacheTier tier, std::uint32_t memory_mib, absl::Duration taken);

 private:
  LoadEstimatorOptions options_;
  // Seconds per GiB by tier.
  std::array<double, 3> seconds_per_gib_;
};

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_LOAD_ESTIMATOR_H_
