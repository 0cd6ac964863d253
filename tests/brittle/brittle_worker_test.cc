// Tests of many nodes before workers that say that they are brittle.
#include <doctest/doctest.h>

#include <string>

#include "tests/brittle/brittle_world.h"
#include "tests/partition/cut_off_node.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kPressTime = absl::Seconds(3);
// Load in parts of the capacity, and the share of requests that are to be served at it.
constexpr double kOverload = 1.5;
constexpr double kMinServedAtOverload = 0.45;
constexpr double kMinServedWithLendersGone = 0.35;
constexpr double kMinPartOfSturdy = 0.8;
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

// Guards against slots that nobody lends, or two nodes lend, when lenders are gone (LIMIT).
TEST_CASE("brittle workers stay up and are used while a third of the nodes is gone") {
  BrittleOptions options;
  options.nodes = 8;
  options.gone_nodes = 4;
  BrittleWorld world(options);
  world.BeginBrittle();
  CheckPress(&world, kOverload, kMinServedWithLendersGone);
}

// Guards against a node that has just started and knows neither the load of the others nor that
// the workers are brittle (LIMIT).
TEST_CASE("brittle workers stay up when nodes start under overload") {
  BrittleOptions options;
  options.nodes = 6;
  BrittleWorld world(options);
  world.BeginBrittle();
  for (int round = 0; round < 3; ++round) {
    world.StartNode();
    CheckPress(&world, kOverload, kMinServedAtOverload);
  }
}

// Guards against nodes that without the store know nothing of each other (LIMIT).
TEST_CASE("brittle workers stay up and are used while the store is away") {
  BrittleWorld world({});
  world.BeginBrittle();
  world.store.SetFault(emulator::StoreFault::kUnavailable);
  CheckPress(&world, kOverload, kMinServedAtOverload);
}

// Guards against requests that another node passes on, as it is cut off from the workers (LIMIT).
TEST_CASE("brittle workers stay up while a node is cut off from them and forwards its requests") {
  BrittleWorld world({});
  LinkedReader reader(&world.loop);
  world.StartNode(&reader);
  world.BeginBrittle();
  reader.SetFault(soak::LinkFault::kRefuse);
  const std::size_t first = world.calls.size();
  CheckPress(&world, kOverload, kMinServedAtOverload);
  const std::size_t cut_off = world.nodes.size() - 1;
  int forwarded = 0;
  for (std::size_t call = first; call < world.calls.size(); ++call) {
    forwarded += world.calls[call].node == cut_off && world.calls[call].call->head.status == 200;
  }
  MESSAGE("served for the node that is cut off: " << forwarded);
  CHECK(forwarded > 0);
}

// Guards against brittle workers that are kept idle for fear of rejections.
TEST_CASE("brittle workers serve about as much under overload as others with the same slots") {
  BrittleWorld brittle({});
  brittle.BeginBrittle();
  const std::size_t first = brittle.calls.size();
  brittle.SendFor(kPressTime, kOverload);
  BrittleWorld sturdy({});
  sturdy.SendFor(kNoticeTime, kNoticeLoad);
  const std::size_t first_sturdy = sturdy.calls.size();
  sturdy.SendFor(kPressTime, kOverload);
  MESSAGE("brittle: " << brittle.Outcomes(first));
  MESSAGE("sturdy, with queues: " << sturdy.Outcomes(first_sturdy));
  CHECK(brittle.ServedShare(first) >= kMinPartOfSturdy * sturdy.ServedShare(first_sturdy));
}

// Guards against the same rejections when workers are brittle for the second time, at all nodes at
// once after a pause in which nobody asked for slots (LIMIT).
TEST_CASE("brittle workers stay up when all nodes send at once after a pause") {
  BrittleWorld world({});
  world.BeginBrittle();
  for (int burst = 0; burst < 6; ++burst) {
    for (int request = 0; request < 60; ++request) {
      world.SendRequest(static_cast<std::size_t>(request) % world.nodes.size());
    }
    REQUIRE(world.Wait([&] { return world.AllEnded(); }));
  }
  const std::string outcomes = world.Outcomes(0);
  MESSAGE(outcomes);
  CHECK(world.falls() <= world.allowed_falls());
  CHECK(world.ServedShare(0) >= kMinServedAtModerateLoad);
}

}  // namespace
}  // namespace hingespan::gateway
