#include "platform/store_clock.h"

#include <doctest/doctest.h>

namespace hingespan::gateway::platform {
namespace {

// This machine's time. The store's clock shows 1,000 s less.
absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }
std::int64_t Shown(double seconds) { return static_cast<std::int64_t>(seconds * 1000); }

// Guards against an answer that is read late, e.g. after this machine stood still, and taken for
// what the store has now.
TEST_CASE("an answer that arrives late is as old as it is") {
  StoreClock clock;
  CHECK(clock.ToLocal(Shown(1), At(0.9), At(1)) == At(1));
  CHECK(clock.ToLocal(Shown(2), At(1.9), At(7)) == At(2));
  CHECK(clock.ToLocal(Shown(8), At(7.9), At(8)) == At(8));
}

TEST_CASE("an answer is neither older than its call nor from the future") {
  StoreClock clock;
  // A long way, and then a short one.
  CHECK(clock.ToLocal(Shown(1), At(0), At(5)) == At(5));
  CHECK(clock.ToLocal(Shown(6), At(5.5), At(6.1)) == At(6.1));
  CHECK(clock.ToLocal(Shown(7), At(6.9), At(7.2)) == At(7.1));
}

TEST_CASE("a store whose clock is set back is believed anew") {
  StoreClock clock;
  CHECK(clock.ToLocal(Shown(100), At(99), At(100)) == At(100));
  CHECK(clock.ToLocal(Shown(1), At(101), At(102)) == At(101));
  CHECK(clock.ToLocal(Shown(2), At(102), At(103)) == At(103));
  CHECK(clock.ToLocal(Shown(3), At(103), At(109)) == At(104));
}

// Guards against a clock that drifts from the store's until every answer seems old.
TEST_CASE("offsets of long ago are forgotten") {
  StoreClock clock;
  CHECK(clock.ToLocal(Shown(0), At(-1), At(0)) == At(0));
  for (int minute = 1; minute < 100; ++minute) {
    // The store's clock loses 0.1 s each minute.
    const double local = minute * 60;
    const absl::Time as_of = clock.ToLocal(Shown(local - 0.1 * minute), At(local - 2), At(local));
    CHECK(At(local) - as_of <= absl::Milliseconds(301));
  }
}

}  // namespace
}  // namespace hingespan::gateway::platform
