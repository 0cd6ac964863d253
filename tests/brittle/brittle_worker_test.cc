// Tests of many nodes before workers that say that they are brittle.
#include <doctest/doctest.h>

#include <string>

#include "tests/brittle/brittle_world.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kPressTime = absl::Seconds(5);
// Load in parts of the capacity, and the share of requests that are to be served at it.
constexpr double kOverload = 1.5;
constexpr double kMinServedAtOverload = 0.45;
constexpr double kModerateLoad = 0.7;
constexpr double kMinServedAtModerateLoad = 0.9;

void CheckPress(BrittleWorld* world, double load, double min_served) {
  const std::size_t first = world->calls.size();
  world->SendFor(kPressTime, load);
  const std::string outcomes = world->Outcomes(first);
  MESSAGE(outcomes);
  CAPTURE(outcomes);
  CHECK(world->falls() <= world->allowed_falls());
  CHECK(world->ServedShare(first) >= min_served);
}

// Guards against nodes that together make brittle workers reject too much, each of them little
// (LIMIT), and against serving less for it.
TEST_CASE("brittle workers of a plain service stay up under overload") {
  BrittleWorld world({});
  world.BeginBrittle();
  CheckPress(&world, kOverload, kMinServedAtOverload);
}

TEST_CASE("brittle workers of a plain service stay up at moderate load") {
  BrittleWorld world({});
  world.BeginBrittle();
  CheckPress(&world, kModerateLoad, kMinServedAtModerateLoad);
}

// Guards against streams, repeated and new ones, that brittle workers have to reject (LIMIT).
TEST_CASE("brittle model workers stay up under overload") {
  BrittleOptions options;
  options.service = "models";
  options.run_time = absl::Milliseconds(240);
  BrittleWorld world(options);
  world.BeginBrittle();
  CheckPress(&world, kOverload, kMinServedAtOverload);
}

}  // namespace
}  // namespace hingespan::gateway
