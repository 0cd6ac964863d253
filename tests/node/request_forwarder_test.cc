// Refusals by a node of another zone: some are passed on to the caller unchanged, others lead to an
// attempt at another node.
#include "hingespan/node/request_forwarder.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"
#include "hingespan/node/answer_format.h"
#include "tests/node/one_node.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

constexpr char kChat[] = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";

// Fake HTTP server of a node in another zone.
class FakeNode {
 public:
  explicit FakeNode(httplib::Server::Handler handler) {
    server_.Post("/v1/chat/completions", std::move(handler));
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }
  ~FakeNode() {
    server_.stop();
    thread_.join();
  }
  std::string address() const { return absl::StrCat("127.0.0.1:", port_); }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

// Answers every request with the same refusal.
class RefusingNode {
 public:
  explicit RefusingNode(const Refusal& refusal)
      : node_([this, refusal](const httplib::Request& request, httplib::Response& response) {
          ++requests;
          received_caller_key = received_caller_key || request.has_header("Authorization");
          FillRefusal(refusal, &response);
        }) {}
  std::string address() const { return node_.address(); }

  std::atomic<int> requests = 0;
  std::atomic<bool> received_caller_key = false;

 private:
  FakeNode node_;
};

// Returns a node that answers every request with 200 and this body.
std::unique_ptr<FakeNode> MakeAnsweringNode(const std::string& body) {
  return std::make_unique<FakeNode>([body](const httplib::Request&, httplib::Response& response) {
    response.set_content(body, "application/json");
  });
}

// Accepts no output, because refusals come before any output.
class NoAnswer : public CallerAnswer {
 public:
  void BeginAttempt(const AnswerIdentity&) override {}
  bool AddChunk(const GenerationChunk&) override { return false; }
  bool Relay(std::string_view) override { return false; }
  void Complete() override {}
  void Refuse(const Refusal&) override {}
  void EndAfterRemoteError() override {}
  bool started() const override { return false; }
  bool caller_gone() const override { return false; }
};

Refusal MakeRefusal(RefusalCode code) {
  Refusal refusal;
  refusal.code = code;
  refusal.retry_after = absl::Milliseconds(2345);
  refusal.detail = "what the other node says";
  return refusal;
}

ForwardResult ForwardTo(const std::string& address, const RequestForwarderOptions& options = {}) {
  RequestForwarder forwarder(options);
  CallerRequest request;
  request.body = kChat;
  NoAnswer answer;
  return forwarder.Forward({address, RequestId("r"), SystemClock().Now() + kTestLimit}, request,
                           &answer);
}

ForwardResult ForwardRefused(const Refusal& refusal) {
  const RefusingNode node(refusal);
  return ForwardTo(node.address());
}

TEST_CASE("final refusals are returned complete, for every state of the attempt and the key") {
  for (const RefusalCode code :
       {RefusalCode::kKeyAlreadyClaimed, RefusalCode::kKeyUndecided, RefusalCode::kKeyOutOfTime,
        RefusalCode::kWaitHopeless, RefusalCode::kWaitExpired, RefusalCode::kDeadlineExceeded,
        RefusalCode::kBadRequest}) {
    CAPTURE(std::string(RefusalCodeName(code)));
    for (const RunState attempt : {RunState::kNotRun, RunState::kMayHaveRun}) {
      for (const RunState key : {RunState::kNotRun, RunState::kMayHaveRun}) {
        Refusal sent = MakeRefusal(code);
        sent.attempt = attempt;
        sent.key = key;
        const ForwardResult result = ForwardRefused(sent);
        CHECK(result.outcome == AttemptOutcome::kRefusedElsewhere);
        CHECK(result.refusal.code == code);
        CHECK(result.refusal.attempt == attempt);
        CHECK(result.refusal.key == key);
        CHECK(result.refusal.retry_after == sent.retry_after);
        CHECK(result.refusal.detail == sent.detail);
      }
    }
  }
}

// Guards against half a document that reaches the caller as another node's complete answer.
TEST_CASE("a forwarded answer that ends inside its document is not complete") {
  const auto whole = MakeAnsweringNode(R"({"id":"x","choices":[]})");
  CHECK(ForwardTo(whole->address()).outcome == AttemptOutcome::kComplete);
  const auto half = MakeAnsweringNode(R"({"id":"x","cho)");
  CHECK(ForwardTo(half->address()).outcome == AttemptOutcome::kFailedBeforeOutput);
}

TEST_CASE("the caller's key goes to another node only where no cluster key signs the forward") {
  for (const std::string cluster_key : {"", "cluster secret"}) {
    const RefusingNode node(MakeRefusal(RefusalCode::kWaitHopeless));
    RequestForwarderOptions options;
    options.cluster_key = cluster_key;
    options.caller_key = "caller secret";
    ForwardTo(node.address(), options);
    CHECK(node.requests == 1);
    CHECK(node.received_caller_key == cluster_key.empty());
  }
}

TEST_CASE("other refusals say only whether the request may have run") {
  for (const RefusalCode code :
       {RefusalCode::kUnknownModel, RefusalCode::kUnauthorized, RefusalCode::kBodyTooLarge,
        RefusalCode::kQueueFull, RefusalCode::kNoCapacity, RefusalCode::kSiteUnavailable,
        RefusalCode::kOverloaded, RefusalCode::kStopping, RefusalCode::kEngineFailed,
        RefusalCode::kCancelled}) {
    CAPTURE(std::string(RefusalCodeName(code)));
    Refusal refusal = MakeRefusal(code);
    CHECK(ForwardRefused(refusal).outcome == AttemptOutcome::kNotRun);
    refusal.attempt = RunState::kMayHaveRun;
    CHECK(ForwardRefused(refusal).outcome == AttemptOutcome::kFailedBeforeOutput);
  }
}

TEST_CASE("an error answer that is not the refusal of a node does not count as not run") {
  httplib::Server server;
  std::string body;
  int status = 0;
  server.Post("/v1/chat/completions", [&](const httplib::Request&, httplib::Response& response) {
    response.status = status;
    response.set_content(body, "application/json");
  });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&server] { server.listen_after_bind(); });
  while (!server.is_running()) {
    std::this_thread::yield();
  }
  const auto outcome = [&](int new_status, const std::string& new_body) {
    status = new_status;
    body = new_body;
    return ForwardTo(absl::StrCat("127.0.0.1:", port)).outcome;
  };
  CHECK(outcome(503, "busy") == AttemptOutcome::kFailedBeforeOutput);
  CHECK(outcome(503, R"({"error":"not_run"})") == AttemptOutcome::kFailedBeforeOutput);
  CHECK(outcome(503, R"({"error":{"code":"new_code","attempt":"not_run"}})") ==
        AttemptOutcome::kFailedBeforeOutput);
  CHECK(outcome(400, R"({"error":{"code":7,"attempt":null}})") ==
        AttemptOutcome::kFailedBeforeOutput);
  CHECK(outcome(504, "late") == AttemptOutcome::kDeadlineExceeded);
  server.stop();
  thread.join();
}

TEST_CASE("a caller gets the other zone's final refusal as it is, from one node only") {
  Refusal refusal = MakeRefusal(RefusalCode::kKeyAlreadyClaimed);
  refusal.key = RunState::kMayHaveRun;
  RefusingNode first(refusal);
  RefusingNode second(refusal);
  OneNodeOptions options;
  options.other_zone = {first.address(), second.address()};
  const OneNode node(options);
  httplib::Client client(absl::StrCat("http://", node.address()));
  client.set_read_timeout(absl::ToChronoSeconds(kTestLimit));
  const auto answer = client.Post("/v1/chat/completions", kChat, "application/json");
  REQUIRE(answer);
  CHECK(answer->status == 409);
  const Json error = Json::parse(answer->body)["error"];
  CHECK(error["code"] == "key_already_claimed");
  CHECK(error["message"] == refusal.detail);
  CHECK(error["attempt"] == "not_run");
  CHECK(error["key"] == "may_have_run");
  CHECK(answer->get_header_value("Retry-After") == "3");
  CHECK(answer->get_header_value("X-Retry-After-Ms") == "2345");
  CHECK(first.requests + second.requests == 1);
}

TEST_CASE("a refusal that another node need not repeat leads to that node") {
  RefusingNode first(MakeRefusal(RefusalCode::kStopping));
  RefusingNode second(MakeRefusal(RefusalCode::kStopping));
  OneNodeOptions options;
  options.other_zone = {first.address(), second.address()};
  const OneNode node(options);
  httplib::Client client(absl::StrCat("http://", node.address()));
  client.set_read_timeout(absl::ToChronoSeconds(kTestLimit));
  const auto answer = client.Post("/v1/chat/completions", kChat, "application/json");
  REQUIRE(answer);
  CHECK(first.requests == 1);
  CHECK(second.requests == 1);
  CHECK(Json::parse(answer->body)["error"]["attempt"] == "not_run");
}

TEST_CASE("a refusal after an attempt that may have run says so, whichever node refuses") {
  Refusal broken = MakeRefusal(RefusalCode::kEngineFailed);
  broken.attempt = RunState::kMayHaveRun;
  Refusal hopeless = MakeRefusal(RefusalCode::kWaitHopeless);
  // Both node addresses point to this server: the first request fails, the second is refused.
  std::atomic<int> asked = 0;
  httplib::Server server;
  server.Post("/v1/chat/completions", [&](const httplib::Request&, httplib::Response& response) {
    FillRefusal(++asked == 1 ? broken : hopeless, &response);
  });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&server] { server.listen_after_bind(); });
  while (!server.is_running()) {
    std::this_thread::yield();
  }
  const std::string address = absl::StrCat("127.0.0.1:", port);
  OneNodeOptions options;
  options.other_zone = {address, address};
  {
    const OneNode node(options);
    httplib::Client client(absl::StrCat("http://", node.address()));
    client.set_read_timeout(absl::ToChronoSeconds(kTestLimit));
    const auto answer = client.Post("/v1/chat/completions", kChat, "application/json");
    REQUIRE(answer);
    const Json error = Json::parse(answer->body)["error"];
    CHECK(asked == 2);
    CHECK(error["code"] == "wait_hopeless");
    CHECK(error["attempt"] == "may_have_run");
  }
  server.stop();
  thread.join();
}

}  // namespace
}  // namespace hingespan
