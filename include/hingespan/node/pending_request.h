// Passes the router's decisions about one request to the thread that serves its caller.
#ifndef HINGESPAN_NODE_PENDING_REQUEST_H_
#define HINGESPAN_NODE_PENDING_REQUEST_H_

#include <deque>
#include <functional>
#include <optional>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/routing/request_router.h"

namespace hingespan {

// Thread-safe.
class PendingRequest {
 public:
  void Deliver(RouteDecision decision) ABSL_LOCKS_EXCLUDED(mutex_);
  // Returns the next decision, or nullopt if none arrives by `until` (a time of Clock::Now) or
  // `gave_up`, which is polled, returns true.
  std::optional<RouteDecision> Wait(absl::Time until, const std::function<bool()>& gave_up)
      ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  bool HasDecision() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return !decisions_.empty(); }

  absl::Mutex mutex_;
  std::deque<RouteDecision> decisions_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_PENDING_REQUEST_H_
