// Simulation of permit holders in several zones with simulated keepers, in virtual time: each node
// has its own clock, and the network loses, duplicates and delays messages and can isolate a zone.
#ifndef TESTS_SIMULATION_SIMULATED_PERMITS_H_
#define TESTS_SIMULATION_SIMULATED_PERMITS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/random.h"
#include "hingespan/placement/permit_holder.h"

namespace hingespan::simulation {

struct SimulatedPermitsOptions {
  int zones = 3;
  int nodes_per_zone = 3;
  PermitOptions permits;
  absl::Duration permit_retry = absl::Milliseconds(300);
  absl::Duration permit_use_within = absl::Seconds(5);
  absl::Duration min_delay = absl::Milliseconds(1);
  absl::Duration max_delay = absl::Milliseconds(4);
  // Fraction of messages that are late, by up to `max_lateness`.
  double late_share = 0.0;
  absl::Duration max_lateness = absl::Milliseconds(1500);
  double loss = 0.0;
  double duplication = 0.0;
  // Highest relative error of a clock's rate.
  double drift = 0.0;
  std::uint64_t seed = 1;
};

struct PermitLoad {
  int zone = 0;
  int node = 0;
  absl::Duration duration;
  absl::Time deadline;
  absl::Time began = absl::InfiniteFuture();
  absl::Time ended = absl::InfiniteFuture();
};

// Not thread-safe.
class SimulatedPermits {
 public:
  explicit SimulatedPermits(SimulatedPermitsOptions options);

  absl::Time now() const { return now_; }
  // Advances the time by 10 ms.
  void Step();
  void Run(absl::Duration duration);

  // Adds a load that waits for a permit of its node's zone; returns its index in loads().
  std::size_t AddLoad(int zone, int node, absl::Duration duration, absl::Duration time_left);
  const std::vector<PermitLoad>& loads() const { return loads_; }
  int running() const { return running_; }
  int max_running() const { return max_running_; }
  int max_begun_per_second() const;
  bool AllEnded() const;

  // A killed node loses its state; Start() starts it as a new incarnation.
  void Kill(int zone, int node);
  void Start(int zone, int node);
  void SetPaused(int zone, int node, bool paused);
  // Isolates the zone from all others, or ends the isolation.
  void SetCut(int zone, bool cut);
  // Sets the node that the nodes of the zone regard as the holder; their views may differ.
  void SetHolder(int zone, int holder);
  void SetHolder(int zone, int node, int holder);
  int holder(int zone) const { return nodes_.at(Id(zone, 0)).known_holder; }

  // Uses the node's own clock.
  bool has_zone_slots(int zone, int node) const {
    const Node& asked = nodes_.at(Id(zone, node));
    return asked.permits->has_zone_slots(ClockOf(asked));
  }
  std::uint32_t borrowed(int zone, int node) const {
    const Node& asked = nodes_.at(Id(zone, node));
    return asked.permits->borrowed(ClockOf(asked));
  }
  const PermitHolder& permits(int zone, int node) const {
    return *nodes_.at(Id(zone, node)).permits;
  }

 private:
  // State that a simulated keeper has of a load that has not begun.
  struct PendingLoad {
    std::uint64_t number = 0;
    absl::Time requested_at;
    absl::Time next_request_at = absl::InfinitePast();
  };
  struct Node {
    int zone = 0;
    bool alive = true;
    bool paused = false;
    int known_holder = 0;
    absl::Duration offset;
    double rate = 1.0;
    NodeIncarnation incarnation = NodeIncarnation(1);
    std::unique_ptr<PermitHolder> permits;
    std::vector<NodeId> peers;
    ZoneNodes other_zones;
    std::map<std::size_t, PendingLoad> pending_loads;
    std::uint64_t next_number = 1;
  };
  struct MessageInFlight {
    NodeId to;
    Envelope envelope;
  };

  static NodeId Id(int zone, int node);
  absl::Time ClockOf(const Node& node) const;
  void MakePermits(const NodeId& id, Node* node);
  void Deliver();
  void Receive(const NodeId& id, Node* node, const Envelope& envelope);
  void ForwardLoanRequest(const Node& node, const PermitLoanRequest& request, Outbox* outbox) const;
  void OnReply(const NodeId& id, Node* node, const PermitReply& reply);
  void TickNode(const NodeId& id, Node* node);
  void RequestPermits(const NodeId& id, Node* node);
  void AbandonExpiredLoads(const NodeId& id, Node* node);
  void EndLoads();
  void Return(const NodeId& id, const Node& node, std::size_t load, std::uint64_t number);
  void Send(const NodeId& from, const Outbox& outbox);
  void SendMessage(const NodeId& from, const OutgoingMessage& outgoing);
  bool Passes(const Node& from, const Node& to) const;

  SimulatedPermitsOptions options_;
  Random random_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1000);
  std::map<NodeId, Node> nodes_;
  std::multimap<absl::Time, MessageInFlight> in_flight_;
  std::set<int> cut_;
  std::vector<PermitLoad> loads_;
  std::multimap<absl::Time, std::size_t> ends_;
  std::map<std::size_t, std::uint64_t> numbers_;
  int running_ = 0;
  int max_running_ = 0;
};

}  // namespace hingespan::simulation

#endif  // TESTS_SIMULATION_SIMULATED_PERMITS_H_
