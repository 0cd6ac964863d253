// Retry-after values of refusals.
#ifndef HINGESPAN_SRC_ROUTING_RETRY_HINTS_H_
#define HINGESPAN_SRC_ROUTING_RETRY_HINTS_H_

#include "absl/time/time.h"

namespace hingespan {

// Delay before a retry if nothing better is known.
inline constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);
// Delay after a refusal because the row allows no replica. An edit of the row reaches all nodes
// within this time.
inline constexpr absl::Duration kEditRetryAfter = absl::Seconds(10);
// The same request must not be retried.
inline constexpr absl::Duration kNoRetry = absl::ZeroDuration();

}  // namespace hingespan

#endif  // HINGESPAN_SRC_ROUTING_RETRY_HINTS_H_
