// Ends a server, or one of its connections, while an answer is still being delivered.
#include <doctest/doctest.h>
#include <sys/socket.h>

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
// Time between two reads of a caller that reads steadily.
constexpr absl::Duration kReadInterval = absl::Milliseconds(20);
constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
// More than the caller's kernel receives while the caller doesn't read, but less than the server's
// kernel buffers.
constexpr std::size_t kLargeBody = 1024 * 1024;
// More than the server's kernel buffers.
constexpr std::size_t kHugeBody = 32 * 1024 * 1024;

struct Server {
  explicit Server(HttpServer::Handler handler) : http(&loop, std::move(handler)) {
    REQUIRE(!http.Listen("127.0.0.1:0"));
  }
  bool Wait(const std::function<bool()>& done) { return loop.RunUntil(done, kLimit); }

  EventLoop loop;
  HttpServer http;
};

std::size_t BodySize(const std::string& answer) {
  const std::size_t head = answer.find("\r\n\r\n");
  return head == std::string::npos ? 0 : answer.size() - head - 4;
}

// Reads up to `piece` bytes at each interval, on the server's loop.
class SteadyReader {
 public:
  SteadyReader(EventLoop* loop, RawClient* caller, absl::Duration interval, std::size_t piece)
      : loop_(loop),
        caller_(caller),
        interval_(interval),
        piece_(piece),
        timer_(loop->MakeTimer()) {
    Schedule();
  }
  std::size_t size() const { return received_.size(); }
  const std::string& received() const { return received_; }
  // True once the connection has ended and everything received was read.
  bool ended() const { return ended_; }

 private:
  void Schedule() {
    timer_->Set(loop_->Now() + interval_, [this] {
      if (caller_->Readable(0)) {
        const std::string piece = caller_->ReadSome(piece_);
        received_.append(piece);
        ended_ = piece.empty();
      }
      if (!ended_) {
        Schedule();
      }
    });
  }

  EventLoop* loop_;
  RawClient* caller_;
  absl::Duration interval_;
  std::size_t piece_;
  std::unique_ptr<LoopTimer> timer_;
  std::string received_;
  bool ended_ = false;
};

// Guards against a process exit that resets a keep-alive connection with unread input, so that the
// caller loses the end of an answer.
TEST_CASE("an answer is delivered although its connection has unread input at process exit") {
  bool answered = false;
  auto server = std::make_unique<Server>([&](const std::shared_ptr<ServerExchange>& exchange) {
    exchange->Answer(200, "OK", {}, std::string(kLargeBody, 'a'));
    answered = true;
  });
  RawClient caller(server->http.address());
  REQUIRE(caller.Send(kRequest));
  // The kernel has accepted the answer, but the caller has read nothing.
  REQUIRE(server->Wait([&] { return answered; }));
  bool over = false;
  const std::unique_ptr<LoopTimer> timer = server->loop.MakeTimer();
  timer->Set(server->loop.Now() + kReadInterval, [&] { over = true; });
  REQUIRE(server->Wait([&] { return over; }));
  CHECK(server->http.activity().unfinished() == 1);
  auto reader =
      std::make_unique<SteadyReader>(&server->loop, &caller, kReadInterval, kLargeBody / 8);
  REQUIRE(server->Wait([&] { return server->http.activity().unfinished() == 0; }));
  std::string answer = reader->received();
  reader.reset();
  // Arrives after the last check of the connections.
  REQUIRE(caller.Send(kRequest));
  server.reset();
  answer.append(caller.ReadAll());
  CHECK(BodySize(answer) == kLargeBody);
}

// Guards against an idle timeout that starts when an answer is passed to its connection.
TEST_CASE("the idle timeout does not close a connection whose caller is receiving its answer") {
  bool answered = false;
  Server server([&](const std::shared_ptr<ServerExchange>& exchange) {
    exchange->Answer(200, "OK", {}, std::string(kHugeBody, 'a'));
    answered = true;
  });
  ServerLimits limits;
  limits.idle_timeout = absl::Milliseconds(100);
  server.http.SetLimits(limits);
  RawClient caller(server.http.address());
  REQUIRE(caller.Send(kRequest));
  REQUIRE(server.Wait([&] { return answered; }));
  // Reading everything takes more than six idle timeouts.
  SteadyReader reader(&server.loop, &caller, kReadInterval, kHugeBody / 32);
  // Once everything is sent, the idle timeout closes the connection.
  REQUIRE(server.Wait([&] { return reader.ended(); }));
  CHECK(reader.size() > kHugeBody);
}

// Guards against a connection that stays open forever because its caller reads nothing.
TEST_CASE("the idle timeout closes a connection whose caller receives nothing of its answer") {
  bool answered = false;
  Server server([&](const std::shared_ptr<ServerExchange>& exchange) {
    exchange->Answer(200, "OK", {}, std::string(kHugeBody, 'a'));
    answered = true;
  });
  ServerLimits limits;
  limits.idle_timeout = absl::Milliseconds(100);
  server.http.SetLimits(limits);
  RawClient caller(server.http.address());
  REQUIRE(caller.Send(kRequest));
  REQUIRE(server.Wait([&] { return answered; }));
  REQUIRE(server.http.activity().sending == 1);
  REQUIRE(server.Wait([&] { return server.http.connections() == 0; }));
}

// Guards against a refusal that is not counted while it is being sent.
TEST_CASE("a refusal counts as unfinished until the caller closes") {
  auto server = std::make_unique<Server>([](const std::shared_ptr<ServerExchange>&) {});
  RawClient caller(server->http.address());
  REQUIRE(caller.Send("no request\r\n\r\n"));
  REQUIRE(server->Wait([&] { return server->http.activity().unfinished() == 1; }));
  REQUIRE(caller.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 400 "));
  caller.Close();
  REQUIRE(server->Wait([&] { return server->http.connections() == 0; }));
}

}  // namespace
}  // namespace hingespan::gateway
