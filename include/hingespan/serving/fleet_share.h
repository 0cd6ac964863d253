// This node's part of a limit that all nodes together keep to without asking each other: a lease on
// a share, which the node's row in the fleet's table stands for.
#ifndef HINGESPAN_SERVING_FLEET_SHARE_H_
#define HINGESPAN_SERVING_FLEET_SHARE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::gateway {

struct FleetShareTimes {
  // A read that shows the node's own row confirms its part for this long.
  absl::Duration confirmed = absl::Seconds(10);
  // How old the rows are that a read gives, at most.
  absl::Duration oldest_copy = absl::Seconds(3);

  // How long after its row was first seen a node has no part, and how long one whose row is gone
  // is counted: until every older read has run out.
  absl::Duration Settling() const { return confirmed + oldest_copy; }
};

// Of two nodes that have their parts at the same time each counts the other.
// Pure; not thread-safe.
class FleetShare {
 public:
  explicit FleetShare(std::string node, const FleetShareTimes& times = {})
      : node_(std::move(node)), times_(times) {}

  // The nodes whose rows the fleet's table held, as a read begun at `asked` gave them.
  void SetNodes(const std::vector<std::string>& nodes, absl::Time asked, absl::Time now);
  // Among how many nodes the limit is divided; 0: this node has no part now.
  int Divisor(absl::Time now) const;
  // The number of nodes that may have a part.
  int Counted(absl::Time now) const;

 private:
  std::string node_;
  FleetShareTimes times_;
  // When this node's row was first seen, and the last read that showed it.
  absl::Time joined_ = absl::InfiniteFuture();
  absl::Time confirmed_ = absl::InfinitePast();
  // InfiniteFuture while a node's row is there.
  std::map<std::string, absl::Time> counted_until_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_FLEET_SHARE_H_
