// Pure policy that decides whether the requests that wait for a model need one more replica of it.
#ifndef HINGESPAN_PLACEMENT_REPLICA_COUNT_POLICY_H_
#define HINGESPAN_PLACEMENT_REPLICA_COUNT_POLICY_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"

namespace hingespan {

struct ReplicaCountOptions {
  // Assumed time of a request at an engine until one of the model has been observed.
  absl::Duration first_service = absl::Seconds(2);
  // Fraction of the remaining time that the expected wait may take; the rest is reserved for the
  // answer.
  double wait_share = 0.8;
};

// Requests that wait at one router. Their deadlines are assumed to be spread evenly.
struct WaitingRequests {
  std::uint32_t count = 0;
  absl::Duration earliest_left;
  absl::Duration latest_left;
};

struct ReplicaSupply {
  // Time until the replica accepts requests.
  absl::Duration ready_in;
  // True if all places of the replica are taken; one becomes free whenever a request ends.
  bool full = false;
};

struct ReplicaDemand {
  std::vector<WaitingRequests> waiting;
  // Replicas that are ready, loading or requested.
  std::vector<ReplicaSupply> replicas;
  // Maximum number of concurrent requests at one replica.
  std::uint32_t slots = 1;
  // Mean time of a request at an engine; 0 if none has been observed.
  absl::Duration service;
  // Time until one more replica would be ready.
  absl::Duration load;
};

class ReplicaCountPolicy {
 public:
  explicit ReplicaCountPolicy(ReplicaCountOptions options) : options_(options) {}

  // Returns true if some of the waiting requests are expected to get no place in time, and one more
  // replica would be ready before their deadline.
  bool NeedsAnother(const ReplicaDemand& demand) const;

 private:
  // Returns the number of waiting requests that must have a place by `time`.
  double DueBy(const ReplicaDemand& demand, absl::Duration time) const;
  // Returns the number of places that become free by `time`.
  double PlacesBy(const ReplicaDemand& demand, absl::Duration time) const;

  ReplicaCountOptions options_;
};

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_REPLICA_COUNT_POLICY_H_
