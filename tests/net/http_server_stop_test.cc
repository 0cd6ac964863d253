// A stopping server answers each connection that the kernel has accepted.
#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/net/http_server.h"
#include "tests/net/raw_client.h"

namespace hingespan {
namespace {

constexpr absl::Duration kLong = absl::Seconds(20);
constexpr int kServers = 40;
constexpr int kClientsOfServer = 3;
constexpr int kCallsBeforeStop = 20;

std::unique_ptr<HttpServer> MakeHelloServer(std::string* address) {
  HttpServerOptions options;
  options.receive_timeout = kLong;
  options.error_body = [](int status, std::string_view) { return absl::StrCat(status); };
  options.stopping_body = [](std::string_view) { return std::string("stopping body"); };
  auto server = std::make_unique<HttpServer>(options);
  server->routes().Get("/hello", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("hello", "text/plain");
  });
  *address = *server->Bind("127.0.0.1:0");
  server->Start();
  return server;
}

// Sends requests, each on a new connection, until a connection is refused.
class LoadUntilRefused {
 public:
  explicit LoadUntilRefused(std::string address) : address_(std::move(address)) {
    thread_ = std::thread([this] { Run(); });
  }

  void Join() { thread_.join(); }
  int answered() const { return answered_; }
  int unanswered() const { return unanswered_; }

 private:
  void Run() {
    while (true) {
      RawClient client(address_);
      if (!client.connected()) {
        return;
      }
      client.Send("GET /hello HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      const std::string answer = client.ReadAll();
      const bool complete =
          absl::StrContains(answer, " 200 ") || absl::StrContains(answer, " 503 ");
      ++(complete ? answered_ : unanswered_);
    }
  }

  std::string address_;
  std::atomic<int> answered_ = 0;
  std::atomic<int> unanswered_ = 0;
  std::thread thread_;
};

// Stops a server under load. Returns the number of connections that it accepted but did not answer.
int UnansweredAtStop() {
  std::string address;
  const std::unique_ptr<HttpServer> server = MakeHelloServer(&address);
  std::vector<std::unique_ptr<LoadUntilRefused>> clients;
  for (int client = 0; client < kClientsOfServer; ++client) {
    clients.push_back(std::make_unique<LoadUntilRefused>(address));
  }
  while (clients.front()->answered() < kCallsBeforeStop && clients.front()->unanswered() == 0) {
    std::this_thread::yield();
  }
  server->Stop(kLong);
  int unanswered = 0;
  for (const auto& client : clients) {
    client->Join();
    unanswered += client->unanswered();
  }
  return unanswered;
}

TEST_CASE("a stop answers or refuses every connection, including those that arrive during it") {
  std::atomic<int> unanswered = 0;
  std::vector<std::thread> servers;
  for (int server = 0; server < kServers; ++server) {
    servers.emplace_back([&unanswered] { unanswered += UnansweredAtStop(); });
  }
  for (std::thread& server : servers) {
    server.join();
  }
  CHECK(unanswered == 0);
}

TEST_CASE("a connection without a request yet is told that the server is stopping") {
  std::string address;
  const std::unique_ptr<HttpServer> server = MakeHelloServer(&address);
  RawClient late(address);
  REQUIRE(late.connected());
  std::thread stopper([&server] { server->Stop(kLong); });
  const std::string answer = late.ReadAll();
  late.Close();
  stopper.join();
  CHECK(absl::StrContains(answer, " 503 "));
  CHECK(absl::StrContains(answer, "Retry-After: 1"));
  CHECK(absl::EndsWith(answer, "stopping body"));
}

// Guards against a node that reports a clean stop although it cut off an answer that its caller was
// still reading.
TEST_CASE("a stop reports if it cut off an answer that was being written") {
  HttpServerOptions options;
  options.receive_timeout = kLong;
  HttpServer server(options);
  std::size_t size = 0;
  server.routes().Get("/large", [&](const httplib::Request&, httplib::Response& response) {
    response.set_content(std::string(size, 'x'), "text/plain");
  });
  const std::string address = *server.Bind("127.0.0.1:0");
  server.Start();
  RawClient caller(address);
  const auto ask = [&] {
    caller.Send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(caller.Readable(kRawClientLimitMs));
  };
  SUBCASE("the caller stops reading") {
    // More than the connection buffers while the caller does not read.
    size = 64 << 20;
    ask();
    CHECK(!server.Stop(absl::ZeroDuration()));
  }
  SUBCASE("the caller keeps reading") {
    size = 4 << 20;
    ask();
    bool complete = false;
    std::thread stopper([&] { complete = server.Stop(kLong); });
    CHECK(caller.ReadAll().size() > size);
    stopper.join();
    CHECK(complete);
  }
}

}  // namespace
}  // namespace hingespan
