#include "hingespan/grant/grant_plan.h"

#include <algorithm>

#include "hingespan/common/rendezvous_hash.h"

namespace hingespan {
namespace {

const GrantTarget* FindTarget(const GrantPlanInput& input, const WorkerId& worker) {
  for (const GrantTarget& target : *input.targets) {
    if (target.worker == worker) {
      return &target;
    }
  }
  return nullptr;
}

GrantGeneration TakeGeneration(GrantRecord* record) {
  const GrantGeneration generation = record->next_generation;
  record->next_generation = generation.Next();
  return generation;
}

// Returns whether the row, its base and the worker's state allow new work on the worker.
bool IsSuitable(const GrantPlanInput& input, const GrantTarget& target) {
  if (input.row == nullptr || target.leaving || target.gone) {
    return false;
  }
  const bool memory_known = target.memory_mib > 0;
  if (memory_known && target.memory_mib < input.row->memory_mib) {
    return false;
  }
  return !input.base_workers || input.base_workers->contains(target.worker);
}

bool IsIncarnationEnded(const GrantSlot& slot, const GrantTarget& target) {
  return target.gone || target.incarnation > slot.incarnation;
}

std::uint32_t CountSlotsInZone(const GrantPlanInput& input, const GrantRecord& record) {
  const auto in_zone = [&](const GrantSlot& slot) { return slot.zone == input.zone; };
  return static_cast<std::uint32_t>(
      std::count_if(record.slots.begin(), record.slots.end(), in_zone));
}

// A slot is free if its revocation is confirmed or its incarnation has ended. A worker that is
// unknown or unreachable keeps its slots.
// Spec action: FinishRevoke.
bool IsFree(const GrantPlanInput& input, const GrantSlot& slot) {
  if (slot.zone != input.zone) {
    return false;
  }
  if (slot.state == SlotState::kRevoking && input.is_confirmed(slot)) {
    return true;
  }
  const GrantTarget* target = FindTarget(input, slot.worker);
  return target != nullptr && IsIncarnationEnded(slot, *target);
}

// Grants a free slot of a restarted worker directly to the new incarnation.
// Spec action: Regrant.
bool RegrantSlot(const GrantPlanInput& input, GrantRecord* record, GrantSlot* slot) {
  const GrantTarget* target = FindTarget(input, slot->worker);
  const bool was_granted = slot->state == SlotState::kGranted;
  if (!was_granted || target == nullptr || !IsSuitable(input, *target)) {
    return false;
  }
  const bool within_limits = record->slots.size() <= input.total_limit &&
                             CountSlotsInZone(input, *record) <= input.zone_limit;
  if (!within_limits) {
    return false;
  }
  slot->incarnation = target->incarnation;
  slot->generation = TakeGeneration(record);
  return true;
}

// Spec action: FinishRevoke.
void FreeSlots(const GrantPlanInput& input, GrantRecord* record) {
  for (std::size_t index = 0; index < record->slots.size();) {
    GrantSlot& slot = record->slots[index];
    const bool remove = IsFree(input, slot) && !RegrantSlot(input, record, &slot);
    if (remove) {
      record->slots.erase(record->slots.begin() + static_cast<std::ptrdiff_t>(index));
    } else {
      ++index;
    }
  }
}

// Spec action: BeginRevoke. The larger generation makes every earlier load order void.
void BeginRevoke(GrantRecord* record, GrantSlot* slot) {
  slot->state = SlotState::kRevoking;
  slot->generation = TakeGeneration(record);
}

bool MustRevoke(const GrantPlanInput& input, const GrantSlot& slot) {
  const GrantTarget* target = FindTarget(input, slot.worker);
  const bool row_deleted = input.row == nullptr;
  return row_deleted || (target != nullptr && !IsSuitable(input, *target));
}

// Spec action: BeginRevoke, of all slots that must be assigned up.
void BeginRevokes(const GrantPlanInput& input, GrantRecord* record) {
  std::vector<GrantSlot*> kept;
  for (GrantSlot& slot : record->slots) {
    if (slot.zone != input.zone || slot.state != SlotState::kGranted) {
      continue;
    }
    if (MustRevoke(input, slot)) {
      BeginRevoke(record, &slot);
    } else {
      kept.push_back(&slot);
    }
  }
  // The newest slots are revoked first, as min_replicas pins the oldest.
  std::sort(kept.begin(), kept.end(), [](const GrantSlot* left, const GrantSlot* right) {
    return left->generation < right->generation;
  });
  for (std::size_t index = input.zone_limit; index < kept.size(); ++index) {
    BeginRevoke(record, kept[index]);
  }
}

// Spec action: Grant. Slots that are being revoked count until they are removed.
void AddSlots(const GrantPlanInput& input, GrantRecord* record) {
  if (input.row == nullptr) {
    return;
  }
  while (IsShortOfSlots(input, *record)) {
    const std::optional<GrantTarget> target = ChooseTarget(input, *record);
    if (!target) {
      return;
    }
    GrantSlot slot;
    slot.worker = target->worker;
    slot.incarnation = target->incarnation;
    slot.zone = input.zone;
    slot.generation = TakeGeneration(record);
    record->slots.push_back(std::move(slot));
  }
}

}  // namespace

std::optional<GrantTarget> ChooseTarget(const GrantPlanInput& input, const GrantRecord& record) {
  const GrantTarget* best = nullptr;
  const RendezvousKey key(record.model.value());
  for (const GrantTarget& target : *input.targets) {
    if (!IsUsable(target) || !IsSuitable(input, target)) {
      continue;
    }
    const auto on_target = [&](const GrantSlot& slot) { return slot.worker == target.worker; };
    if (std::any_of(record.slots.begin(), record.slots.end(), on_target)) {
      continue;
    }
    if (best == nullptr || key.Prefers(target.worker.value(), best->worker.value())) {
      best = &target;
    }
  }
  return best == nullptr ? std::nullopt : std::optional<GrantTarget>(*best);
}

bool IsUsable(const GrantTarget& target) {
  const bool known = target.incarnation != WorkerIncarnation() && target.memory_mib > 0;
  return known && !target.leaving && !target.gone;
}

bool IsShortOfSlots(const GrantPlanInput& input, const GrantRecord& record) {
  return record.slots.size() < input.total_limit &&
         CountSlotsInZone(input, record) < input.zone_limit;
}

GrantRecord PlanGrants(const GrantPlanInput& input) {
  GrantRecord record = input.record;
  FreeSlots(input, &record);
  BeginRevokes(input, &record);
  AddSlots(input, &record);
  return record;
}

}  // namespace hingespan
