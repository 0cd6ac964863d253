// Stable codes, visible to callers, for requests that are not answered or not answered completely.
#ifndef HINGESPAN_COMMON_REFUSAL_H_
#define HINGESPAN_COMMON_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace hingespan {

enum class RefusalCode {
  kBadRequest,
  kUnknownModel,
  kUnauthorized,
  kBodyTooLarge,
  // The model's queue at this node has reached its limit.
  kQueueFull,
  // The expected wait exceeds the time left until the request's deadline.
  kWaitHopeless,
  // The request's time limit expired while it waited for a replica.
  kWaitExpired,
  // No replica can be loaded now: replica limit reached, or too little memory or too few workers.
  kNoCapacity,
  // None of the sites that the row allows is reachable.
  kSiteUnavailable,
  // This node has reached its limit of connections or requests.
  kOverloaded,
  // This node is stopping.
  kStopping,
  // Another attempt with this idempotency key was already admitted.
  kKeyAlreadyClaimed,
  // No node that may decide about this key is reachable.
  kKeyUndecided,
  // The key is too old, or issued in the future.
  kKeyOutOfTime,
  // The engine failed; the run state says if the attempt may have run.
  kEngineFailed,
  // The request's time limit expired while the engine processed it.
  kDeadlineExceeded,
  // The caller disconnected.
  kCancelled,
};

// Tells if an attempt may have run. kNotRun is used only when that is certain.
enum class RunState { kNotRun, kMayHaveRun };

struct Refusal {
  RefusalCode code = RefusalCode::kOverloaded;
  RunState attempt = RunState::kNotRun;
  // For requests with a key: run state over all attempts with that key.
  RunState key = RunState::kNotRun;
  // Delay before a retry; zero if retrying the same request is useless.
  absl::Duration retry_after;
  std::string detail;
};

// Returns the stable name of a code, e.g. "queue_full".
std::string_view RefusalCodeName(RefusalCode code);
std::optional<RefusalCode> ParseRefusalCode(std::string_view name);
// Returns the HTTP status for a code.
int RefusalHttpStatus(RefusalCode code);
// Returns true if a retry of the same request may succeed.
bool RetryMayHelp(RefusalCode code);
// Returns "not_run" or "may_have_run".
std::string_view RunStateName(RunState state);

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_REFUSAL_H_
