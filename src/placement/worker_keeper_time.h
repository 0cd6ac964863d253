// Conversion of times for a keeper's messages.
#ifndef HINGESPAN_SRC_PLACEMENT_WORKER_KEEPER_TIME_H_
#define HINGESPAN_SRC_PLACEMENT_WORKER_KEEPER_TIME_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"

namespace hingespan {

// Returns the milliseconds from `now` until `until`, or 0 if that time has passed.
inline std::uint32_t MillisecondsLeft(absl::Time until, absl::Time now) {
  const std::int64_t left = absl::ToInt64Milliseconds(until - now);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(left, 0, UINT32_MAX));
}

}  // namespace hingespan

#endif  // HINGESPAN_SRC_PLACEMENT_WORKER_KEEPER_TIME_H_
