// Keeper of one worker: fences the engine, reads its inventory, maintains the memory ledger, orders
// loads and unloads, and reports to the zone what is loaded.
//
// States: kFencing (requesting a higher epoch from the engine) -> kHolding (the inventory was read
// under this keeper's fence; orders may be sent) -> kFenced (the engine has seen a higher epoch, so
// another node keeps it).
#ifndef HINGESPAN_PLACEMENT_WORKER_KEEPER_H_
#define HINGESPAN_PLACEMENT_WORKER_KEEPER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "hingespan/backing/machine_list.h"
#include "hingespan/common/ids.h"
#include "hingespan/placement/keep_warm_policy.h"
#include "hingespan/placement/load_estimator.h"
#include "hingespan/placement/memory_ledger.h"
#include "hingespan/table/record_store.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

struct KeeperOptions {
  // Minimum time between two reports of load or memory to the zone. Other changes are reported at
  // once, and once more after this time.
  absl::Duration report_interval = absl::Seconds(2);
  // Time between two heartbeats that a node sends for all workers that it keeps.
  absl::Duration heartbeat_interval = absl::Seconds(4);
  // Time between two status calls to the engine.
  absl::Duration status_interval = absl::Seconds(1);
  // Time between two status calls while a load or unload is in progress.
  absl::Duration busy_status_interval = absl::Milliseconds(100);
  // Initial backoff before fencing again; doubles each time that another node takes over the
  // worker.
  absl::Duration fence_retry = absl::Milliseconds(300);
  // An engine call without an answer for this long counts as lost. Longer than the driver's own
  // timeout, so that it applies only if the driver loses a call.
  absl::Duration call_timeout = absl::Seconds(10);
  // A lost order is repeated after this time.
  absl::Duration order_retry = absl::Milliseconds(100);
  // A replica is not unloaded as idle until it has been ready for this long: its first requests may
  // be in flight, and the engine's load figures lag.
  absl::Duration minimum_residence = absl::Seconds(1);
  absl::Duration permit_retry = absl::Milliseconds(300);
  KeepWarmOptions keep_warm;
  LoadEstimatorOptions estimator;
  // If true, loads wait for a permit of the zone's permit holder.
  bool use_permits = false;
  // A permit that is not used within this time of its first request is returned.
  absl::Duration permit_use_within = absl::Seconds(5);
  // For tests only: orders loads without reserving memory.
  bool disable_ledger_for_test = false;
  // For tests only: every order carries the highest possible fence, so that it is never refused.
  bool disable_fence_for_test = false;
};

enum class KeeperState { kFencing, kHolding, kFenced };

// Not thread-safe. Spec actions: Fence, Reserve, OrderLoad, OrderUnload, ConfirmGone.
class WorkerKeeper {
 public:
  WorkerKeeper(NodeId self, WorkerMachine machine, KeeperOptions options, const RecordStore* store);

  // `peers`: nodes of the zone that receive changes. `permit_holder`: node that grants permits.
  void Tick(const std::vector<NodeId>& peers, const NodeId& permit_holder, absl::Time now,
            Outbox* outbox);
  void HandleAnswer(const EngineAnswer& answer, const std::vector<NodeId>& peers, absl::Time now,
                    Outbox* outbox);
  // Spec action: RequestLoad.
  LoadReply HandleLoad(const LoadRequest& request, absl::Time now, Outbox* outbox);
  // Spec action: ConfirmRevoke.
  RevokeReply HandleRevoke(const RevokeRequest& request, absl::Time now, Outbox* outbox);
  void HandlePermit(const PermitReply& reply, absl::Time now, Outbox* outbox);
  // Returns all parts of the list, for a ReplicaListRequest or for this node's own directory.
  std::vector<ReplicaList> ListReplicas(absl::Time now) const;
  // Returns a report with a sequence number higher than that of any earlier call.
  // Spec action: SendReport.
  WorkerReport Report();
  // Returns the newest report to the zone, or null before the first one and while another node
  // keeps the worker.
  const WorkerReport* SentReport() const;
  // Returns a heartbeat that confirms SentReport().
  std::optional<WorkerHeartbeat> Heartbeat() const;
  // Applies a change of this worker's entry in the machine list.
  // Spec action: BeginLeave.
  void SetMachine(const WorkerMachine& machine);

  KeeperState state() const { return state_; }
  const MemoryLedger& ledger() const { return ledger_; }
  // Returns the replica changes since the last call, for this node's own directory.
  std::vector<ReplicaUpdate> TakeLocalUpdates();

 private:
  enum class OrderKind { kNone, kLoad, kUnload };
  // kUnanswered: sent without an answer so far. kLost: may or may not have been applied, or may be
  // applied later. kSettled: answered, which makes every earlier order for the model void.
  enum class OrderStage { kUnanswered, kLost, kSettled };

  // A model that has a replica, an order or a revocation at this worker.
  struct Replica {
    GrantGeneration generation;
    ReplicaState state = ReplicaState::kLoading;
    // False for a revocation of a slot that holds no replica: peers receive no update for it.
    bool announced = true;
    // True if the engine has reported the replica under the current fence.
    bool reported_by_engine = false;
    // True if the engine refused the newest load order.
    bool load_refused = false;
    std::uint32_t memory_mib = 0;
    std::uint32_t running = 0;
    std::uint64_t idle_ms = 0;
    absl::Time seen_at;
    CacheTier tier = CacheTier::kRemote;
    absl::Time load_started;
    absl::Time expected_ready;
    absl::Time ready_since = absl::InfinitePast();
    // Time at which a lost load is abandoned.
    absl::Time load_deadline = absl::InfinitePast();
    // State of the newest order.
    OrderKind order = OrderKind::kNone;
    OrderStage stage = OrderStage::kSettled;
    OrderSequence order_sequence;
    GrantGeneration order_generation;
    absl::Time retry_at = absl::InfinitePast();
    // Engine calls with a lower number were sent before the model was known here.
    std::uint64_t first_call = 0;
    // Only calls from this number on, which were sent after the newest order settled, can show that
    // the replica is gone.
    std::uint64_t conclusive_from_call = 0;
  };
  // A permit that was requested, and is held once granted.
  struct Permit {
    std::uint64_t number = 0;
    absl::Time asked_at;
    bool granted = false;
  };
  // A load that waits for memory (evictions in progress), its base or a permit.
  struct WaitingLoad {
    LoadRequest request;
    absl::Time deadline;
    absl::Time next_permit_request = absl::InfinitePast();
  };
  struct PendingCall {
    // kNone for a fence or status call.
    OrderKind order = OrderKind::kNone;
    bool is_fence = false;
    ModelName model;
    OrderSequence sequence;
    absl::Time sent_at;
  };
  struct CallHistory {
    // Seconds between calls, newest last.
    std::vector<double> gaps;
    absl::Time last_used = absl::InfinitePast();
  };
  // Replicas that are unloaded together, listed in unload order, and the properties of the group as
  // one replica.
  struct EvictionGroup {
    std::vector<ModelName> members;
    IdleReplica sum;
  };
  enum class BaseState { kNotNeeded, kReady, kPending, kNotGranted };

  // Lifecycle: worker_keeper.cc.
  void BecomeHolding(const EngineStatus& inventory, absl::Time now, Outbox* outbox);
  void BecomeFencing(absl::Time now);
  void BecomeFenced(absl::Time now);
  void TickHolding(absl::Time now, Outbox* outbox);
  // Spec action: ReadStatus.
  void RequestStatus(absl::Time now, Outbox* outbox);
  // Spec action: AnswerLost.
  void ExpireCalls(absl::Time now, Outbox* outbox);
  void HandleFenceAnswer(const EngineAnswer& answer, absl::Time now, Outbox* outbox);
  // Spec action: ReadStatus, its answer.
  void HandleStatusAnswer(const EngineAnswer& answer, absl::Time now, Outbox* outbox);
  // Spec action: OrderAnswered.
  void HandleOrderAnswer(const EngineAnswer& answer, const PendingCall& call, absl::Time now,
                         Outbox* outbox);
  void ProcessAnswer(const EngineAnswer& answer, absl::Time now, Outbox* outbox);
  bool CheckFence(const EngineStatus& status, absl::Time now);
  void UpdateReachability(bool answered);
  std::uint64_t Call(EngineCall call, PendingCall pending, absl::Time now, Outbox* outbox);
  OrderFence NextFence(GrantGeneration generation);
  bool IsBusy() const;
  absl::Time NextStatus(absl::Time now) const;

  // Inventory: worker_keeper_inventory.cc.
  void ApplyStatus(const EngineStatus& status, std::uint64_t call, absl::Time now, Outbox* outbox);
  void ApplyReplicaStatus(const EngineReplica& reported, std::uint64_t call, absl::Time now);
  void AdoptReplica(const EngineReplica& reported, absl::Time now);
  // Spec action: ConfirmGone.
  bool IsGone(const Replica& replica, std::uint64_t call) const;
  // Spec actions: ConfirmGone, ConfirmRevoke.
  void ConfirmGone(const ModelName& model, absl::Time now);
  void RecordCall(const ModelName& model, const EngineReplica& reported, const Replica& held,
                  absl::Time now);
  void SetState(const ModelName& model, Replica* replica, ReplicaState state, absl::Time now);
  void Announce(const ModelName& model, bool removed, absl::Time now);

  // Reports to the zone: worker_keeper_reports.cc.
  void SetPeers(const std::vector<NodeId>& peers);
  void SendAnnouncements(absl::Time now, Outbox* outbox);
  void SendUpdates(Outbox* outbox);
  // Spec action: SendReport.
  void SendReports(absl::Time now, Outbox* outbox);
  // Describes the worker's current state with the sequence number of the last report.
  WorkerReport Describe() const;

  // Loads and unloads: worker_keeper_loads.cc.
  std::optional<LoadOutcome> RefuseLoad(const LoadRequest& request, absl::Time now) const;
  void EnqueueLoad(const LoadRequest& request, absl::Time now);
  void EnqueueBase(const LoadRequest& request, absl::Time now);
  void TryStartLoads(absl::Time now, Outbox* outbox);
  // Returns false if the load keeps waiting. `earlier_loads_mib`: memory needed by loads with an
  // earlier deadline.
  bool TryStartLoad(const ModelRow& row, std::uint64_t earlier_loads_mib, absl::Time now,
                    Outbox* outbox);
  std::vector<ModelName> WaitingByDeadline() const;
  void DropExpiredLoads(absl::Time now);
  bool HasPermit(const ModelName& model, absl::Time now) const;
  void RequestPermit(const ModelName& model, WaitingLoad* load, absl::Time now, Outbox* outbox);
  void ReleaseUnusedPermits(Outbox* outbox);
  void ReturnPermit(const ModelName& model, std::uint64_t number, Outbox* outbox);
  void OrderLoad(const LoadRequest& request, const ModelRow& row, absl::Time deadline,
                 absl::Time now, Outbox* outbox);
  void SendLoad(const ModelRow& row, Replica* replica, absl::Time now, Outbox* outbox);
  void SendOrder(const ModelName& model, Replica* replica,
                 std::variant<LoadOrder, UnloadOrder> order, absl::Time now, Outbox* outbox);
  void OrderUnload(const ModelName& model, GrantGeneration generation, absl::Time now,
                   Outbox* outbox);
  // Spec actions: AnswerLost, LoseOrder.
  void RepeatLostOrders(absl::Time now, Outbox* outbox);
  void UnloadIdle(absl::Time now, Outbox* outbox);
  void Evict(std::uint32_t needed_mib, absl::Time now, Outbox* outbox);
  bool CanMakeRoom(const ModelName& model, std::uint32_t needed_mib, absl::Time now) const;
  std::vector<EvictionGroup> EvictionGroups(absl::Time now) const;
  IdleReplica DescribeGroup(const std::vector<ModelName>& members, absl::Time now) const;
  // Returns the base of an adapter, or an empty name for other rows.
  ModelName BaseNameOf(const ModelName& model) const;
  std::vector<IdleReplica> IdleReplicas(absl::Time now) const;
  IdleReplica DescribeIdle(const ModelName& model, const Replica& replica, absl::Time now) const;
  static bool IsIdle(const Replica& replica);
  bool IsPinned(const ModelRow& row) const;
  BaseState BaseOf(const ModelRow& row) const;
  std::optional<GrantSlot> GrantedSlot(const ModelName& model) const;
  std::uint32_t BeingFreedMib() const;
  bool Reserve(const ModelName& model, std::uint32_t memory_mib);
  absl::Duration ExpectedWait(const ModelName& model, absl::Time now) const;
  CacheTier TierOf(const ModelName& model) const;

  NodeId self_;
  WorkerMachine machine_;
  KeeperOptions options_;
  const RecordStore* store_;
  KeeperState state_ = KeeperState::kFencing;
  // Incarnation and epoch of the last fence that the engine granted to this keeper.
  WorkerIncarnation incarnation_;
  KeeperEpoch epoch_;
  OrderSequence sequence_;
  ReplicaListVersion version_;
  std::uint64_t report_sequence_ = 0;
  MemoryLedger ledger_;
  LoadEstimator estimator_;
  absl::btree_map<ModelName, Replica> replicas_;
  absl::btree_map<ModelName, WaitingLoad> waiting_loads_;
  absl::btree_map<ModelName, RevokeRequest> revocations_;
  // Highest generation confirmed as revoked, by model, within this incarnation.
  absl::flat_hash_map<ModelName, GrantGeneration> revoked_;
  // Time until which a load that the engine refused for lack of memory is not tried again.
  absl::flat_hash_map<ModelName, absl::Time> refused_until_;
  absl::flat_hash_map<ModelName, CallHistory> histories_;
  absl::btree_map<ModelName, Permit> permits_;
  std::uint64_t next_permit_ = 1;
  std::vector<CachedCheckpoint> cached_;
  std::vector<ReplicaUpdate> pending_updates_;
  std::vector<ReplicaUpdate> local_updates_;
  // Peers as of the last Tick or answer.
  std::vector<NodeId> peers_;
  // Peers added since the last report.
  std::vector<NodeId> new_peers_;
  std::optional<WorkerReport> sent_report_;
  NodeId permit_holder_;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  bool reachable_ = false;
  int failed_calls_ = 0;
  int times_fenced_ = 0;
  absl::Time holding_since_ = absl::InfinitePast();
  absl::Time next_status_ = absl::InfinitePast();
  // Times from which a change of load may be reported, and at which the newest report is repeated.
  absl::Time next_report_ = absl::InfinitePast();
  absl::Time repeat_report_ = absl::InfiniteFuture();
  absl::Time next_fence_ = absl::InfinitePast();
  absl::btree_map<std::uint64_t, PendingCall> calls_;
  std::uint64_t next_call_ = 1;
  // Number of the outstanding fence or status call, or 0 if there is none.
  std::uint64_t control_call_ = 0;
  // Status answers to calls with a lower number are outdated and ignored.
  std::uint64_t newest_applied_call_ = 0;
  // Calls from this number on can't show replicas that were confirmed gone before.
  std::uint64_t unknown_from_call_ = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_WORKER_KEEPER_H_
