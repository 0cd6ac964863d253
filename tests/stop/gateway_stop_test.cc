// Stops a node with its own event loop, and destroys both as a process exit would.
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "tests/net/raw_client.h"
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
  explicit SeparateNode(GatewayFixture* world, absl::Duration stop_time = kStopTime)
      : node(&loop, "n1", world->store.address(), "", stop_time) {}

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

// Guards against a client whose request was half received when the node ended, and that got no
// answer though its request had not run (LOST).
TEST_CASE("requests of which only a part has come are refused before the process ends") {
  GatewayFixture world;
  world.AddPlainWorker("w1");
  auto node = std::make_unique<SeparateNode>(&world);
  bool held = false;
  SUBCASE("a node without other requests") {}
  SUBCASE("a node that stops at its limit") {
    held = true;
    node = std::make_unique<SeparateNode>(&world, absl::Milliseconds(3500));
  }
  REQUIRE(!node->node.gateway.Start());
  REQUIRE(WaitBoth(&world, node.get(), [&] { return node->node.gateway.ready(); }));
  std::unique_ptr<TestCall> other;
  if (held) {
    world.workers.front()->SetFault(emulator::WorkerFault::kSilent);
    TestRequest request;
    request.deadline_ms = 30000;
    other = world.Send(&node->node, request);
    REQUIRE(WaitBoth(&world, node.get(), [&] { return !world.workers.front()->runs().empty(); }));
  }
  bool stopped = false;
  node->node.gateway.Stop([&] { stopped = true; });
  // Late enough for the limit of unfinished requests, 3 s, not to be over before the node ends.
  bool is_late = false;
  const std::unique_ptr<LoopTimer> timer = world.loop.MakeTimer();
  timer->Set(world.loop.Now() + absl::Seconds(1), [&] { is_late = true; });
  REQUIRE(WaitBoth(&world, node.get(), [&] { return is_late; }));
  const std::string head = "POST /plain/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: half\r\n";
  std::vector<std::unique_ptr<RawClient>> clients;
  std::vector<std::string> answers;
  for (const std::string& sent : {std::string("P"), head, head + "Content-Length: 4\r\n\r\nab",
                                  head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"}) {
    clients.push_back(std::make_unique<RawClient>(node->node.gateway.request_address()));
    clients.back()->Send(sent);
    answers.emplace_back();
  }
  REQUIRE(WaitBoth(&world, node.get(), [&] { return stopped; }));
  const std::string last_line = node->node.LogLines().back();
  INFO(last_line);
  CHECK(absl::StrContains(last_line, held ? "limit" : "idle"));
  node.reset();
  for (std::size_t index = 0; index < clients.size(); ++index) {
    CAPTURE(index);
    const std::string answer = clients[index]->ReadAll();
    CHECK(absl::StartsWith(answer, "HTTP/1.1 503 "));
    CHECK(absl::StrContains(answer, "Retry-After: "));
    CHECK(absl::StrContains(answer, "Connection: close"));
    CHECK(absl::EndsWith(answer, "\r\n\r\n"));
  }
}

}  // namespace
}  // namespace hingespan::gateway
