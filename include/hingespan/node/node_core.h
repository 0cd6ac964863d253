// All coordination of one node as a state machine without I/O. The daemon, hollow nodes and tests
// run the same code, each with its own clock, transport, platform and engines.
#ifndef HINGESPAN_NODE_NODE_CORE_H_
#define HINGESPAN_NODE_NODE_CORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "hingespan/claim/claim_owner.h"
#include "hingespan/claim/claimant.h"
#include "hingespan/grant/grant_manager.h"
#include "hingespan/membership/duties.h"
#include "hingespan/membership/membership.h"
#include "hingespan/membership/record_sync.h"
#include "hingespan/node/core_options.h"
#include "hingespan/node/leave_gossip.h"
#include "hingespan/node/row_takeover.h"
#include "hingespan/placement/permit_holder.h"
#include "hingespan/placement/placer.h"
#include "hingespan/placement/worker_keeper.h"
#include "hingespan/routing/replica_directory.h"
#include "hingespan/routing/request_router.h"
#include "hingespan/table/record_store.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

// Not thread-safe: one thread drives it, or a lock guards it.
class NodeCore {
 public:
  explicit NodeCore(CoreOptions options);
  ~NodeCore();

  // Advances timers. Must be called about every 20 ms, and soon after a Submit.
  void Tick(absl::Time now, absl::Time wall_time, Outbox* outbox);
  void HandleMessage(const Envelope& envelope, absl::Time now, absl::Time wall_time,
                     Outbox* outbox);
  void HandleEngineAnswer(const EngineAnswer& answer, absl::Time now, absl::Time wall_time,
                          Outbox* outbox);
  void HandlePlatformAnswer(const PlatformAnswer& answer, absl::Time now, absl::Time wall_time,
                            Outbox* outbox);

  // Requests of callers; see RequestRouter.
  void Submit(const RouteRequest& request, absl::Time now, absl::Time wall_time, Outbox* outbox);
  void OnFinished(const RequestId& request, AttemptOutcome outcome, absl::Time now,
                  absl::Time wall_time, Outbox* outbox);
  void Cancel(const RequestId& request);
  std::vector<RouteDecision> TakeDecisions();

  // Begins the planned stop: duties and claims are handed over, requests in progress go on, and new
  // ones are refused. StopComplete returns true once nothing runs and the hand-over is announced.
  void BeginStop(absl::Time now, absl::Time wall_time, Outbox* outbox);
  bool StopComplete(absl::Time now) const;

  // Returns true if the node has joined, its table is up to date, and it is not stopping, so that
  // callers may be sent to it.
  bool Ready() const;
  // Returns the control address of a node of this or another zone; empty if unknown.
  std::string AddressOf(const NodeId& node) const;

  // Accessors for status pages and tests.
  const Membership& membership() const { return *membership_; }
  const RecordStore& store() const { return store_; }
  const ReplicaDirectory& directory() const { return *directory_; }
  const RequestRouter& router() const { return *router_; }
  const ClaimOwner& claim_owner() const { return *claim_owner_; }
  const PermitHolder& permits() const { return *permits_; }
  bool is_permit_holder() const { return permit_holder_ == options_.node; }
  const CoreOptions& options() const { return options_; }
  std::vector<WorkerId> kept_workers() const;
  // Records that could not be decoded; see RecordSync.
  std::uint64_t undecoded_records() const { return record_sync_->undecoded_count(); }
  std::vector<UndecodedRecord> TakeUndecodedRecords() { return record_sync_->TakeUndecoded(); }
  // Explains in text lines where a model runs and why: its row, slots, replicas and the queue on
  // this node.
  std::vector<std::string> Explain(const ModelName& model, absl::Time now) const;

 private:
  struct KeeperEntry {
    // Distinguishes answers for this keeper from answers for an earlier keeper of the same worker.
    std::uint64_t instance = 0;
    std::unique_ptr<WorkerKeeper> keeper;
  };
  // Source of a machine list update: the platform, read by this node itself; the zone's reader,
  // which reads the list often; or another node, whose state may be outdated.
  enum class MachineSource { kPlatform, kReader, kPeer };
  struct PendingEngineCall {
    std::uint64_t keeper_instance = 0;
    std::uint64_t keeper_call = 0;
  };

  void TickKeepers(absl::Time now, Outbox* outbox);
  void TickPlacement(absl::Time now, Outbox* outbox);
  void TickPermits(absl::Time now, Outbox* outbox);
  void TickClaims(absl::Time now, absl::Time wall_time, Outbox* outbox);
  void TickRouter(absl::Time now, absl::Time wall_time, Outbox* outbox);
  void AdvanceStop(absl::Time now, absl::Time wall_time, Outbox* outbox);
  void DispatchMessage(const Envelope& envelope, absl::Time now, absl::Time wall_time,
                       Outbox* outbox);
  // Handles messages addressed to this node directly instead of sending them.
  void DeliverLocalMessages(absl::Time now, absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const Probe& message, absl::Time now, absl::Time wall_time,
          Outbox* outbox);
  void On(const Envelope& envelope, const ProbeAck& message, absl::Time now, absl::Time wall_time,
          Outbox* outbox);
  void On(const Envelope& envelope, const IndirectProbeRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const IndirectProbeAck& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const JoinRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const JoinReply& message, absl::Time now, absl::Time wall_time,
          Outbox* outbox);
  void On(const Envelope& envelope, const RecordFetch& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const RecordChanges& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const MachineListUpdate& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const ReplicaUpdate& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const WorkerReport& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const KeeperHeartbeat& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const WorkerReportRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const ReplicaListRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const ReplicaList& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const WakeRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const WakeReply& message, absl::Time now, absl::Time wall_time,
          Outbox* outbox);
  void On(const Envelope& envelope, const LoadRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const LoadReply& message, absl::Time now, absl::Time wall_time,
          Outbox* outbox);
  void On(const Envelope& envelope, const RevokeRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const RevokeReply& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const PermitRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const PermitReply& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const PermitVoteRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const PermitVoteReply& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const PermitLoanRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const PermitLoanReply& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const ClaimRequest& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);
  void On(const Envelope& envelope, const ClaimReply& message, absl::Time now, absl::Time wall_time,
          Outbox* outbox);
  void On(const Envelope& envelope, const ClaimRelease& message, absl::Time now,
          absl::Time wall_time, Outbox* outbox);

  void OnRecordChanged(const std::string& key);
  void UpdateDuties();
  bool ShouldKeep(const WorkerId& worker) const;
  void ReadMachines(absl::Time now, Outbox* outbox);
  void HandleMachineListing(const PlatformAnswer& answer, absl::Time now, Outbox* outbox);
  // Returns the entries that changed.
  MachineListUpdate UpdateMachines(const MachineListUpdate& update, MachineSource source,
                                   absl::Time now);
  bool UpdateWorker(const WorkerMachine& machine, MachineSource source, absl::Time now);
  // Returns true if `machine` may replace `held`, the known state of the worker.
  bool MayReplace(const WorkerMachine& held, const WorkerMachine& machine, MachineSource source,
                  absl::Time now) const;
  // Returns true if this node recently read from the platform that the worker's leave was
  // withdrawn, so that outdated messages about that leave may still arrive.
  bool LeaveRecentlyWithdrawn(const WorkerId& worker, absl::Time now) const;
  // Stores a leave reported by a keeper like one read from the machine list, because the worker's
  // next keeper may not know of it.
  void NoteReportedLeave(const WorkerId& worker, absl::Time now);
  WorkerIncarnation ReportedIncarnation(const WorkerId& worker) const;
  // Adds the zone's workers that are leaving or gone and that `update` does not contain.
  void AddNonLiveWorkers(MachineListUpdate* update) const;
  std::vector<RemoteNode> RemoteNodes() const;
  std::vector<NodeId> OtherZoneNodes() const;
  ZoneNodes OtherZones() const;
  std::vector<GrantTarget> GrantTargets() const;
  bool IsPlatformReader() const;
  NodeId KeeperOf(const WorkerId& worker) const;
  NodeId PlacerOf(const ModelName& model) const;
  bool IsPlacerOf(const ModelName& model) const;
  std::vector<KeyRangeId> ClaimRangesToExtend(absl::Time now, absl::Time wall_time) const;
  // Replaces the ids of the engine calls from `first_call` on by ids that are unique among all
  // keepers.
  void NumberEngineCalls(std::uint64_t keeper_instance, std::size_t first_call, Outbox* outbox);
  // Applies the updates that a local keeper announced to the zone to this node's own directory.
  void ApplyLocalUpdates(WorkerKeeper* keeper, absl::Time now, Outbox* outbox);
  // Sends one message with all workers kept by this node to each peer.
  void SendHeartbeats(absl::Time now, Outbox* outbox);
  void AddChanged(std::vector<ModelName> models);
  void NotifyRouter(absl::Time now, absl::Time wall_time, Outbox* outbox);

  CoreOptions options_;
  RecordStore store_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<RecordSync> record_sync_;
  std::unique_ptr<ReplicaDirectory> directory_;
  std::unique_ptr<ClaimOwner> claim_owner_;
  std::unique_ptr<Claimant> claimant_;
  std::unique_ptr<GrantManager> grants_;
  std::unique_ptr<Placer> placer_;
  std::unique_ptr<RowTakeover> row_takeover_;
  std::unique_ptr<PermitHolder> permits_;
  std::unique_ptr<RequestRouter> router_;
  LeaveGossip leave_gossip_;
  absl::btree_map<WorkerId, KeeperEntry> keepers_;
  absl::btree_map<WorkerId, WorkerMachine> workers_;
  // Incarnation reported for a worker when it stopped being live; 0 if none was reported.
  absl::flat_hash_map<WorkerId, WorkerIncarnation> left_incarnations_;
  // Time at which this node read from the platform that a worker's leave was withdrawn.
  absl::flat_hash_map<WorkerId, absl::Time> withdrawn_leaves_;
  absl::btree_map<NodeId, NodeMachine> machines_;
  // Live nodes of other zones, derived from `machines_`.
  std::vector<NodeId> other_zone_nodes_;
  ZoneNodes other_zones_;
  absl::flat_hash_map<std::uint64_t, PendingEngineCall> engine_calls_;
  std::vector<ModelName> changed_models_;
  std::uint64_t next_keeper_instance_ = 1;
  std::uint64_t next_engine_call_ = 1;
  std::uint64_t next_call_ = 1;
  // Id of the latest machine list call that was answered.
  std::uint64_t machines_answered_ = 0;
  std::uint64_t duties_version_ = 0;
  bool workers_changed_ = false;
  // Holders of the zone-wide duties in the current membership view.
  NodeId platform_reader_;
  NodeId permit_holder_;
  absl::Time next_heartbeat_ = absl::InfinitePast();
  absl::Time next_claim_check_ = absl::InfinitePast();
  absl::Time next_grant_check_ = absl::InfinitePast();
  absl::Time started_ = absl::InfinitePast();
  absl::Time last_machine_read_ = absl::InfinitePast();
  bool stopping_ = false;
  absl::Time left_at_ = absl::InfiniteFuture();
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_NODE_CORE_H_
