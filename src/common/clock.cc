#include "hingespan/common/clock.h"

#include <chrono>

#include "absl/time/clock.h"

namespace hingespan {
namespace {

class RealClock : public Clock {
 public:
  absl::Time Now() override {
    return absl::UnixEpoch() +
           absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
  }
  absl::Time WallTime() override { return absl::Now(); }
};

}  // namespace

Clock& SystemClock() {
  static RealClock* const clock = new RealClock;
  return *clock;
}

}  // namespace hingespan
