// Clock that runs faster than the real one by a fixed factor.
#ifndef HINGESPAN_EMULATOR_EMULATED_CLOCK_H_
#define HINGESPAN_EMULATOR_EMULATED_CLOCK_H_

#include "absl/time/time.h"
#include "hingespan/common/clock.h"

namespace hingespan::emulator {

// Thread-safe if the real clock is.
class EmulatedClock : public Clock {
 public:
  // One real second corresponds to `compression` emulated seconds.
  EmulatedClock(Clock* real, double compression)
      : real_(real), compression_(compression), start_(real->Now()) {}

  absl::Time Now() override { return start_ + (real_->Now() - start_) * compression_; }
  // Underlying clock, without compression.
  absl::Time WallTime() override { return real_->WallTime(); }
  // Converts an emulated duration to real time.
  absl::Duration ToReal(absl::Duration emulated) const { return emulated / compression_; }

 private:
  Clock* const real_;
  const double compression_;
  const absl::Time start_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_EMULATED_CLOCK_H_
