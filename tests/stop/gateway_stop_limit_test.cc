// Stops a node that has an event loop of its own and does not run at its stop limit for a moment.
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
constexpr absl::Duration kTurn = absl::Milliseconds(1);
constexpr int kRequests = 100;
constexpr int kWorkers = 4;
// Of kTestStopTime. What is open is answered 400 ms before its end, the process ends 250 ms before
// it, and in between a check is due each 50 ms.
const absl::Duration kStallBegins = kTestStopTime - absl::Milliseconds(460);
const absl::Duration kStallEnds = kTestStopTime - absl::Milliseconds(240);

struct SeparateNode {
  explicit SeparateNode(GatewayFixture* world) : node(&loop, "n1", world->store.address()) {}

  EventLoop loop;
  TestNode node;
};

// Runs both loops by turns.
bool WaitBoth(GatewayFixture* world, SeparateNode* node, const std::function<bool()>& done) {
  const absl::Time end = world->loop.Now() + kLimit;
  while (!done()) {
    if (world->loop.Now() >= end) {
      return false;
    }
    node->loop.RunUntil(done, kTurn);
    world->loop.RunUntil(done, kTurn);
  }
  return true;
}

// As many requests as `kRequests` at workers that say nothing.
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

  // Ends the node as the end of its process does. Returns how many callers got a whole answer.
  int End() {
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
  CHECK(open.End() == kRequests);
}

// Guards against a stop's check that comes due before the requests' limit, runs after it and ends
// the process ahead of their answers.
TEST_CASE("requests open at the stop limit are answered by a node that was held up there") {
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
  CHECK(open.End() == kRequests);
}

}  // namespace
}  // namespace hingespan::gateway
