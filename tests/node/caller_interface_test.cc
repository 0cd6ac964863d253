// Standard HTTP behavior besides answers: single models, methods, authentication challenges,
// Retry-After and error descriptions of bodies.
#include <doctest/doctest.h>
#include <httplib.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/node/caller_answer.h"
#include "hingespan/node/caller_request.h"
#include "tests/node/one_node.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

std::string ProblemOf(CallKind kind, const std::string& body) {
  const ParsedCallerRequest parsed = ParseCallerRequest(kind, body, {});
  return parsed.problem.has_value() ? parsed.problem->message : "none";
}

TEST_CASE("one model by its name") {
  const OneNode node;
  httplib::Client client(absl::StrCat("http://", node.address()));
  const auto found = client.Get("/v1/models/m");
  REQUIRE(found->status == 200);
  CHECK(Json::parse(found->body) ==
        Json{{"id", "m"}, {"object", "model"}, {"created", 0}, {"owned_by", "hingespan"}});
  const auto absent = client.Get("/v1/models/team/other");
  CHECK(absent->status == 404);
  CHECK(Json::parse(absent->body)["error"]["code"] == "unknown_model");
}

TEST_CASE("a wrong method on a known path is answered 405 with the right ones") {
  const OneNode node;
  httplib::Client client(absl::StrCat("http://", node.address()));
  for (const char* const path : {"/v1/chat/completions", "/v1/completions", "/admin/drain"}) {
    const auto answer = client.Get(path);
    CHECK(answer->status == 405);
    CHECK(answer->get_header_value("Allow") == "POST");
    CHECK(Json::parse(answer->body)["error"]["message"] == "use POST");
  }
  for (const char* const path : {"/v1/models", "/v1/models/m", "/healthz", "/readyz", "/metrics",
                                 "/admin/status", "/admin/explain"}) {
    const auto answer = client.Post(path, "{}", "application/json");
    CHECK(answer->status == 405);
    CHECK(answer->get_header_value("Allow") == "GET, HEAD");
    CHECK(client.Delete(path)->status == 405);
  }
  CHECK(client.Get("/v1/nothing")->status == 404);
}

TEST_CASE("a missing key is answered with an authentication challenge") {
  OneNodeOptions options;
  options.caller_key = "caller secret";
  options.operator_key = "operator secret";
  const OneNode node(options);
  httplib::Client client(absl::StrCat("http://", node.address()));
  for (const char* const path : {"/v1/models", "/v1/models/m", "/admin/status"}) {
    const auto answer = client.Get(path);
    CHECK(answer->status == 401);
    CHECK(answer->get_header_value("WWW-Authenticate") == "Bearer");
  }
}

// Returns true if a refusal with this code of a request that did not run must carry Retry-After.
bool ExpectsRetryAfter(RefusalCode code) {
  switch (code) {
    case RefusalCode::kBadRequest:
    case RefusalCode::kUnknownModel:
    case RefusalCode::kUnauthorized:
    case RefusalCode::kBodyTooLarge:
    case RefusalCode::kKeyAlreadyClaimed:
    case RefusalCode::kKeyOutOfTime:
    case RefusalCode::kCancelled:
      return false;
    case RefusalCode::kQueueFull:
    case RefusalCode::kWaitHopeless:
    case RefusalCode::kNoCapacity:
    case RefusalCode::kSiteUnavailable:
    case RefusalCode::kOverloaded:
    case RefusalCode::kStopping:
    case RefusalCode::kKeyUndecided:
    case RefusalCode::kWaitExpired:
    case RefusalCode::kEngineFailed:
    case RefusalCode::kDeadlineExceeded:
      return true;
  }
  return false;
}

bool SendsRetryAfter(const Refusal& refusal) {
  httplib::Response response;
  FillRefusal(refusal, &response);
  CHECK(response.has_header("Retry-After") == response.has_header("X-Retry-After-Ms"));
  return response.has_header("Retry-After");
}

TEST_CASE("Retry-After is sent with exactly those refusals where a retry can help") {
  for (int index = 0; index <= static_cast<int>(RefusalCode::kCancelled); ++index) {
    Refusal refusal;
    refusal.code = static_cast<RefusalCode>(index);
    CAPTURE(std::string(RefusalCodeName(refusal.code)));
    const bool expected = ExpectsRetryAfter(refusal.code);
    refusal.attempt = RunState::kNotRun;
    CHECK(SendsRetryAfter(refusal) == expected);
    refusal.attempt = RunState::kMayHaveRun;
    // Without a delay given by the router a retry could make the request run twice.
    CHECK(!SendsRetryAfter(refusal));
    // A delay given by the router is passed on unchanged.
    refusal.retry_after = absl::Seconds(3);
    CHECK(SendsRetryAfter(refusal));
  }
}

TEST_CASE("a malformed body is answered with what is wrong, and where") {
  const std::string text = R"({"model":"m","messages":[}]})";
  const std::string problem = ProblemOf(CallKind::kChat, text);
  CHECK(absl::StartsWith(problem, "the body is not JSON, at byte 26: "));
  CHECK(absl::StrContains(problem, "unexpected '}'"));
  CHECK(absl::StartsWith(ProblemOf(CallKind::kChat, ""), "the body is not JSON, at byte 1: "));
  const std::string long_token = absl::StrCat("{\"", std::string(100000, 'a'), "\x01");
  CHECK(ProblemOf(CallKind::kChat, long_token).size() < 400);
  CHECK(ProblemOf(CallKind::kChat, "[]") == "the body must be a JSON object");
}

TEST_CASE("a body that is no valid UTF-8 is answered with valid JSON") {
  const OneNode node;
  httplib::Client client(absl::StrCat("http://", node.address()));
  const auto answer =
      client.Post("/v1/chat/completions", "{\"model\":\"\xff\xfe\"}", "application/json");
  CHECK(answer->status == 400);
  CHECK(Json::parse(answer->body)["error"]["code"] == "bad_request");
}

TEST_CASE("a prompt may be a list of one string") {
  const auto parse = [](const char* prompt) {
    return ParseCallerRequest(CallKind::kCompletion,
                              absl::StrCat(R"({"model":"m","prompt":)", prompt, "}"), {});
  };
  CHECK(!parse(R"(["hi"])").problem.has_value());
  CHECK(parse(R"(["hi"])").request.prefix_hash == parse(R"("hi")").request.prefix_hash);
  for (const char* const bad : {"[]", R"(["a","b"])", "[1]", "[[1]]", "1"}) {
    REQUIRE(parse(bad).problem.has_value());
    CHECK(parse(bad).problem->parameter == "prompt");
  }
}

TEST_CASE("both names of the token limit are checked") {
  for (const char* const name : {"max_tokens", "max_completion_tokens"}) {
    const std::string body = absl::StrCat(R"({"model":"m","prompt":"hi",")", name, "\":0}");
    CHECK(absl::StartsWith(ProblemOf(CallKind::kCompletion, body), name));
  }
}

}  // namespace
}  // namespace hingespan
