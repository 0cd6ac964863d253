// Stops a node with its own event loop, and destroys both as a process exit would.
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);
constexpr absl::Duration kTimeSlice = absl::Milliseconds(1);
constexpr absl::Duration kStopTime = absl::Seconds(10);
// The stream outlasts the minimum duration of a stop.
constexpr int kEvents = 9;
constexpr absl::Duration kEventInterval = absl::Milliseconds(500);

// A node on its own loop; store, workers and callers run on the loop of GatewayFixture.
struct SeparateNode {
  explicit SeparateNode(GatewayFixture* world)
      : node(&loop, "n1", world->store.address(), "", kStopTime) {}

  EventLoop loop;
  TestNode node;
};

// Runs both loops alternately until `done` returns true; returns false on the limit.
bool WaitBoth(GatewayFixture* world, SeparateNode* node, const std::function<bool()>& done) {
  const absl::Time end = world->loop.Now() + kLimit;
  while (!done()) {
    if (world->loop.Now() >= end) {
      return false;
    }
    node->loop.RunUntil(done, kTimeSlice);
    world->loop.RunUntil(done, kTimeSlice);
  }
  return true;
}

std::string Events(int first, int last) {
  std::string text;
  for (int event = first; event <= last; ++event) {
    absl::StrAppend(&text, "id: ", event, "\ndata: event ", event, "\n\n");
  }
  return text;
}

// Guards against a stop that treats a stream as answered once its end was passed to the connection,
// and exits before the end was sent.
TEST_CASE("a stream that ends just before a stop check arrives completely") {
  GatewayFixture world;
  emulator::PlatformWorkerOptions options;
  options.id = "w1";
  options.service = "models";
  options.models["m1"];
  options.events = kEvents;
  options.event_interval = kEventInterval;
  const auto* const worker = world.AddWorker(std::move(options));
  world.PutConfiguration(2, 20000);
  auto node = std::make_unique<SeparateNode>(&world);
  REQUIRE(!node->node.gateway.Start());
  REQUIRE(WaitBoth(&world, node.get(), [&] { return node->node.gateway.ready(); }));

  TestRequest request;
  request.target = "/once/x";
  request.deadline_ms = 30000;
  request.fields = {{"Model", "m1"}, {"Token-Count", "10,6"}};
  const auto call = world.Send(&node->node, request);
  REQUIRE(WaitBoth(&world, node.get(), [&] { return call->body == Events(1, 1); }));
  bool stopped = false;
  node->node.gateway.Stop([&] { stopped = true; });
  REQUIRE(WaitBoth(&world, node.get(), [&] { return call->body == Events(1, kEvents - 1); }));
  REQUIRE(!stopped);

  // While the node's loop does not run, the worker ends the stream and the check becomes due.
  REQUIRE(world.Wait([&] { return worker->runs().front().ended; }));
  REQUIRE(node->loop.RunUntil([&] { return stopped; }, kLimit));
  const std::string last_line = node->node.LogLines().back();
  INFO(last_line);
  node.reset();
  REQUIRE(world.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, kEvents));
}

}  // namespace
}  // namespace hingespan::gateway
