// Settings of a gateway, read from TOML.
#ifndef HINGESPAN_SERVING_GATEWAY_SETTINGS_H_
#define HINGESPAN_SERVING_GATEWAY_SETTINGS_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/common/finding.h"
#include "hingespan/fleet/fleet_placer.h"
#include "hingespan/settings/log_settings.h"

namespace hingespan::gateway {

// Mechanisms that the gateway applies to each request; false switches one off.
struct ServingPolicy {
  // Callers whose answers would be late are asked at once to retry when their model is ready.
  bool return_when_late = true;
  // Callers that were asked to retry later count as waiting until then.
  bool count_returning = true;
  // Workers that have cached parts of a request's prompt are preferred.
  bool prefer_kept_prompts = true;
  // Workers in the node's own zone are preferred.
  bool prefer_own_zone = true;
  // Workers that failed recently or answer slowly are avoided.
  bool judge_workers = true;
};

struct GatewaySettings {
  ServingPolicy serving;
  PlacementPolicy placement;
  WeightStoreLimitSettings weight_store;
  // A model gets one more replica when this many requests run or wait for each of its replicas.
  double requests_for_each_replica = 7;
  // Time for which a replica counts as just loaded.
  absl::Duration fresh_replica = absl::Seconds(1);
  std::string node;
  std::string zone;
  // Bandwidth of this machine's network link; 0 if not known.
  double link_mbps = 0;
  // Memory of this machine in MB, of which callers may make this node hold a part.
  double memory_mb = 256;
  // Address for callers' requests.
  std::string request_listen;
  // Address for readiness checks and metrics.
  std::string status_listen;
  std::string readiness_path = "/ready";
  std::string metrics_path = "/metrics";
  // Additional address for metrics only; empty for none.
  std::string metrics_listen;
  // Address for datagrams between nodes.
  std::string peer_listen;
  // Address for requests that other nodes forward; empty if this node takes none.
  std::string forward_listen;
  std::string store_address;
  // Maximum size of a row's value in the store.
  int store_row_bytes = 65536;
  // Times within which a change of the configuration, and the leaving of a worker, must be in force
  // at this node once the store has acknowledged them.
  absl::Duration apply_time = absl::Seconds(2);
  absl::Duration drain_time = absl::Seconds(2);
  absl::Duration lease = absl::Seconds(3);
  // True if workers refuse an order whose fencing token is lower than one they have seen. False is
  // the conservative choice: a new lease holder then waits until no older order can arrive.
  bool workers_check_tokens = false;
  // Time from the request to stop until the process must have exited.
  absl::Duration stop_time = absl::Seconds(8);
  double retry_ratio = 0.2;
  double retry_extra = 10;
  absl::Duration retry_window = absl::Seconds(10);
  int max_connections = 3000;
  LogLevel log_level = LogLevel::kInfo;
};

// Parses `text` and appends all problems to `findings`; the result is valid only if there are none.
// Unknown keys are allowed, as a deployment may contain keys that this version doesn't know.
GatewaySettings ReadGatewaySettings(absl::string_view text, const std::string& file,
                                    Findings* findings);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_GATEWAY_SETTINGS_H_
