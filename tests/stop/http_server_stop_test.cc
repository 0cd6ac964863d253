// Simulates the exit of a server's process: its event loop is destroyed without running further.
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "hingespan/http/http_server.h"
#include "tests/net/raw_client.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);
constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct Server {
  explicit Server(HttpServer::Handler handler) : http(&loop, std::move(handler)) {
    REQUIRE(!http.Listen("127.0.0.1:0"));
  }
  bool Wait(const std::function<bool()>& done) { return loop.RunUntil(done, kLimit); }

  EventLoop loop;
  HttpServer http;
};

// Guards against a process exit with the tail of an answer queued behind a write in progress.
TEST_CASE("an answer counts as open until all of its bytes were sent") {
  bool answered = false;
  auto server = std::make_unique<Server>([&](std::shared_ptr<ServerExchange> exchange) {
    exchange->StartChunked(200, "OK", {});
    exchange->WriteChunk("abc");
    exchange->FinishChunked();
    exchange.reset();
    answered = true;
  });
  RawClient caller(server->http.address());
  REQUIRE(caller.Send(kRequest));
  REQUIRE(server->Wait([&] { return answered; }));
  CHECK(server->http.open_exchanges() == 1);
  REQUIRE(server->Wait([&] { return server->http.open_exchanges() == 0; }));
  server.reset();
  CHECK(caller.ReadAll().ends_with("\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
}

// Guards against a process exit between reading a request and the handler that counts it.
TEST_CASE("a request is read and counted within the same handler") {
  std::shared_ptr<ServerExchange> held;
  auto server = std::make_unique<Server>(
      [&](std::shared_ptr<ServerExchange> exchange) { held = std::move(exchange); });
  RawClient caller(server->http.address());
  REQUIRE(caller.Send(kRequest));
  REQUIRE(server->Wait([&] { return server->http.connections() == 1; }));
  bool read_uncounted = false;
  REQUIRE(server->Wait([&] {
    const ServerActivity activity = server->http.activity();
    read_uncounted =
        read_uncounted || (activity.unfinished() == 0 && activity.unread_bytes != kRequest.size());
    return held != nullptr;
  }));
  CHECK(!read_uncounted);
  held.reset();
}

// Guards against a process exit between an answer and the parsing of a pipelined request.
TEST_CASE("a pipelined request counts as unfinished until it is answered") {
  int answered = 0;
  auto server = std::make_unique<Server>([&](const std::shared_ptr<ServerExchange>& exchange) {
    exchange->Answer(200, "OK", {}, "");
    ++answered;
  });
  RawClient caller(server->http.address());
  REQUIRE(caller.Send(std::string(kRequest).append(kRequest)));
  REQUIRE(server->Wait([&] { return answered == 1; }));
  bool uncounted = false;
  REQUIRE(server->Wait([&] {
    uncounted = uncounted || (answered == 1 && server->http.activity().unfinished() == 0);
    return answered == 2;
  }));
  CHECK(!uncounted);
}

// Guards against a request that was read but dropped because the preceding answer closes.
TEST_CASE("a request read before AskToClose is answered before the connection closes") {
  Server server([](const std::shared_ptr<ServerExchange>& exchange) {
    exchange->Answer(200, "OK", {}, exchange->head().target);
  });
  RawClient caller(server.http.address());
  REQUIRE(caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
  server.http.AskToClose();
  REQUIRE(server.Wait([&] { return server.http.activity().closing == 1; }));
  const std::string answers = caller.ReadAll();
  CHECK(answers.find("/1") != std::string::npos);
  CHECK(answers.ends_with("Connection: close\r\nContent-Length: 2\r\n\r\n/2"));
}

// Guards against a refusal that is lost at process exit because it has no exchange.
TEST_CASE("a refused request counts as open until its refusal was sent") {
  const std::string noise = "GARBAGE\r\n\r\n";
  auto server = std::make_unique<Server>([](const std::shared_ptr<ServerExchange>&) {});
  RawClient caller(server->http.address());
  REQUIRE(caller.Send(noise));
  REQUIRE(server->Wait([&] { return server->http.activity().unread_bytes == noise.size(); }));
  REQUIRE(server->Wait([&] { return server->http.activity().unread_bytes == 0; }));
  CHECK(server->http.open_exchanges() == 1);
  REQUIRE(server->Wait([&] { return server->http.open_exchanges() == 0; }));
  server.reset();
  CHECK(caller.ReadAll().starts_with("HTTP/1.1 400 "));
}

}  // namespace
}  // namespace hingespan::gateway
