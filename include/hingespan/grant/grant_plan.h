// Pure rules that compute what a zone's placer writes next to a model's grant record.
#ifndef HINGESPAN_GRANT_GRANT_PLAN_H_
#define HINGESPAN_GRANT_GRANT_PLAN_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "hingespan/common/ids.h"
#include "hingespan/table/records.h"

namespace hingespan {

// A worker of this zone as the grant manager sees it.
struct GrantTarget {
  WorkerId worker;
  // 0 if not known yet; nothing is granted to the worker then.
  WorkerIncarnation incarnation;
  std::uint32_t memory_mib = 0;
  bool leaving = false;
  // True if the platform reports that the machine has ended, which frees its slots.
  bool gone = false;

  friend bool operator==(const GrantTarget&, const GrantTarget&) = default;
};

// All inputs of a plan. The pointers must outlive the call.
struct GrantPlanInput {
  // Null if the row was deleted.
  const ModelRow* row = nullptr;
  // The current record, or an empty one if the model has none.
  GrantRecord record;
  ZoneId zone;
  // Maximum number of slots of this zone, and of all zones together.
  std::uint32_t zone_limit = 0;
  std::uint32_t total_limit = 0;
  const std::vector<GrantTarget>* targets = nullptr;
  // Set for an adapter whose base row exists: only workers on which the base has a slot are
  // eligible.
  std::optional<absl::flat_hash_set<WorkerId>> base_workers;
  // Returns whether a worker's keeper confirmed the revocation.
  std::function<bool(const GrantSlot&)> is_confirmed;
};

// Returns the record to write next, equal to `input.record` if there is nothing to do. Changes only
// slots of `input.zone`.
// Spec actions: FinishRevoke, Regrant, BeginRevoke, Grant, in this order.
GrantRecord PlanGrants(const GrantPlanInput& input);

// Returns the preferred worker for one more slot: the one with the highest rendezvous score among
// workers that are known, are not leaving, have enough memory and hold no slot of the model.
std::optional<GrantTarget> ChooseTarget(const GrantPlanInput& input, const GrantRecord& record);

// Returns whether slots may be granted to the worker at all.
bool IsUsable(const GrantTarget& target);

// Returns whether the limits allow one more slot in this zone than `record` has.
bool IsShortOfSlots(const GrantPlanInput& input, const GrantRecord& record);

}  // namespace hingespan

#endif  // HINGESPAN_GRANT_GRANT_PLAN_H_
