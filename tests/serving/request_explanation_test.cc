// Produces one failure of each kind and checks that its cause is found from the nodes' logs alone.
#include "hingespan/operator/request_explanation.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

using emulator::WorkerFault;

TestRequest StreamRequest(const std::string& target, const std::string& id,
                          const std::string& model) {
  TestRequest request;
  request.target = target;
  request.id = id;
  request.fields = {{"Model", model}, {"Token-Count", "10,6"}};
  return request;
}

RequestExplanation Explain(const GatewayFixture& fixture, const std::string& id) {
  std::vector<std::string> lines;
  for (const auto& node : fixture.nodes) {
    const std::vector<std::string> node_lines = node->LogLines();
    lines.insert(lines.end(), node_lines.begin(), node_lines.end());
  }
  return ExplainRequest(lines, id);
}

TEST_CASE(
    "refused although workers were free: no worker held the model, and which load was ordered") {
  GatewayFixture fixture;
  fixture.PutConfiguration(2, 20000, 4.0);
  emulator::PlatformWorkerOptions options;
  options.id = "w1";
  options.service = "models";
  options.load_time = absl::Seconds(60);
  fixture.AddWorker(options);
  // The refusing node is not the one that sends orders.
  fixture.AddNode("n1");
  TestNode* const other = fixture.AddNode("n2");
  TestRequest request = StreamRequest("/stream/x", "refused-1", "m2");
  request.deadline_ms = 15000;
  REQUIRE(fixture.Ask(other, request)->head.status == 503);
  const RequestExplanation explanation = Explain(fixture, "refused-1");
  CHECK(explanation.found);
  CAPTURE(explanation.cause);
  CHECK(absl::StrContains(explanation.cause, "no worker held model m2"));
  CHECK(absl::StrContains(explanation.cause, "at worker w1 was ordered"));
}

TEST_CASE("broken off midway: names the worker and that the route allowed no other one") {
  GatewayFixture fixture;
  fixture.AddModelWorker("w1", "m1")->SetFault(WorkerFault::kBreaksStream);
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, StreamRequest("/once/x", "broken-1", "m1"));
  REQUIRE(call->result == ExchangeResult::kBroken);
  const RequestExplanation explanation = Explain(fixture, "broken-1");
  CAPTURE(explanation.cause);
  CHECK(absl::StrContains(explanation.cause, "broken off: worker w1 (broken_off)"));
  CHECK(explanation.lines.size() >= 2);
}

TEST_CASE("a stream that can't go on: names the stream, or the version that is gone") {
  GatewayFixture fixture;
  for (const char* const version : {"v1", "v2"}) {
    emulator::PlatformWorkerOptions options;
    options.id = absl::StrCat("worker-", version);
    options.service = "models";
    options.software_version = version;
    options.models["m1"];
    fixture.AddWorker(options);
  }
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request = StreamRequest("/stream/x", "next-1", "m1");
  request.fields.push_back({"Resumes", "first-1"});
  request.fields.push_back({"Last-Event-Id", "2"});
  REQUIRE(fixture.Ask(node, request)->head.status == 503);
  CHECK(absl::StrContains(Explain(fixture, "next-1").cause, "stream of request first-1"));
  REQUIRE(fixture.Ask(node, StreamRequest("/stream/x", "began-1", "m1"))->head.status == 200);
  for (const auto& worker : fixture.workers) {
    if (!worker->runs().empty()) {
      worker->SetDraining();
    }
  }
  request.id = "next-2";
  request.fields[2].value = "began-1";
  REQUIRE(fixture.Wait([&] {
    request.id += "x";
    return fixture.Ask(node, request)->head.status == 503;
  }));
  CHECK(absl::StrContains(Explain(fixture, request.id).cause, "has the version v"));
}

TEST_CASE("late because of a cold model: names the wait and the load it waited for") {
  GatewayFixture fixture;
  emulator::PlatformWorkerOptions options;
  options.id = "w1";
  options.service = "models";
  options.load_time = absl::Milliseconds(800);
  fixture.AddWorker(options);
  TestNode* const node = fixture.AddNode("n1");
  const auto call = fixture.Ask(node, StreamRequest("/stream/x", "late-1", "m2"));
  REQUIRE(call->head.status == 200);
  const RequestExplanation explanation = Explain(fixture, "late-1");
  CAPTURE(explanation.cause);
  CHECK(absl::StrContains(explanation.cause, "served late: it waited"));
  CHECK(absl::StrContains(explanation.cause, "for a replica of m2"));
  CHECK(absl::StrContains(explanation.cause, "first replica"));
}

TEST_CASE("refused without a route: names the node and its configuration version") {
  GatewayFixture fixture;
  fixture.PutConfiguration(7);
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request;
  request.id = "astray-1";
  request.target = "/nowhere/";
  REQUIRE(fixture.Ask(node, request)->head.status == 404);
  const RequestExplanation explanation = Explain(fixture, "astray-1");
  CHECK(explanation.found);
  CHECK(explanation.cause ==
        "404: version 7 of the configuration, in force at n1, has no route for it");
}

TEST_CASE("a request that appears in no log line is reported as not found") {
  const RequestExplanation explanation = ExplainRequest({"noise", "{}", "{\"event\":1}"}, "x");
  CHECK(!explanation.found);
}

}  // namespace
}  // namespace hingespan::gateway
