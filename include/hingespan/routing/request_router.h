// Lifecycle of a request at one node: choice of the zone, queue, claim, dispatch, retry, end. The
// router only decides; its caller carries the decisions out.
//
// States: waiting for a replica -> claiming (requests that are not repeatable) -> running at a
// worker -> ended; or forwarded to another zone -> ended; any state -> refused. Each request either
// gets exactly one final decision (kRefuse), or ends by OnFinished after its last kDispatch or
// kForward:
// - OnFinished with kComplete, kCancelled or kRefusedElsewhere ends the request without a further
// decision.
// - Every other outcome leads to exactly one more decision (kDispatch, kForward or kRefuse), at
// once or later. A request that is cancelled while it is not running ends with kRefuse
// (kCancelled).
#ifndef HINGESPAN_ROUTING_REQUEST_ROUTER_H_
#define HINGESPAN_ROUTING_REQUEST_ROUTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/admission/waiting_queue.h"
#include "hingespan/claim/claimant.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"
#include "hingespan/common/refusal.h"
#include "hingespan/routing/circuit_breaker.h"
#include "hingespan/routing/replica_directory.h"
#include "hingespan/routing/retry_budget.h"
#include "hingespan/routing/service_times.h"
#include "hingespan/routing/worker_loads.h"
#include "hingespan/table/record_store.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

struct RouterOptions {
  // Interval at which wake requests are repeated while requests wait.
  absl::Duration wake_interval = absl::Milliseconds(250);
  // Queue length at which the placer is asked for more replicas although one is ready. It is also
  // asked once a request has waited for a wake_interval.
  std::uint32_t long_queue = 8;
  // A request is refused if its expected wait exceeds the time left multiplied by this factor. The
  // factor is above 1 because expected waits are estimates.
  double hopeless_margin = 1.2;
  // Maximum number of requests at this node, waiting and running.
  std::uint32_t maximum_requests = 1024;
  std::uint32_t affinity_slack = 2;
  int maximum_attempts = 4;
  // Timeout of a claim; shorter if the deadline of the request is nearer.
  absl::Duration claim_time = absl::Seconds(2);
  RetryBudgetOptions retry_budget;
  CircuitBreakerOptions circuit_breaker;
  // For tests only: retry requests that are not repeatable and may have run; never refuse early.
  bool disable_repeat_protection_for_test = false;
  bool disable_early_refusal_for_test = false;
};

struct RouteRequest {
  RequestId request;
  ModelName model;
  int priority = 0;
  bool repeatable = true;
  // Empty if the caller gave none.
  IdempotencyKey key;
  // Time of Clock::Now, fixed at arrival.
  absl::Time deadline;
  std::uint64_t prefix_hash = 0;
  // True if a node of another zone forwarded the request: it is served here or refused.
  bool forwarded = false;
};

// Node of another zone to which requests can be forwarded.
struct RemoteNode {
  NodeId node;
  ZoneId zone;
  std::string http_address;
};

enum class RouteAction {
  // Send the request to the engine at `base_url`.
  kDispatch,
  // Send the request to `forward_address`, marked as forwarded.
  kForward,
  kRefuse,
};

struct RouteDecision {
  RequestId request;
  RouteAction action = RouteAction::kRefuse;
  WorkerId worker;
  WorkerIncarnation incarnation;
  std::string base_url;
  std::string forward_address;
  Refusal refusal;
};

// Outcome of a dispatch or a forward.
enum class AttemptOutcome {
  kComplete,
  // Provably not run: the engine refused it, or no connection could be made.
  kNotRun,
  // Provably not run: the engine does not hold the model.
  kNotLoaded,
  // Failed before any output reached the caller; the request may have run.
  kFailedBeforeOutput,
  // Failed after a part of the output reached the caller.
  kFailedAfterOutput,
  kDeadlineExceeded,
  kCancelled,
  // The node to which it was forwarded refused it finally; the caller gets the refusal of that
  // node.
  kRefusedElsewhere,
};

// Counters for /metrics.
struct RouterCounters {
  std::uint64_t submitted = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t completed = 0;
  // Requests that ended by OnFinished(kCancelled).
  std::uint64_t cancelled = 0;
  // Requests that ended by OnFinished(kRefusedElsewhere).
  std::uint64_t refused_elsewhere = 0;
  std::uint64_t retried = 0;
  // Requests that waited because no replica was ready.
  std::uint64_t cold = 0;
  absl::btree_map<RefusalCode, std::uint64_t> refused;
};

// Not thread-safe.
class RequestRouter {
 public:
  RequestRouter(NodeId self, ZoneId zone, std::vector<ZoneId> zones, RouterOptions options,
                const RecordStore* store, ReplicaDirectory* directory, Claimant* claimant,
                std::uint64_t seed);

  // Updates the known nodes of other zones, and whether new requests are accepted.
  void SetRemoteNodes(std::vector<RemoteNode> nodes);
  void SetStopping(bool stopping);

  // Accepts a request. Its decisions, made at once or later, are returned by TakeDecisions.
  // `request.request` must be new; an id that is still known is ignored.
  // Spec action: Submit.
  void Submit(const RouteRequest& request, absl::Time now, absl::Time wall_time, Outbox* outbox);
  // Reports the outcome of the latest dispatch or forward of a request. May lead to another
  // decision.
  // Spec action: OnFinished.
  void OnFinished(const RequestId& request, AttemptOutcome outcome, absl::Time now,
                  absl::Time wall_time, Outbox* outbox);
  // Cancels a request whose caller disconnected. A running request must still be ended by
  // OnFinished.
  void Cancel(const RequestId& request);

  // Dispatches waiting requests after the replicas of `models` changed.
  // Spec action: LoadReady.
  void OnReplicasChanged(const std::vector<ModelName>& models, absl::Time now, absl::Time wall_time,
                         Outbox* outbox);
  void OnWakeReply(const WakeReply& reply, absl::Time now);
  // Handles claim decisions, expires waiting requests and repeats wake requests. `placer_of`
  // returns the placer of a model in this zone, which may be this node.
  // Spec actions: Tick, Wake.
  void Tick(const std::function<NodeId(const ModelName&)>& placer_of, absl::Time now,
            absl::Time wall_time, Outbox* outbox);

  std::vector<RouteDecision> TakeDecisions();
  const RouterCounters& counters() const { return counters_; }
  std::size_t waiting() const;
  std::size_t active() const { return requests_.size(); }
  // Reservations at workers, held by requests that run or are being claimed.
  std::size_t reservations() const { return loads_.running(); }

 private:
  enum class Stage { kWaiting, kClaiming, kRunning, kForwarded };
  struct State {
    RouteRequest request;
    Stage stage = Stage::kWaiting;
    // Worker at which capacity is reserved while the request is claiming or running.
    WorkerId worker;
    // Number of dispatches, without those that provably did not run and left no worker to try.
    int attempts = 0;
    // Time of the latest dispatch.
    absl::Time dispatched_at;
    // True once the request passed the queue limit of the model, with or without queueing.
    bool admitted = false;
    // True if this attempt holds the claim on the key.
    bool claimed = false;
    // True if some dispatch or forward may have run.
    bool may_have_run = false;
    bool cancelled = false;
    // True if this zone's placer refused the request; another zone may still have capacity.
    bool refused_here = false;
    // Workers at which the request failed. They are chosen again only if no other worker is
    // available.
    std::vector<WorkerId> failed_workers;
    std::vector<RemoteNode> tried_remotes;
  };
  struct ModelState {
    WaitingQueue queue;
    absl::Time next_wake = absl::InfinitePast();
    // Time since which the queue is not empty.
    absl::Time waiting_since = absl::InfiniteFuture();
    // True if the placer reported a ready replica that this node does not know.
    bool missed_ready = false;
  };
  struct HeldClaim {
    RequestId attempt;
    IdempotencyKey key;
  };

  // Choice of the zone.
  void Route(const RequestId& request, absl::Time now, absl::Time wall_time, Outbox* outbox);
  std::optional<ZoneId> ChooseSiteFor(const ModelRow& row, const State& state);
  bool HasGrantedSlot(const ModelName& model, const ZoneId& zone) const;
  std::vector<RemoteNode> UntriedNodes(const State& state, const ZoneId& zone) const;
  void Forward(State* state, const ZoneId& zone);
  void MoveToGrantedSites(const ModelName& model, bool refused_here);

  // Waiting and dispatch.
  void Admit(const RequestId& request, const ModelRow& row, absl::Time now, absl::Time wall_time,
             Outbox* outbox);
  void DispatchWaiting(const ModelName& model, absl::Time now, absl::Time wall_time,
                       Outbox* outbox);
  std::optional<WorkerId> ChooseWorker(const State& state, const ModelRow& row, absl::Time now);
  void ClaimOrDispatch(State* state, const WorkerId& worker, absl::Time now, absl::Time wall_time,
                       Outbox* outbox);
  // Spec action: Dispatch.
  void Dispatch(State* state, const WorkerId& worker, absl::Time now);
  void ReleaseReservation(State* state);
  void ForgetIdleModels(absl::Time now);

  // Claims.
  void HandleClaims(absl::Time now, absl::Time wall_time, Outbox* outbox);
  // Spec action: ClaimDecided.
  void HandleClaim(const ClaimDecision& decision, absl::Time now, absl::Time wall_time,
                   Outbox* outbox);
  void StartClaimed(State* state, absl::Time now);
  void RefuseUnclaimed(const RequestId& request, ClaimVerdict verdict);
  void SendReleases(Outbox* outbox);

  // Ends of attempts and requests.
  void OnWorkerOutcome(State* state, AttemptOutcome outcome, absl::Time now);
  void RetryOrRefuse(const RequestId& request, bool may_have_run, absl::Time now,
                     absl::Time wall_time, Outbox* outbox);
  bool MayRepeat(const State& state) const;
  bool AnyWorkerAllowed(const ModelName& model, absl::Time now);
  // Spec action: Tick.
  void ExpireWaits(absl::Time now);
  void ExpireQueue(WaitingQueue* queue, absl::Time now);
  void RefuseExpired(const RequestId& request);
  void RefuseUnservableModels();
  void RefuseWaiting(const ModelName& model, RefusalCode code, absl::Duration retry_after,
                     const std::string& detail);
  void RefuseHopeless(const ModelName& model, absl::Duration expected_wait, absl::Time now);
  void Refuse(const RequestId& request, RefusalCode code, absl::Duration retry_after,
              std::string detail);
  void RefuseUnadmitted(const RouteRequest& request, RefusalCode code, absl::Duration retry_after,
                        std::string detail);
  // Spec action: End.
  void End(const RequestId& request);

  // Wake requests.
  void SendWakes(const std::function<NodeId(const ModelName&)>& placer_of, absl::Time now,
                 Outbox* outbox);
  bool NeedsWake(const ModelName& model, const ModelState& state, absl::Time now) const;
  void RequestMissedLists(const ModelName& model, absl::Time now, Outbox* outbox);

  NodeId self_;
  ZoneId zone_;
  std::vector<ZoneId> zones_;
  RouterOptions options_;
  const RecordStore* store_;
  ReplicaDirectory* directory_;
  Claimant* claimant_;
  Random random_;
  RetryBudget retry_budget_;
  WorkerLoads loads_;
  ServiceTimes service_times_;
  bool stopping_ = false;
  std::vector<RemoteNode> remote_nodes_;
  // A node-based map, so that a State keeps its address while other entries are added and erased.
  absl::node_hash_map<RequestId, State> requests_;
  // Models that have waiting requests or had some recently.
  absl::btree_map<ModelName, ModelState> models_;
  absl::btree_set<RequestId> claiming_;
  // Pending claims whose request has ended. They are released if they are granted.
  absl::flat_hash_map<RequestId, IdempotencyKey> abandoned_claims_;
  std::vector<HeldClaim> releases_;
  std::vector<RouteDecision> decisions_;
  RouterCounters counters_;
};

}  // namespace hingespan

#endif  // HINGESPAN_ROUTING_REQUEST_ROUTER_H_
