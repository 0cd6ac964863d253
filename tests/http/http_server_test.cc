#include "hingespan/http/http_server.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "tests/net/raw_client.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);
constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* kLastRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

struct Fixture {
  // The default handler keeps the last request unanswered in `held`.
  explicit Fixture(HttpServer::Handler handler = nullptr)
      : server(
            &loop, handler ? std::move(handler) : [this](std::shared_ptr<ServerExchange> exchange) {
              held = std::move(exchange);
            }) {
    REQUIRE(!server.Listen("127.0.0.1:0"));
  }
  bool Wait(const std::function<bool()>& done) { return loop.RunUntil(done, kLimit); }

  EventLoop loop;
  std::shared_ptr<ServerExchange> held;
  HttpServer server;
};

TEST_CASE("a connection passes through the states idle, answering, sending and closing") {
  Fixture fixture;
  HttpServer& server = fixture.server;
  RawClient caller(server.address());
  REQUIRE(fixture.Wait([&] { return server.activity().idle == 1; }));
  REQUIRE(caller.Send(kLastRequest));
  REQUIRE(fixture.Wait([&] { return fixture.held != nullptr; }));
  CHECK(server.activity().answering == 1);
  CHECK(server.activity().unsent_bytes == 0);
  fixture.held->Answer(200, "OK", {}, "abc");
  CHECK(server.activity().answering == 0);
  CHECK(server.activity().sending == 1);
  CHECK(server.activity().unsent_bytes > 0);
  REQUIRE(fixture.Wait([&] { return server.activity().closing == 1; }));
  CHECK(server.activity().unsent_bytes == 0);
  CHECK(caller.ReadAll().ends_with("abc"));
  caller.Close();
  CHECK(fixture.Wait([&] { return server.connections() == 0; }));
}

TEST_CASE("received bytes that were not parsed yet are counted") {
  Fixture fixture;
  RawClient caller(fixture.server.address());
  REQUIRE(caller.Send(kRequest));
  REQUIRE(fixture.Wait([&] { return fixture.held != nullptr; }));
  CHECK(fixture.server.activity().unread_bytes == 0);
  REQUIRE(caller.Send(kRequest));
  CHECK(fixture.Wait(
      [&] { return fixture.server.activity().unread_bytes == std::string(kRequest).size(); }));
}

}  // namespace
}  // namespace hingespan::gateway
