// What the operator configures: routes, the services behind them, and limits on callers. One
// version is a value: it is applied whole or not at all.
#ifndef HINGESPAN_SERVING_CONFIGURATION_H_
#define HINGESPAN_SERVING_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::gateway {

enum class RouteKind {
  // May run more than once.
  kIdempotent,
  // May run once at most.
  kNonIdempotent,
  // Answered by a series of events; may run once at most unless it is resumable.
  kStreaming,
};

// The part of a route's requests that one service takes.
struct ServiceShare {
  std::string service;
  double weight = 1.0;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // The longest that a request is held.
  absl::Duration timeout = absl::Seconds(30);
  // An answer within it earns its full credit; of streams, the first event.
  absl::Duration target_latency = absl::Seconds(1);
  // The longest pause between two events of a stream that is still in time.
  absl::Duration target_gap = absl::Milliseconds(300);
  // Distinct workers that one request may be sent to.
  int max_attempts = 1;
  // 0 is the most urgent.
  int priority = 5;
  // A stream may be continued at another worker behind its last whole event.
  bool resumable = false;
  // At least one.
  std::vector<ServiceShare> services;

  // Whether a request that may have run may be sent to a worker again.
  bool MayRunAgain() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStreaming && resumable);
  }
};

struct ModelSpecification {
  std::string name;
  double memory_mb = 0;
  // From the weight store, and from a worker's own disk or host memory.
  absl::Duration load_time;
  absl::Duration load_time_from_disk;
  absl::Duration load_time_from_memory;
  // Adapters are named a1, a2 and onward.
  int adapters = 0;
  double adapter_memory_mb = 0;
};

// The workers of a model service are alike in this.
struct EngineSpecification {
  int slots = 1;
  // Tokens of running requests and kept prompts that a worker's memory holds.
  std::int64_t token_capacity = 0;
  double memory_mb = 0;
  int adapter_slots = 0;
  // Loads from the weight store that may begin a second, over all workers.
  double loads_per_second = 1;
  // By name.
  std::map<std::string, ModelSpecification> models;
};

struct Service {
  std::string name;
  // Connections that a worker takes from all callers together.
  int max_connections = 0;
  // Absent: a plain service, without models.
  std::optional<EngineSpecification> engine;

  // Null when the service has no such model.
  const ModelSpecification* FindModel(const std::string& model) const;
};

// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
  std::uint32_t max_head_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4 * 1024 * 1024;
  absl::Duration head_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

struct Configuration {
  // Rises with each change, by uneven steps.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;

  // Null when there is no such service.
  const Service* FindService(const std::string& name) const;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_CONFIGURATION_H_
