// Gossip protocol that spreads a worker's leave among the nodes of a zone despite message loss.
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

// Each node that learns of a leave sends it to a few peers, chosen at random in each round, for a
// fixed number of rounds, so that each peer receives it several times. Not thread-safe.
class LeaveGossip {
 public:
  explicit LeaveGossip(std::uint64_t seed) : random_(seed) {}

  // Records the state of a worker that this node has learned. A live worker is not gossiped.
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
