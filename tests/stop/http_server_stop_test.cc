// Ends a server as the end of its process does: its event loop is destroyed without running on.
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

// Guards against a process that ends with the tail of an answer still behind a write under way.
TEST_CASE("an answer counts as open until all of its bytes have left the process") {
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

// Guards against a process that ends between the reading of a request and the handler that counts
// it.
TEST_CASE("a request is read only by the handler that opens its exchange") {
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

// Guards against a process that ends between an answer and the parsing of a request read behind it.
TEST_CASE("a request read behind another counts until it is answered") {
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

// Guards against a request that is read, then dropped because the answer before it closes.
TEST_CASE("a request read before the connection is asked to close is answered first") {
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

// Guards against a refusal that is lost with its process: no exchange was opened for it.
TEST_CASE("a refused request counts until its refusal has left") {
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
