// Lends the slots of the brittle workers that this node is the lender of.
//
// Nodes may differ for a while about which nodes there are, and so about who lends a worker's
// slots. A node that is asked for the first time takes over from those that may have lent them
// before: they hand over what they know, and pass on what they are still asked.
#ifndef HINGESPAN_FLEET_SLOT_LENDER_H_
#define HINGESPAN_FLEET_SLOT_LENDER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/fleet/fleet_messages.h"
#include "hingespan/fleet/stream_holders.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/slot_ledger.h"
#include "hingespan/serving/worker_directory.h"

namespace hingespan::gateway {

struct SlotLenderParts {
  EventLoop* loop = nullptr;
  GatewayMetrics* metrics = nullptr;
  const WorkerDirectory* workers = nullptr;
  // Sends a datagram to a node's address.
  std::function<void(const std::string& address, absl::string_view bytes)> send;
  // Takes the replies to this node's own requests.
  std::function<void(const SlotReply& reply)> on_own_reply;
};

// Not thread-safe; runs on the thread of its event loop.
class SlotLender {
 public:
  SlotLender(std::string node, SlotLenderParts parts);

  // Sets this node's own address for datagrams.
  void SetAddress(std::string address) { address_ = std::move(address); }
  // Sets all nodes, this one included.
  void SetNodes(const std::vector<StreamNode>& nodes);

  // Applies a node's request, this node's own ones included, and replies to it.
  void OnRequest(const SlotRequest& request);
  void OnTakeover(const SlotTakeover& takeover);
  // Lends what is free by now, and repeats takeovers that are due. Called now and then unless idle.
  void OnTick();
  bool idle() const { return ledger_.empty() && successors_.empty(); }
  // Returns whether another node borrows slots of the worker from this one.
  bool LendsToOthers(const std::string& worker_id) const {
    return ledger_.HasBorrowerBeside(worker_id, node_);
  }

 private:
  // A takeover that is told several times, as a datagram may be lost.
  struct Takeover {
    std::set<std::string> addresses;
    int rounds_left = 0;
    absl::Time due;
  };
  // The node that has begun to lend a worker's slots, and how long requests are passed on to it.
  struct Successor {
    std::string address;
    absl::Time until;
  };

  // Passes the request on if another node has taken over. Returns whether it has done so.
  bool PassOn(SlotRequest request);
  void BeginToLend(const std::string& worker_id);
  void SendTakeovers(absl::Time now);
  int ReportedLoad(const std::string& worker_id) const;
  void SendLent(const std::vector<LentSlot>& lent);
  void Reply(const SlotBorrower& borrower, const SlotReply& reply);
  void Send(const std::string& address, const FleetMessage& message);

  std::string node_;
  SlotLenderParts parts_;
  std::string address_;
  std::vector<StreamNode> nodes_;
  // The nodes before they changed last.
  std::vector<StreamNode> former_nodes_;
  SlotLedger ledger_;
  // Takeovers that are not told often enough yet, and successors, by worker.
  std::map<std::string, Takeover> takeovers_;
  std::map<std::string, Successor> successors_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_SLOT_LENDER_H_
