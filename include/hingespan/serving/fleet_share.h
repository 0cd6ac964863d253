// This node's share of a limit that all nodes together must not exceed, computed without messages
// between them. A node holds its share as a lease, which its row in the fleet table represents.
#ifndef HINGESPAN_SERVING_FLEET_SHARE_H_
#define HINGESPAN_SERVING_FLEET_SHARE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::gateway {

struct FleetShareTimes {
  // A read that contains the node's own row confirms its share for this long.
  absl::Duration confirmed = absl::Seconds(10);
  // Maximum age of the rows that a read returns.
  absl::Duration oldest_copy = absl::Seconds(3);

  // A node has no share for this long after its row was first seen, and a node whose row was
  // removed is still counted for this long: until every older read has expired.
  absl::Duration SettlingTime() const { return confirmed + oldest_copy; }
};

// If two nodes hold a share at the same time, each counts the other.
// Does no I/O; not thread-safe.
class FleetShare {
 public:
  explicit FleetShare(std::string node, const FleetShareTimes& times = {})
      : node_(std::move(node)), times_(times) {}

  // Sets the nodes that have a row in the fleet table, as returned by a read that was started at
  // `read_started`.
  void SetNodes(const std::vector<std::string>& nodes, absl::Time read_started, absl::Time now);
  // Number of nodes by which the limit is divided; 0 if this node has no share now.
  int Divisor(absl::Time now) const;
  // Number of nodes that may hold a share.
  int CountedNodes(absl::Time now) const;

 private:
  std::string node_;
  FleetShareTimes times_;
  // Time at which this node's row was first seen, and start of the last read that contained it.
  absl::Time joined_ = absl::InfiniteFuture();
  absl::Time confirmed_ = absl::InfinitePast();
  // Time until which each node is counted; InfiniteFuture while its row exists.
  std::map<std::string, absl::Time> counted_until_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_FLEET_SHARE_H_
