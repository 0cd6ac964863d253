#include "hingespan/node/caller_request.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "hingespan/node/answer_format.h"
#include "hingespan/node/request_forwarder.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

constexpr char kValidBody[] = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";

std::string InvalidParameter(const std::string& body, const CallerHeaders& headers = {}) {
  const ParsedCallerRequest parsed = ParseCallerRequest(CallKind::kChat, body, headers);
  return parsed.problem.has_value() ? parsed.problem->parameter : "none";
}

TEST_CASE("defaults of a good request") {
  const ParsedCallerRequest parsed = ParseCallerRequest(CallKind::kChat, kValidBody, {});
  CHECK(!parsed.problem.has_value());
  CHECK(parsed.request.repeatable);
  CHECK(parsed.request.body == kValidBody);
  CHECK(parsed.request.timeout == absl::ZeroDuration());
}

TEST_CASE("a key makes a request not repeatable, unless the caller says otherwise") {
  CallerHeaders headers;
  headers.idempotency_key = "k1";
  const auto parse = [&] {
    return ParseCallerRequest(CallKind::kChat, kValidBody, headers).request;
  };
  CHECK(!parse().repeatable);
  CHECK(Json::parse(parse().body)["metadata"]["idempotency_key"] == "k1");
  headers.repeatable = "true";
  CHECK(parse().repeatable);
}

TEST_CASE("bad bodies name the parameter") {
  CHECK(InvalidParameter("{").empty());
  CHECK(InvalidParameter("[]").empty());
  CHECK(InvalidParameter(R"({"messages":[{"role":"user"}]})") == "model");
  CHECK(InvalidParameter(R"({"model":1,"messages":[{"role":"user"}]})") == "model");
  CHECK(InvalidParameter(R"({"model":"","messages":[{"role":"user"}]})") == "model");
  CHECK(InvalidParameter(R"({"model":"m"})") == "messages");
  CHECK(InvalidParameter(R"({"model":"m","messages":[]})") == "messages");
  CHECK(InvalidParameter(R"({"model":"m","messages":["hi"]})") == "messages");
  CHECK(InvalidParameter(R"({"model":"m","messages":[{"role":"user","content":1}]})") ==
        "messages");
  CHECK(InvalidParameter(R"({"model":"m","stream":"yes","messages":[{"role":"user"}]})") ==
        "stream");
  CHECK(InvalidParameter(R"({"model":"m","n":2,"messages":[{"role":"user"}]})") == "n");
  CHECK(InvalidParameter(R"({"model":"m","max_tokens":0,"messages":[{"role":"user"}]})") ==
        "max_tokens");
  CHECK(InvalidParameter(R"({"model":"m","metadata":1,"messages":[{"role":"user"}]})") ==
        "metadata");
  CHECK(InvalidParameter(R"({"model":"m","stream_options":1,"messages":[{"role":"user"}]})") ==
        "stream_options");
}

TEST_CASE("a caller whose request a stopping node did not read learns that it stops") {
  const Json error = Json::parse(HttpStoppingBody("the server is stopping"))["error"];
  CHECK(error["code"] == "stopping");
  CHECK(error["attempt"] == "not_run");
}

TEST_CASE("nesting that could overflow a small stack is refused") {
  const std::string deep(100000, '[');
  const auto parsed =
      ParseCallerRequest(CallKind::kChat, absl::StrCat("{\"model\":\"m\",\"x\":", deep), {});
  REQUIRE(parsed.problem.has_value());
  CHECK(parsed.problem->message == "the body is nested too deeply");
}

TEST_CASE("bad headers name the header") {
  const auto invalid_header = [](auto set) {
    CallerHeaders headers;
    set(&headers);
    return InvalidParameter(kValidBody, headers);
  };
  for (const char* const timeout : {"", "0", "-1", "1.5", "soon", "86400001"}) {
    CHECK(invalid_header([&](CallerHeaders* headers) { headers->request_timeout_ms = timeout; }) ==
          "X-Request-Timeout-Ms");
  }
  for (const std::string& key : {std::string(), std::string("a b"), std::string(129, 'k')}) {
    CHECK(invalid_header([&](CallerHeaders* headers) { headers->idempotency_key = key; }) ==
          "Idempotency-Key");
  }
  for (const char* const priority : {"", "11", "-11", "high"}) {
    CHECK(invalid_header([&](CallerHeaders* headers) { headers->priority = priority; }) ==
          "X-Priority");
  }
  CHECK(invalid_header([](CallerHeaders* headers) { headers->repeatable = "yes"; }) ==
        "X-Repeatable");
  CHECK(invalid_header([](CallerHeaders* headers) { headers->request_id = "a/b"; }) ==
        "X-Request-Id");
}

TEST_CASE("texts with arbitrary bytes produce valid JSON") {
  for (const std::string& text : {std::string("plain"), std::string("\"\\\n"),
                                  std::string("\xff\xfe bad"), std::string("é")}) {
    CHECK_NOTHROW(Json::parse(JsonString(text)).get<std::string>());
  }
  CHECK(Json::parse(JsonString("\"\\\n")) == "\"\\\n");
}

TEST_CASE("the last complete event determines how a relayed stream ended") {
  const std::string token = "data: {\"id\":\"a very long event that is not kept whole\"}\n\n";
  EventStreamEnd end;
  end.Add(token);
  CHECK(!end.whole());
  CHECK(!end.failed());
  end.Add("data: [DO");
  CHECK(!end.whole());
  end.Add("NE]\n\n");
  CHECK(end.whole());
  EventStreamEnd failed;
  failed.Add(token + "data: {\"error\":{\"message\":\"" + std::string(100, 'x') + "\"}}\n\n");
  CHECK(failed.failed());
  CHECK(!failed.whole());
}

}  // namespace
}  // namespace hingespan
