// Workers whose processes are paused: their kernels go on accepting requests, which are read when
// the processes go on.
#include <doctest/doctest.h>

#include "tests/paused_workers/paused_world.h"

namespace hingespan::paused_workers {
namespace {

// By then all gateways have their shares of the budget, and a full window of requests.
constexpr absl::Duration kWarmUp = absl::Seconds(16);

void CheckBudget(const Outcome& outcome) {
  MESSAGE(outcome.worst.repeats, " arrivals beyond the first, allowed ", outcome.worst.allowed,
          "; late arrivals ", outcome.late_arrivals, "; served ", outcome.served, " of ",
          outcome.requests, ", in pauses ", outcome.paused_served, " of ", outcome.paused_requests);
  CHECK(outcome.worst.excess() <= 0);
}

// Guards against retries that are charged when they are sent but read all together, once the
// workers that received them go on.
TEST_CASE("what workers read together after pauses of up to 22 s stays within the budget") {
  Play play;
  play.workers = 12;
  play.requests_per_second = 40;
  play.pauses = {{kWarmUp, kWarmUp + absl::Seconds(22), 0, 10, absl::Seconds(2)}};
  play.length = kWarmUp + absl::Seconds(28);
  CheckBudget(PausedWorld(play).Run());
}

// Guards against late readings that add up over many gateways with a small share each.
TEST_CASE("what workers read after a pause of 8 s stays within the budget of nine gateways") {
  Play play;
  play.gateways = 9;
  play.workers = 12;
  play.pauses = {{kWarmUp, kWarmUp + absl::Seconds(8), 0, 6}};
  play.length = kWarmUp + absl::Seconds(14);
  CheckBudget(PausedWorld(play).Run());
}

}  // namespace
}  // namespace hingespan::paused_workers
