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
  // What a node uses of its part counts for this long.
  absl::Duration window = absl::Seconds(10);
  // A read that shows the node's own row confirms its part for this long.
  absl::Duration confirmed = absl::Seconds(10);
  // How old the rows are that a read gives, at most.
  absl::Duration oldest_copy = absl::Seconds(3);
  // For tests: all nodes are taken to have known each other for long.
  bool settled = false;

  // How long after its row was first seen a node has no part, and how long one whose row is gone
  // is counted. With less, nodes that use their parts may not all know each other.
  absl::Duration Settling() const {
    return settled ? absl::ZeroDuration() : window + confirmed + oldest_copy;
  }
};

// Two nodes that use their parts within the same window each count the other: a new one waits until
// every older read has run out, and a node that is gone is counted until what it used is over.
// Pure; not thread-safe.
class FleetShare {
 public:
  FleetShare(std::string node, const FleetShareTimes& times)
      : node_(std::move(node)), times_(times) {}

  // The nodes whose rows the fleet's table held, as a read begun at `asked` gave them.
  void SetNodes(const std::vector<std::string>& nodes, absl::Time asked, absl::Time now);
  // Among how many nodes the limit is divided; 0: this node has no part now.
  int Divisor(absl::Time now) const;

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
