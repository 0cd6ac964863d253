#include "hingespan/grant/pinned_slots.h"

#include <algorithm>
#include <map>

#include "hingespan/grant/quota.h"

namespace hingespan {

std::vector<GrantSlot> PinnedSlots(const ModelRow& row, const GrantRecord& record) {
  std::vector<GrantSlot> granted;
  if (row.min_replicas == 0) {
    return granted;
  }
  std::vector<ZoneId> zones;
  for (const GrantSlot& slot : record.slots) {
    if (slot.state == SlotState::kGranted) {
      granted.push_back(slot);
      zones.push_back(slot.zone);
    }
  }
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  std::sort(granted.begin(), granted.end(), [](const GrantSlot& left, const GrantSlot& right) {
    return left.generation < right.generation;
  });

  std::map<ZoneId, std::uint32_t> left = DivideByWeight(row, row.min_replicas, zones);
  std::vector<GrantSlot> pinned;
  for (const GrantSlot& slot : granted) {
    std::uint32_t& zone_left = left[slot.zone];
    if (zone_left > 0) {
      --zone_left;
      pinned.push_back(slot);
    }
  }
  return pinned;
}

}  // namespace hingespan
