// Tests that callers can't exhaust the server with slow, endless, oversized or too many requests.
#include "hingespan/net/http_server.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "tests/net/raw_client.h"

namespace hingespan {
namespace {

constexpr absl::Duration kShort = absl::Milliseconds(200);
constexpr absl::Duration kLong = absl::Seconds(20);
// A slow sender that is not cut off after this many bytes counts as never cut off.
constexpr int kMaximumSlowBytes = 2000;
constexpr int kByteIntervalMs = 5;

std::string ErrorBody(int status, std::string_view problem) {
  return absl::StrCat("{\"status\":", status, ",\"problem\":\"", std::string(problem), "\"}");
}

struct ServerFixture {
  explicit ServerFixture(HttpServerOptions options) : server(Complete(std::move(options))) {
    server.routes().Get("/hello", [](const httplib::Request&, httplib::Response& response) {
      response.set_content("hello", "text/plain");
    });
    server.routes().Post("/echo", [](const httplib::Request& request, httplib::Response& response) {
      response.set_content(request.body, "text/plain");
    });
    address = *server.Bind("127.0.0.1:0");
    server.Start();
  }

  static HttpServerOptions Complete(HttpServerOptions options) {
    options.error_body = ErrorBody;
    return options;
  }

  HttpServer server;
  std::string address;
};

HttpServerOptions WithReceiveTimeout(absl::Duration timeout) {
  HttpServerOptions options;
  options.receive_timeout = timeout;
  return options;
}

// Sends `bytes` repeatedly, one byte at a time, until the server answers. Returns the answer.
std::string SendSlowly(RawClient* client, std::string_view bytes) {
  for (int sent = 0; sent < kMaximumSlowBytes; ++sent) {
    if (client->Readable(kByteIntervalMs)) {
      return client->ReadAll();
    }
    client->Send(bytes.substr(static_cast<std::size_t>(sent) % bytes.size(), 1));
  }
  return std::string();
}

TEST_CASE("a request is answered, and the connection serves the next one") {
  ServerFixture fixture(WithReceiveTimeout(kLong));
  RawClient client(fixture.address);
  client.Send("GET /hello HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(absl::StrContains(client.ReadUntil("hello"), "200 OK"));
  client.Send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nsame");
  CHECK(absl::StrContains(client.ReadUntil("same"), "200 OK"));
  CHECK(fixture.server.counters().connections == 1);
}

// Guards against closing a connection after an answer that did not say so, which loses the caller's
// next request.
TEST_CASE("the last answer of a connection says that it is the last") {
  ServerFixture fixture(WithReceiveTimeout(kLong));
  RawClient client(fixture.address);
  std::string answer;
  for (int count = 0; count < kMaximumRequestsPerConnection; ++count) {
    client.Send("GET /hello HTTP/1.1\r\nHost: x\r\n\r\n");
    answer = client.ReadUntil("hello");
    REQUIRE(absl::StrContains(answer, "200 OK"));
  }
  CHECK(absl::StrContains(answer, "Connection: close"));
  CHECK(client.ReadAll().empty());
}

TEST_CASE("headers that arrive byte by byte are cut off at the receive timeout") {
  ServerFixture fixture(WithReceiveTimeout(kShort));
  RawClient client(fixture.address);
  client.Send("GET /hello HTTP/1.1\r\n");
  CHECK(absl::StrContains(SendSlowly(&client, "X-Slow: yes\r\n"), "408"));
  CHECK(fixture.server.counters().receive_timeouts == 1);
}

TEST_CASE("a body that arrives byte by byte is cut off at the receive timeout") {
  ServerFixture fixture(WithReceiveTimeout(kShort));
  RawClient client(fixture.address);
  client.Send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n");
  const std::string answer = SendSlowly(&client, "a");
  CHECK(absl::StrContains(answer, "408"));
  CHECK(absl::StrContains(answer, "Connection: close"));
  CHECK(!absl::StrContains(answer, "Keep-Alive"));
  CHECK(fixture.server.counters().receive_timeouts == 1);
}

TEST_CASE("a connection that sends nothing is closed") {
  ServerFixture fixture(WithReceiveTimeout(kShort));
  RawClient client(fixture.address);
  CHECK(client.ReadAll().empty());
}

TEST_CASE("oversized bodies of known and of unknown length are refused") {
  HttpServerOptions options = WithReceiveTimeout(kLong);
  options.maximum_body_bytes = 1000;
  ServerFixture fixture(options);
  SUBCASE("known") {
    RawClient client(fixture.address);
    client.Send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n");
    CHECK(absl::StrContains(client.ReadUntil("}"), "413"));
  }
  SUBCASE("chunked") {
    RawClient client(fixture.address);
    client.Send("POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = absl::StrCat("1000\r\n", std::string(0x1000, 'a'), "\r\n");
    for (int count = 0; count < 100 && !client.Readable(0); ++count) {
      client.Send(chunk);
    }
    CHECK(absl::StrContains(client.ReadUntil("}"), "413"));
  }
}

TEST_CASE("an unknown path is answered with an error body") {
  ServerFixture fixture(WithReceiveTimeout(kLong));
  RawClient client(fixture.address);
  client.Send("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(absl::StrContains(client.ReadUntil("}"), "no such path"));
}

TEST_CASE("connections beyond the limit are answered 503 immediately") {
  HttpServerOptions options = WithReceiveTimeout(kLong);
  options.maximum_connections = 1;
  ServerFixture fixture(options);
  absl::Notification entered;
  absl::Notification release;
  // Added after Start, but before any request to this path.
  fixture.server.routes().Get("/wait", [&](const httplib::Request&, httplib::Response& response) {
    entered.Notify();
    release.WaitForNotificationWithTimeout(kLong);
    response.set_content("done", "text/plain");
  });
  RawClient first(fixture.address);
  first.Send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(entered.WaitForNotificationWithTimeout(kLong));
  RawClient second(fixture.address);
  second.Send("GET /hello HTTP/1.1\r\nHost: x\r\n\r\n");
  const std::string refused = second.ReadUntil("}");
  CHECK(absl::StrContains(refused, "503"));
  CHECK(absl::StrContains(refused, "Retry-After: 1"));
  release.Notify();
  CHECK(absl::StrContains(first.ReadUntil("done"), "200 OK"));
  CHECK(fixture.server.counters().refused == 1);
}

TEST_CASE("every caller beyond all limits is answered 503 while earlier ones are connected") {
  constexpr int kCallers = 40;
  HttpServerOptions options = WithReceiveTimeout(kLong);
  options.maximum_connections = 1;
  options.maximum_refusals = 2;
  ServerFixture fixture(options);
  absl::Notification entered;
  absl::Notification release;
  fixture.server.routes().Get("/wait", [&](const httplib::Request&, httplib::Response& response) {
    entered.Notify();
    release.WaitForNotificationWithTimeout(kLong);
    response.set_content("done", "text/plain");
  });
  RawClient first(fixture.address);
  first.Send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(entered.WaitForNotificationWithTimeout(kLong));
  std::vector<std::unique_ptr<RawClient>> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::make_unique<RawClient>(fixture.address));
    callers.back()->Send("GET /hello HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  int answered = 0;
  for (const auto& caller : callers) {
    const std::string refused = caller->ReadUntil("}");
    const bool complete = absl::StrContains(refused, " 503 ") &&
                          absl::StrContains(refused, "Retry-After: 1") &&
                          absl::StrContains(refused, "too many connections");
    answered += complete ? 1 : 0;
  }
  release.Notify();
  CHECK(answered == kCallers);
  CHECK(fixture.server.counters().refused == kCallers);
  CHECK(fixture.server.counters().closed == 0);
}

TEST_CASE("an idle connection is closed when the server is near its limit") {
  HttpServerOptions options = WithReceiveTimeout(kLong);
  options.maximum_connections = 1;
  options.keep_alive_timeout = kLong;
  ServerFixture fixture(options);
  RawClient client(fixture.address);
  client.Send("GET /hello HTTP/1.1\r\nHost: x\r\n\r\n");
  // One of one connection is in use, so the answer closes it.
  CHECK(absl::StrContains(client.ReadAll(), "hello"));
}

TEST_CASE("draining closes idle connections and still answers new ones") {
  HttpServerOptions options = WithReceiveTimeout(kLong);
  options.keep_alive_timeout = kLong;
  ServerFixture fixture(options);
  RawClient idle(fixture.address);
  idle.Send("GET /hello HTTP/1.1\r\nHost: x\r\n\r\n");
  idle.ReadUntil("hello");
  fixture.server.BeginDrain();
  CHECK(idle.ReadAll().empty());
  RawClient late(fixture.address);
  late.Send("GET /hello HTTP/1.1\r\nHost: x\r\n\r\n");
  const std::string answer = late.ReadAll();
  CHECK(absl::StrContains(answer, "Connection: close"));
  CHECK(absl::StrContains(answer, "hello"));
}

TEST_CASE("stopping closes idle connections and waits for requests in progress") {
  HttpServerOptions options = WithReceiveTimeout(kLong);
  options.keep_alive_timeout = kLong;
  ServerFixture fixture(options);
  absl::Notification entered;
  absl::Notification release;
  fixture.server.routes().Get("/wait", [&](const httplib::Request&, httplib::Response& response) {
    entered.Notify();
    release.WaitForNotificationWithTimeout(kLong);
    response.set_content("done", "text/plain");
  });
  RawClient idle(fixture.address);
  idle.Send("GET /hello HTTP/1.1\r\nHost: x\r\n\r\n");
  idle.ReadUntil("hello");
  RawClient busy(fixture.address);
  busy.Send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(entered.WaitForNotificationWithTimeout(kLong));
  std::thread stopper([&] { fixture.server.Stop(kLong); });
  CHECK(idle.ReadAll().empty());
  release.Notify();
  CHECK(absl::StrContains(busy.ReadUntil("done"), "200 OK"));
  stopper.join();
  CHECK(fixture.server.counters().open == 0);
}

}  // namespace
}  // namespace hingespan
