// Placer of the models that this node places in one zone. Combines the wake requests of many
// routers into one load.
#ifndef HINGESPAN_PLACEMENT_PLACER_H_
#define HINGESPAN_PLACEMENT_PLACER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/placement/load_estimator.h"
#include "hingespan/placement/replica_count_policy.h"
#include "hingespan/routing/replica_directory.h"
#include "hingespan/table/record_store.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

struct PlacerOptions {
  // A load request that its keeper has not answered is repeated after this time.
  absl::Duration load_retry = absl::Milliseconds(300);
  // Policy that decides when to load more replicas than are ready or loading.
  ReplicaCountOptions replica_count;
  // Expected load time until a keeper has reported one for the model.
  LoadEstimatorOptions load_times;
  // Interval at which an accepted load is confirmed with its keeper, so that a new keeper learns of
  // it.
  absl::Duration load_confirm = absl::Seconds(1);
  // A keeper that does not answer within this time is skipped.
  absl::Duration load_give_up = absl::Seconds(3);
  // A keeper that refused is not asked again within this time.
  absl::Duration refusal_memory = absl::Seconds(1);
  // Requests wait this long for a grant that may still be written.
  absl::Duration grant_grace = absl::Seconds(2);
  // A router that has not repeated its wake request within this time is no longer considered
  // waiting.
  absl::Duration waiter_timeout = absl::Seconds(2);
  // For tests only: loads on every granted worker at every wake request.
  bool disable_coalescing_for_test = false;
};

// Not thread-safe. Spec actions: Wake, RequestLoad.
class Placer {
 public:
  Placer(NodeId self, ZoneId zone, PlacerOptions options, const RecordStore* store,
         const ReplicaDirectory* directory);

  // Handles and answers a wake request of `from`, which is a node of the zone and may be this one.
  // `keeper_of` returns the keeper of a worker. `placer_of` is unused: an adapter's keeper loads
  // the base on the adapter's own worker.
  void HandleWake(const NodeId& from, const WakeRequest& request,
                  const std::function<NodeId(const WorkerId&)>& keeper_of,
                  const std::function<NodeId(const ModelName&)>& placer_of, absl::Time now,
                  Outbox* outbox);
  void HandleLoadReply(const NodeId& from, const LoadReply& reply, absl::Time now, Outbox* outbox);
  // Must be called when the model's row may have changed.
  void OnRowChanged(const ModelName& model);
  // Repeats unanswered load requests, and keeps min_replicas loaded for models for which `is_mine`
  // returns true.
  void Tick(const std::function<bool(const ModelName&)>& is_mine,
            const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
            Outbox* outbox);

 private:
  enum class AttemptStage { kUnanswered, kAccepted, kRefused };
  // A load requested from one worker's keeper.
  struct Attempt {
    WorkerId worker;
    WorkerIncarnation incarnation;
    GrantGeneration generation;
    AttemptStage stage = AttemptStage::kUnanswered;
    LoadOutcome outcome = LoadOutcome::kAccepted;
    absl::Time received_at;
    absl::Time next_send;
    absl::Time expected_ready = absl::InfiniteFuture();
    // Set for kRefused only: the time from which the keeper may be asked again.
    absl::Time refused_until = absl::InfinitePast();
  };
  struct Waiter {
    std::uint32_t waiting = 0;
    absl::Time deadline;
    absl::Time latest_deadline;
    // See WakeRequest::service_ms.
    absl::Duration service;
    absl::Time received_at;
  };
  // State of a model that requests wait for.
  struct ColdModel {
    explicit ColdModel(absl::Time now) : first_request_at(now) {}
    // Time at which the first of these requests was received.
    absl::Time first_request_at;
    std::vector<Attempt> attempts;
    // Load time of this model as estimated by the keeper that most recently accepted one.
    std::optional<absl::Duration> reported_load_time;
    // Routers that wait and must be notified of a refusal.
    absl::btree_map<NodeId, Waiter> waiters;
    // Time at which each ready replica was first seen; InfinitePast for replicas that were ready
    // before `first_request_at`.
    absl::btree_map<WorkerId, absl::Time> ready_since;
    absl::Time last_wake;
    // Time since which no worker can be asked.
    absl::Time no_worker_since = absl::InfiniteFuture();
  };
  // A granted slot whose worker may receive work.
  struct Candidate {
    GrantSlot slot;
    // 0: the adapter's base is not on the worker; 1: the base is loading; 2: the base is ready.
    int base_rank = 0;
    std::uint32_t free_mib = 0;
  };

  // Spec action: RequestLoad.
  void StartLoads(const ModelRow& row, ColdModel* cold,
                  const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                  Outbox* outbox);
  void UpdateReadyReplicas(const ModelName& model, absl::Time now, ColdModel* cold) const;
  ReplicaDemand DemandFor(const ModelRow& row, const ColdModel& cold, absl::Time now) const;
  absl::btree_map<WorkerId, ReplicaSupply> Supplies(const ModelName& model, const ColdModel& cold,
                                                    absl::Duration load, absl::Time now) const;
  std::vector<Candidate> Candidates(const ModelRow& row, const ColdModel& cold,
                                    absl::Time now) const;
  Candidate Describe(const ModelRow& row, const GrantSlot& slot) const;
  static bool HasAttempt(const ColdModel& cold, const GrantSlot& slot);
  static bool AnyRefusedForMemory(const ColdModel& cold);
  static std::uint32_t TotalWaiting(const ColdModel& cold);
  void ApplyReply(const LoadReply& reply, absl::Time now, Attempt* attempt) const;
  void SendLoad(const ModelName& model, const ColdModel& cold, Attempt* attempt,
                const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                Outbox* outbox) const;
  void RepeatLoads(const ModelName& model, ColdModel* cold,
                   const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                   Outbox* outbox) const;
  void DropEndedAttempts(const ModelName& model, ColdModel* cold, absl::Time now) const;
  void DropExpiredWaiters(const ModelName& model, ColdModel* cold, absl::Time now) const;
  // Returns the answer for a model's waiters as of now.
  WakeReply CurrentReply(const ModelRow& row, const ColdModel& cold, absl::Time now) const;
  WakeReply ReplyWithoutWorker(const ModelRow& row, const ColdModel& cold, absl::Time now) const;
  void RefuseIfUnservable(const ModelRow& row, ColdModel* cold, absl::Time now,
                          Outbox* outbox) const;
  static void NotifyWaiters(const WakeReply& reply, ColdModel* cold, Outbox* outbox);
  void KeepMinimum(const std::function<bool(const ModelName&)>& is_mine,
                   const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                   Outbox* outbox);
  bool IsUsable(const GrantSlot& slot, absl::Time now) const;
  bool IsLoadedAt(const ModelName& model, const WorkerId& worker) const;

  NodeId self_;
  ZoneId zone_;
  PlacerOptions options_;
  ReplicaCountPolicy count_policy_;
  LoadEstimator load_times_;
  const RecordStore* store_;
  const ReplicaDirectory* directory_;
  absl::flat_hash_map<ModelName, ColdModel> cold_models_;
  absl::Time next_minimum_check_ = absl::InfinitePast();
  // Models whose rows set min_replicas.
  absl::btree_set<ModelName> minimum_models_;
};

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_PLACER_H_
