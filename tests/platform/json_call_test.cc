#include "platform/json_call.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>

#include "hingespan/http/http_server.h"

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

  Result<JsonAnswer> Ask() {
    std::optional<Result<JsonAnswer>> result;
    JsonCall call;
    call.address = server.address();
    call.target = "/";
    call.timeout = kTimeout;
    StartJsonCall(&loop, &client, call, [&](Result<JsonAnswer> answer) { result = answer; });
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }, kLimit));
    return *result;
  }

  EventLoop loop;
  int pieces_left = 0;
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

TEST_CASE("a call to a silent server times out") {
  Fixture fixture;
  const auto answer = fixture.Ask();
  REQUIRE(!answer.ok());
  CHECK(answer.error() == make_error_code(Error::kTimeout));
}

}  // namespace
}  // namespace hingespan::gateway::platform
