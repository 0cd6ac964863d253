#include "hingespan/routing/circuit_breaker.h"

#include <doctest/doctest.h>

namespace hingespan {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr CircuitBreakerOptions kOptions = {3, absl::Seconds(1)};

CircuitBreaker OpenedAt(absl::Time now) {
  CircuitBreaker breaker(kOptions);
  for (int failure = 0; failure < kOptions.failure_threshold; ++failure) {
    breaker.OnFailure(now);
  }
  return breaker;
}

TEST_CASE("opens only after consecutive failures") {
  CircuitBreaker breaker(kOptions);
  breaker.OnFailure(kStart);
  breaker.OnFailure(kStart);
  breaker.OnSuccess();
  breaker.OnFailure(kStart);
  breaker.OnFailure(kStart);
  CHECK(breaker.Allows(kStart));
  breaker.OnFailure(kStart);
  CHECK(breaker.open());
  CHECK_FALSE(breaker.Allows(kStart));
}

TEST_CASE("allows one trial, whose success closes the circuit") {
  CircuitBreaker breaker = OpenedAt(kStart);
  const absl::Time trial = kStart + kOptions.open_for;
  CHECK_FALSE(breaker.Allows(trial - absl::Nanoseconds(1)));
  CHECK(breaker.Allows(trial));
  breaker.OnDispatch(trial);
  CHECK_FALSE(breaker.Allows(trial));
  breaker.OnSuccess();
  CHECK(breaker.Allows(trial));
}

TEST_CASE("each failed trial doubles the delay, up to ten times its start value") {
  CircuitBreaker breaker = OpenedAt(kStart);
  absl::Time now = kStart + kOptions.open_for;
  for (const int factor : {2, 4, 8, 10, 10}) {
    breaker.OnDispatch(now);
    breaker.OnFailure(now);
    const absl::Time next = now + factor * kOptions.open_for;
    CHECK_FALSE(breaker.Allows(next - absl::Nanoseconds(1)));
    CHECK(breaker.Allows(next));
    now = next;
  }
}

TEST_CASE(
    "a failure of a request that was sent before the circuit opened does not extend the delay") {
  CircuitBreaker breaker = OpenedAt(kStart);
  breaker.OnFailure(kStart + absl::Milliseconds(900));
  CHECK(breaker.Allows(kStart + kOptions.open_for));
}

TEST_CASE("an abandoned or unfinished trial does not keep the circuit open") {
  CircuitBreaker breaker = OpenedAt(kStart);
  const absl::Time trial = kStart + kOptions.open_for;
  breaker.OnDispatch(trial);
  CHECK(breaker.Allows(trial + kOptions.open_for));
  breaker.OnAbandoned();
  CHECK(breaker.Allows(trial));
}

}  // namespace
}  // namespace hingespan
