// Tests of the platform's rate limits, faults and lag in virtual time, and of the event log.
#include <doctest/doctest.h>

#include "emulator/event_log.h"
#include "emulator/machine_directory.h"
#include "emulator/platform_gate.h"
#include "emulator/rate_limiter.h"

namespace hingespan::emulator {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

TEST_CASE("a rate limiter allows its burst, then its rate") {
  RateLimiter limiter(10, 2);
  CHECK(limiter.TryAcquire(kStart));
  CHECK(limiter.TryAcquire(kStart));
  CHECK_FALSE(limiter.TryAcquire(kStart));
  CHECK(limiter.TimeUntilAllowed(kStart) == absl::Milliseconds(100));
  CHECK(limiter.TryAcquire(kStart + absl::Milliseconds(101)));
}

TEST_CASE("the machine list shows changes after its lag, and the latest address wins") {
  MachineDirectory directory(absl::Seconds(2));
  directory.AddInitialWorker({WorkerId("w1"), ZoneId("z1"), "url", MachineState::kLive});
  directory.SetWorkerState(WorkerId("w1"), MachineState::kLeaving, kStart);
  CHECK(directory.Read(kStart + absl::Seconds(1)).workers[0].state == MachineState::kLive);
  CHECK(directory.Read(kStart + absl::Seconds(2)).workers[0].state == MachineState::kLeaving);
  CHECK_FALSE(directory.SetWorkerState(WorkerId("w9"), MachineState::kGone, kStart));
}

TEST_CASE("a fault of one zone does not affect the others, and a limited fault ends") {
  PlatformGate gate({}, absl::ZeroDuration(), 1);
  PlatformFault fault;
  fault.mode = PlatformMode::kDown;
  fault.count = 1;
  gate.SetFault(ZoneId("z1"), fault);
  CHECK_FALSE(gate.Decide(ZoneId("z2"), PlatformPart::kTable, kStart).down);
  CHECK(gate.Decide(ZoneId("z1"), PlatformPart::kTable, kStart).down);
  CHECK_FALSE(gate.Decide(ZoneId("z1"), PlatformPart::kTable, kStart).down);
}

TEST_CASE("a call beyond the rate is rejected with a retry delay") {
  PlatformGate gate({4, 4, 4, 1}, absl::ZeroDuration(), 1);
  CHECK_FALSE(gate.Decide(ZoneId(), PlatformPart::kTable, kStart).rate_limited);
  const PlatformDecision refused = gate.Decide(ZoneId(), PlatformPart::kTable, kStart);
  CHECK(refused.rate_limited);
  CHECK(refused.retry_after == absl::Milliseconds(250));
  CHECK_FALSE(gate.Decide(ZoneId(), PlatformPart::kObjects, kStart).rate_limited);
}

TEST_CASE("the log keeps the newest entries, and totals of all") {
  EventLog log(2);
  for (int i = 1; i <= 3; ++i) {
    LogEntry entry;
    entry.event = EngineEvent::kGenerateBegin;
    entry.request = RequestId("r");
    log.Append(entry);
  }
  CHECK(log.After(0, 10).size() == 2);
  CHECK(log.After(2, 10).front().sequence == 3);
  CHECK(log.totals().runs.at(RequestId("r")) == 3);
  log.Stop();
  LogFilter filter;
  filter.event = "unloaded";
  CHECK_FALSE(log.WaitFor(0, filter, absl::Hours(1)).has_value());
}

}  // namespace
}  // namespace hingespan::emulator
