// Tests of workers in trouble whose answers bear id and seal, but have a head that is none.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "tests/serving/gateway_world.h"
#include "tests/serving/raw_server.h"

namespace hingespan::gateway {
namespace {

struct Head {
  std::string status_line;
  // Lines between the sound ones.
  std::string lines;
  std::string body = "id: 1\ndata: event 1\n\n";
};

std::vector<Head> Heads() {
  constexpr const char* kSound = "HTTP/1.1 200 OK";
  std::vector<Head> heads;
  for (const char* const status : {"000", "001", "099", "600", "999"}) {
    heads.push_back({absl::StrCat("HTTP/1.1 ", status, " Any"), "Content-Length: 21\r\n"});
  }
  for (const char* const coding : {"gzip", "identity", "gzip, chunked", "chunked, gzip"}) {
    heads.push_back({kSound, absl::StrCat("Transfer-Encoding: ", coding, "\r\n")});
  }
  heads.push_back({kSound, "Transfer-Encoding: gzip, chunked\r\n",
                   "15\r\nid: 1\ndata: event 1\n\n\r\n0\r\n\r\n"});
  for (const char* const lines :
       {"X-Field: a\r\n b\r\n", "X-Field:\r\n\tb\r\n", " X-Field: a\r\n", "X Field: a\r\n",
        "X\x01"
        "Field: a\r\n"}) {
    heads.push_back({kSound, absl::StrCat("Content-Length: 21\r\n", lines)});
  }
  return heads;
}

// Worker that answers every request with one such head, and echoes the request's id.
class TroubledWorker {
 public:
  explicit TroubledWorker(EventLoop* loop)
      : server_(loop, [this](int, absl::string_view request) {
          ++requests;
          return RawAnswer{absl::StrCat(head.status_line, "\r\nAttempt-Id: ", IdOf(request),
                                        "\r\nServer-Seal: seal\r\n", head.lines,
                                        "Server-Id: w1\r\n\r\n", head.body),
                           true};
        }) {}

  std::string address() const { return server_.address(); }

  Head head;
  int requests = 0;

 private:
  static std::string IdOf(absl::string_view request) {
    constexpr absl::string_view kName = "Attempt-Id: ";
    for (const absl::string_view line : absl::StrSplit(request, "\r\n")) {
      if (absl::StartsWithIgnoreCase(line, kName)) {
        return std::string(line.substr(kName.size()));
      }
    }
    return "";
  }

  RawServer server_;
};

TestRequest RequestTo(const std::string& target) {
  return absl::StrContains(target, "stream") || absl::StrContains(target, "once")
             ? StreamRequest(target, "m1")
             : TestRequest{"POST", target};
}

// Guards against an answer that is none in HTTP and reaches the client all the same (MIXED).
TEST_CASE("a client gets nothing of a worker's answer whose head is malformed") {
  GatewayFixture fixture;
  TroubledWorker worker(&fixture.loop);
  fixture.AddWorkerAt(worker.address(), "w1", "plain");
  fixture.AddWorkerAt(worker.address(), "w2", "models");
  TestNode* const node = fixture.AddNode("n1");
  for (const Head& head : Heads()) {
    CAPTURE(head.status_line);
    CAPTURE(head.lines);
    worker.head = head;
    const int before = worker.requests;
    for (const char* const target : {"/plain/x", "/safe/x", "/stream/x", "/once/x"}) {
      CAPTURE(target);
      const auto call = fixture.Ask(node, RequestTo(target));
      CHECK(call->result == ExchangeResult::kComplete);
      // The node may refuse some itself, as their workers fail.
      CHECK((call->head.status == 502 || call->head.status == 503));
      CHECK(FindField(call->head.fields, "Server-Seal") == nullptr);
      CHECK(FindField(call->head.fields, "X-Field") == nullptr);
      CHECK(call->body.empty());
    }
    CHECK(worker.requests > before);
  }
}

}  // namespace
}  // namespace hingespan::gateway
