// Passes the word that a worker leaves or is gone from node to node of a zone, so that it gets
// around although many messages are lost.
#ifndef HINGESPAN_NODE_LEAVE_GOSSIP_H_
#define HINGESPAN_NODE_LEAVE_GOSSIP_H_

#include <cstdint>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "hingespan/backing/machine_list.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

// Not thread-safe. Each node that learns of a leave tells a few peers, picked anew in each round,
// for a number of rounds; so each peer is told by many.
class LeaveGossip {
 public:
  explicit LeaveGossip(std::uint64_t seed) : random_(seed) {}

  // What this node holds of the worker from now on. A live one is not spoken of.
  void Note(const WorkerMachine& machine);
  void Tick(const std::vector<NodeId>& peers, absl::Time now, Outbox* outbox);

 private:
  struct Rumor {
    WorkerMachine machine;
    int rounds_left = 0;
  };

  Random random_;
  absl::btree_map<WorkerId, Rumor> rumors_;
  absl::Time next_round_ = absl::InfinitePast();
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_LEAVE_GOSSIP_H_
