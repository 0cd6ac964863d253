// Tests of a worker that sends a second copy of a rejection in the place of the next answer.
#include <doctest/doctest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

// Rejects the first request of every connection while `rejecting`. A later request of such a
// connection gets a second copy of the rejection, and is run.
class RejectingServer {
 public:
  explicit RejectingServer(EventLoop* loop)
      : acceptor_(loop->context(), {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }

  std::string address() const {
    return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
  }

  std::string rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";
  bool rejecting = false;
  std::size_t rejections = 0;
  // Number of times that each request was run, by its id.
  std::map<std::string, int> runs;

 private:
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::array<char, 4096> request;
    std::string answer;
    bool has_rejected = false;
  };

  void Accept() {
    acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
      if (error) {
        return;
      }
      Serve(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->request),
        [this, connection](const Error& error, std::size_t count) {
          if (error) {
            return;
          }
          connection->answer =
              AnswerTo(connection.get(), std::string(connection->request.data(), count));
          boost::asio::async_write(connection->socket, boost::asio::buffer(connection->answer),
                                   [this, connection](const Error& failed, std::size_t) {
                                     if (!failed) {
                                       Serve(connection);
                                     }
                                   });
        });
  }

  std::string AnswerTo(Connection* connection, const std::string& request) {
    const std::string rejection_text = absl::StrCat(rejection, "Content-Length: 0\r\n\r\n");
    if (rejecting && !connection->has_rejected) {
      connection->has_rejected = true;
      ++rejections;
      return rejection_text;
    }
    const std::string id = IdOf(request);
    ++runs[id];
    const std::string answer =
        absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", id,
                     "\r\nServer-Seal: seal\r\nServer-Id: w1\r\nContent-Length: 2\r\n\r\nok");
    return connection->has_rejected ? rejection_text + answer : answer;
  }

  static std::string IdOf(const std::string& request) {
    constexpr absl::string_view kName = "Attempt-Id: ";
    for (const absl::string_view line : absl::StrSplit(request, "\r\n")) {
      if (absl::StartsWithIgnoreCase(line, kName)) {
        return std::string(line.substr(kName.size()));
      }
    }
    return "";
  }

  tcp::acceptor acceptor_;
};

void AddWorkerAt(GatewayFixture* fixture, const std::string& id, const std::string& address) {
  emulator::PlatformWorkerOptions options;
  options.id = id;
  options.service = "plain";
  options.slots = 4;
  fixture->AddWorker(options)->Announce(address);
}

// Guards against the second copy of a rejection that is taken for the next request's answer: it is
// refused though it runs (REFUSED), or runs at two workers (TWICE).
TEST_CASE("a request is not refused by a second copy of an earlier request's rejection") {
  GatewayFixture fixture;
  RejectingServer first(&fixture.loop);
  RejectingServer second(&fixture.loop);
  AddWorkerAt(&fixture, "w1", first.address());
  int attempts = 1;
  SUBCASE("by the only worker") {}
  SUBCASE("as misdirected") {
    first.rejection = "HTTP/1.1 421 Misdirected Request\r\nServer-Id: w1\r\n";
  }
  SUBCASE("by one of two workers") {
    attempts = 2;
    AddWorkerAt(&fixture, "w2", second.address());
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
  CHECK(first.rejections + second.rejections > 0);
  CHECK((node->metrics.repeats > 0) == (attempts > 1));
}

}  // namespace
}  // namespace hingespan::gateway
