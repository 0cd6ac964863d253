#include "platform/json_call.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "hingespan/http/http_server.h"
#include "tests/http/endless_server.h"
#include "tests/serving/raw_server.h"

namespace hingespan::gateway::platform {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(30);
constexpr absl::Duration kTimeout = absl::Seconds(2);

// A server that answers in pieces, or not at all.
struct Fixture {
  Fixture() { REQUIRE(!server.Listen("127.0.0.1:0")); }

  void NextPiece() {
    if (pieces_left-- == 0) {
      exchange->FinishChunked();
      return;
    }
    exchange->WriteChunk("[1]");
    timer->Set(loop.Now() + pause, [this] { NextPiece(); });
  }

  Result<JsonAnswer> Ask() { return Ask(server.address()); }
  Result<JsonAnswer> Ask(const std::string& address) {
    std::optional<Result<JsonAnswer>> result;
    JsonCall call;
    call.address = address;
    call.target = "/";
    call.timeout = timeout;
    call.head_only = head_only;
    call.max_body_bytes = max_body_bytes;
    StartJsonCall(&loop, &client, call, [&](Result<JsonAnswer> answer) { result = answer; });
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }, kLimit));
    return *result;
  }

  EventLoop loop;
  bool head_only = false;
  std::size_t max_body_bytes = JsonCall().max_body_bytes;
  int pieces_left = 0;
  absl::Duration timeout = kTimeout;
  absl::Duration pause = absl::Milliseconds(500);
  std::shared_ptr<ServerExchange> exchange;
  std::unique_ptr<LoopTimer> timer = loop.MakeTimer();
  HttpServer server{&loop, [this](std::shared_ptr<ServerExchange> asked) {
                      exchange = std::move(asked);
                      if (pieces_left > 0) {
                        exchange->StartChunked(200, "OK", {});
                        NextPiece();
                      }
                    }};
  HttpClient client{&loop, ClientLimits{}};
};

TEST_CASE("an answer that keeps arriving does not time out") {
  Fixture fixture;
  // The whole answer takes longer than the timeout.
  fixture.pieces_left = 5;
  const auto answer = fixture.Ask();
  REQUIRE(answer.ok());
  CHECK(answer->body == "[1][1][1][1][1]");
}

// Guards against an order or a report that seems to be lost, or half of one that seems to be whole,
// where only the end of the connection marks its end.
TEST_CASE("an answer that ends with its connection is whole only if that ends in order") {
  EventLoop loop;
  HttpClient client(&loop, ClientLimits{});
  std::shared_ptr<ServerExchange> held;
  HttpServer server(&loop,
                    [&](std::shared_ptr<ServerExchange> exchange) { held = std::move(exchange); });
  REQUIRE(!server.Listen("127.0.0.1:0"));
  const auto ask = [&](const std::function<void()>& end) {
    std::optional<Result<JsonAnswer>> result;
    JsonCall call;
    call.address = server.address();
    call.target = "/";
    call.timeout = kTimeout;
    StartJsonCall(&loop, &client, call, [&](Result<JsonAnswer> answer) { result = answer; });
    REQUIRE(loop.RunUntil([&] { return held != nullptr; }, kLimit));
    held->StartUnframed(200, "OK", {});
    held->WriteChunk("[1]");
    end();
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }, kLimit));
    held.reset();
    CHECK(client.connections(server.address()) == 0);
    return *result;
  };
  const Result<JsonAnswer> whole = ask([&] { held->FinishChunked(); });
  REQUIRE(whole.ok());
  CHECK(whole->body == "[1]");
  const Result<JsonAnswer> reset = ask([&] { held->Abort(); });
  CHECK(reset.error() == make_error_code(Error::kAnswerLost));
}

// Guards against an order, a report or a row of the store that is read from an answer which is none
// (MIXED).
TEST_CASE("a call whose answer has a malformed head is lost") {
  Fixture fixture;
  std::string head;
  RawServer server(&fixture.loop, [&](int, absl::string_view) {
    return RawAnswer{head + "\r\n[1]", true};
  });
  for (const char* const each :
       {"HTTP/1.1 000 OK\r\nContent-Length: 3\r\n", "HTTP/1.1 999 OK\r\nContent-Length: 3\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX: a\r\n b\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX y: a\r\n"}) {
    head = each;
    CAPTURE(head);
    const auto answer = fixture.Ask(server.address());
    REQUIRE(!answer.ok());
    CHECK(answer.error() == make_error_code(Error::kAnswerLost));
  }
  head = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n";
  CHECK(fixture.Ask(server.address()).ok());
}

// Guards against a worker's report that holds its call, and fills the memory, without an end.
TEST_CASE("an answer without an end is lost") {
  EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "[1]");
  Fixture fixture;
  const auto answer = fixture.Ask(server.address());
  REQUIRE(!answer.ok());
  CHECK(answer.error() == make_error_code(Error::kAnswerLost));
  CHECK(!server.exhausted());
}

// Guards against a worker that is taken for crashed, or fills the memory, as what it sends to a
// probe has no end.
TEST_CASE("a call that wants the head only ends with it") {
  EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "[1]");
  Fixture fixture;
  fixture.head_only = true;
  const auto answer = fixture.Ask(server.address());
  REQUIRE(answer.ok());
  CHECK(answer->status == 200);
  CHECK(answer->body.empty());
  CHECK(fixture.client.connections(server.address()) == 0);
  CHECK(!server.exhausted());
}

TEST_CASE("a body is read up to the limit of its call") {
  Fixture fixture;
  fixture.pause = absl::Milliseconds(1);
  fixture.max_body_bytes = 9;
  fixture.pieces_left = 3;
  CHECK(fixture.Ask().ok());
  fixture.pieces_left = 4;
  const auto answer = fixture.Ask();
  REQUIRE(!answer.ok());
  CHECK(answer.error() == make_error_code(Error::kAnswerLost));
}

TEST_CASE("an answer that arrives ever so slowly times out in the end") {
  Fixture fixture;
  fixture.pieces_left = 1000000;
  fixture.timeout = absl::Milliseconds(50);
  fixture.pause = absl::Milliseconds(5);
  const auto answer = fixture.Ask();
  REQUIRE(!answer.ok());
  CHECK(answer.error() == make_error_code(Error::kTimeout));
}

TEST_CASE("a call to a silent server times out") {
  Fixture fixture;
  const auto answer = fixture.Ask();
  REQUIRE(!answer.ok());
  CHECK(answer.error() == make_error_code(Error::kTimeout));
}

}  // namespace
}  // namespace hingespan::gateway::platform
