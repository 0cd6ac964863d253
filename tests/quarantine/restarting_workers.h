// Emulated workers behind links of their own, which crash and are back under new ids after a while.
#ifndef TESTS_QUARANTINE_RESTARTING_WORKERS_H_
#define TESTS_QUARANTINE_RESTARTING_WORKERS_H_

#include <functional>
#include <memory>
#include <vector>

#include "tests/serving/gateway_world.h"
#include "tests/soak/fault_proxy.h"

namespace hingespan::gateway {

class RestartingWorkers {
 public:
  // `options` returns those of a new worker, without its id and the handler of its crash.
  RestartingWorkers(GatewayFixture* fixture, absl::Duration restart_time,
                    std::function<emulator::PlatformWorkerOptions()> options);

  emulator::PlatformWorker* Start();
  // Ends the worker's connections; a new one starts once its restart time has passed.
  void Crash(std::size_t index);
  // Sets how a crash ends the worker's connections: by a reset unless this is called.
  void SetCrashFault(soak::LinkFault fault) { crash_fault_ = fault; }
  // Times of the crashes, in order.
  const std::vector<absl::Time>& crashes() const { return crashes_; }
  // Number of workers that were started.
  std::size_t started() const { return links_.size(); }

 private:
  GatewayFixture* fixture_;
  absl::Duration restart_time_;
  soak::LinkFault crash_fault_ = soak::LinkFault::kReset;
  std::function<emulator::PlatformWorkerOptions()> options_;
  std::vector<std::unique_ptr<soak::FaultProxy>> links_;
  std::vector<std::unique_ptr<LoopTimer>> timers_;
  std::vector<absl::Time> crashes_;
};

}  // namespace hingespan::gateway

#endif  // TESTS_QUARANTINE_RESTARTING_WORKERS_H_
