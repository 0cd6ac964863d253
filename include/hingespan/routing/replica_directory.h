// Directory of the workers and replicas of this node's zone, built from the keepers' messages.
#ifndef HINGESPAN_ROUTING_REPLICA_DIRECTORY_H_
#define HINGESPAN_ROUTING_REPLICA_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

struct KnownReplica {
  GrantGeneration generation;
  ReplicaState state = ReplicaState::kLoading;
  absl::Time expected_ready;
};

struct KnownWorker {
  WorkerReport report;
  // Version of `replicas`; differs from report.version while updates are missing.
  ReplicaListVersion version;
  // True if `replicas` equals the keeper's list at `version`.
  bool complete = false;
  NodeId keeper;
  // Time at which the keeper last reported the worker or confirmed its report.
  absl::Time heard_at;
  // Time at which `report` was received.
  absl::Time reported_at;
  absl::btree_map<ModelName, KnownReplica> replicas;
};

struct DirectoryOptions {
  // A worker that was neither reported nor confirmed for this long gets no new requests.
  absl::Duration report_timeout = absl::Seconds(10);
  absl::Duration list_request_interval = absl::Milliseconds(200);
  // A worker that was neither reported nor confirmed for this long is removed.
  absl::Duration forget_after = absl::Minutes(10);
  // For tests only: leaving workers are treated like all others.
  bool disable_leaving_for_test = false;
};

// Not thread-safe. Messages with a lower (incarnation, epoch) than the stored one are ignored.
// Within one epoch, so are reports with a lower sequence, and updates and lists with a lower
// version.
class ReplicaDirectory {
 public:
  explicit ReplicaDirectory(DirectoryOptions options);

  // Each overload returns the models whose replicas changed.
  // Spec action: HandleReport.
  std::vector<ModelName> Handle(const NodeId& from, const WorkerReport& report, absl::Time now,
                                Outbox* outbox);
  // Requests the report from the keeper if the stored one is older.
  // Spec action: HandleHeartbeat.
  std::vector<ModelName> Handle(const NodeId& from, const WorkerHeartbeat& heartbeat,
                                absl::Time now, Outbox* outbox);
  std::vector<ModelName> Handle(const NodeId& from, const ReplicaUpdate& update, absl::Time now,
                                Outbox* outbox);
  std::vector<ModelName> Handle(const NodeId& from, const ReplicaList& list, absl::Time now);
  // Requests the list of the worker's replicas from its keeper, at most once per
  // list_request_interval. Used when something else shows that an update was lost.
  void RequestList(const WorkerId& worker, absl::Time now, Outbox* outbox);
  // Records whether the platform's machine list shows the worker as leaving or gone. This is a hint
  // for routing.
  void MarkLeaving(const WorkerId& worker, bool leaving);

  // Workers that hold the model in state kReady and may receive new requests now.
  std::vector<WorkerId> ReadyWorkers(const ModelName& model, absl::Time now) const;
  // Workers that are loading the model and may receive new requests now.
  std::vector<WorkerId> LoadingWorkers(const ModelName& model, absl::Time now) const;
  const KnownWorker* Find(const WorkerId& worker) const;
  const absl::btree_map<WorkerId, KnownWorker>& workers() const { return workers_; }
  // Returns whether the worker may receive new requests now.
  // Spec action: HandleReport.
  bool MayReceiveWork(const KnownWorker& worker, absl::Time now) const;
  // Removes a replica after the engine answered that it does not hold the model. The list is
  // requested again with the next report or heartbeat.
  void MarkNotLoaded(const WorkerId& worker, const ModelName& model);

 private:
  // Parts of a list at one version that were received so far, by part number.
  struct PartialList {
    WorkerIncarnation incarnation;
    KeeperEpoch epoch;
    ReplicaListVersion version;
    std::uint32_t parts = 0;
    absl::btree_map<std::uint32_t, std::vector<ReplicaEntry>> entries;
  };

  // Returns the worker, advanced to (incarnation, epoch) if that is newer; null if it is older.
  // Adds the models of removed replicas to `changed`.
  KnownWorker* Accept(const NodeId& from, const WorkerId& worker, WorkerIncarnation incarnation,
                      KeeperEpoch epoch, std::vector<ModelName>* changed);
  // Records that the stored report is the newest one and that the replica list is at `version`.
  // Returns the models whose replicas became usable or unusable.
  std::vector<ModelName> Confirm(ReplicaListVersion version, absl::Time now, KnownWorker* worker,
                                 Outbox* outbox);
  void RequestListIfNeeded(const KnownWorker& worker, absl::Time now, Outbox* outbox);
  bool AddPart(const ReplicaList& list);
  std::vector<ModelName> ReplaceReplicas(KnownWorker* worker, absl::Time now);
  void SetReplica(KnownWorker* worker, const ModelName& model, const KnownReplica& replica);
  void EraseReplica(KnownWorker* worker, const ModelName& model);
  void EraseAllReplicas(KnownWorker* worker, std::vector<ModelName>* changed);
  void ForgetSilentWorkers(absl::Time now);
  std::vector<WorkerId> WorkersInState(const ModelName& model, ReplicaState state,
                                       absl::Time now) const;

  DirectoryOptions options_;
  absl::btree_map<WorkerId, KnownWorker> workers_;
  // Workers that hold a replica in any state, sorted so that results have a fixed order.
  absl::flat_hash_map<ModelName, absl::btree_set<WorkerId>> holders_;
  // Workers that the machine list shows as leaving, including workers that are not (or no longer)
  // reported.
  absl::flat_hash_set<WorkerId> leaving_;
  absl::flat_hash_map<WorkerId, absl::Time> next_list_request_;
  absl::flat_hash_map<WorkerId, PartialList> partial_lists_;
};

}  // namespace hingespan

#endif  // HINGESPAN_ROUTING_REPLICA_DIRECTORY_H_
