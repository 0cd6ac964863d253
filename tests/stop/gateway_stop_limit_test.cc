// Stops a node whose own event loop is stalled around its stop limit.
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);
constexpr absl::Duration kTimeSlice = absl::Milliseconds(1);
constexpr int kRequests = 100;
constexpr int kWorkers = 4;
// Start and end of the stall, relative to the begin of the stop. Open requests are answered 400 ms
// before the end of kTestStopTime, the process exits 250 ms before it, and in between a check runs
// every 50 ms.
const absl::Duration kStallBegins = kTestStopTime - absl::Milliseconds(460);
const absl::Duration kStallEnds = kTestStopTime - absl::Milliseconds(240);

struct SeparateNode {
  explicit SeparateNode(GatewayFixture* world) : node(&loop, "n1", world->store.address()) {}

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

// Starts `kRequests` requests at workers that never answer.
struct OpenRequests {
  OpenRequests() {
    for (int number = 0; number < kWorkers; ++number) {
      emulator::PlatformWorkerOptions options;
      options.id = absl::StrCat("w", number);
      options.service = "plain";
      options.slots = kRequests;
      workers.push_back(world.AddWorker(std::move(options)));
      workers.back()->SetFault(emulator::WorkerFault::kSilent);
    }
    world.PutConfiguration(2, 20000);
    node = std::make_unique<SeparateNode>(&world);
    REQUIRE(!node->node.gateway.Start());
    REQUIRE(WaitBoth(&world, node.get(), [&] { return node->node.gateway.ready(); }));
    for (int number = 0; number < kRequests; ++number) {
      TestRequest request;
      request.id = absl::StrCat("r", number);
      request.deadline_ms = 20000;
      calls.push_back(world.Send(&node->node, request));
    }
    REQUIRE(WaitBoth(&world, node.get(), [&] {
      std::size_t running = 0;
      for (const auto* worker : workers) {
        running += worker->runs().size();
      }
      return running == kRequests;
    }));
  }

  // Simulates the exit of the node's process. Returns the number of callers with a complete answer.
  int EndProcess() {
    node.reset();
    REQUIRE(world.Wait([&] { return std::ranges::all_of(calls, &IsEnded); }));
    return static_cast<int>(std::ranges::count_if(
        calls, [](const auto& call) { return call->result == ExchangeResult::kComplete; }));
  }
  static bool IsEnded(const std::unique_ptr<TestCall>& call) { return call->ended; }

  GatewayFixture world;
  std::vector<emulator::PlatformWorker*> workers;
  std::unique_ptr<SeparateNode> node;
  std::vector<std::unique_ptr<TestCall>> calls;
};

TEST_CASE("requests open at the stop limit are answered before the process ends") {
  OpenRequests open;
  bool stopped = false;
  open.node->node.gateway.Stop([&] { stopped = true; });
  REQUIRE(WaitBoth(&open.world, open.node.get(), [&] { return stopped; }));
  const std::string last_line = open.node->node.LogLines().back();
  INFO(last_line);
  CHECK(open.EndProcess() == kRequests);
}

// Guards against a stop check that becomes due before the requests' limit, but runs after it and
// ends the process before the requests are answered.
TEST_CASE("requests open at the stop limit are answered by a node that was stalled there") {
  OpenRequests open;
  bool stopped = false;
  open.node->node.gateway.Stop([&] { stopped = true; });
  const absl::Time began = open.world.loop.Now();
  REQUIRE(WaitBoth(&open.world, open.node.get(),
                   [&] { return open.world.loop.Now() >= began + kStallBegins; }));
  bool over = false;
  const std::unique_ptr<LoopTimer> timer = open.world.loop.MakeTimer();
  timer->Set(began + kStallEnds, [&] { over = true; });
  REQUIRE(open.world.Wait([&] { return over; }));
  REQUIRE(WaitBoth(&open.world, open.node.get(), [&] { return stopped; }));
  const std::string last_line = open.node->node.LogLines().back();
  INFO(last_line);
  CHECK(open.EndProcess() == kRequests);
}

}  // namespace
}  // namespace hingespan::gateway
