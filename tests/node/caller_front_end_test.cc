// The caller interface: answers, streams, refusals, and explicit errors on failures.
#include <doctest/doctest.h>
#include <httplib.h>

#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "hingespan/common/clock.h"
#include "hingespan/node/forward_token.h"
#include "tests/net/raw_client.h"
#include "tests/node/one_node.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

constexpr char kChat[] = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
constexpr char kChatStream[] =
    R"({"model":"m","stream":true,"stream_options":{"include_usage":true},)"
    R"("messages":[{"role":"user","content":"hi"}]})";
constexpr char kChatPath[] = "/v1/chat/completions";

httplib::Result Post(const OneNode& node, const std::string& body,
                     const httplib::Headers& headers = {}, const char* path = kChatPath) {
  httplib::Client client(absl::StrCat("http://", node.address()));
  client.set_read_timeout(absl::ToChronoSeconds(kTestLimit));
  return client.Post(path, headers, body, "application/json");
}

Json ErrorOf(const httplib::Result& answer) { return Json::parse(answer->body)["error"]; }

std::string RawPost(const std::string& body) {
  return absl::StrCat("POST ", kChatPath, " HTTP/1.1\r\nHost: x\r\nContent-Length: ", body.size(),
                      "\r\n\r\n", body);
}

TEST_CASE("a whole chat answer") {
  const OneNode node;
  const auto answer = Post(node, kChat, {{"X-Request-Id", "mine"}});
  REQUIRE(answer->status == 200);
  const Json body = Json::parse(answer->body);
  CHECK(body["object"] == "chat.completion");
  CHECK(body["choices"][0]["message"]["content"] == "one two");
  CHECK(body["choices"][0]["finish_reason"] == "stop");
  CHECK(body["usage"]["total_tokens"] == 7);
  CHECK(answer->get_header_value("X-Request-Id") == "mine");
}

TEST_CASE("a whole text completion") {
  const OneNode node;
  const auto answer = Post(node, R"({"model":"m","prompt":"hi"})", {}, "/v1/completions");
  REQUIRE(answer->status == 200);
  CHECK(Json::parse(answer->body)["choices"][0]["text"] == "one two");
}

TEST_CASE("a stream: role, text, finish reason, usage, end") {
  const OneNode node;
  const auto answer = Post(node, kChatStream);
  REQUIRE(answer->status == 200);
  CHECK(answer->get_header_value("Content-Type") == "text/event-stream");
  const std::string& body = answer->body;
  const std::size_t role = body.find("\"role\":\"assistant\"");
  const std::size_t first = body.find("\"one \"");
  const std::size_t finish = body.find("\"finish_reason\":\"stop\"");
  const std::size_t usage = body.find("\"total_tokens\":7");
  CHECK(role < first);
  CHECK(first < finish);
  CHECK(finish < usage);
  CHECK(usage < body.find("data: [DONE]\n\n"));
  CHECK(absl::EndsWith(body, "data: [DONE]\n\n"));
}

// Returns the chunks of an answer with chunked encoding.
std::vector<std::string> PiecesOf(const std::string& answer) {
  std::vector<std::string> pieces;
  std::size_t position = answer.find("\r\n\r\n") + 4;
  while (true) {
    const std::size_t line_end = answer.find("\r\n", position);
    REQUIRE(line_end != std::string::npos);
    const std::size_t size = std::stoul(answer.substr(position, line_end - position), nullptr, 16);
    if (size == 0) {
      return pieces;
    }
    pieces.push_back(answer.substr(line_end + 2, size));
    position = line_end + 2 + size + 2;
  }
}

TEST_CASE("tokens that arrive together are sent as one chunk, and the first is sent immediately") {
  OneNode node;
  node.engine().SetGenerate(
      [](const GenerationRequest& request, absl::Time, const ChunkSink& sink) {
        for (std::uint64_t sequence = 1; sequence <= 7; ++sequence) {
          GenerationChunk chunk;
          chunk.sequence = sequence;
          chunk.text = absl::StrCat("t", sequence, " ");
          chunk.last = sequence == 7;
          chunk.finish_reason = chunk.last ? "stop" : "";
          chunk.wait_is_announced = true;
          sink(chunk);
          if (sequence == 4) {
            request.before_wait();
          }
        }
        return GenerationResult{GenerationOutcome::kComplete, {}, 7};
      });
  RawClient client(node.address());
  REQUIRE(client.Send(RawPost(kChatStream)));
  const std::vector<std::string> pieces = PiecesOf(client.ReadUntil("\r\n0\r\n\r\n"));
  REQUIRE(pieces.size() == 3);
  CHECK(absl::StrContains(pieces[0], "\"t1 \""));
  for (const char* const token : {"\"t2 \"", "\"t3 \"", "\"t4 \""}) {
    CHECK(absl::StrContains(pieces[1], token));
  }
  for (const char* const token : {"\"t5 \"", "\"t6 \"", "\"t7 \"", "data: [DONE]\n\n"}) {
    CHECK(absl::StrContains(pieces[2], token));
  }
}

TEST_CASE("tokens that are buffered when the engine fails still reach the caller") {
  OneNode node;
  node.engine().SetGenerate([](const GenerationRequest&, absl::Time, const ChunkSink& sink) {
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
      GenerationChunk chunk;
      chunk.sequence = sequence;
      chunk.text = absl::StrCat("t", sequence);
      chunk.wait_is_announced = true;
      sink(chunk);
    }
    return GenerationResult{GenerationOutcome::kMayHaveRun, make_error_code(Error::kAnswerLost), 3};
  });
  const auto answer = Post(node, kChatStream);
  REQUIRE(answer->status == 200);
  const std::size_t last_token = answer->body.find("\"t3\"");
  CHECK(last_token != std::string::npos);
  CHECK(last_token < answer->body.find("data: {\"error\":"));
}

TEST_CASE("a failure of the engine before output is refused with the known state of the attempt") {
  OneNode node;
  node.engine().SetGenerate([](const GenerationRequest&, absl::Time, const ChunkSink&) {
    return GenerationResult{GenerationOutcome::kMayHaveRun, make_error_code(Error::kAnswerLost), 0};
  });
  const auto answer = Post(node, kChatStream, {{"X-Repeatable", "false"}});
  REQUIRE(answer->status == 502);
  CHECK(ErrorOf(answer)["type"] == "hingespan_refusal");
  CHECK(ErrorOf(answer)["code"] == "engine_failed");
  CHECK(ErrorOf(answer)["attempt"] == "may_have_run");
}

TEST_CASE("an interrupted stream ends with an error event") {
  OneNode node;
  node.engine().SetGenerate([](const GenerationRequest&, absl::Time, const ChunkSink& sink) {
    sink({1, "one "});
    return GenerationResult{GenerationOutcome::kMayHaveRun, make_error_code(Error::kAnswerLost), 1};
  });
  const auto answer = Post(node, kChatStream);
  REQUIRE(answer->status == 200);
  CHECK(absl::StrContains(answer->body, "\"one \""));
  CHECK(absl::StrContains(answer->body, "data: {\"error\":"));
  CHECK(absl::StrContains(answer->body, "\"attempt\":\"may_have_run\""));
  CHECK(!absl::StrContains(answer->body, "[DONE]"));
}

TEST_CASE("a repeatable request is retried, and the caller gets one answer") {
  OneNode node;
  std::atomic<int> attempts = 0;
  std::string first_id;
  std::string second_id;
  node.engine().SetGenerate(
      [&](const GenerationRequest& request, absl::Time deadline, const ChunkSink& sink) {
        if (++attempts == 1) {
          first_id = request.request.value();
          sink({1, "lost "});
          return GenerationResult{GenerationOutcome::kMayHaveRun,
                                  make_error_code(Error::kAnswerLost), 1};
        }
        second_id = request.request.value();
        return TestEngine::AnswerTwoTokens(request, deadline, sink);
      });
  const auto answer = Post(node, kChat);
  REQUIRE(answer->status == 200);
  CHECK(Json::parse(answer->body)["choices"][0]["message"]["content"] == "one two");
  CHECK(attempts == 2);
  // The engine may still know the first attempt by its id.
  CHECK(first_id != second_id);
}

TEST_CASE("an unknown model and a full time limit are refused as not run") {
  const OneNode node;
  const auto unknown = Post(node, R"({"model":"other","messages":[{"role":"user"}]})");
  CHECK(unknown->status == 404);
  CHECK(ErrorOf(unknown)["attempt"] == "not_run");
}

TEST_CASE("an answer that is not whole at the deadline is refused as may have run") {
  OneNode node;
  absl::Duration left;
  node.engine().SetGenerate([&](const GenerationRequest&, absl::Time deadline, const ChunkSink&) {
    left = deadline - SystemClock().Now();
    return GenerationResult{GenerationOutcome::kMayHaveRun, make_error_code(Error::kTimeout), 0};
  });
  const auto answer = Post(node, kChat, {{"X-Request-Timeout-Ms", "20000"}});
  CHECK(answer->status == 504);
  CHECK(ErrorOf(answer)["attempt"] == "may_have_run");
  CHECK(left <= absl::Seconds(20));
}

TEST_CASE("the caller's idempotency key goes to the engine") {
  OneNode node;
  std::string body;
  node.engine().SetGenerate(
      [&](const GenerationRequest& request, absl::Time deadline, const ChunkSink& sink) {
        body = request.body;
        return TestEngine::AnswerTwoTokens(request, deadline, sink);
      });
  const auto answer = Post(node, kChat, {{"Idempotency-Key", "deal-7"}});
  REQUIRE(answer->status == 200);
  CHECK(Json::parse(body)["metadata"]["idempotency_key"] == "deal-7");
  const auto again = Post(node, kChat, {{"Idempotency-Key", "deal-7"}});
  CHECK(again->status == 409);
  CHECK(ErrorOf(again)["attempt"] == "not_run");
  CHECK(ErrorOf(again)["key"] == "may_have_run");
}

TEST_CASE("a caller that disconnects during generation frees its slot") {
  OneNode node;
  absl::Notification entered;
  std::atomic<bool> cancelled = false;
  node.engine().SetGenerate([&](const GenerationRequest& request, absl::Time, const ChunkSink&) {
    entered.Notify();
    const absl::Time until = SystemClock().Now() + kTestLimit;
    while (!request.cancelled() && SystemClock().Now() < until) {
      std::this_thread::yield();
    }
    cancelled = request.cancelled();
    return GenerationResult{GenerationOutcome::kCancelled, {}, 0};
  });
  RawClient client(node.address());
  client.Send(RawPost(kChat));
  REQUIRE(entered.WaitForNotificationWithTimeout(kTestLimit));
  client.Close();
  CHECK(node.WaitUntil([](const NodeCore& core) { return core.router().active() == 0; }));
  CHECK(cancelled);
}

TEST_CASE("callers and operators need their keys") {
  OneNodeOptions options;
  options.caller_key = "caller secret";
  options.operator_key = "operator secret";
  const OneNode node(options);
  CHECK(Post(node, kChat)->status == 401);
  CHECK(Post(node, kChat, {{"Authorization", "Bearer caller secreT"}})->status == 401);
  CHECK(Post(node, kChat, {{"Authorization", "Bearer caller secret"}})->status == 200);
  httplib::Client client(absl::StrCat("http://", node.address()));
  CHECK(client.Get("/admin/status")->status == 401);
  CHECK(client.Get("/admin/status", {{"Authorization", "Bearer operator secret"}})->status == 200);
  CHECK(client.Get("/healthz")->status == 200);
}

TEST_CASE("a forward must be signed by a node") {
  OneNodeOptions options;
  options.caller_key = "caller secret";
  options.cluster_key = "cluster secret";
  const OneNode node(options);
  const std::string token = MakeForwardToken("cluster secret", "r1", SystemClock().WallTime());
  const std::string forged = MakeForwardToken("guess", "r1", SystemClock().WallTime());
  CHECK(Post(node, kChat, {{"X-Request-Id", "r1"}, {kForwardedHeader, token}})->status == 200);
  CHECK(Post(node, kChat, {{"X-Request-Id", "r2"}, {kForwardedHeader, token}})->status == 401);
  CHECK(Post(node, kChat, {{"X-Request-Id", "r1"}, {kForwardedHeader, forged}})->status == 401);
  CHECK(Post(node, kChat, {{"X-Request-Id", "r1"}, {kForwardedHeader, "1"}})->status == 401);
}

TEST_CASE("models, status, explanation, metrics and drain") {
  OneNode node;
  REQUIRE(Post(node, kChat)->status == 200);
  httplib::Client client(absl::StrCat("http://", node.address()));
  CHECK(Json::parse(client.Get("/v1/models")->body)["data"][0]["id"] == "m");
  const Json status = Json::parse(client.Get("/admin/status")->body);
  CHECK(status["node"] == "n1");
  CHECK(status["workers"][0]["replicas"][0]["state"] == "ready");
  CHECK(!Json::parse(client.Get("/admin/explain?model=m")->body)["lines"].empty());
  // The row was written without an editor.
  CHECK(!absl::StrContains(client.Get("/admin/explain?model=m")->body, "edited by"));
  CHECK(client.Get("/admin/explain")->status == 400);
  const std::string metrics = client.Get("/metrics")->body;
  CHECK(absl::StrContains(metrics, "hingespan_requests_total{outcome=\"complete\"} 1"));
  CHECK(absl::StrContains(metrics, "hingespan_ready 1"));
  const auto drain = [&client](const char* body) {
    return client.Post("/admin/drain", body, "application/json")->status;
  };
  CHECK(drain(R"({"node":"n2"})") == 400);
  CHECK(drain("[") == 400);
  CHECK(node.stops_begun == 0);
  CHECK(drain(R"({"node":"n1"})") == 202);
  CHECK(node.stops_begun == 1);
}

TEST_CASE("a drained worker is leaving: the platform is asked, and the node follows its list") {
  OneNode node;
  httplib::Client client(absl::StrCat("http://", node.address()));
  const auto drain = [&client](const char* body) {
    return client.Post("/admin/drain", body, "application/json");
  };
  CHECK(drain(R"({"worker":"w9"})")->status == 404);
  const auto drained = drain(R"({"worker":"w1"})");
  REQUIRE(drained->status == 202);
  CHECK(Json::parse(drained->body) == Json{{"worker", "w1"}, {"state", "leaving"}});
  CHECK(node.WaitUntil([](const NodeCore& core) {
    const KnownWorker* const worker = core.directory().Find(WorkerId("w1"));
    return worker != nullptr && worker->report.leaving;
  }));
  CHECK(node.stops_begun == 0);
}

TEST_CASE("a worker that can't be drained: the operator learns whether the call had an effect") {
  OneNode node;
  httplib::Client client(absl::StrCat("http://", node.address()));
  const auto status = [&](Error error) {
    node.machines().announce_error = error;
    return client.Post("/admin/drain", R"({"worker":"w1"})", "application/json")->status;
  };
  CHECK(status(Error::kConflict) == 409);
  CHECK(status(Error::kUnavailable) == 503);
  CHECK(status(Error::kRateLimited) == 503);
  CHECK(status(Error::kAnswerLost) == 504);
}

TEST_CASE("while stopping, new requests are refused as not run, and running ones end whole") {
  OneNode node;
  absl::Notification entered;
  absl::Notification release;
  node.engine().SetGenerate(
      [&](const GenerationRequest& request, absl::Time deadline, const ChunkSink& sink) {
        entered.Notify();
        release.WaitForNotificationWithTimeout(kTestLimit);
        return TestEngine::AnswerTwoTokens(request, deadline, sink);
      });
  RawClient running(node.address());
  running.Send(RawPost(kChatStream));
  REQUIRE(entered.WaitForNotificationWithTimeout(kTestLimit));
  node.driver().BeginStop();
  const auto refused = Post(node, kChat);
  CHECK(refused->status == 503);
  CHECK(ErrorOf(refused)["code"] == "stopping");
  CHECK(ErrorOf(refused)["attempt"] == "not_run");
  CHECK(!node.driver().StopComplete());
  release.Notify();
  CHECK(absl::StrContains(running.ReadUntil("[DONE]"), "[DONE]"));
}

}  // namespace
}  // namespace hingespan
