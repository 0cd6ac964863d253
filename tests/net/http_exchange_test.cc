#include "hingespan/net/http_exchange.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <array>
#include <cstring>
#include <string>
#include <thread>

#include "absl/synchronization/notification.h"
#include "hingespan/common/clock.h"
#include "hingespan/net/http_server.h"
#include "tests/http/endless_server.h"
#include "tests/net/raw_client.h"

namespace hingespan {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);

// Listens on a port that the kernel chooses.
class Listener {
 public:
  Listener() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const SocketAddress any = *ParseSocketAddress("127.0.0.1:0");
    bind(socket_, reinterpret_cast<const sockaddr*>(&any.storage), any.length);
    listen(socket_, 1);
    sockaddr_storage bound{};
    socklen_t length = sizeof(bound);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&bound), &length);
    address_ = FormatSocketAddress(bound);
  }
  ~Listener() { close(socket_); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  int Accept() const { return accept(socket_, nullptr, nullptr); }
  const std::string& address() const { return address_; }

 private:
  int socket_;
  std::string address_;
};

// Accepts one connection and sends `head`, then single bytes slowly until the peer closes.
class SlowServer {
 public:
  explicit SlowServer(std::string head)
      : head_(std::move(head)), thread_([this] { SendSlowly(); }) {}
  ~SlowServer() { thread_.join(); }
  const std::string& address() const { return listener_.address(); }

 private:
  static constexpr int kMaximumSlowBytes = 4000;
  static constexpr int kByteIntervalMs = 5;

  void SendSlowly() {
    const int connection = listener_.Accept();
    std::string bytes = head_;
    for (int sent = 0; sent < kMaximumSlowBytes; ++sent) {
      if (send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
        break;
      }
      bytes = "x";
      pollfd entry{connection, POLLRDHUP, 0};
      poll(&entry, 1, kByteIntervalMs);
    }
    close(connection);
  }

  const std::string head_;
  const Listener listener_;
  std::thread thread_;
};

enum class ConnectionEnd { kClose, kReset, kNone };

// Accepts one connection, sends `bytes` and ends the connection as told, or leaves it open until
// the peer closes.
class OneAnswerServer {
 public:
  OneAnswerServer(std::string bytes, ConnectionEnd end)
      : bytes_(std::move(bytes)), end_(end), thread_([this] { Serve(); }) {}
  ~OneAnswerServer() { thread_.join(); }
  const std::string& address() const { return listener_.address(); }
  // Ends the connection; called once the client has received the bytes.
  void EndConnection() { received_.Notify(); }

 private:
  void Serve() {
    const int connection = listener_.Accept();
    std::array<char, 4096> request;
    (void)recv(connection, request.data(), request.size(), 0);
    (void)send(connection, bytes_.data(), bytes_.size(), MSG_NOSIGNAL);
    if (end_ == ConnectionEnd::kNone) {
      pollfd entry{connection, POLLRDHUP, 0};
      poll(&entry, 1, kRawClientLimitMs);
    } else {
      received_.WaitForNotification();
    }
    if (end_ == ConnectionEnd::kReset) {
      const linger discard{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
    close(connection);
  }

  const std::string bytes_;
  const ConnectionEnd end_;
  const Listener listener_;
  absl::Notification received_;
  std::thread thread_;
};

HttpExchange Exchange(const std::string& address, absl::Duration limit) {
  HttpExchange exchange;
  exchange.address = address;
  exchange.deadline = SystemClock().Now() + limit;
  return exchange;
}

TEST_CASE("an answer that arrives byte by byte ends at the deadline, in its head and its body") {
  const absl::Duration limit = absl::Milliseconds(200);
  SUBCASE("head") {
    const SlowServer server("HTTP/1.1 200 OK\r\nX-Slow: ");
    HttpClientPool pool((HttpClientOptions()));
    CHECK(pool.Exchange(Exchange(server.address(), limit)).end == ExchangeEnd::kTimeout);
  }
  SUBCASE("body") {
    const SlowServer server("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    HttpClientPool pool((HttpClientOptions()));
    CHECK(pool.Exchange(Exchange(server.address(), limit)).end == ExchangeEnd::kTimeout);
  }
}

// Guards against a body that was cut off counting as whole, because it has neither a length nor
// chunks and only the end of its connection marks its end.
TEST_CASE("an answer without a length is complete only if its connection ends in order") {
  const auto end_of = [](ConnectionEnd connection_end, absl::Duration limit) {
    OneAnswerServer server("HTTP/1.1 200 OK\r\n\r\nabc", connection_end);
    HttpClientPool pool((HttpClientOptions()));
    HttpExchange exchange = Exchange(server.address(), limit);
    exchange.on_piece = [&server](std::string_view) {
      server.EndConnection();
      return true;
    };
    return pool.Exchange(exchange).end;
  };
  CHECK(end_of(ConnectionEnd::kClose, kLimit) == ExchangeEnd::kComplete);
  CHECK(end_of(ConnectionEnd::kReset, kLimit) == ExchangeEnd::kBroken);
  CHECK(end_of(ConnectionEnd::kNone, absl::Milliseconds(200)) == ExchangeEnd::kTimeout);
}

// Guards against a request that gets lost on a connection which the last answer has ended.
TEST_CASE("a connection that an answer without a length has ended is not used again") {
  const Listener listener;
  std::thread server([&] {
    for (const char* const bytes :
         {"HTTP/1.1 200 OK\r\n\r\nabc", "HTTP/1.1 500 Failed\r\n\r\ndef"}) {
      const int connection = listener.Accept();
      std::array<char, 4096> request;
      (void)recv(connection, request.data(), request.size(), 0);
      (void)send(connection, bytes, strlen(bytes), MSG_NOSIGNAL);
      close(connection);
    }
  });
  HttpClientPool pool((HttpClientOptions()));
  const HttpAnswer first = pool.Exchange(Exchange(listener.address(), kLimit));
  const HttpAnswer second = pool.Exchange(Exchange(listener.address(), kLimit));
  server.join();
  CHECK(first.end == ExchangeEnd::kComplete);
  CHECK(first.body == "abc");
  CHECK(second.end == ExchangeEnd::kComplete);
  CHECK(second.status == 500);
  CHECK(second.body == "def");
}

TEST_CASE("with an idle limit, a stream that keeps arriving outlasts the first deadline") {
  const SlowServer server("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n");
  HttpClientPool pool((HttpClientOptions()));
  HttpExchange exchange = Exchange(server.address(), kLimit);
  exchange.idle_limit = kLimit;
  std::size_t received = 0;
  // Moves the deadline into the past, so that only the idle limit applies from here on.
  exchange.on_piece = [&](std::string_view piece) {
    exchange.deadline = absl::InfinitePast();
    received += piece.size();
    return true;
  };
  CHECK(pool.Exchange(exchange).end == ExchangeEnd::kComplete);
  CHECK(received == 200);
}

// Guards against an engine that fills a node's memory with bytes that are no answer.
TEST_CASE("an answer without an end is broken") {
  std::string begin;
  std::string unit = "a";
  SUBCASE("status line") { begin = "HTTP/1.1 200 "; }
  SUBCASE("fields") {
    begin = "HTTP/1.1 200 OK\r\n";
    unit = "X: a\r\n";
  }
  SUBCASE("chunk header") { begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"; }
  SUBCASE("body") { begin = "HTTP/1.1 500 Failed\r\n\r\n"; }
  EndlessServer server(begin, unit);
  HttpClientPool pool((HttpClientOptions()));
  CHECK(pool.Exchange(Exchange(server.address(), kLimit)).end == ExchangeEnd::kBroken);
  CHECK(!server.exhausted());
}

TEST_CASE("connections are reused for the next exchange, unless idle for too long") {
  HttpServer server((HttpServerOptions()));
  server.routes().Get("/", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("hello", "text/plain");
  });
  const std::string address = *server.Bind("127.0.0.1:0");
  server.Start();
  HttpClientOptions options;
  options.maximum_idle = kLimit;
  HttpClientPool pool(options);
  CHECK(pool.Exchange(Exchange(address, kLimit)).body == "hello");
  CHECK(pool.Exchange(Exchange(address, kLimit)).body == "hello");
  CHECK(pool.connections_made() == 1);
  options.maximum_idle = absl::ZeroDuration();
  HttpClientPool pool_without_reuse(options);
  CHECK(pool_without_reuse.Exchange(Exchange(address, kLimit)).body == "hello");
  CHECK(pool_without_reuse.Exchange(Exchange(address, kLimit)).body == "hello");
  CHECK(pool_without_reuse.connections_made() == 2);
}

TEST_CASE("without a listener, a valid address or time left, nothing is sent") {
  std::string address;
  {
    HttpServer server((HttpServerOptions()));
    address = *server.Bind("127.0.0.1:0");
    server.Start();
  }
  HttpClientPool pool((HttpClientOptions()));
  CHECK(pool.Exchange(Exchange(address, kLimit)).end == ExchangeEnd::kNotSent);
  CHECK(pool.Exchange(Exchange("nowhere", kLimit)).end == ExchangeEnd::kNotSent);
  CHECK(pool.Exchange(Exchange(address, -kLimit)).end == ExchangeEnd::kNotSent);
}

}  // namespace
}  // namespace hingespan
