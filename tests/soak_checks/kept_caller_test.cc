// Tests that a keep-alive caller notices how each request on its connection ended.
#include "tests/soak/kept_caller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "hingespan/http/http_server.h"

namespace hingespan::soak {
namespace {

using gateway::ExchangeResult;
using gateway::ServerExchange;

constexpr absl::Duration kLimit = absl::Seconds(10);

struct Fixture {
  Fixture() { REQUIRE_FALSE(server.Listen("127.0.0.1:0")); }

  std::unique_ptr<KeepAliveCaller> MakeCaller(const CallerPace& pace) {
    return std::make_unique<KeepAliveCaller>(
        &loop, pace, [this] { return server.address(); },
        [this](std::string* bytes) -> RequestRecord* {
          if (records.size() == wanted) {
            return nullptr;
          }
          auto& record = records.emplace_back();
          record.loop = &loop;
          record.sent = loop.Now();
          *bytes = gateway::RequestText("POST", "/x", "h", {}, "body");
          return &record;
        });
  }

  bool AllEnd() {
    return loop.RunUntil([this] { return records.size() == wanted && records.back().ended(); },
                         kLimit);
  }

  gateway::EventLoop loop;
  std::function<void(std::shared_ptr<ServerExchange>)> handler;
  gateway::HttpServer server{&loop, [this](const std::shared_ptr<ServerExchange>& exchange) {
                               most_connections = std::max(most_connections, server.connections());
                               handler(exchange);
                             }};
  std::list<RequestRecord> records;
  std::size_t wanted = 3;
  std::size_t most_connections = 0;
};

void Answer(const std::shared_ptr<ServerExchange>& exchange) {
  exchange->Answer(200, "OK", {}, "answer");
}

TEST_CASE("requests follow each other on one connection") {
  Fixture fixture;
  fixture.handler = Answer;
  const auto caller = fixture.MakeCaller({});
  REQUIRE(fixture.AllEnd());
  for (const RequestRecord& record : fixture.records) {
    CHECK(record.result == ExchangeResult::kComplete);
    CHECK(record.body == "answer");
  }
  CHECK(fixture.most_connections == 1);
}

TEST_CASE("a caller that is asked to close goes on with a new connection") {
  Fixture fixture;
  fixture.handler = Answer;
  fixture.server.AskToClose();
  const auto caller = fixture.MakeCaller({});
  REQUIRE(fixture.AllEnd());
  for (const RequestRecord& record : fixture.records) {
    CHECK(record.result == ExchangeResult::kComplete);
    CHECK_FALSE(record.head.keep_alive);
  }
}

TEST_CASE("an answer that ends early is broken, in good order, and the caller goes on") {
  Fixture fixture;
  fixture.handler = [&fixture](const std::shared_ptr<ServerExchange>& exchange) {
    if (fixture.records.size() < fixture.wanted) {
      exchange->StartChunked(200, "OK", {});
      exchange->WriteChunk("begin");
      // Aborts only after the chunk was sent, so that the caller sees both.
      exchange->OnDrained([exchange] { exchange->Abort(); });
      return;
    }
    Answer(exchange);
  };
  const auto caller = fixture.MakeCaller({});
  REQUIRE(fixture.AllEnd());
  CHECK(fixture.records.front().result == ExchangeResult::kBroken);
  CHECK(fixture.records.front().head.status == 200);
  CHECK(fixture.records.front().ended_in_order);
  CHECK(fixture.records.back().result == ExchangeResult::kComplete);
}

TEST_CASE("a slow caller receives a large answer whole, later than it was written") {
  Fixture fixture;
  fixture.wanted = 1;
  const std::string large(400 * 1024, 'x');
  std::size_t held_back = 0;
  fixture.handler = [&](const std::shared_ptr<ServerExchange>& exchange) {
    exchange->StartChunked(200, "OK", {});
    exchange->WriteChunk(large);
    held_back = exchange->pending_bytes();
    exchange->FinishChunked();
  };
  const auto caller =
      fixture.MakeCaller({absl::ZeroDuration(), 4096, 16 * 1024, absl::Microseconds(100)});
  REQUIRE(fixture.AllEnd());
  CHECK(held_back > 0);
  CHECK(fixture.records.back().result == ExchangeResult::kComplete);
  CHECK(fixture.records.back().body == large);
}

}  // namespace
}  // namespace hingespan::soak
