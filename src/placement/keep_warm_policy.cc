#include "hingespan/placement/keep_warm_policy.h"

#include <algorithm>
#include <numeric>

namespace hingespan {
namespace {

constexpr double kMibPerGib = 1024.0;
// If fewer gaps between calls are known, only the break-even time is considered.
constexpr std::size_t kMinimumGaps = 3;
// Factor that keeps a replica slightly longer than the gap that it is meant to cover.
constexpr double kGapMargin = 1.1;
// Lower bound that keeps the call rate finite for replicas that were called just now.
constexpr double kMinimumMeanGapSeconds = 0.1;

double ColdStartCost(const IdleReplica& replica, const KeepWarmOptions& options) {
  return absl::ToDoubleSeconds(replica.reload_time) * options.cold_start_cost_per_second;
}

double IdleCostPerSecond(const IdleReplica& replica, const KeepWarmOptions& options) {
  return replica.memory_mib / kMibPerGib * options.idle_cost_per_gib_second;
}

// Returns the mean cost per known gap of keeping an idle replica for `limit_seconds`.
double MeanCost(const IdleReplica& replica, const KeepWarmOptions& options, double limit_seconds) {
  const double idle_cost = IdleCostPerSecond(replica, options);
  const double cold_cost = ColdStartCost(replica, options);
  double sum = 0.0;
  for (const double gap : replica.recent_gaps) {
    const bool still_loaded = gap <= limit_seconds;
    sum += still_loaded ? idle_cost * gap : idle_cost * limit_seconds + cold_cost;
  }
  return sum / static_cast<double>(replica.recent_gaps.size());
}

// Returns the idle time after which keeping has cost as much as one cold start. This costs at most
// twice as much as the best choice for any sequence of gaps.
double BreakEvenSeconds(const IdleReplica& replica, const KeepWarmOptions& options) {
  const double idle_cost = IdleCostPerSecond(replica, options);
  if (idle_cost <= 0.0) {
    return absl::ToDoubleSeconds(options.longest_idle);
  }
  return ColdStartCost(replica, options) / idle_cost;
}

absl::Duration WeightedLimit(const IdleReplica& replica, const KeepWarmOptions& options) {
  double best_limit = BreakEvenSeconds(replica, options);
  if (replica.recent_gaps.size() >= kMinimumGaps) {
    double best_cost = MeanCost(replica, options, best_limit);
    std::vector<double> candidates = {0.0};
    for (const double gap : replica.recent_gaps) {
      candidates.push_back(gap * kGapMargin);
    }
    for (const double candidate : candidates) {
      const double cost = MeanCost(replica, options, candidate);
      const bool as_good_and_shorter = cost == best_cost && candidate < best_limit;
      if (cost < best_cost || as_good_and_shorter) {
        best_cost = cost;
        best_limit = candidate;
      }
    }
  }
  const double shortest = absl::ToDoubleSeconds(options.shortest_idle);
  const double longest = absl::ToDoubleSeconds(options.longest_idle);
  return absl::Seconds(std::clamp(best_limit, shortest, longest));
}

// Returns the expected seconds until the next call: the mean of the known gaps, or the current idle
// time if that is longer.
double ExpectedGapSeconds(const IdleReplica& replica) {
  double gap = absl::ToDoubleSeconds(replica.idle);
  if (!replica.recent_gaps.empty()) {
    const double sum = std::accumulate(replica.recent_gaps.begin(), replica.recent_gaps.end(), 0.0);
    gap = std::max(gap, sum / static_cast<double>(replica.recent_gaps.size()));
  }
  return std::max(gap, kMinimumMeanGapSeconds);
}

// Returns the expected loss per MiB that unloading the replica frees.
double LossPerMib(const IdleReplica& replica, const KeepWarmOptions& options) {
  const double memory_mib = std::max(1.0, static_cast<double>(replica.memory_mib));
  return ColdStartCost(replica, options) / ExpectedGapSeconds(replica) / memory_mib;
}

// Removes choices that are not needed, most expensive first.
void DropUnneeded(const std::vector<IdleReplica>& idle, std::uint64_t needed_mib,
                  std::uint64_t freed_mib, std::vector<std::size_t>* chosen) {
  for (std::size_t position = chosen->size(); position-- > 0;) {
    const std::uint64_t memory_mib = idle[(*chosen)[position]].memory_mib;
    if (freed_mib - memory_mib >= needed_mib) {
      freed_mib -= memory_mib;
      chosen->erase(chosen->begin() + static_cast<std::ptrdiff_t>(position));
    }
  }
}

}  // namespace

absl::Duration IdleLimit(const IdleReplica& replica, const KeepWarmOptions& options) {
  if (replica.pinned) {
    return absl::InfiniteDuration();
  }
  if (replica.row_idle > absl::ZeroDuration()) {
    return replica.row_idle;
  }
  switch (options.mode) {
    case KeepWarmMode::kAlways:
      return absl::InfiniteDuration();
    case KeepWarmMode::kDropAtOnce:
      return absl::ZeroDuration();
    case KeepWarmMode::kFixedTimeout:
      return options.fixed_timeout;
    case KeepWarmMode::kWeighted:
      break;
  }
  return WeightedLimit(replica, options);
}

std::vector<std::size_t> ChooseEvictions(const std::vector<IdleReplica>& idle,
                                         std::uint32_t needed_mib, const KeepWarmOptions& options) {
  std::vector<std::size_t> order;
  for (std::size_t index = 0; index < idle.size(); ++index) {
    if (!idle[index].pinned) {
      order.push_back(index);
    }
  }
  std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return LossPerMib(idle[left], options) < LossPerMib(idle[right], options);
  });
  std::vector<std::size_t> chosen;
  std::uint64_t freed_mib = 0;
  for (const std::size_t index : order) {
    if (freed_mib >= needed_mib) {
      break;
    }
    chosen.push_back(index);
    freed_mib += idle[index].memory_mib;
  }
  if (freed_mib < needed_mib) {
    return {};
  }
  DropUnneeded(idle, needed_mib, freed_mib, &chosen);
  return chosen;
}

}  // namespace hingespan
