// Borrows slots of brittle workers for this node's attempts.
//
// While a service's workers say that they are brittle, an attempt is sent to one of them only with
// a slot of that worker. Each worker's slots are lent by one node, chosen by rendezvous hashing, or
// by a second one while the first doesn't reply (SlotLender). A node that reaches no lender sends
// one attempt at a time to a worker, and after a rejection pauses for so long that all nodes
// together stay below what the worker survives, even if none of them reaches a lender.
//
// Nothing is sent, and no timer runs, while no service has brittle workers.
#ifndef HINGESPAN_FLEET_SLOT_EXCHANGE_H_
#define HINGESPAN_FLEET_SLOT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/fleet/fleet_messages.h"
#include "hingespan/fleet/slot_lender.h"
#include "hingespan/fleet/stream_holders.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/serving/brittle_services.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/worker_directory.h"

namespace hingespan::gateway {

struct SlotExchangeParts {
  EventLoop* loop = nullptr;
  DecisionLog* log = nullptr;
  GatewayMetrics* metrics = nullptr;
  const WorkerDirectory* workers = nullptr;
  // Sends a datagram to a node's address.
  std::function<void(const std::string& address, absl::string_view bytes)> send;
  // Tokens that an engine of the service has memory for; 0 if its workers are no engines.
  std::function<double(const std::string& service)> token_capacity;
  // Called when a slot was lent to this node, or was refused for now.
  std::function<void()> on_answer;
};

// How an attempt with a borrowed slot has ended.
enum class SlotEnd {
  // The worker has answered, or never received the attempt.
  kFreed,
  // The worker had no room.
  kRejected,
  // The worker may still be at work.
  kAbandoned,
};

// Not thread-safe; runs on the thread of its event loop.
class SlotExchange {
 public:
  SlotExchange(std::string node, std::uint64_t incarnation, SlotExchangeParts parts);
  ~SlotExchange();
  SlotExchange(const SlotExchange&) = delete;
  SlotExchange& operator=(const SlotExchange&) = delete;

  // Sets this node's own address for datagrams.
  void SetAddress(std::string address);
  // Sets all nodes, this one included.
  void SetNodes(std::vector<StreamNode> nodes);

  // Called when an answer said that the service's workers are brittle.
  void OnBrittleAnswer(const BrittleService& service);
  bool IsBrittle(const std::string& service) const;

  enum class Outcome {
    // The slot is taken for an attempt that is about to be sent.
    kTaken,
    // The lender was asked; `on_answer` is called when it replies.
    kAsked,
    // There is no free slot now; `on_answer` is called when there is one.
    kQueued,
  };
  // Takes a slot of the worker for an attempt of so many tokens.
  Outcome Take(const std::string& worker_id, double tokens);
  // Workers of which this node has a slot that is not used.
  std::set<std::string> WorkersWithSlot() const;
  // Called when an attempt with a slot has begun to answer.
  void OnAnswerStarted(const std::string& worker_id);
  // Called when an attempt with a slot has ended, after it was removed from the directory.
  void Return(const std::string& worker_id, double tokens, bool answer_started, SlotEnd end);

  void OnNotice(const BrittleNotice& notice);
  void OnRequest(const SlotRequest& request);
  void OnReply(const SlotReply& reply);
  void OnTakeover(const SlotTakeover& takeover);
  // Tells a node that has started which services have brittle workers.
  void OnQuestion(const std::string& reply_address) const;

 private:
  // A message that has to be replied to.
  struct Pending {
    std::uint64_t number = 0;
    absl::Time sent;
    int sends = 0;
    bool wants_slot = false;
  };
  // This node's part of a worker.
  struct Borrowed {
    // Slot that no attempt uses yet, and the tokens that it was lent for.
    std::optional<double> free_tokens;
    absl::Time free_until;
    int starting = 0;
    double tokens = 0;
    // Slots of attempts that were abandoned and count until then.
    std::vector<absl::Time> abandoned_until;
    // Tokens for which the lender was last asked for a slot.
    double wanted_tokens = 0;
    absl::Time wanted_at = absl::InfinitePast();
    std::optional<Pending> pending;
    // True while this node is in line for a slot.
    bool queued = false;
    std::uint64_t confirmed = 0;
    absl::Time told_at = absl::InfinitePast();
    int untold_rejections = 0;
    // Earliest time of the next attempt while no lender can be reached; InfinitePast if one can.
    absl::Time direct_after = absl::InfinitePast();
    absl::Time used_at;
  };

  // Returns the node that lends the worker's slots; null if none can be reached.
  const StreamNode* LenderOf(const std::string& worker_id);
  Outcome TakeDirectly(const std::string& worker_id, double tokens, Borrowed* borrowed);
  // Pause after a rejection without a lender.
  absl::Duration DirectPause(const std::string& worker_id) const;
  HeldSlots Held(const std::string& worker_id, const Borrowed& borrowed) const;
  WorkerCapacity CapacityOf(const WorkerState& worker) const;
  // Tells the lender what this node holds; asks for a slot if `wants_slot`.
  void Tell(const std::string& worker_id, Borrowed* borrowed, bool wants_slot, bool wants_reply);
  // Counts and sends a datagram.
  void Send(const std::string& address, const FleetMessage& message);
  // Tells all lenders of the service's workers what this node has sent there already.
  void TellAll(const std::string& service);
  void SendNotice(const BrittleService& service);
  void SetTimer();
  void OnTimer();
  // Returns whether the entry can be forgotten.
  bool Maintain(const std::string& worker_id, Borrowed* borrowed, absl::Time now);
  void OnNoReply(const std::string& worker_id, Borrowed* borrowed, absl::Time now);

  std::string node_;
  std::uint64_t incarnation_;
  SlotExchangeParts parts_;
  std::string address_;
  std::vector<StreamNode> nodes_;
  // Nodes that did not reply, and until when they are not asked.
  std::map<std::string, absl::Time> unresponsive_;
  std::map<std::string, std::vector<StreamNode>> lenders_;
  BrittleServices brittle_;
  SlotLender lender_;
  std::map<std::string, Borrowed> borrowed_;
  std::uint64_t last_number_ = 0;
  std::unique_ptr<LoopTimer> timer_;
  bool timer_set_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_SLOT_EXCHANGE_H_
