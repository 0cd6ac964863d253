// Tests of workers whose answers have no end.
#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "tests/http/endless_server.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

constexpr const char* kHead =
    "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
// A chunk of 16 bytes.
constexpr const char* kChunk = "10\r\naaaaaaaaaaaaaaaa\r\n";

void Announce(GatewayFixture* fixture, const EndlessServer& server, const std::string& service) {
  using Json = nlohmann::json;
  const Json model{{"name", "m1"}, {"version", 1}, {"adapters", Json::array()}};
  const Json row{{"service", service}, {"address", server.address()},
                 {"zone", "zone-a"},   {"version", "v1"},
                 {"slots", 4},         {"state", "ready"},
                 {"sequence", 1},      {"models", Json::array({model})}};
  fixture->store.Put("servers", "w1", row.dump());
}

// Guards against a node whose memory a faulty worker fills until the deadline.
TEST_CASE("a whole answer without an end is a failed attempt") {
  EndlessServer server(kHead, kChunk);
  GatewayFixture fixture;
  Announce(&fixture, server, "plain");
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request;
  request.deadline_ms = 30000;
  const auto call = fixture.Ask(node, request);
  CHECK(call->head.status == 502);
  CHECK(call->body.empty());
  CHECK(!server.exhausted());
}

// Guards against a node whose memory is filled by requests that wait for another worker (Fault).
TEST_CASE("what is kept of an answer without an end is released when its attempt fails") {
  std::string head = kHead;
  SUBCASE("a success") {}
  SUBCASE("a failure") { head.replace(head.find("200 OK"), 6, "500 Bad"); }
  GatewayFixture fixture;
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request;
  request.target = "/safe/x";
  fixture.EarnRetries(node, request);
  EndlessServer server(head, kChunk);
  Announce(&fixture, server, "plain");
  request.deadline_ms = 30000;
  const auto call = fixture.Send(node, request);
  constexpr std::size_t kLarge = 1024 * 1024;
  constexpr std::size_t kSmall = 1024;
  REQUIRE(fixture.Wait([&] { return node->gateway.kept_answer_bytes() >= kLarge; }));
  REQUIRE(fixture.Wait([&] {
    const std::vector<std::string> lines = node->LogLines();
    return std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
      return absl::StrContains(line, "without_end");
    });
  }));
  CHECK(!call->ended);
  CHECK(node->gateway.kept_answer_bytes() < kSmall);
  CHECK(!server.exhausted());
}

TEST_CASE("an event without an end breaks its stream off") {
  EndlessServer server(std::string(kHead) + "15\r\nid: 1\ndata: event 1\n\n\r\n", kChunk);
  GatewayFixture fixture;
  Announce(&fixture, server, "models");
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request = StreamRequest("/once/x", "m1");
  request.deadline_ms = 30000;
  const auto call = fixture.Ask(node, request);
  CHECK(call->result == ExchangeResult::kBroken);
  CHECK(call->body == Events(1, 1));
  CHECK(!server.exhausted());
}

}  // namespace
}  // namespace hingespan::gateway
