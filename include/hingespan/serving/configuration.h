// Operator configuration: routes, the services behind them, and limits on callers. Each version is
// an immutable value that is applied as a whole or not at all.
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
  // The request may be executed more than once.
  kIdempotent,
  // The request is executed at most once.
  kNonIdempotent,
  // Answered by a series of events; executed at most once unless the route is resumable.
  kStreaming,
};

// A service and its share of a route's requests.
struct ServiceShare {
  std::string service;
  double weight = 1.0;
};

struct Route {
  std::string name;
  std::string host;
  // Starts and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // Upper limit on the total time of a request.
  absl::Duration timeout = absl::Seconds(30);
  // Target time to the answer; for streams, to the first event.
  absl::Duration target_latency = absl::Seconds(1);
  // Target for the longest pause between two events of a stream.
  absl::Duration target_gap = absl::Milliseconds(300);
  // Maximum number of distinct workers that one request may be sent to.
  int max_attempts = 1;
  // Lower values are more urgent; 0 is the most urgent.
  int priority = 5;
  // True if a broken stream may be continued at another worker after its last complete event.
  bool resumable = false;
  // Contains at least one service.
  std::vector<ServiceShare> services;

  // Returns whether a request that may have been executed may be sent to a worker again.
  bool MayRunAgain() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStreaming && resumable);
  }
};

struct ModelSpecification {
  std::string name;
  double memory_mb = 0;
  // Load times from the weight store, and from a worker's own disk or host memory.
  absl::Duration load_time;
  absl::Duration load_time_from_disk;
  absl::Duration load_time_from_memory;
  // Number of adapters; they are named a1, a2 and so on.
  int adapters = 0;
  double adapter_memory_mb = 0;
};

// Properties that all workers of a model service have in common.
struct EngineSpecification {
  int slots = 1;
  // Number of tokens, of running requests and cached prompts, that fit into a worker's memory.
  std::int64_t token_capacity = 0;
  double memory_mb = 0;
  int adapter_slots = 0;
  // Maximum rate at which loads from the weight store may start, over all workers.
  double loads_per_second = 1;
  // Models by name.
  std::map<std::string, ModelSpecification> models;
};

struct Service {
  std::string name;
  // Maximum number of connections that a worker accepts from all callers together.
  int max_connections = 0;
  // Absent for a plain service, which has no models.
  std::optional<EngineSpecification> engine;

  // Returns null if the service has no such model.
  const ModelSpecification* FindModel(const std::string& model) const;
};

// Limits on the size of a caller's request and on the time taken to send it.
struct CallerLimits {
  std::uint32_t max_head_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4 * 1024 * 1024;
  absl::Duration head_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

struct Configuration {
  // Increases with each change; versions need not be consecutive.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;

  // Returns null if there is no such service.
  const Service* FindService(const std::string& name) const;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_CONFIGURATION_H_
