// Pure policy that decides which idle replicas stay loaded. It weighs (probability of a call soon x
// cold-start cost) against idle accelerator time.
#ifndef HINGESPAN_PLACEMENT_KEEP_WARM_POLICY_H_
#define HINGESPAN_PLACEMENT_KEEP_WARM_POLICY_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/engine/engine_client.h"

namespace hingespan {

enum class KeepWarmMode {
  // Weighs the two costs below. This is the default.
  kWeighted,
  // Baselines for experiments.
  kAlways,
  kDropAtOnce,
  kFixedTimeout,
};

struct KeepWarmOptions {
  KeepWarmMode mode = KeepWarmMode::kWeighted;
  // Cost of one second that a caller waits for a load, and of one GiB held idle for one second, in
  // any common unit. Only their ratio matters.
  double cold_start_cost_per_second = 100.0;
  double idle_cost_per_gib_second = 1.0;
  absl::Duration fixed_timeout = absl::Minutes(5);
  // Bounds of the idle limit that kWeighted computes.
  absl::Duration shortest_idle = absl::Seconds(2);
  absl::Duration longest_idle = absl::Hours(1);
};

// State of one replica that is idle now.
struct IdleReplica {
  ModelName model;
  std::uint32_t memory_mib = 0;
  absl::Duration idle;
  // Expected time to load the replica again from the tier at which its checkpoint is cached.
  absl::Duration reload_time;
  // Seconds between the most recent calls, newest last; empty if unknown.
  std::vector<double> recent_gaps;
  // Idle time that the row sets; zero leaves the decision to the policy.
  absl::Duration row_idle;
  // True if a row's min_replicas keeps the replica loaded.
  bool pinned = false;
};

// Returns the idle time after which the replica should be unloaded, or InfiniteDuration to keep it.
absl::Duration IdleLimit(const IdleReplica& replica, const KeepWarmOptions& options);

// Returns the indices of the replicas to unload so that `needed_mib` becomes free, in ascending
// order of the loss. Returns an empty list if they can't free enough. Pinned replicas are skipped.
std::vector<std::size_t> ChooseEvictions(const std::vector<IdleReplica>& idle,
                                         std::uint32_t needed_mib, const KeepWarmOptions& options);

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_KEEP_WARM_POLICY_H_
