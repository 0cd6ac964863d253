// Deterministic simulation of many nodes in one thread and in virtual time: the real coordination
// code (NodeCore) runs over a simulated network and platform and the emulator's engines. Used for
// scale measurements and for tests that need many nodes under faults with a reproducible result.
#ifndef TESTS_SIMULATION_SIMULATED_FLEET_H_
#define TESTS_SIMULATION_SIMULATED_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/time/time.h"
#include "emulator/engine.h"
#include "emulator/table_service_store.h"
#include "emulator/weight_store.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"
#include "hingespan/node/node_core.h"
#include "hingespan/transport/outbox.h"

namespace hingespan::simulation {

// A worker of a deployment.
struct SimulatedWorker {
  WorkerId worker;
  ZoneId zone;
  emulator::EngineOptions engine;
};

struct SimulatedFleetOptions {
  int zones = 3;
  int nodes_per_zone = 3;
  int workers_per_zone = 4;
  emulator::EngineOptions engine;
  // Zones and workers of a deployment. If given, they replace the numbers of zones and workers and
  // the common engine options above.
  std::vector<ZoneId> zone_names;
  std::vector<SimulatedWorker> workers;
  emulator::WeightStoreOptions weight_store;
  // Options of every node's core; the simulation sets names, zones, seeds and addresses.
  CoreOptions core;
  absl::Duration tick_interval = absl::Milliseconds(20);
  absl::Duration delay_in_zone = absl::Microseconds(300);
  absl::Duration delay_between_zones = absl::Milliseconds(2);
  absl::Duration platform_delay = absl::Milliseconds(5);
  absl::Duration engine_delay = absl::Milliseconds(1);
  // Running time of a request at an engine.
  absl::Duration service_time = absl::Milliseconds(400);
  // True if engines pace requests themselves, token by token, instead of `service_time`.
  bool engines_pace_requests = false;
  // Interval at which engines advance by themselves; zero means once per tick.
  absl::Duration engine_step = absl::ZeroDuration();
  // Fractions of messages that are lost and that arrive twice.
  double loss = 0.0;
  double duplication = 0.0;
  std::uint64_t seed = 1;
};

// Resources that a node has used since its start.
struct NodeUsage {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  // Payload and 28 bytes of IP and UDP headers each.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  // Measured processor time of steps, encoding and decoding.
  absl::Duration processor_time;
  std::uint64_t engine_calls = 0;
  std::uint64_t platform_calls = 0;
  // Keys and values of table reads, without the frames of their transport.
  std::uint64_t table_bytes_read = 0;
};

struct RequestCounts {
  std::uint64_t submitted = 0;
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::map<RefusalCode, std::uint64_t> refused;
};

// Receives the events of engines and the results of callers' requests. Must not call the
// simulation.
class FleetObserver {
 public:
  virtual ~FleetObserver() = default;
  // `engine` is the engine that logged the entry.
  virtual void OnEngineEvent(const emulator::LogEntry& entry, const emulator::Engine& engine,
                             absl::Time now) = 0;
  // Called when an engine in any zone has begun the answer to a caller's request.
  virtual void OnAnswerBegun(const RequestId& request, const WorkerId& worker, absl::Time now) = 0;
  // `refusal` is null for requests that were not refused.
  virtual void OnRequestEnded(const RequestId& request, AttemptOutcome outcome,
                              const Refusal* refusal, absl::Time now) = 0;
};

// State of the simulated platform.
enum class PlatformState { kUp, kDown, kLosesAnswers };

// Not thread-safe.
class SimulatedFleet : private emulator::EngineObserver {
 public:
  explicit SimulatedFleet(SimulatedFleetOptions options);
  ~SimulatedFleet() override;

  void RunFor(absl::Duration duration);
  // Runs until `condition` holds, checked after every tick; returns false after `bound`.
  bool RunUntil(const std::function<bool()>& condition, absl::Duration bound);
  absl::Time now() const { return now_; }
  absl::Time WallTime() const;

  // Writes rows as an operator; `rows_per_transaction` share a revision.
  void WriteRows(const std::vector<ModelRow>& rows, int rows_per_transaction = 1);
  // Submits a caller's request to a node; it ends by itself. A request without an id gets one.
  // Answers have `maximum_tokens` tokens if engines pace requests.
  void Submit(const NodeId& node, RouteRequest request, int maximum_tokens = 4);
  // Schedules `run` at a future time, between the events of the simulation.
  void At(absl::Time when, std::function<void()> run);
  // `observer` may be null and must outlive the simulation.
  void SetObserver(FleetObserver* observer) { observer_ = observer; }

  // Fault injection.
  void Kill(const NodeId& node);
  // Starts a killed node as a new incarnation.
  void Restart(const NodeId& node);
  // A paused node handles nothing until Continue, and then everything that has arrived meanwhile.
  void Pause(const NodeId& node);
  void Continue(const NodeId& node);
  void SetPlatform(PlatformState state) { platform_state_ = state; }
  void CutZone(const ZoneId& zone, bool cut);
  void RestartEngine(const WorkerId& worker);
  void SetWorkerState(const WorkerId& worker, MachineState state);
  // Sets the fraction of messages that are lost from now on.
  void SetLoss(double share) { options_.loss = share; }

  std::vector<NodeId> nodes() const;
  std::vector<WorkerId> workers() const;
  // Returns null while the node is killed.
  const NodeCore* core(const NodeId& node) const;
  const NodeUsage& usage(const NodeId& node) const;
  const emulator::TableServiceStore& table() const { return table_; }
  const emulator::WeightStore& weight_store() const { return weight_store_; }
  // Returns the memory use summed over all engines.
  emulator::MemoryUse memory_use();
  // Returns whether every live node holds the platform's latest revision.
  bool Converged() const;
  bool AllReady() const;
  std::uint64_t ready_replicas() const;

  // Results that engines and callers observed.
  std::uint64_t overcommits() const { return overcommits_; }
  // Highest number of replicas of each model that engines deferred at the same time.
  const std::map<ModelName, int>& maximum_replicas() const { return maximum_replicas_; }
  // Number of times that engines began a request, by idempotency key.
  const std::map<IdempotencyKey, int>& runs_by_key() const { return runs_by_key_; }
  const RequestCounts& requests() const { return requests_; }
  std::uint64_t open_requests() const { return open_.size(); }
  std::uint64_t loads_begun() const { return loads_begun_; }

 private:
  struct Node {
    NodeId id;
    ZoneId zone;
    std::unique_ptr<NodeCore> core;
    NodeIncarnation incarnation;
    bool paused = false;
    NodeUsage usage;
    // Deliveries that arrived while the node was paused.
    std::vector<std::function<void()>> deferred;
  };
  struct Event {
    absl::Time at;
    std::uint64_t order = 0;
    std::function<void()> run;
  };
  struct LaterEvent {
    bool operator()(const Event& left, const Event& right) const;
  };
  // A caller's request in flight and the node that handles it.
  struct OpenRequest {
    RouteRequest request;
    NodeId node;
    // Set for the part of a forwarded request that the other zone's node handles.
    RequestId forwarded_for;
    NodeId forwarded_by;
    int maximum_tokens = 4;
  };

  void OnEvent(emulator::LogEntry entry) override;
  void OnReplicaCount(const ModelName& model, int difference) override;

  void BuildEngines();
  void AddEngine(const SimulatedWorker& worker);
  void StartNode(Node* node);
  void RunEventsUntil(absl::Time until);
  void TickAll();
  void AdvanceEngines();
  // Runs a step of a node's core, measures its processor time and executes its outbox.
  void Step(Node* node, const std::function<void(NodeCore*, Outbox*)>& step);
  void ExecuteOutbox(Node* node, Outbox outbox);
  void SendMessage(Node* node, const OutgoingMessage& outgoing);
  void DeliverBytes(Node* target, const std::string& bytes);
  Node* NodeAt(const std::string& control_address);
  void CallEngine(Node* node, const EngineCall& call);
  Result<EngineStatus> ApplyOrder(const EngineCall& call);
  void CallPlatform(Node* node, const PlatformCall& call);
  PlatformAnswer ApplyPlatformCall(const Node& node, const PlatformCall& call);
  ValueChangePage ReadChanges(TableRevision after) const;
  MachineListing Machines() const;
  void TakeDecisions(Node* node);
  void ExecuteDecision(Node* node, const RouteDecision& decision);
  void DispatchToEngine(Node* node, const RouteDecision& decision);
  void Forward(Node* node, const RouteDecision& decision);
  void FinishAtServiceTime(const NodeId& node, const WorkerId& worker,
                           const GenerationRequest& generation);
  void OnGenerationBegun(const emulator::LogEntry& entry);
  void OnGenerationEnded(const emulator::LogEntry& entry);
  void Finish(const NodeId& node, const RequestId& request, AttemptOutcome outcome);
  void EndRequest(const RequestId& request, AttemptOutcome outcome, const Refusal* refusal);
  bool Separated(const ZoneId& left, const ZoneId& right) const;

  SimulatedFleetOptions options_;
  Random random_;
  absl::Time now_;
  std::uint64_t next_event_ = 1;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> events_;
  std::vector<ZoneId> zones_;
  absl::btree_map<NodeId, Node> nodes_;
  absl::btree_map<std::string, NodeId> nodes_by_address_;
  emulator::TableServiceStore table_;
  emulator::WeightStore weight_store_;
  absl::btree_map<WorkerId, std::unique_ptr<emulator::Engine>> engines_;
  absl::btree_map<WorkerId, WorkerMachine> workers_;
  absl::btree_set<ZoneId> cut_zones_;
  PlatformState platform_state_ = PlatformState::kUp;
  absl::btree_map<RequestId, OpenRequest> open_;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_incarnation_ = 1;
  std::map<ModelName, int> replicas_;
  std::map<ModelName, int> maximum_replicas_;
  std::map<IdempotencyKey, int> runs_by_key_;
  RequestCounts requests_;
  std::uint64_t overcommits_ = 0;
  std::uint64_t loads_begun_ = 0;
  FleetObserver* observer_ = nullptr;
};

}  // namespace hingespan::simulation

#endif  // TESTS_SIMULATION_SIMULATED_FLEET_H_
