#include "hingespan/http/http_server.h"

#include <doctest/doctest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hingespan/http/http_client.h"
#include "tests/net/raw_client.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);
constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* kLastRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

struct BodyReceiver : AnswerReceiver {
  bool OnHead(const AnswerHead&) override { return true; }
  void OnBody(absl::string_view piece) override { body.append(piece.data(), piece.size()); }
  void OnEnd(ExchangeResult end) override {
    result = end;
    ended = true;
  }
  std::string body;
  ExchangeResult result = ExchangeResult::kNotSent;
  bool ended = false;
};

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

// Guards against closing a kept connection after the idle limit of an older configuration, which
// its caller no longer keeps to.
TEST_CASE("a kept connection stays open for the idle limit in force") {
  constexpr absl::Duration kOldIdleTimeout = absl::Milliseconds(200);
  Fixture fixture;
  ServerLimits limits;
  limits.idle_timeout = kOldIdleTimeout;
  fixture.server.SetLimits(limits);
  RawClient kept(fixture.server.address());
  REQUIRE(fixture.Wait([&] { return fixture.server.activity().idle == 1; }));
  limits.idle_timeout = absl::Minutes(1);
  fixture.server.SetLimits(limits);
  // Its connection is idle since later and is closed after the older limit.
  HttpServer other(&fixture.loop, [](const std::shared_ptr<ServerExchange>&) {});
  REQUIRE(!other.Listen("127.0.0.1:0"));
  limits.idle_timeout = kOldIdleTimeout;
  other.SetLimits(limits);
  RawClient closed(other.address());
  REQUIRE(fixture.Wait([&] { return other.connections() == 1; }));
  REQUIRE(fixture.Wait([&] { return other.connections() == 0; }));
  REQUIRE(kept.Send(kRequest));
  REQUIRE(
      fixture.Wait([&] { return fixture.held != nullptr || fixture.server.connections() == 0; }));
  REQUIRE(fixture.held != nullptr);
  fixture.held->Answer(200, "OK", {}, "abc");
  CHECK(fixture.Wait([&] { return fixture.server.activity().idle == 1; }));
  CHECK(fixture.server.connections() == 1);
}

// Guards against chunked bodies for callers that can't decode them.
TEST_CASE("an HTTP/1.0 caller gets a stream that ends with its connection") {
  Fixture fixture;
  RawClient caller(fixture.server.address());
  REQUIRE(caller.Send("GET / HTTP/1.0\r\nHost: h\r\n\r\n"));
  REQUIRE(fixture.Wait([&] { return fixture.held != nullptr; }));
  fixture.held->StartChunked(200, "OK", {});
  fixture.held->WriteChunk("abc");
  fixture.held->FinishChunked();
  REQUIRE(fixture.Wait([&] { return fixture.server.activity().closing == 1; }));
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("Transfer-Encoding") == std::string::npos);
  CHECK(answer.find("Connection: close\r\n") != std::string::npos);
  CHECK(answer.ends_with("\r\n\r\nabc"));
}

// Guards against a broken stream that its caller takes for a complete one, because its end is
// marked by the end of the connection only.
TEST_CASE("an aborted answer that ends with its connection is reset") {
  Fixture fixture;
  HttpClient client(&fixture.loop, ClientLimits{});
  BodyReceiver receiver;
  const auto call = client.Send(fixture.server.address(), kRequest, &receiver);
  REQUIRE(fixture.Wait([&] { return fixture.held != nullptr; }));
  fixture.held->StartUnframed(200, "OK", {});
  fixture.held->WriteChunk("abc");
  REQUIRE(fixture.Wait([&] { return receiver.body == "abc"; }));
  SUBCASE("aborted") {
    fixture.held->Abort();
    REQUIRE(fixture.Wait([&] { return receiver.ended; }));
    CHECK(receiver.result == ExchangeResult::kBroken);
  }
  SUBCASE("dropped") {
    fixture.held.reset();
    REQUIRE(fixture.Wait([&] { return receiver.ended; }));
    CHECK(receiver.result == ExchangeResult::kBroken);
  }
  SUBCASE("finished") {
    fixture.held->FinishChunked();
    REQUIRE(fixture.Wait([&] { return receiver.ended; }));
    CHECK(receiver.result == ExchangeResult::kComplete);
  }
}

// Guards against callers that keep connections they don't use shutting out all new callers.
TEST_CASE("at the limit a new connection takes the place of the one that was idle longest") {
  Fixture fixture;
  ServerLimits limits;
  limits.max_connections = 3;
  fixture.server.SetLimits(limits);
  RawClient busy(fixture.server.address());
  REQUIRE(busy.Send(kRequest));
  REQUIRE(fixture.Wait([&] { return fixture.held != nullptr; }));
  const std::shared_ptr<ServerExchange> first = std::move(fixture.held);
  RawClient oldest(fixture.server.address());
  REQUIRE(fixture.Wait([&] { return fixture.server.connections() == 2; }));
  RawClient younger(fixture.server.address());
  REQUIRE(fixture.Wait([&] { return fixture.server.connections() == 3; }));

  RawClient caller(fixture.server.address());
  REQUIRE(caller.Send(kRequest));
  REQUIRE(fixture.Wait([&] { return fixture.held != nullptr || caller.Readable(0); }));
  REQUIRE(fixture.held != nullptr);
  CHECK(oldest.ReadAll().empty());
  CHECK(!younger.Readable(0));
  CHECK(fixture.server.connections() == 3);

  // Requests that are being read or answered are not given up.
  REQUIRE(younger.Send("GET / HT"));
  REQUIRE(fixture.Wait([&] {
    return fixture.server.activity().idle == 1 && fixture.server.activity().unread_bytes == 0;
  }));
  RawClient refused(fixture.server.address());
  REQUIRE(fixture.Wait([&] { return refused.Readable(0); }));
  CHECK(refused.ReadAll().empty());
  first->Answer(200, "OK", {}, "first");
  fixture.held->Answer(200, "OK", {}, "second");
  REQUIRE(fixture.Wait([&] { return busy.Readable(0) && caller.Readable(0); }));
  CHECK(busy.ReadUntil("first").ends_with("first"));
  CHECK(caller.ReadUntil("second").ends_with("second"));
}

// Guards against slow clients that take all connections (Fault).
TEST_CASE("at the limit a new connection takes the place of the slowest unfinished request") {
  Fixture fixture;
  ServerLimits limits;
  limits.max_connections = 2;
  limits.head_timeout = absl::Minutes(1);
  fixture.server.SetLimits(limits);
  std::vector<TurnedAwayClient> turned_away;
  fixture.server.OnTurnedAway(
      [&](const TurnedAwayClient& client) { turned_away.push_back(client); });
  RawClient slowest(fixture.server.address());
  REQUIRE(slowest.Send("GET / HT"));
  REQUIRE(fixture.Wait([&] { return fixture.server.connections() == 1; }));
  RawClient slow(fixture.server.address());
  REQUIRE(slow.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n"));
  // Tries again until the first request counts as slow.
  std::unique_ptr<RawClient> caller;
  REQUIRE(fixture.Wait([&] {
    if (caller == nullptr || caller->Readable(0)) {
      caller = std::make_unique<RawClient>(fixture.server.address());
      (void)caller->Send(kRequest);
    }
    return fixture.held != nullptr;
  }));
  CHECK(slowest.ReadAll().empty());
  CHECK(!slow.Readable(0));
  REQUIRE(!turned_away.empty());
  CHECK(turned_away.back().reason == TurnedAwayReason::kConnections);
  CHECK(turned_away.back().waited >= absl::Seconds(1));
}

// Guards against ending a request that has just arrived because its connection was idle for long.
TEST_CASE("at the limit a kept connection with a request under way stays") {
  Fixture fixture;
  ServerLimits limits;
  limits.max_connections = 1;
  fixture.server.SetLimits(limits);
  RawClient kept(fixture.server.address());
  REQUIRE(fixture.Wait([&] { return fixture.server.connections() == 1; }));
  bool is_old = false;
  const std::unique_ptr<LoopTimer> timer = fixture.loop.MakeTimer();
  timer->Set(fixture.loop.Now() + absl::Milliseconds(1100), [&] { is_old = true; });
  REQUIRE(fixture.Wait([&] { return is_old; }));
  // Both are there before the loop goes on.
  RawClient refused(fixture.server.address());
  REQUIRE(kept.Send(kRequest));
  REQUIRE(fixture.Wait([&] { return fixture.held != nullptr && refused.Readable(0); }));
  CHECK(refused.ReadAll().empty());
  fixture.held->Answer(200, "OK", {}, "kept");
  REQUIRE(fixture.Wait([&] { return kept.Readable(0); }));
  CHECK(kept.ReadUntil("kept").ends_with("kept"));
}

// Guards against connections that stay open for good because their callers don't read their last
// answers.
TEST_CASE("a closing connection whose caller reads nothing ends by the idle timeout") {
  constexpr std::size_t kHugeBody = 32 * 1024 * 1024;
  Fixture fixture;
  ServerLimits limits;
  limits.idle_timeout = absl::Milliseconds(100);
  fixture.server.SetLimits(limits);
  RawClient caller(fixture.server.address());
  REQUIRE(caller.Send(kLastRequest));
  REQUIRE(fixture.Wait([&] { return fixture.held != nullptr; }));
  fixture.held->Answer(200, "OK", {}, std::string(kHugeBody, 'a'));
  CHECK(fixture.Wait([&] { return fixture.server.connections() == 0; }));
}

// Guards against answers that pile up for callers that pipeline and don't read (Fault).
TEST_CASE("requests that were read ahead wait until the caller reads") {
  constexpr std::size_t kBody = 8 * 1024 * 1024;
  int requests = 0;
  Fixture fixture([&](const std::shared_ptr<ServerExchange>& exchange) {
    ++requests;
    exchange->Answer(200, "OK", {}, std::string(kBody, 'a'));
  });
  constexpr int kRequests = 4;
  RawClient caller(fixture.server.address());
  for (int number = 1; number < kRequests; ++number) {
    REQUIRE(caller.Send(kRequest));
  }
  REQUIRE(caller.Send(kLastRequest));
  REQUIRE(fixture.Wait([&] { return requests > 0; }));
  // Another caller's request is served meanwhile.
  RawClient other(fixture.server.address());
  REQUIRE(other.Send("GET /other HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
  REQUIRE(fixture.Wait([&] { return requests > 1; }));
  CHECK(requests == 2);
  CHECK(fixture.server.activity().unsent_bytes < 3 * kBody);
  std::size_t received = 0;
  REQUIRE(fixture.Wait([&] {
    received += caller.Readable(0) ? caller.ReadSome(kBody).size() : 0;
    return received > kRequests * kBody;
  }));
  CHECK(requests == 1 + kRequests);
}

// Guards against bodies that together take more memory than the machine has (Fault).
TEST_CASE("unfinished requests give way when the clients hold too much") {
  constexpr std::size_t kTotal = 1024 * 1024;
  constexpr std::size_t kBody = 300 * 1024;
  EventLoop loop;
  const auto memory = std::make_shared<ClientMemory>(&loop, ClientMemorySettings{kTotal});
  std::vector<std::shared_ptr<ServerExchange>> exchanges;
  HttpServer server(
      &loop,
      [&](std::shared_ptr<ServerExchange> exchange) { exchanges.push_back(std::move(exchange)); },
      memory);
  ServerLimits limits;
  limits.head_timeout = absl::Minutes(1);
  limits.overload_fields = {{"Retry-After", "2"}};
  server.SetLimits(limits);
  REQUIRE(!server.Listen("127.0.0.1:0"));
  std::vector<TurnedAwayClient> turned_away;
  server.OnTurnedAway([&](const TurnedAwayClient& client) { turned_away.push_back(client); });
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n";
  const std::string body(kBody, 'b');

  std::vector<std::unique_ptr<RawClient>> stalled;
  for (int number = 0; number < 4; ++number) {
    stalled.push_back(std::make_unique<RawClient>(server.address()));
    REQUIRE(stalled.back()->Send(head + body.substr(1)));
    REQUIRE(loop.RunUntil(
        [&] { return memory->budget()->used() > stalled.size() * kBody || !turned_away.empty(); },
        kLimit));
  }
  REQUIRE(loop.RunUntil([&] { return stalled.front()->Readable(0); }, kLimit));
  REQUIRE(turned_away.size() == 1);
  CHECK(turned_away.front().reason == TurnedAwayReason::kMemory);
  CHECK(turned_away.front().status == 503);
  CHECK(turned_away.front().held_bytes >= kBody);
  CHECK(memory->budget()->used() <= kTotal);
  const std::string refusal = stalled.front()->ReadUntil("\r\n\r\n");
  CHECK(refusal.starts_with("HTTP/1.1 503 "));
  CHECK(refusal.find("Retry-After: 2\r\n") != std::string::npos);

  // A whole large request is served, as it does not wait for its client.
  RawClient caller(server.address());
  REQUIRE(caller.Send(head + body));
  REQUIRE(loop.RunUntil([&] { return !exchanges.empty(); }, kLimit));
  CHECK(exchanges.front()->body().size() == kBody);
}

// Sets the process's limit of open descriptors to those that are open.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
    const int next = dup(STDERR_FILENO);
    close(next);
    rlimit limit = before_;
    limit.rlim_cur = static_cast<rlim_t>(next);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit before_{};
};

// Guards against a process without free descriptors spending all of its processor time on trying to
// accept, and against callers that get no connection then while others hold idle ones.
TEST_CASE("without a free descriptor the server closes an idle connection and doesn't spin") {
  Fixture fixture;
  RawClient idle(fixture.server.address());
  REQUIRE(fixture.Wait([&] { return fixture.server.connections() == 1; }));
  RawClient caller(fixture.server.address());
  RawClient waiting(fixture.server.address());
  REQUIRE(caller.Send(kRequest));
  REQUIRE(waiting.Send(kRequest));
  {
    const NoFreeDescriptors none;
    REQUIRE(fixture.Wait([&] { return fixture.held != nullptr || idle.Readable(0); }));
    REQUIRE(fixture.Wait([&] { return fixture.held != nullptr; }));
    CHECK(idle.ReadAll().empty());
    // No connection is idle now.
    constexpr int kMaxHandlers = 40;
    const std::unique_ptr<LoopTimer> timer = fixture.loop.MakeTimer();
    bool over = false;
    timer->Set(fixture.loop.Now() + absl::Milliseconds(100), [&] { over = true; });
    int handlers = 0;
    REQUIRE(fixture.Wait([&] { return over || ++handlers > 10 * kMaxHandlers; }));
    CHECK(handlers <= kMaxHandlers);
  }
  fixture.held->Answer(200, "OK", {}, {});
  fixture.held.reset();
  CHECK(fixture.Wait([&] { return fixture.held != nullptr; }));
}

}  // namespace
}  // namespace hingespan::gateway
