#include "claim_segments.h"

#include <algorithm>
#include <utility>

namespace hingespan {

const ClaimSegment* SegmentAt(const ClaimRangeRecord& record, std::uint64_t time_ms) {
  if (time_ms >= record.until_ms) {
    return nullptr;
  }
  const ClaimSegment* found = nullptr;
  for (const ClaimSegment& segment : record.segments) {
    if (segment.from_ms <= time_ms) {
      found = &segment;
    }
  }
  return found;
}

std::uint64_t SegmentEnd(const ClaimRangeRecord& record, const ClaimSegment& segment) {
  const ClaimSegment* next = &segment + 1;
  return next == record.segments.data() + record.segments.size() ? record.until_ms : next->from_ms;
}

bool SameOwner(const ClaimSegment& left, const ClaimSegment& right) {
  return left.owner == right.owner && left.incarnation == right.incarnation;
}

ClaimRangeRecord ExtendRecord(const ClaimRangeRecord* record, KeyRangeId range, ClaimSegment owner,
                              const Extension& extension) {
  ClaimRangeRecord extended;
  extended.range = range;
  extended.until_ms = extension.until_ms;
  if (record == nullptr) {
    owner.from_ms = extension.first_from_ms;
    extended.segments = {std::move(owner)};
    return extended;
  }
  for (const ClaimSegment& segment : record->segments) {
    if (SegmentEnd(*record, segment) > extension.forget_before_ms) {
      extended.segments.push_back(segment);
    }
  }
  const bool continues = !extended.segments.empty() && SameOwner(extended.segments.back(), owner);
  if (!continues) {
    // The segment starts at the end of the assigned time, even if that is in the past. A gap would
    // otherwise seem to belong to the preceding segment.
    owner.from_ms = std::max(record->until_ms, extension.forget_before_ms);
    extended.segments.push_back(std::move(owner));
  }
  return extended;
}

std::optional<ClaimRangeRecord> TruncateRecord(const ClaimRangeRecord& record,
                                               const ClaimSegment& owner, std::uint64_t from_ms) {
  const bool owns_last_segment =
      !record.segments.empty() && SameOwner(record.segments.back(), owner);
  if (!owns_last_segment || record.until_ms <= from_ms) {
    return std::nullopt;
  }
  ClaimRangeRecord shortened = record;
  const std::uint64_t segment_from_ms = record.segments.back().from_ms;
  shortened.until_ms = std::max(from_ms, segment_from_ms);
  if (segment_from_ms >= from_ms) {
    shortened.segments.pop_back();
  }
  return shortened;
}

}  // namespace hingespan
