#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "hingespan/http/http_client.h"
#include "tests/http/endless_server.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(30);

class Receiver : public AnswerReceiver {
 public:
  bool OnHead(const AnswerHead&) override { return true; }
  void OnBody(absl::string_view) override {}
  void OnEnd(ExchangeResult end) override {
    result = end;
    ended = true;
  }
  ExchangeResult result = ExchangeResult::kComplete;
  bool ended = false;
};

// Guards against a worker that fills a node's memory, or holds a request, with bytes that are no
// answer.
TEST_CASE("an answer whose head or framing has no end is malformed") {
  std::string begin;
  std::string unit = "a";
  SUBCASE("status line") { begin = "HTTP/1.1 200 "; }
  SUBCASE("one field") { begin = "HTTP/1.1 200 OK\r\nX: "; }
  SUBCASE("fields") {
    begin = "HTTP/1.1 200 OK\r\n";
    unit = "X: a\r\n";
  }
  SUBCASE("interim answers") { unit = "HTTP/1.1 100 Continue\r\n\r\n"; }
  SUBCASE("chunk header") { begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"; }
  SUBCASE("trailer") {
    begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    unit = "X: a\r\n";
  }
  SUBCASE("no answer at all") {}
  EndlessServer server(begin, unit);
  EventLoop loop;
  HttpClient client(&loop, ClientLimits{});
  Receiver receiver;
  const auto exchange =
      client.Send(server.address(), RequestText("GET", "/", "h", {}, ""), &receiver);
  REQUIRE(loop.RunUntil([&] { return receiver.ended; }, kLimit));
  CHECK(receiver.result == ExchangeResult::kMalformed);
  CHECK(!server.exhausted());
}

}  // namespace
}  // namespace hingespan::gateway
