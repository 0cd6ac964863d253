// Decides the outcome of each platform call: rate limits, outages, delays and lost answers.
#ifndef HINGESPAN_EMULATOR_PLATFORM_GATE_H_
#define HINGESPAN_EMULATOR_PLATFORM_GATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "emulator/rate_limiter.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"

namespace hingespan::emulator {

enum class PlatformMode { kUp, kDown, kSlow, kLoseAnswers };

enum class PlatformPart { kTable, kObjects, kMachines };

struct PlatformFault {
  PlatformMode mode = PlatformMode::kUp;
  absl::Duration delay;
  // Probability that a call is affected.
  double probability = 1.0;
  // Number of calls still to be affected; negative means no limit.
  std::int64_t count = -1;
};

// Decision for one call.
struct PlatformDecision {
  // The call is rejected without effect and can be retried after `retry_after`.
  bool rate_limited = false;
  absl::Duration retry_after;
  // The call is rejected without effect.
  bool down = false;
  // The call takes effect, then its connection is closed without an answer.
  bool lose_answer = false;
  // Delay before the call takes effect.
  absl::Duration delay;
};

struct PlatformRates {
  double table_calls_per_second = 0;
  double object_calls_per_second = 0;
  double machine_list_calls_per_second = 0;
  double burst = 1;
};

// Thread-safe.
class PlatformGate {
 public:
  PlatformGate(PlatformRates rates, absl::Duration latency, std::uint64_t seed);

  // `zone` is the zone of the address that received the call; empty for the address of all zones.
  PlatformDecision Decide(const ZoneId& zone, PlatformPart part, absl::Time now);
  // Sets the fault of a zone; an empty zone sets it for all zones and clears the faults of single
  // zones.
  void SetFault(const ZoneId& zone, const PlatformFault& fault);

 private:
  RateLimiter& LimiterOf(PlatformPart part) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the fault that applies to this call and uses up one call of a limited fault.
  PlatformFault TakeFault(const ZoneId& zone) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const absl::Duration latency_;
  absl::Mutex mutex_;
  Random random_ ABSL_GUARDED_BY(mutex_);
  RateLimiter table_limiter_ ABSL_GUARDED_BY(mutex_);
  RateLimiter object_limiter_ ABSL_GUARDED_BY(mutex_);
  RateLimiter machine_list_limiter_ ABSL_GUARDED_BY(mutex_);
  // Faults by zone; the empty zone stands for all zones.
  std::map<ZoneId, PlatformFault> faults_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_PLATFORM_GATE_H_
