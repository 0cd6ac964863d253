#include "emulator/platform_gate.h"

namespace hingespan::emulator {

PlatformGate::PlatformGate(PlatformRates rates, absl::Duration latency, std::uint64_t seed)
    : latency_(latency),
      random_(seed),
      table_limiter_(rates.table_calls_per_second, rates.burst),
      object_limiter_(rates.object_calls_per_second, rates.burst),
      machine_list_limiter_(rates.machine_list_calls_per_second, rates.burst) {}

PlatformDecision PlatformGate::Decide(const ZoneId& zone, PlatformPart part, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  PlatformDecision decision;
  decision.delay = latency_;
  const PlatformFault fault = TakeFault(zone);
  if (fault.mode == PlatformMode::kDown) {
    decision.down = true;
    return decision;
  }
  RateLimiter& limiter = LimiterOf(part);
  if (!limiter.TryAcquire(now)) {
    decision.rate_limited = true;
    decision.retry_after = limiter.TimeUntilAllowed(now);
    return decision;
  }
  if (fault.mode == PlatformMode::kSlow) {
    decision.delay += fault.delay;
  }
  decision.lose_answer = fault.mode == PlatformMode::kLoseAnswers;
  return decision;
}

void PlatformGate::SetFault(const ZoneId& zone, const PlatformFault& fault) {
  absl::MutexLock lock(&mutex_);
  if (zone.empty()) {
    faults_.clear();
  }
  faults_[zone] = fault;
}

RateLimiter& PlatformGate::LimiterOf(PlatformPart part) {
  switch (part) {
    case PlatformPart::kTable:
      return table_limiter_;
    case PlatformPart::kObjects:
      return object_limiter_;
    case PlatformPart::kMachines:
      break;
  }
  return machine_list_limiter_;
}

PlatformFault PlatformGate::TakeFault(const ZoneId& zone) {
  auto found = faults_.find(zone);
  if (found == faults_.end()) {
    found = faults_.find(ZoneId());
  }
  if (found == faults_.end() || found->second.count == 0) {
    return PlatformFault();
  }
  if (random_.Fraction() >= found->second.probability) {
    return PlatformFault();
  }
  if (found->second.count > 0) {
    --found->second.count;
  }
  return found->second;
}

}  // namespace hingespan::emulator
