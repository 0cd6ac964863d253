#include "hingespan/http/http_client.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "hingespan/http/http_server.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);

class Receiver : public AnswerReceiver {
 public:
  bool OnHead(const AnswerHead& answer) override {
    status = answer.status;
    return accept;
  }
  void OnBody(absl::string_view piece) override { body.append(piece.data(), piece.size()); }
  void OnEnd(ExchangeResult end) override {
    result = end;
    ended = true;
  }
  bool accept = true;
  int status = 0;
  std::string body;
  ExchangeResult result = ExchangeResult::kBroken;
  bool ended = false;
};

struct Fixture {
  EventLoop loop;
  std::vector<std::shared_ptr<ServerExchange>> held;
  HttpServer server{&loop, [this](std::shared_ptr<ServerExchange> exchange) {
                      if (exchange->head().target == "/hold") {
                        held.push_back(std::move(exchange));
                        return;
                      }
                      exchange->Answer(200, "OK", {}, exchange->body());
                    }};
  HttpClient client{&loop, ClientLimits{}};

  Fixture() { REQUIRE(!server.Listen("127.0.0.1:0")); }

  void Ask(Receiver* receiver, const std::string& target, const std::string& body) {
    exchanges.push_back(
        client.Send(server.address(), RequestText("POST", target, "h", {}, body), receiver));
  }
  bool Wait(const std::function<bool()>& done) { return loop.RunUntil(done, kLimit); }
  std::vector<std::unique_ptr<ClientExchange>> exchanges;
};

TEST_CASE("an idle connection is reused") {
  Fixture fixture;
  for (int number = 0; number < 3; ++number) {
    Receiver receiver;
    fixture.Ask(&receiver, "/", "abc");
    REQUIRE(fixture.Wait([&] { return receiver.ended; }));
    CHECK(receiver.result == ExchangeResult::kComplete);
    CHECK(receiver.body == "abc");
  }
  CHECK(fixture.client.connections(fixture.server.address()) == 1);
  CHECK(fixture.server.connections() == 1);
}

TEST_CASE("a connection that is to be closed when its answer is complete is not reused") {
  Fixture fixture;
  Receiver receiver;
  fixture.Ask(&receiver, "/", "abc");
  fixture.exchanges.front()->CloseWhenComplete();
  REQUIRE(fixture.Wait([&] { return receiver.ended; }));
  CHECK(receiver.result == ExchangeResult::kComplete);
  CHECK(receiver.body == "abc");
  CHECK(fixture.client.connections(fixture.server.address()) == 0);
}

TEST_CASE("an answer that the receiver rejects closes its connection") {
  Fixture fixture;
  Receiver receiver;
  receiver.accept = false;
  fixture.Ask(&receiver, "/", "abc");
  REQUIRE(fixture.Wait([&] { return receiver.ended; }));
  CHECK(receiver.result == ExchangeResult::kMalformed);
  CHECK(fixture.client.idle_connections(fixture.server.address()) == 0);
}

TEST_CASE("a request to a port without a listener ends as not sent") {
  Fixture fixture;
  Receiver receiver;
  // Nothing listens on port 1 of the loopback address.
  const auto exchange = fixture.client.Send("127.0.0.1:1", "GET / HTTP/1.1\r\n\r\n", &receiver);
  REQUIRE(fixture.Wait([&] { return receiver.ended; }));
  CHECK(receiver.result == ExchangeResult::kNotSent);
}

TEST_CASE("a request that the server aborts ends as broken") {
  Fixture fixture;
  Receiver receiver;
  fixture.Ask(&receiver, "/hold", "");
  REQUIRE(fixture.Wait([&] { return !fixture.held.empty(); }));
  fixture.held.front()->Abort();
  REQUIRE(fixture.Wait([&] { return receiver.ended; }));
  CHECK(receiver.result == ExchangeResult::kBroken);
}

TEST_CASE("the server sees a cancelled exchange as a disconnected caller") {
  Fixture fixture;
  Receiver receiver;
  fixture.Ask(&receiver, "/hold", "");
  REQUIRE(fixture.Wait([&] { return !fixture.held.empty(); }));
  bool gone = false;
  fixture.held.front()->OnCallerGone([&] { gone = true; });
  fixture.exchanges.front()->Cancel();
  REQUIRE(fixture.Wait([&] { return gone; }));
  CHECK(!receiver.ended);
}

TEST_CASE("an aborted chunked answer is not reported as complete") {
  Fixture fixture;
  Receiver receiver;
  fixture.Ask(&receiver, "/hold", "");
  REQUIRE(fixture.Wait([&] { return !fixture.held.empty(); }));
  fixture.held.front()->StartChunked(200, "OK", {});
  fixture.held.front()->WriteChunk("part");
  REQUIRE(fixture.Wait([&] { return receiver.body == "part"; }));
  fixture.held.front()->Abort();
  REQUIRE(fixture.Wait([&] { return receiver.ended; }));
  CHECK(receiver.result == ExchangeResult::kBroken);
}

TEST_CASE("after AskToClose the server closes the connection once the answer is sent") {
  Fixture fixture;
  fixture.server.AskToClose();
  Receiver receiver;
  fixture.Ask(&receiver, "/", "abc");
  REQUIRE(fixture.Wait([&] { return receiver.ended; }));
  CHECK(receiver.body == "abc");
  CHECK(fixture.Wait([&] { return fixture.server.connections() == 0; }));
}

}  // namespace
}  // namespace hingespan::gateway
