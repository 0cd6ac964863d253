// The placer's part in grants: keeps the number of each model's slots in this zone at the zone's
// share of the row's limit, on live workers. Writes to the platform only to move slots, apply
// limits and replace dead workers.
#ifndef HINGESPAN_GRANT_GRANT_MANAGER_H_
#define HINGESPAN_GRANT_GRANT_MANAGER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/grant/grant_plan.h"
#include "hingespan/grant/slot_index.h"
#include "hingespan/table/record_store.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

struct GrantOptions {
  // Maximum number of transactions in flight, and minimum time between two, at one node.
  int maximum_outstanding = 4;
  absl::Duration minimum_interval = absl::Milliseconds(5);
  // Backoff after a conflict or an error; doubles up to ten times this value.
  absl::Duration retry_after = absl::Milliseconds(200);
  // A revocation that the keeper has not confirmed is sent again after this time.
  absl::Duration revoke_interval = absl::Milliseconds(500);
  // For tests only: ignores the row's limit.
  bool disable_limit_for_test = false;
};

// Not thread-safe. Spec actions: Grant, BeginRevoke, FinishRevoke, Regrant.
class GrantManager {
 public:
  GrantManager(NodeId self, ZoneId zone, std::vector<ZoneId> zones, GrantOptions options,
               const RecordStore* store);

  // Marks a model for planning, and this node's adapters of it. To be called when the model's row
  // or grant record changed, or when this node became its placer.
  void MarkDirty(const ModelName& model);
  // Forgets the rows that other nodes place after a change of the members. Rows that this node now
  // places must be marked by the caller.
  void ForgetRowsOfOthers(const std::function<bool(const ModelName&)>& is_mine);
  // Plans for dirty models for which `is_mine` returns true, a bounded number per call, and writes
  // within the rate limit. A changed target marks the rows with a slot on it; a target with room
  // marks the rows that are short of slots. `keeper_of` returns the node to which revocations are
  // sent.
  void Tick(const std::vector<GrantTarget>& targets,
            const std::function<bool(const ModelName&)>& is_mine,
            const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
            Outbox* outbox);
  void HandleAnswer(const PlatformAnswer& answer, absl::Time now);
  void HandleRevokeReply(const RevokeReply& reply, absl::Time now);
  // Number of plans made since the start, a measure of the cost of a change.
  std::uint64_t plans() const { return plans_; }
  bool idle() const { return dirty_.empty(); }

 private:
  // The next record to write for a model, if any.
  struct Plan {
    std::optional<GrantRecord> record;
    bool short_of_slots = false;
  };
  struct Retry {
    absl::Time not_before;
    int failures = 0;
  };
  struct Outstanding {
    ModelName model;
    absl::Time sent_at;
  };
  // A committed write that the store has not received back yet.
  struct PendingCommit {
    TableRevision revision;
    absl::Time until;
  };

  // Plans for a dirty model. Returns whether nothing is left to do for it.
  bool PlanAndWrite(const ModelName& model, const std::vector<GrantTarget>& targets, absl::Time now,
                    Outbox* outbox);
  Plan PlanFor(const ModelName& model, const std::vector<GrantTarget>& targets) const;
  void UpdateIndex(const ModelName& model, bool short_of_slots);
  std::optional<absl::flat_hash_set<WorkerId>> BaseWorkers(const ModelRow& row) const;
  void RequestRevocations(const ModelName& model, const std::vector<GrantTarget>& targets,
                          const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                          Outbox* outbox);
  bool HasRevokingSlots(const ModelName& model) const;
  bool MayWrite(const ModelName& model, absl::Time now);
  // Spec action: WriteKeys (table).
  void Write(const GrantRecord& record, absl::Time now, Outbox* outbox);
  void ScheduleRetry(const ModelName& model, absl::Time now);
  void ExpireOutstanding(absl::Time now);
  void UpdateTargets(const std::vector<GrantTarget>& targets);
  bool IsWriteLimitReached(absl::Time now) const;
  void ForgetConfirmations(const ModelName& model);

  NodeId self_;
  ZoneId zone_;
  std::vector<ZoneId> zones_;
  GrantOptions options_;
  const RecordStore* store_;
  absl::btree_set<ModelName> dirty_;
  // Position in `dirty_` at which the next Tick continues.
  ModelName cursor_;
  SlotIndex index_;
  std::uint64_t plans_ = 0;
  std::vector<GrantTarget> known_targets_;
  absl::flat_hash_map<ModelName, Retry> retries_;
  absl::flat_hash_map<ModelName, PendingCommit> pending_commits_;
  // Revocations confirmed by keepers, by model. Slots of these generations may be removed.
  absl::flat_hash_map<ModelName, absl::flat_hash_set<GrantGeneration>> confirmed_;
  absl::flat_hash_map<ModelName, absl::Time> next_revoke_;
  absl::flat_hash_map<std::uint64_t, Outstanding> outstanding_;
  absl::flat_hash_set<ModelName> outstanding_models_;
  absl::Time next_write_ = absl::InfinitePast();
  std::uint64_t next_call_ = 1;
};

}  // namespace hingespan

#endif  // HINGESPAN_GRANT_GRANT_MANAGER_H_
