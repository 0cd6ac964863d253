// Test fixture: gateways and workers as processes, steady requests, and workers that are paused.
#ifndef TESTS_PAUSED_WORKERS_PAUSED_WORLD_H_
#define TESTS_PAUSED_WORKERS_PAUSED_WORLD_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "emulator/platform_store.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/repeat_budget.h"
#include "tests/soak/worker_process.h"

namespace hingespan::paused_workers {

// Pauses the workers from `first` on, one each `apart`, and lets all go on together.
struct Pause {
  // Time since the first request.
  absl::Duration begin;
  absl::Duration end;
  std::size_t first = 0;
  std::size_t count = 1;
  absl::Duration apart = absl::ZeroDuration();
};

struct Play {
  std::size_t gateways = 3;
  std::size_t workers = 6;
  double requests_per_second = 60;
  double failing_share = 0.5;
  // Time for which requests are sent.
  absl::Duration length;
  std::vector<Pause> pauses;
};

struct Outcome {
  soak::RepeatWindow worst;
  // Arrivals more than two seconds after the first of their request.
  int late_arrivals = 0;
  // Requests in all and in pauses, and how many of them were answered 200.
  int requests = 0;
  int served = 0;
  int paused_requests = 0;
  int paused_served = 0;
};

// Not thread-safe.
class PausedWorld {
 public:
  explicit PausedWorld(const Play& play);
  ~PausedWorld();

  // Plays the pauses and returns what workers and callers saw.
  Outcome Run();

 private:
  struct Call;
  void StartWorkers();
  void StartGateways();
  void PutConfiguration();
  void PlanPauses();
  void SendNext();
  void At(absl::Duration after, std::function<void()> task);
  bool DuringPause(absl::Time time) const;
  Outcome OutcomeOf() const;

  Play play_;
  soak::RepeatLimits limits_;
  std::string folder_;
  gateway::EventLoop loop_;
  emulator::PlatformStore store_;
  gateway::HttpClient caller_;
  std::vector<std::unique_ptr<soak::WorkerProcess>> workers_;
  std::vector<std::unique_ptr<soak::GatewayProcess>> gateways_;
  std::vector<std::unique_ptr<gateway::LoopTimer>> timers_;
  std::vector<std::unique_ptr<Call>> calls_;
  absl::Time began_;
  bool sending_ = true;
};

}  // namespace hingespan::paused_workers

#endif  // TESTS_PAUSED_WORKERS_PAUSED_WORLD_H_
