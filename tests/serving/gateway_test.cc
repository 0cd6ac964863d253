#include "hingespan/serving/gateway.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

using emulator::StoreFault;
using emulator::WorkerFault;

std::string FieldOf(const TestCall& call, const char* name) {
  const std::string* const value = FindField(call.head.fields, name);
  return value == nullptr ? std::string() : *value;
}

TEST_CASE("a request reaches a worker unchanged and its answer the caller") {
  GatewayFixture fixture;
  const auto* const worker = fixture.AddPlainWorker("w1");
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request;
  request.target = "/plain/x?y=1";
  request.body = "hello";
  request.fields = {{"X-Own", "kept"}, {"Connection", "keep-alive, X-Hop"}, {"X-Hop", "dropped"}};
  const auto call = fixture.Ask(node, request);
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->head.status == 200);
  CHECK(call->body == "answer of w1");
  CHECK(FieldOf(*call, "Server-Seal") == "seal-r1");
  REQUIRE(worker->runs().size() == 1);
  CHECK(worker->runs().front().target == "/plain/x?y=1");
  CHECK(worker->runs().front().body == "hello");
  int deadline = 0;
  CHECK(absl::SimpleAtoi(worker->runs().front().deadline_ms, &deadline));
  CHECK(deadline <= 2000);
}

TEST_CASE(
    "no route is 404, a body beyond the limit 413, a head beyond it 431, malformed data 400") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1");
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request;
  request.target = "/nowhere/";
  CHECK(fixture.Ask(node, request)->head.status == 404);
  request.target = "/plain/";
  request.body = std::string(20000, 'x');
  CHECK(fixture.Ask(node, request)->head.status == 413);
  request.body.clear();
  request.fields = {{"X-Long", std::string(6000, 'x')}};
  CHECK(fixture.Ask(node, request)->head.status == 431);
  TestCall noise;
  noise.exchange = fixture.caller.Send(node->gateway.request_address(), "GARBAGE\r\n\r\n", &noise);
  REQUIRE(fixture.Wait([&] { return noise.ended; }));
  CHECK(noise.head.status == 400);
  CHECK(fixture.workers.front()->runs().empty());
}

TEST_CASE("a request with two body lengths is refused and reaches no worker") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1");
  TestNode* const node = fixture.AddNode("n1");
  TestCall call;
  call.exchange = fixture.caller.Send(
      node->gateway.request_address(),
      "POST /plain/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: s1\r\nContent-Length: 5\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /plain/y HTTP/1.1\r\nHost: h\r\n\r\n",
      &call);
  REQUIRE(fixture.Wait([&] { return call.ended; }));
  CHECK(call.head.status == 400);
  CHECK(fixture.workers.front()->runs().empty());
}

TEST_CASE("a node without a configuration answers 503, never 404") {
  GatewayFixture fixture;
  fixture.store.SetFault(StoreFault::kUnavailable);
  fixture.nodes.push_back(std::make_unique<TestNode>(&fixture.loop, "n1", fixture.store.address()));
  TestNode* const node = fixture.nodes.back().get();
  REQUIRE(!node->gateway.Start());
  const auto call = fixture.Ask(node, TestRequest{});
  CHECK(call->head.status == 503);
  CHECK(!node->gateway.ready());
}

TEST_CASE("a repeatable request goes to a second worker after a failure") {
  for (const WorkerFault fault :
       {WorkerFault::kFails, WorkerFault::kLosesAnswer, WorkerFault::kOtherRequest,
        WorkerFault::kRejects, WorkerFault::kSilent, WorkerFault::kEncodes}) {
    CAPTURE(static_cast<int>(fault));
    GatewayFixture fixture;
    TestNode* const node = fixture.AddNode("n1");
    TestRequest earning;
    earning.target = "/safe/x";
    fixture.EarnRetries(node, earning);
    fixture.AddPlainWorker("w1")->SetFault(fault);
    fixture.AddPlainWorker("w2")->SetFault(fault);
    fixture.AddPlainWorker("w3");
    // Send enough requests for some to reach a faulty worker first.
    int served = 0;
    int repeated = 0;
    for (int number = 0; number < 6; ++number) {
      TestRequest request;
      request.target = "/safe/x";
      request.id = absl::StrCat("r", number);
      const auto call = fixture.Ask(node, request);
      CHECK(call->result == ExchangeResult::kComplete);
      served += call->head.status == 200 ? 1 : 0;
    }
    repeated = static_cast<int>(node->metrics.repeats);
    CHECK(served >= 1);
    CHECK(repeated >= 1);
  }
}

TEST_CASE("a non-idempotent request is never sent again once it may have been executed") {
  for (const WorkerFault fault : {WorkerFault::kFails, WorkerFault::kLosesAnswer,
                                  WorkerFault::kOtherRequest, WorkerFault::kSilent}) {
    CAPTURE(static_cast<int>(fault));
    GatewayFixture fixture;
    fixture.AddPlainWorker("w1")->SetFault(fault);
    fixture.AddPlainWorker("w2")->SetFault(fault);
    TestNode* const node = fixture.AddNode("n1");
    TestRequest request;
    request.deadline_ms = 300;
    const auto call = fixture.Ask(node, request);
    CHECK(fixture.workers[0]->runs().size() + fixture.workers[1]->runs().size() == 1);
    // The status is neither 503 nor another one that guarantees that the request was not executed.
    const bool promises_nothing =
        call->head.status == 500 || call->head.status == 502 || call->head.status == 504;
    CHECK(promises_nothing);
  }
}

TEST_CASE("a request that a worker refused is refused with 503 and a Retry-After") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1")->SetFault(WorkerFault::kRejects);
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, TestRequest{});
  CHECK(call->head.status == 503);
  CHECK(!FieldOf(*call, "Retry-After").empty());
  CHECK(FieldOf(*call, "Server-Seal").empty());
}

TEST_CASE("a stream arrives whole and in order") {
  GatewayFixture fixture;
  fixture.AddModelWorker("w1", "m1");
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, StreamRequest("/once/x", "m1"));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, 6));
}

TEST_CASE("a resumable stream continues at another worker with the head of the first") {
  GatewayFixture fixture;
  TestNode* const node = fixture.AddNode("n1");
  fixture.EarnRetries(node, StreamRequest("/stream/x", "m1"));
  fixture.AddModelWorker("w1", "m1")->SetFault(WorkerFault::kBreaksStream);
  const auto call = fixture.Send(node, StreamRequest("/stream/x", "m1"));
  REQUIRE(fixture.Wait([&] { return !call->body.empty(); }));
  fixture.AddModelWorker("w2", "m1");
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, 6));
  CHECK(FieldOf(*call, "Server-Seal") == "seal-r1-w1");
  REQUIRE(fixture.workers[1]->runs().size() == 1);
  CHECK(fixture.workers[1]->runs().front().last_event_id == "3");
}

TEST_CASE("a silent worker's stream is kept if no other worker could continue it") {
  GatewayFixture fixture;
  emulator::PlatformWorkerOptions options;
  options.id = "w1";
  options.service = "models";
  options.models["m1"];
  options.events = 2;
  options.event_interval = absl::Milliseconds(1600);
  fixture.AddWorker(options);
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request = StreamRequest("/stream/x", "m1");
  request.deadline_ms = 10000;
  const auto call = fixture.Ask(node, request);
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, 2));
  CHECK(fixture.workers[0]->runs().size() == 1);
}

TEST_CASE("a stream that breaks off and may not be resumed does not look complete") {
  GatewayFixture fixture;
  fixture.AddModelWorker("w1", "m1")->SetFault(WorkerFault::kBreaksStream);
  fixture.AddModelWorker("w2", "m1")->SetFault(WorkerFault::kBreaksStream);
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, StreamRequest("/once/x", "m1"));
  CHECK(call->result == ExchangeResult::kBroken);
  CHECK(call->body == Events(1, 3));
}

emulator::PlatformWorkerOptions UnframedWorker(const std::string& id) {
  emulator::PlatformWorkerOptions options;
  options.id = id;
  options.service = "models";
  options.models["m1"];
  options.unframed_streams = true;
  return options;
}

// Guards against a stream that its crashed worker broke off reaching its caller as a complete one.
TEST_CASE("a stream that ends inside an event does not look complete, however it was framed") {
  GatewayFixture fixture;
  SUBCASE("without a length or chunks") {
    fixture.AddWorker(UnframedWorker("w1"))->SetFault(WorkerFault::kBreaksStream);
  }
  SUBCASE("in chunks, with the last one") {
    fixture.AddModelWorker("w1", "m1")->SetFault(WorkerFault::kFinishesInsideEvent);
  }
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, StreamRequest("/once/x", "m1"));
  CHECK(call->result == ExchangeResult::kBroken);
  CHECK(call->body == Events(1, 3));
  CHECK(node->metrics.streams_broken == 1);
}

// Guards against giving up a resumable stream whose worker crashed without an error on the
// connection.
TEST_CASE("a resumable stream that ends inside an event continues at another worker") {
  GatewayFixture fixture;
  TestNode* const node = fixture.AddNode("n1");
  fixture.EarnRetries(node, StreamRequest("/stream/x", "m1"));
  fixture.AddWorker(UnframedWorker("w1"))->SetFault(WorkerFault::kBreaksStream);
  const auto call = fixture.Send(node, StreamRequest("/stream/x", "m1"));
  REQUIRE(fixture.Wait([&] { return !call->body.empty(); }));
  fixture.AddWorker(UnframedWorker("w2"));
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, 6));
  REQUIRE(fixture.workers[1]->runs().size() == 1);
  CHECK(fixture.workers[1]->runs().front().last_event_id == "3");
}

TEST_CASE("an unframed stream that ends after its last event arrives whole") {
  GatewayFixture fixture;
  fixture.AddWorker(UnframedWorker("w1"));
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, StreamRequest("/once/x", "m1"));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, 6));
}

// Guards against an empty success for a stream whose worker crashed before its first event.
TEST_CASE("an unframed stream that ends before its first event is not served as an empty one") {
  GatewayFixture fixture;
  emulator::PlatformWorkerOptions options = UnframedWorker("w1");
  options.events = 0;
  fixture.AddWorker(options);
  TestNode* const node = fixture.AddNode("n1");
  CHECK(fixture.Ask(node, StreamRequest("/once/x", "m1"))->head.status == 502);
}

// Guards against a broken stream for a caller that doesn't know chunks and sees the end of its
// connection as the end of the stream.
TEST_CASE("a broken stream is reset for a caller whose answer ends with the connection") {
  GatewayFixture fixture;
  fixture.AddModelWorker("w1", "m1")->SetFault(WorkerFault::kBreaksStream);
  TestNode* const node = fixture.AddNode("n1");
  TestCall call;
  call.exchange = fixture.caller.Send(
      node->gateway.request_address(),
      "POST /once/x HTTP/1.0\r\nHost: h\r\nAttempt-Id: r1\r\nDeadline-Ms: 2000\r\nModel: m1\r\n"
      "Token-Count: 10,6\r\nContent-Length: 0\r\n\r\n",
      &call);
  REQUIRE(fixture.Wait([&] { return call.ended; }));
  CHECK(FindField(call.head.fields, "Transfer-Encoding") == nullptr);
  CHECK(call.result == ExchangeResult::kBroken);
}

TEST_CASE("a stream that has started gets no second answer when the retry budget is exhausted") {
  GatewayFixture fixture;
  emulator::PlatformWorkerOptions options;
  options.id = "w1";
  options.service = "models";
  options.models["m1"];
  options.slots = 40;
  fixture.AddWorker(options)->SetFault(WorkerFault::kBreaksStream);
  TestNode* const node = fixture.AddNode("n1");
  // More streams than the budget allows retries: ten, plus a fifth of the streams.
  constexpr int kStreams = 16;
  std::vector<decltype(fixture.Send(node, TestRequest{}))> calls;
  for (int number = 0; number < kStreams; ++number) {
    TestRequest request = StreamRequest("/stream/x", "m1");
    request.id = absl::StrCat("r", number);
    calls.push_back(fixture.Send(node, request));
  }
  // Wait until all streams have broken off and wait for another worker.
  REQUIRE(fixture.Wait([&] {
    const std::vector<std::string> lines = node->LogLines();
    return std::count_if(lines.begin(), lines.end(), [](const std::string& line) {
             return absl::StrContains(line, "attempt_failed");
           }) == kStreams;
  }));
  options.id = "w2";
  fixture.AddWorker(options);
  REQUIRE(fixture.Wait([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->ended; });
  }));
  int broken = 0;
  for (const auto& call : calls) {
    const bool whole = call->result == ExchangeResult::kComplete;
    CHECK(call->body == (whole ? Events(1, 6) : Events(1, 3)));
    CHECK((whole || call->result == ExchangeResult::kBroken));
    broken += whole ? 0 : 1;
  }
  CHECK(broken > 0);
  CHECK(broken < kStreams);
  // Streams without a retry were broken off; none got a second answer inside its first.
  CHECK(node->metrics.streams_broken == broken);
  CHECK(node->metrics.requests_by_status[502] == 0);
}

TEST_CASE("an encoded body is never forwarded as the worker's answer") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1")->SetFault(WorkerFault::kEncodes);
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, TestRequest{});
  CHECK(call->head.status == 502);
  CHECK(call->body.empty());
}

TEST_CASE("metrics have an address of their own, and callers are served without it") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1");
  TestNode* const node = fixture.AddNode("n1", "127.0.0.1:0");
  TestCall call;
  call.exchange = fixture.caller.Send(node->gateway.metrics_address(),
                                      RequestText("GET", "/metrics", "h", {}, ""), &call);
  REQUIRE(fixture.Wait([&] { return call.ended; }));
  CHECK(call.body.find("hingespan_requests_waiting") != std::string::npos);
  // The metrics address of the second node is already in use.
  TestNode* const other = fixture.AddNode("n2", node->gateway.metrics_address());
  CHECK(fixture.Ask(other, TestRequest{})->head.status == 200);
}

TEST_CASE("when the caller leaves, its worker's connection ends") {
  GatewayFixture fixture;
  auto* const worker = fixture.AddPlainWorker("w1");
  worker->SetFault(WorkerFault::kSilent);
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Send(node, TestRequest{});
  REQUIRE(fixture.Wait([&] { return !worker->runs().empty(); }));
  call->exchange->Cancel();
  CHECK(fixture.Wait([&] { return worker->runs().front().caller_disconnected; }));
}

TEST_CASE("a running request gets its final answer at the route's timeout") {
  GatewayFixture fixture;
  fixture.PutConfiguration(2, 200);
  fixture.AddPlainWorker("w1")->SetFault(WorkerFault::kSilent);
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request;
  request.deadline_ms = 15000;
  CHECK(fixture.Ask(node, request)->head.status == 504);
}

TEST_CASE("a cold model is loaded when it is asked for, and its request then served") {
  GatewayFixture fixture;
  fixture.AddModelWorker("w1", "m1");
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, StreamRequest("/stream/x", "m2"));
  CHECK(call->body == Events(1, 6));
  // The worker has no memory for both m1 and m2.
  CHECK(!fixture.workers[0]->Holds("m1"));
  for (const auto& order : fixture.workers[0]->orders()) {
    CHECK(order.token > 0);
  }
}

TEST_CASE("a caller that won't wait for a cold model is told at once when to retry") {
  GatewayFixture fixture;
  fixture.PutConfiguration(2, 20000, 4.0);
  emulator::PlatformWorkerOptions options;
  options.id = "w1";
  options.service = "models";
  options.load_time = absl::Seconds(60);
  fixture.AddWorker(options);
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request = StreamRequest("/stream/x", "m2");
  request.deadline_ms = 15000;
  const absl::Time began = fixture.loop.Now();
  const auto call = fixture.Ask(node, request);
  CHECK(call->head.status == 503);
  // The request is held neither for two seconds, the time that callers wait for a first event, nor
  // for half of its deadline.
  CHECK(fixture.loop.Now() - began < absl::Seconds(2));
  double seconds = 0;
  REQUIRE(absl::SimpleAtod(FieldOf(*call, "Retry-After"), &seconds));
  CHECK(seconds > 3.0);
  CHECK(seconds < 5.0);
}

TEST_CASE("all callers that wait for the same cold model are told, not only the first one") {
  GatewayFixture fixture;
  fixture.PutConfiguration(2, 20000, 4.0);
  emulator::PlatformWorkerOptions options;
  options.id = "w1";
  options.service = "models";
  options.load_time = absl::Seconds(60);
  fixture.AddWorker(options);
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request = StreamRequest("/stream/x", "m2");
  request.deadline_ms = 15000;
  constexpr int kCallers = 60;
  std::vector<decltype(fixture.Send(node, request))> calls;
  for (int number = 0; number < kCallers; ++number) {
    request.id = absl::StrCat("r", number);
    calls.push_back(fixture.Send(node, request));
  }
  REQUIRE(fixture.Wait([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->ended; });
  }));
  CHECK(node->metrics.refusals["model_absent"] == kCallers);
}

TEST_CASE("a caller whose answer would be late is asked to retry, and is served then") {
  GatewayFixture fixture;
  // A load takes longer than the target latency, but less than callers wait for a first event.
  fixture.PutConfiguration(2, 20000, 1.0, 400);
  emulator::PlatformWorkerOptions options;
  options.id = "w1";
  options.service = "models";
  options.load_time = absl::Seconds(1);
  fixture.AddWorker(options);
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request = StreamRequest("/stream/x", "m2");
  request.deadline_ms = 15000;
  const auto call = fixture.Ask(node, request);
  CHECK(call->head.status == 503);
  double seconds = 0;
  REQUIRE(absl::SimpleAtod(FieldOf(*call, "Retry-After"), &seconds));
  CHECK(seconds > 0.9);
  CHECK(seconds < 2.0);
  // No request waits at the node, but the model is loaded, as a caller is expected to retry.
  REQUIRE(fixture.Wait([&] { return fixture.workers[0]->Holds("m2"); }));
  request.id = "r2";
  CHECK(fixture.Ask(node, request)->head.status == 200);
}

TEST_CASE("an adapter is loaded on demand") {
  GatewayFixture fixture;
  fixture.AddModelWorker("w1", "m1");
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, StreamRequest("/stream/x", "m1/a2"));
  CHECK(call->body == Events(1, 6));
}

TEST_CASE("only one of several nodes sends orders, and the others report their demand to it") {
  GatewayFixture fixture;
  fixture.AddModelWorker("w1", "m1");
  fixture.AddNode("n1");
  fixture.AddNode("n2");
  fixture.AddNode("n3");
  for (const auto& node : fixture.nodes) {
    const auto call = fixture.Ask(node.get(), StreamRequest("/stream/x", "m2"));
    CHECK(call->head.status == 200);
  }
  std::set<std::uint64_t> tokens;
  for (const auto& order : fixture.workers[0]->orders()) {
    tokens.insert(order.token);
  }
  CHECK(tokens.size() == 1);
}

TEST_CASE("a lease holder stops using its fencing token once a worker has seen a higher one") {
  GatewayFixture fixture;
  auto* const worker = fixture.AddModelWorker("w1", "m1");
  TestNode* const node = fixture.AddNode("n1");
  worker->SetHighestToken(1000000);
  TestRequest request = StreamRequest("/stream/x", "m2");
  request.deadline_ms = 1500;
  const auto call = fixture.Ask(node, request);
  CHECK(call->head.status == 503);
  const auto refused = std::count_if(worker->orders().begin(), worker->orders().end(),
                                     [](const auto& order) { return order.status == 412; });
  CHECK(refused >= 1);
  // Each refusal ends the lease. The node acquires it again, with a higher token, before the next
  // order.
  std::set<std::uint64_t> tokens;
  for (const auto& order : worker->orders()) {
    CHECK(tokens.insert(order.token).second);
  }
}

TEST_CASE("a new configuration is applied and an older one is never restored") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1");
  TestNode* const node = fixture.AddNode("n1");
  fixture.PutConfiguration(7);
  REQUIRE(fixture.Wait([&] { return node->metrics.configuration_version == 7; }));
  fixture.PutConfiguration(3);
  fixture.AddPlainWorker("w2");
  fixture.PutConfiguration(8);
  REQUIRE(fixture.Wait([&] { return node->metrics.configuration_version == 8; }));
}

TEST_CASE("changes arrive after the store has compacted its history") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1");
  TestNode* const node = fixture.AddNode("n1");
  fixture.store.Compact();
  fixture.PutConfiguration(2);
  CHECK(fixture.Wait([&] { return node->metrics.configuration_version == 2; }));
}

TEST_CASE("a draining worker gets no new requests") {
  GatewayFixture fixture;
  auto* const leaving = fixture.AddPlainWorker("w1");
  fixture.AddPlainWorker("w2");
  TestNode* const node = fixture.AddNode("n1");
  leaving->SetDraining();
  fixture.PutConfiguration(2);
  REQUIRE(fixture.Wait([&] { return node->metrics.configuration_version == 2; }));
  // The worker's row was written before the configuration but to another table, so it may arrive
  // later: at most one request may still reach the worker.
  for (int number = 0; number < 20; ++number) {
    TestRequest request;
    request.id = absl::StrCat("r", number);
    CHECK(fixture.Ask(node, request)->head.status == 200);
  }
  CHECK(leaving->runs().size() <= 1);
}

TEST_CASE("a stopping node ends running requests and answers waiting ones") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1")->SetFault(WorkerFault::kSilent);
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request;
  request.deadline_ms = 30000;
  const auto running = fixture.Send(node, request);
  REQUIRE(fixture.Wait([&] { return !fixture.workers[0]->runs().empty(); }));
  // This request waits, as no worker holds models.
  const auto waiting = fixture.Send(node, StreamRequest("/once/x", "m1"));
  std::map<int, std::uint64_t> answered;
  node->gateway.Stop([&] {
    node->stopped = true;
    answered = node->metrics.requests_by_status;
  });
  REQUIRE(fixture.Wait([&] { return node->stopped; }));
  // The process would exit now, so every request must have been answered.
  CHECK(answered[503] == 1);
  CHECK(answered[504] == 1);
  REQUIRE(fixture.Wait([&] { return running->ended && waiting->ended; }));
  CHECK(running->result == ExchangeResult::kComplete);
  CHECK(running->head.status == 504);
  CHECK(waiting->result == ExchangeResult::kComplete);
  CHECK(waiting->head.status == 503);
}

// The stop's log lines distinguish an answer lost with the process from one that was sent and cut
// off on its way to the caller.
TEST_CASE("the log lines of a stop say why it ended and what was unsent by then") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1")->SetFault(WorkerFault::kSilent);
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request;
  request.deadline_ms = 30000;
  const auto running = fixture.Send(node, request);
  REQUIRE(fixture.Wait([&] { return !fixture.workers[0]->runs().empty(); }));
  node->gateway.Stop([&] { node->stopped = true; });
  REQUIRE(fixture.Wait([&] { return node->stopped; }));
  const std::vector<std::string> lines = node->LogLines();
  const auto has = [&](const char* event, const char* text) {
    return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
      return absl::StrContains(line, event) && absl::StrContains(line, text);
    });
  };
  CHECK(has("\"stopping\"", "\"why\":\"asked\",\"open_requests\":\"1\""));
  CHECK(has("\"stopped\"", "\"why\":\"limit\",\"open_requests\":\"0\""));
  CHECK(has("\"stopped\"", "\"unsent_bytes\":\"0\""));
  CHECK(has("\"stopped\"", "\"unread_bytes\":\"0\""));
}

}  // namespace
}  // namespace hingespan::gateway
