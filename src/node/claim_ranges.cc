#include "hingespan/node/claim_ranges.h"

#include <string>

#include "hingespan/membership/duties.h"

namespace hingespan {
namespace {

// A range of another zone is taken over when less than the time ahead divided by this remains.
constexpr int kTakeOverDivisor = 4;
// Time that a node must have run before it takes over ranges of other zones.
constexpr absl::Duration kTakeOverAfter = absl::Seconds(10);

bool HoldsRangeDuty(const ClaimRangeDuties& duties, KeyRangeId range) {
  return DutyHolder(Duty::kKeyRange, std::to_string(range.value()), *duties.members) == duties.self;
}

bool IsAbandoned(const ClaimRangeDuties& duties, KeyRangeId range, absl::Time wall_time) {
  const ClaimRangeRecord* record = duties.store->FindClaimRange(range);
  const absl::Time needed = wall_time + duties.options->ahead / kTakeOverDivisor;
  return record == nullptr ||
         record->until_ms < static_cast<std::uint64_t>(absl::ToUnixMillis(needed));
}

}  // namespace

ZoneId HomeZone(KeyRangeId range, const std::vector<ZoneId>& zones) {
  return zones[range.value() % zones.size()];
}

std::vector<KeyRangeId> RangesToExtend(const ClaimRangeDuties& duties, absl::Time wall_time) {
  std::vector<KeyRangeId> ranges;
  for (std::uint32_t number = 0; number < duties.options->range_count; ++number) {
    const KeyRangeId range(number);
    const bool at_home = HomeZone(range, *duties.zones) == duties.zone;
    const bool may_take_over = duties.running_for >= kTakeOverAfter;
    const bool wanted = at_home || (may_take_over && IsAbandoned(duties, range, wall_time));
    if (wanted && HoldsRangeDuty(duties, range)) {
      ranges.push_back(range);
    }
  }
  return ranges;
}

}  // namespace hingespan
