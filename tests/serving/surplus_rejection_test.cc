// Tests of a worker that sends a second copy of a rejection in the place of the next answer.
#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "tests/serving/gateway_world.h"
#include "tests/serving/raw_server.h"

namespace hingespan::gateway {
namespace {

// Worker that rejects the first request of every connection while `rejecting`. A later request of
// such a connection gets a second copy of the rejection, and is run.
class RejectingWorker {
 public:
  explicit RejectingWorker(EventLoop* loop)
      : server_(loop, [this](int connection, absl::string_view request) {
          return RawAnswer{AnswerTo(connection, request)};
        }) {}

  std::string address() const { return server_.address(); }

  std::string rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";
  bool rejecting = false;
  // Number of times that each request was run, by its id.
  std::map<std::string, int> runs;
  // Connections on which a request was rejected.
  std::set<int> rejected_on;

 private:
  std::string AnswerTo(int connection, absl::string_view request) {
    const std::string rejected = absl::StrCat(rejection, "Content-Length: 0\r\n\r\n");
    const bool has_rejected = rejected_on.contains(connection);
    if (rejecting && !has_rejected) {
      rejected_on.insert(connection);
      return rejected;
    }
    const std::string id = IdOf(request);
    ++runs[id];
    const std::string answer =
        absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", id,
                     "\r\nServer-Seal: seal\r\nServer-Id: w1\r\nContent-Length: 2\r\n\r\nok");
    return has_rejected ? rejected + answer : answer;
  }

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

// Guards against the second copy of a rejection that is taken for the next request's answer: it is
// refused though it runs (REFUSED), or runs at two workers (TWICE).
TEST_CASE("a request is not refused by a second copy of an earlier request's rejection") {
  GatewayFixture fixture;
  RejectingWorker first(&fixture.loop);
  RejectingWorker second(&fixture.loop);
  fixture.AddWorkerAt(first.address(), "w1", "plain");
  int attempts = 1;
  SUBCASE("by the only worker") {}
  SUBCASE("as misdirected") {
    first.rejection = "HTTP/1.1 421 Misdirected Request\r\nServer-Id: w1\r\n";
  }
  SUBCASE("by one of two workers") {
    attempts = 2;
    fixture.AddWorkerAt(second.address(), "w2", "plain");
  }
  fixture.PutConfiguration(2, 5000, 0.03, 800, 2, attempts);
  TestNode* const node = fixture.AddNode("n1");
  TestRequest request;
  fixture.EarnRetries(node, request);
  for (int number = 0; number < 10; ++number) {
    first.rejecting = second.rejecting = number % 2 == 0;
    request.id = absl::StrCat("deal-", number);
    const int status = fixture.Ask(node, request)->head.status;
    CAPTURE(request.id);
    const int runs = first.runs[request.id] + second.runs[request.id];
    CHECK(runs == (status == 200 ? 1 : 0));
  }
  CHECK(first.rejected_on.size() + second.rejected_on.size() > 0);
  CHECK((node->metrics.repeats > 0) == (attempts > 1));
}

}  // namespace
}  // namespace hingespan::gateway
