// Load and health of each worker as known to this node: its own running requests, an estimate of
// other nodes' requests, and a circuit breaker.
#ifndef HINGESPAN_ROUTING_WORKER_LOADS_H_
#define HINGESPAN_ROUTING_WORKER_LOADS_H_

#include <cstdint>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/routing/circuit_breaker.h"
#include "hingespan/routing/replica_directory.h"

namespace hingespan {

// Not thread-safe.
//
// The report of a worker counts the running requests of all models and all nodes, including this
// node, and lags behind. The requests of other nodes are estimated as the reported number minus the
// maximum that this node had running there over the last two reports. A late report therefore never
// counts own requests that have ended since.
class WorkerLoads {
 public:
  explicit WorkerLoads(CircuitBreakerOptions options) : options_(options) {}

  // Reserves capacity for one request at the replica, until Release.
  void Reserve(const WorkerId& worker, const ModelName& model);
  void Release(const WorkerId& worker, const ModelName& model);

  // Returns whether one more request of the model may be sent to the worker. The requests of other
  // nodes are divided evenly among its ready replicas. One request of this node is always allowed,
  // so that no report can starve it; the engine queues any excess.
  bool HasRoom(const KnownWorker& worker, const ModelName& model, std::uint32_t max_concurrency);
  // Returns the requests of this node plus the estimate for other nodes.
  std::uint32_t LoadOf(const KnownWorker& worker);
  // Returns the circuit breaker for this incarnation of the worker. A restarted engine starts with
  // a closed one.
  CircuitBreaker& BreakerOf(const KnownWorker& worker);
  // Returns null if the worker is unknown.
  CircuitBreaker* FindBreaker(const WorkerId& worker);

  // Removes the entries of workers that the directory does not know and at which no request of this
  // node runs.
  void ForgetUnknown(const ReplicaDirectory& directory);

  // Number of running requests of this node over all workers and models.
  std::size_t running() const;

 private:
  struct Entry {
    explicit Entry(CircuitBreakerOptions options) : breaker(options) {}
    CircuitBreaker breaker;
    WorkerIncarnation incarnation;
    std::uint32_t own = 0;
    // Maximum of `own` since the last report, and between the two reports before it.
    std::uint32_t peak = 0;
    std::uint32_t previous_peak = 0;
    std::uint32_t others = 0;
    absl::Time reported_at = absl::InfinitePast();
  };

  Entry& EntryOf(const WorkerId& worker);
  void ApplyReport(const KnownWorker& worker, Entry* entry);

  CircuitBreakerOptions options_;
  absl::flat_hash_map<WorkerId, Entry> workers_;
  // Requests of this node running at (worker, model).
  absl::flat_hash_map<std::pair<WorkerId, ModelName>, std::uint32_t> running_;
};

}  // namespace hingespan

#endif  // HINGESPAN_ROUTING_WORKER_LOADS_H_
