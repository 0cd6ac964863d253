// Functions that read, extend and truncate the record of a key range. No state.
#ifndef HINGESPAN_SRC_CLAIM_CLAIM_SEGMENTS_H_
#define HINGESPAN_SRC_CLAIM_CLAIM_SEGMENTS_H_

#include <cstdint>
#include <optional>

#include "hingespan/table/records.h"

namespace hingespan {

// Returns the segment that contains key time `time_ms`; null if that time has no owner.
const ClaimSegment* SegmentAt(const ClaimRangeRecord& record, std::uint64_t time_ms);
// Returns the exclusive end of `segment`, which must be an element of `record.segments`.
std::uint64_t SegmentEnd(const ClaimRangeRecord& record, const ClaimSegment& segment);
bool SameOwner(const ClaimSegment& left, const ClaimSegment& right);

// Bounds of an extension, as key time in milliseconds since 1970.
struct Extension {
  // Start of the first segment of a range that has no record.
  std::uint64_t first_from_ms = 0;
  std::uint64_t until_ms = 0;
  // Segments that ended before this time are dropped, and key time before it gets no owner.
  std::uint64_t forget_before_ms = 0;
};

// Returns the record in which `owner` (whose `from_ms` is ignored) owns all key time up to
// `until_ms` that never had an owner. Existing segments keep their bounds. `record` may be null.
// Spec action: GiveInterval.
ClaimRangeRecord ExtendRecord(const ClaimRangeRecord* record, KeyRangeId range, ClaimSegment owner,
                              const Extension& extension);

// Returns the record without the part of its end that `owner` holds from `from_ms` on; nullopt if
// it holds none.
// Spec action: GiveBack.
std::optional<ClaimRangeRecord> TruncateRecord(const ClaimRangeRecord& record,
                                               const ClaimSegment& owner, std::uint64_t from_ms);

}  // namespace hingespan

#endif  // HINGESPAN_SRC_CLAIM_CLAIM_SEGMENTS_H_
