#include "hingespan/routing/service_times.h"

#include <doctest/doctest.h>

#include "tests/routing/router_harness.h"

namespace hingespan {

TEST_CASE("service times follow the observations and expire") {
  const absl::Time start = absl::UnixEpoch();
  ServiceTimes times;
  CHECK(times.Find(kModel) == absl::ZeroDuration());
  times.Observe(kModel, absl::Seconds(4), start);
  CHECK(times.Find(kModel) == absl::Seconds(4));
  times.Observe(kModel, absl::Seconds(9), start);
  CHECK(times.Find(kModel) == absl::Seconds(5));
  times.Observe(ModelName("other"), absl::Seconds(1), start + absl::Minutes(11));
  CHECK(times.Find(kModel) == absl::ZeroDuration());
}

TEST_CASE_FIXTURE(RouterHarness, "wake requests carry the observed service time") {
  PutReady("w1");
  for (const char* name : {"a", "b", "c"}) {
    Submit(name);
  }
  Tick(absl::Seconds(3));
  CHECK(Take<WakeRequest>().at(0).service_ms == 0);
  Finish("a", AttemptOutcome::kComplete);
  Submit("d");
  Tick(absl::Seconds(1));
  const std::vector<WakeRequest> wakes = Take<WakeRequest>();
  REQUIRE(wakes.size() == 1);
  CHECK(wakes[0].waiting == 1);
  CHECK(wakes[0].service_ms == 3000);
}

}  // namespace hingespan
