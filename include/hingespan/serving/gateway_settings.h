// Settings of a gateway, in the product's own TOML.
#ifndef HINGESPAN_SERVING_GATEWAY_SETTINGS_H_
#define HINGESPAN_SERVING_GATEWAY_SETTINGS_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/common/finding.h"
#include "hingespan/fleet/fleet_placer.h"
#include "hingespan/settings/log_settings.h"

namespace hingespan::gateway {

// What the gateway weighs for each request; false switches a mechanism off.
struct ServingPolicy {
  // A caller whose answer would be late is told at once to come back when its model is there.
  bool return_when_late = true;
  // Callers told to come back count as waiting until then.
  bool count_returning = true;
  // Workers that keep parts of a request's prompt are preferred.
  bool prefer_kept_prompts = true;
  // Workers of the node's zone are preferred.
  bool prefer_own_zone = true;
  // Workers with failures and long first events are avoided.
  bool judge_workers = true;
};

struct GatewaySettings {
  ServingPolicy serving;
  PlacementPolicy placement;
  WeightStoreLimitSettings weight_store;
  // A model gets one more replica when this many requests run or wait for each.
  double requests_for_each_replica = 7;
  // A replica counts as just loaded for so long.
  absl::Duration fresh_replica = absl::Seconds(1);
  std::string node;
  std::string zone;
  // Of this machine's link; 0: not known.
  double link_mbps = 0;
  // Callers' requests.
  std::string request_listen;
  // Readiness and metrics.
  std::string status_listen;
  std::string readiness_path = "/ready";
  std::string metrics_path = "/metrics";
  // A further address for metrics; empty: none.
  std::string metrics_listen;
  // Datagrams between nodes.
  std::string peer_listen;
  std::string store_address;
  // Largest value of a row of the store.
  int store_row_bytes = 65536;
  absl::Duration lease = absl::Seconds(3);
  // Whether workers refuse an order whose fencing token is lower than one they have seen. False is
  // the careful choice: a takeover then waits until no older order can arrive.
  bool workers_check_tokens = false;
  // From the request to stop until the process must have ended.
  absl::Duration stop_time = absl::Seconds(8);
  double retry_ratio = 0.2;
  double retry_extra = 10;
  absl::Duration retry_window = absl::Seconds(10);
  int max_connections = 3000;
  LogLevel log_level = LogLevel::kInfo;
};

// Collects all findings of the text; the settings are meaningful when there are none. Unknown keys
// are allowed: a deployment may say more than this version knows.
GatewaySettings ReadGatewaySettings(absl::string_view text, const std::string& file,
                                    Findings* findings);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_GATEWAY_SETTINGS_H_
