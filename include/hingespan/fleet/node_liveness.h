// Decides which rows of the fleet table belong to nodes that are lost.
//
// A node removes its own row when it stops, but not when it is killed. The lease holder therefore
// probes the nodes from which it hears nothing and removes the row of one that answers none of
// several probes. A node that lives and reads the store puts its row back, and is given twice the
// time from then on, so that one which the holder can't reach loses its row ever more rarely.
#ifndef HINGESPAN_FLEET_NODE_LIVENESS_H_
#define HINGESPAN_FLEET_NODE_LIVENESS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::gateway {

struct NodeLivenessSettings {
  // Time without a message after which a node is probed.
  absl::Duration probe_after = absl::Seconds(3);
  // Added to it for each node, which bounds the holder's rate of probes.
  absl::Duration probe_after_per_node = absl::Milliseconds(40);
  // Interval between the probes of a node that doesn't answer.
  absl::Duration probe_interval = absl::Milliseconds(900);
  // Number of successive probes without an answer after which a node is lost.
  int unanswered_probes = 5;
  // Number of times that this number is doubled for a node that has put its row back.
  int max_doublings = 5;
  // Number of rows removed at once, for the sake of the store's write rate.
  std::size_t max_lost_at_once = 20;
};

// A node's row in the fleet table.
struct NodeRow {
  std::string name;
  // Identifies the node's process.
  std::uint64_t incarnation = 0;
  std::uint64_t row_version = 0;
};

// Does no I/O and reads no clock; not thread-safe.
class NodeLiveness {
 public:
  explicit NodeLiveness(const NodeLivenessSettings& settings = {}) : settings_(settings) {}

  // Begins to judge the nodes: what was heard before doesn't count.
  void Begin(absl::Time now);
  // Sets the rows of the other nodes.
  void SetRows(const std::vector<NodeRow>& rows, absl::Time now);
  // Records a message from the node.
  void OnHeard(const std::string& name, absl::Time now);
  // Returns the nodes to probe now.
  std::vector<std::string> TakeDueProbes(absl::Time now);
  // Returns the rows to remove now, each of which is then probed anew.
  std::vector<NodeRow> TakeLost(absl::Time now);

 private:
  struct Node {
    NodeRow row;
    bool present = false;
    absl::Time heard;
    absl::Time probed = absl::InfinitePast();
    int unanswered = 0;
    // Number of times that the row of this process was removed.
    int removals = 0;
  };

  static void NoteAlive(Node* node, absl::Time now);
  int UnansweredLimit(const Node& node) const;

  NodeLivenessSettings settings_;
  // By name; includes nodes whose rows were removed not long ago.
  std::map<std::string, Node> nodes_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_NODE_LIVENESS_H_
