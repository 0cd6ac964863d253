// Token bucket that limits calls per second; the caller supplies the current time.
#ifndef HINGESPAN_EMULATOR_RATE_LIMITER_H_
#define HINGESPAN_EMULATOR_RATE_LIMITER_H_

#include "absl/time/time.h"

namespace hingespan::emulator {

// Not thread-safe.
class RateLimiter {
 public:
  // Allows `calls_per_second` on average and bursts of `burst`. A rate of 0 allows everything.
  RateLimiter(double calls_per_second, double burst);

  // Returns true and uses up one call if a call is allowed now.
  bool TryAcquire(absl::Time now);
  // Returns the time until the next call is allowed; zero if one is allowed now.
  absl::Duration TimeUntilAllowed(absl::Time now);

 private:
  void Refill(absl::Time now);

  double calls_per_second_;
  double burst_;
  double available_;
  absl::Time refilled_ = absl::InfinitePast();
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_RATE_LIMITER_H_
