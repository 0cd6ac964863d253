#include "hingespan/placement/replica_count_policy.h"

#include <algorithm>

namespace hingespan {
namespace {

// The expected number of late requests is fractional; from this value on it counts as one.
constexpr double kLateThreshold = 0.5;
constexpr absl::Duration kMinimumService = absl::Milliseconds(1);

// A replica that becomes ready exactly at `time` contributes nothing, since requests due at that
// instant were due before it.
double PlacesOf(const ReplicaSupply& replica, double slots, absl::Duration service,
                absl::Duration time) {
  if (!replica.full && time <= replica.ready_in) {
    return 0;
  }
  const double ended = slots * absl::FDivDuration(time - replica.ready_in, service);
  return replica.full ? ended : slots + ended;
}

}  // namespace

bool ReplicaCountPolicy::NeedsAnother(const ReplicaDemand& demand) const {
  std::vector<absl::Duration> times;
  for (const WaitingRequests& waiting : demand.waiting) {
    times.push_back(waiting.earliest_left * options_.wait_share);
    times.push_back(waiting.latest_left * options_.wait_share);
  }
  for (const ReplicaSupply& replica : demand.replicas) {
    times.push_back(replica.ready_in);
  }
  std::sort(times.begin(), times.end());
  // Requests that are late in any case take no place from the others.
  double unavoidably_late = 0;
  for (const absl::Duration time : times) {
    const double late = DueBy(demand, time) - PlacesBy(demand, time) - unavoidably_late;
    if (late < kLateThreshold) {
      continue;
    }
    if (demand.load <= time / options_.wait_share) {
      return true;
    }
    unavoidably_late += late;
  }
  return false;
}

double ReplicaCountPolicy::DueBy(const ReplicaDemand& demand, absl::Duration time) const {
  double due = 0;
  for (const WaitingRequests& waiting : demand.waiting) {
    const absl::Duration earliest = waiting.earliest_left * options_.wait_share;
    const absl::Duration latest = waiting.latest_left * options_.wait_share;
    if (waiting.count == 0 || time < earliest) {
      continue;
    }
    if (time >= latest) {
      due += waiting.count;
      continue;
    }
    due += 1 + (waiting.count - 1) * absl::FDivDuration(time - earliest, latest - earliest);
  }
  return due;
}

double ReplicaCountPolicy::PlacesBy(const ReplicaDemand& demand, absl::Duration time) const {
  const bool service_seen = demand.service > absl::ZeroDuration();
  const absl::Duration service =
      std::max(service_seen ? demand.service : options_.first_service, kMinimumService);
  const double slots = std::max<std::uint32_t>(1, demand.slots);
  double places = 0;
  for (const ReplicaSupply& replica : demand.replicas) {
    places += PlacesOf(replica, slots, service, time);
  }
  return places;
}

}  // namespace hingespan
