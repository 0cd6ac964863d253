#include "emulator/rate_limiter.h"

#include <algorithm>

namespace hingespan::emulator {

RateLimiter::RateLimiter(double calls_per_second, double burst)
    : calls_per_second_(calls_per_second), burst_(std::max(1.0, burst)), available_(burst_) {}

bool RateLimiter::TryAcquire(absl::Time now) {
  if (calls_per_second_ <= 0) {
    return true;
  }
  Refill(now);
  if (available_ < 1.0) {
    return false;
  }
  available_ -= 1.0;
  return true;
}

absl::Duration RateLimiter::TimeUntilAllowed(absl::Time now) {
  if (calls_per_second_ <= 0) {
    return absl::ZeroDuration();
  }
  Refill(now);
  if (available_ >= 1.0) {
    return absl::ZeroDuration();
  }
  return absl::Seconds((1.0 - available_) / calls_per_second_);
}

void RateLimiter::Refill(absl::Time now) {
  if (refilled_ != absl::InfinitePast() && now > refilled_) {
    double earned = absl::ToDoubleSeconds(now - refilled_) * calls_per_second_;
    available_ = std::min(burst_, available_ + earned);
  }
  refilled_ = std::max(refilled_, now);
}

}  // namespace hingespan::emulator
