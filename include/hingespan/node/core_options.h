// Options of a node's core.
#ifndef HINGESPAN_NODE_CORE_OPTIONS_H_
#define HINGESPAN_NODE_CORE_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/claim/claim_owner.h"
#include "hingespan/common/ids.h"
#include "hingespan/grant/grant_manager.h"
#include "hingespan/membership/membership.h"
#include "hingespan/membership/record_sync.h"
#include "hingespan/placement/permit_holder.h"
#include "hingespan/placement/placer.h"
#include "hingespan/placement/worker_keeper.h"
#include "hingespan/routing/replica_directory.h"
#include "hingespan/routing/request_router.h"

namespace hingespan {

struct CoreOptions {
  NodeId node;
  NodeIncarnation incarnation;
  ZoneId zone;
  // All zones of the deployment, sorted; must contain `zone`.
  std::vector<ZoneId> zones;
  std::string control_address;
  std::string http_address;
  // Control addresses of nodes of the zone through which this node joins.
  std::vector<std::string> seeds;
  MembershipOptions membership;
  RecordSyncOptions record_sync;
  ClaimOptions claim;
  GrantOptions grant;
  KeeperOptions keeper;
  PlacerOptions placer;
  // Load permits from the deployment's budget of the weight store. Used only with
  // keeper.use_permits.
  PermitOptions permits;
  DirectoryOptions directory;
  RouterOptions router;
  // Interval at which the zone's reader reads the platform's machine list.
  absl::Duration machine_list_interval = absl::Seconds(2);
  std::uint64_t random_seed = 1;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_CORE_OPTIONS_H_
