// Tests of answers that have neither a length nor chunks and end with their connection.
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

using emulator::WorkerFault;

std::string FieldOf(const TestCall& call, const char* name) {
  const std::string* const value = FindField(call.head.fields, name);
  return value == nullptr ? std::string() : *value;
}

// A plain worker whose answers the test writes itself.
struct ScriptedWorker {
  explicit ScriptedWorker(GatewayFixture* fixture)
      : server(&fixture->loop,
               [this](std::shared_ptr<ServerExchange> exchange) { held = std::move(exchange); }) {
    REQUIRE(!server.Listen("127.0.0.1:0"));
    fixture->AddPlainWorker("w1")->Announce(server.address());
  }
  void Start(int status, const std::string& id = "r1") {
    held->StartUnframed(status, "Status", {{"Attempt-Id", id}, {"Server-Seal", "seal"}});
  }
  std::shared_ptr<ServerExchange> held;
  HttpServer server;
};

TestRequest Repeatable() {
  TestRequest request;
  request.target = "/safe/x";
  return request;
}

// Guards against a pooled connection being reused that its worker closes with the answer.
TEST_CASE("an unframed answer arrives whole, and its connection is not used again") {
  GatewayFixture fixture;
  emulator::PlatformWorker* const worker = fixture.AddPlainWorker("w1");
  worker->AnswerUnframed();
  TestNode* const node = fixture.AddNode("n1");
  for (const char* const id : {"r1", "r2", "r3"}) {
    TestRequest request;
    request.id = id;
    const auto call = fixture.Ask(node, request);
    CHECK(call->result == ExchangeResult::kComplete);
    CHECK(call->head.status == 200);
    CHECK(call->body == "answer of w1");
    CHECK(FieldOf(*call, "Server-Seal") == absl::StrCat("seal-", id));
    CHECK(node->client.idle_connections(worker->address()) == 0);
  }
  CHECK(worker->runs().size() == 3);
}

// Guards against a worker's own failure, or its word that it did not run a request, getting lost.
TEST_CASE("unframed failures of a worker keep their meaning") {
  GatewayFixture fixture;
  emulator::PlatformWorker* const worker = fixture.AddPlainWorker("w1");
  worker->AnswerUnframed();
  SUBCASE("its own 500") {
    worker->SetFault(WorkerFault::kFails);
    const auto call = fixture.Ask(fixture.AddNode("n1"), TestRequest{});
    CHECK(call->head.status == 500);
    CHECK(FieldOf(*call, "Server-Seal") == "seal-500");
  }
  SUBCASE("503, not run") {
    worker->SetFault(WorkerFault::kRejects);
    const auto call = fixture.Ask(fixture.AddNode("n1"), TestRequest{});
    CHECK(call->head.status == 503);
    CHECK(!FieldOf(*call, "Retry-After").empty());
    CHECK(FieldOf(*call, "Server-Seal").empty());
  }
  SUBCASE("421 of another worker at the address") {
    fixture.AddPlainWorker("w2")->Announce(worker->address());
    worker->SetDraining();
    TestNode* const node = fixture.AddNode("n1");
    const auto call = fixture.Ask(node, TestRequest{});
    CHECK(call->head.status == 503);
    CHECK(worker->runs().empty());
  }
  SUBCASE("reset inside its body") {
    worker->SetFault(WorkerFault::kResetsAnswer);
    const auto call = fixture.Ask(fixture.AddNode("n1"), TestRequest{});
    CHECK(call->head.status == 502);
    CHECK(call->body.empty());
    CHECK(worker->runs().size() == 1);
  }
}

TEST_CASE("a repeatable request goes to a second worker after an unframed failure") {
  for (const WorkerFault fault :
       {WorkerFault::kFails, WorkerFault::kRejects, WorkerFault::kResetsAnswer,
        WorkerFault::kOtherRequest, WorkerFault::kEncodes}) {
    CAPTURE(static_cast<int>(fault));
    GatewayFixture fixture;
    TestNode* const node = fixture.AddNode("n1");
    fixture.EarnRetries(node, Repeatable());
    emulator::PlatformWorker* const failing = fixture.AddPlainWorker("w1");
    failing->AnswerUnframed();
    failing->SetFault(fault);
    const auto call = fixture.Send(node, Repeatable());
    REQUIRE(fixture.Wait([&] { return !failing->arrivals().empty(); }));
    fixture.AddPlainWorker("w2")->AnswerUnframed();
    REQUIRE(fixture.Wait([&] { return call->ended; }));
    CHECK(call->head.status == 200);
    CHECK(call->body == "answer of w2");
    CHECK(node->metrics.repeats == 1);
    CHECK(call->result == ExchangeResult::kComplete);
  }
}

// Guards against waiting for a body that the status rules out, or adding one.
TEST_CASE("unframed answers without a body are whole") {
  GatewayFixture fixture;
  ScriptedWorker worker(&fixture);
  TestNode* const node = fixture.AddNode("n1");
  int status = 0;
  SUBCASE("200") { status = 200; }
  SUBCASE("204") { status = 204; }
  SUBCASE("304") { status = 304; }
  const auto call = fixture.Send(node, TestRequest{});
  REQUIRE(fixture.Wait([&] { return worker.held != nullptr; }));
  worker.Start(status);
  worker.held->FinishChunked();
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->head.status == status);
  CHECK(call->body.empty());
  if (status != 200) {
    CHECK(FindField(call->head.fields, "Content-Length") == nullptr);
  }
}

TEST_CASE("an HTTP/1.0 caller gets an unframed answer whole") {
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1")->AnswerUnframed();
  TestNode* const node = fixture.AddNode("n1");
  TestCall call;
  call.exchange = fixture.caller.Send(node->gateway.request_address(),
                                      "POST /plain/x HTTP/1.0\r\nHost: h\r\nAttempt-Id: r1\r\n"
                                      "Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
                                      &call);
  REQUIRE(fixture.Wait([&] { return call.ended; }));
  CHECK(call.result == ExchangeResult::kComplete);
  CHECK(call.body == "answer of w1");
}

TEST_CASE("an unframed answer under way when its node is stopped arrives whole") {
  GatewayFixture fixture;
  ScriptedWorker worker(&fixture);
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Send(node, TestRequest{});
  REQUIRE(fixture.Wait([&] { return worker.held != nullptr; }));
  worker.Start(200);
  worker.held->WriteChunk("one ");
  bool stopped = false;
  node->gateway.Stop([&] { stopped = true; });
  worker.held->WriteChunk("two");
  SUBCASE("ended in order") {
    worker.held->FinishChunked();
    REQUIRE(fixture.Wait([&] { return call->ended; }));
    CHECK(call->result == ExchangeResult::kComplete);
    CHECK(call->body == "one two");
    CHECK(FieldOf(*call, "Connection") == "close");
  }
  SUBCASE("reset") {
    worker.held->Abort();
    REQUIRE(fixture.Wait([&] { return call->ended; }));
    CHECK(call->head.status == 502);
    CHECK(call->body.empty());
  }
  CHECK(fixture.Wait([&] { return stopped; }));
}

// Guards against orders that seem to have no answer, after which the worker gets no further ones.
TEST_CASE("models are loaded by workers whose answers to orders and reports are unframed") {
  GatewayFixture fixture;
  emulator::PlatformWorker* const worker = fixture.AddModelWorker("w1", "");
  worker->AnswerUnframed();
  TestNode* const node = fixture.AddNode("n1");
  for (const char* const model : {"m1", "m2", "m1/a1"}) {
    TestRequest request = StreamRequest("/once/x", model);
    request.id = model;
    request.deadline_ms = 10000;
    const auto call = fixture.Ask(node, request);
    CHECK(call->head.status == 200);
    CHECK(call->body == Events(1, 6));
  }
  CHECK(node->metrics.orders_without_answer == 0);
}

}  // namespace
}  // namespace hingespan::gateway
