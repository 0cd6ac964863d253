// Only its implementation reads the system's clocks; coordination logic gets `now` as an argument.
#ifndef HINGESPAN_COMMON_CLOCK_H_
#define HINGESPAN_COMMON_CLOCK_H_

#include "absl/time/time.h"

namespace hingespan {

class Clock {
 public:
  virtual ~Clock() = default;
  // Monotonic time for timeouts, probes and deadlines; only differences are meaningful.
  virtual absl::Time Now() = 0;
  // Wall-clock time, which may jump. Used only for key times, logs and records.
  virtual absl::Time WallTime() = 0;
};

// Returns the machine's clocks. Thread-safe; never destroyed.
Clock& SystemClock();

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_CLOCK_H_
