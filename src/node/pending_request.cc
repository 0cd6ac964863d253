#include "hingespan/node/pending_request.h"

#include <algorithm>
#include <utility>

#include "hingespan/common/clock.h"

namespace hingespan {
namespace {

constexpr absl::Duration kAskInterval = absl::Milliseconds(200);

}  // namespace

void PendingRequest::Deliver(RouteDecision decision) {
  absl::MutexLock lock(&mutex_);
  decisions_.push_back(std::move(decision));
}

std::optional<RouteDecision> PendingRequest::Wait(absl::Time until,
                                                  const std::function<bool()>& gave_up) {
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      const absl::Duration left = until - SystemClock().Now();
      mutex_.AwaitWithTimeout(absl::Condition(this, &PendingRequest::HasDecision),
                              std::min(left, kAskInterval));
      if (!decisions_.empty()) {
        RouteDecision decision = std::move(decisions_.front());
        decisions_.pop_front();
        return decision;
      }
    }
    if (SystemClock().Now() >= until || gave_up()) {
      return std::nullopt;
    }
  }
}

}  // namespace hingespan
