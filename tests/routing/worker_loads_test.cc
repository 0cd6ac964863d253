// Worker loads, which are reported at long intervals only.
#include "hingespan/routing/worker_loads.h"

#include <doctest/doctest.h>

namespace hingespan {
namespace {

const WorkerId kWorker("w1");
const ModelName kModel("m1");

TEST_CASE("a heartbeat does not make an old reported load count as new") {
  KnownWorker worker;
  worker.report.worker = kWorker;
  worker.reported_at = worker.heard_at = absl::FromUnixSeconds(1000);
  WorkerLoads loads{CircuitBreakerOptions()};
  loads.Reserve(kWorker, kModel);
  worker.report.running = 1;
  CHECK(loads.LoadOf(worker) == 1);
  // The request of this node ends; heartbeats confirm the same report.
  loads.Release(kWorker, kModel);
  for (int beat = 0; beat < 5; ++beat) {
    worker.heard_at += absl::Seconds(4);
    CHECK(loads.LoadOf(worker) == 0);
  }
  worker.reported_at = worker.heard_at += absl::Seconds(4);
  worker.report.running = 3;
  CHECK(loads.LoadOf(worker) == 2);
}

}  // namespace
}  // namespace hingespan
