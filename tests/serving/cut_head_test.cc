// Tests of answers whose head is cut short: the connection ends in order before the head does.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/serving/gateway_world.h"
#include "tests/serving/raw_server.h"

namespace hingespan::gateway {
namespace {

// Answers each request with the same bytes, or their next longer beginning, and closes the
// connection.
class FixedAnswerServer {
 public:
  explicit FixedAnswerServer(EventLoop* loop)
      : server_(loop, [this](int, absl::string_view) {
          const RawAnswer raw{
              cuts.empty() ? answer : answer.substr(0, cuts[requests % cuts.size()]), true};
          ++requests;
          return raw;
        }) {}

  std::string address() const { return server_.address(); }

  std::string answer;
  // Lengths at which the answers are cut, in turn; empty for whole ones.
  std::vector<std::size_t> cuts;
  std::size_t requests = 0;

 private:
  RawServer server_;
};

constexpr const char* kId = "r1";
constexpr int kCallsAtOnce = 40;

struct Framing {
  const char* name;
  const char* field;
  const char* body;
};

constexpr std::array<Framing, 4> kFramings = {
    {{"length", "Content-Length: 21\r\n", "id: 1\ndata: event 1\n\n"},
     {"empty", "Content-Length: 0\r\n", ""},
     {"chunks", "Transfer-Encoding: chunked\r\n", "15\r\nid: 1\ndata: event 1\n\n\r\n0\r\n\r\n"},
     {"connection", "", "id: 1\ndata: event 1\n\n"}}};

constexpr std::array<const char*, 4> kTargets = {"/plain/x", "/safe/x", "/stream/x", "/once/x"};

std::string HeadOf(const Framing& framing) {
  // The field that decides about the framing is in the middle, so that it is cut, too, and left
  // out.
  return absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", kId,
                      "\r\nServer-Seal: seal\r\nServer-Id: w1\r\n", framing.field,
                      "Content-Type: text/event-stream\r\nX-Last: field\r\n\r\n");
}

// Lengths of the head's beginnings that end before, inside and behind a line, or inside its end.
// All lengths are in message_parser_test.
std::vector<std::size_t> CutsOf(const std::string& head) {
  std::vector<std::size_t> cuts;
  std::size_t begin = 0;
  for (std::size_t end = head.find('\n'); end != std::string::npos; end = head.find('\n', begin)) {
    for (const std::size_t length : {begin, (begin + end) / 2, end - 1, end}) {
      cuts.push_back(length);
    }
    begin = end + 1;
  }
  return cuts;
}

TestRequest RequestTo(const std::string& target) {
  TestRequest request = StreamRequest(target, "m1");
  request.id = kId;
  return request;
}

// Asks for each head, cut at each place; no caller may get what looks like a whole answer.
void CheckCutHeads(GatewayFixture* fixture, TestNode* node, FixedAnswerServer* server,
                   const std::string& target) {
  for (const Framing& framing : kFramings) {
    CAPTURE(framing.name);
    server->answer = HeadOf(framing);
    server->cuts = CutsOf(server->answer);
    const std::size_t before = server->requests;
    std::vector<std::unique_ptr<TestCall>> calls;
    const auto all_ended = [&] {
      return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->ended; });
    };
    // The node refuses some of them itself.
    while (server->requests - before < server->cuts.size()) {
      for (int number = 0; number < kCallsAtOnce; ++number) {
        calls.push_back(fixture->Send(node, RequestTo(target)));
      }
      REQUIRE(fixture->Wait(all_ended));
    }
    for (const auto& call : calls) {
      const bool looks_whole = call->result == ExchangeResult::kComplete && call->head.status < 500;
      CHECK(!looks_whole);
    }
  }
}

}  // namespace

// Guards against a cut head that is passed on as a whole answer with an empty or short body (MIXED,
// ORDER).
TEST_CASE("an answer whose head a worker cuts short is no answer, however it is framed") {
  for (const char* const target : kTargets) {
    CAPTURE(target);
    GatewayFixture fixture;
    FixedAnswerServer server(&fixture.loop);
    fixture.AddWorkerAt(server.address(), "w1", "plain");
    fixture.AddWorkerAt(server.address(), "w2", "models");
    TestNode* const node = fixture.AddNode("n1");
    // The server is heard at all: its whole answer arrives.
    server.answer = HeadOf(kFramings[0]) + kFramings[0].body;
    REQUIRE(fixture.Wait([&] { return fixture.Ask(node, RequestTo(target))->head.status == 200; }));
    CheckCutHeads(&fixture, node, &server, target);
  }
}

// Guards against the same behind another node that takes forwarded requests and ends meanwhile.
TEST_CASE("an answer whose head a peer cuts short is no answer, however it is framed") {
  for (const char* const target : kTargets) {
    CAPTURE(target);
    GatewayFixture fixture;
    FixedAnswerServer server(&fixture.loop);
    // Nobody listens at the workers' addresses, so the node forwards.
    constexpr const char* kClosed = "127.0.0.1:9";
    for (const char* const id : {"w1", "w2", "w3"}) {
      fixture.AddWorkerAt(kClosed, id, "plain");
    }
    for (const char* const id : {"w4", "w5", "w6"}) {
      fixture.AddWorkerAt(kClosed, id, "models");
    }
    // A peer that has failed is avoided for a while, so there are many.
    const nlohmann::json row{
        {"address", kClosed}, {"zone", "zone-a"}, {"forward", server.address()}};
    for (int number = 0; number < 2 * kCallsAtOnce; ++number) {
      fixture.store.Put("hingespan", absl::StrCat("node/peer-", number), row.dump());
    }
    TestNode* const node = fixture.AddNode("n1");
    server.answer = HeadOf(kFramings[0]) + kFramings[0].body;
    REQUIRE(fixture.Wait([&] { return fixture.Ask(node, RequestTo(target))->head.status == 200; }));
    CheckCutHeads(&fixture, node, &server, target);
    CHECK(node->metrics.forwards > 0);
  }
}

}  // namespace hingespan::gateway
