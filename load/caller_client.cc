#include "load/caller_client.h"

#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "hingespan/common/clock.h"
#include "load/http_call.h"

namespace hingespan::load {
namespace {

using Json = nlohmann::json;

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kNotRun[] = "not_run";
constexpr char kDoneMarker[] = "[DONE]";
constexpr int kStatusOk = 200;
constexpr absl::Duration kDefaultTimeLimit = absl::Minutes(10);
constexpr absl::Duration kConnectTimeout = absl::Seconds(5);

std::string StringOr(const Json& json, const char* name) {
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

std::string RequestBody(const CallerRequest& request) {
  Json body{{"model", request.model},
            {"messages", Json::array({Json{{"role", "user"}, {"content", request.prompt}}})},
            {"max_tokens", request.max_tokens},
            {"stream", request.stream}};
  const std::string& tag = request.tag.empty() ? request.idempotency_key : request.tag;
  if (!tag.empty()) {
    body["metadata"] = Json{{"idempotency_key", tag}};
  }
  return body.dump();
}

httplib::Headers RequestHeaders(const CallerRequest& request) {
  httplib::Headers headers{{"Content-Type", "application/json"},
                           {"X-Repeatable", request.repeatable ? "true" : "false"},
                           {"X-Priority", absl::StrCat(request.priority)}};
  if (request.time_limit > absl::ZeroDuration()) {
    headers.emplace("X-Request-Timeout-Ms",
                    absl::StrCat(absl::ToInt64Milliseconds(request.time_limit)));
  }
  if (!request.idempotency_key.empty()) {
    headers.emplace("Idempotency-Key", request.idempotency_key);
  }
  if (!request.caller_key.empty()) {
    headers.emplace("Authorization", absl::StrCat("Bearer ", request.caller_key));
  }
  return headers;
}

// Parses the bytes of an answer as they arrive and fills in the result.
class AnswerReader {
 public:
  AnswerReader(bool stream, absl::Time start, CallerResult* result)
      : stream_(stream), start_(start), result_(result) {}

  void Append(const char* bytes, std::size_t size) {
    buffer_.append(bytes, size);
    if (!stream_ || result_->http_status != kStatusOk) {
      return;
    }
    std::size_t end = 0;
    while ((end = buffer_.find('\n')) != std::string::npos) {
      ParseLine(absl::StripSuffix(absl::string_view(buffer_).substr(0, end), "\r"));
      buffer_.erase(0, end + 1);
    }
  }

  // Handles the end of the body; `complete` is false if the connection broke.
  void Finish(bool complete) {
    if (result_->http_status != kStatusOk) {
      ParseError(Json::parse(buffer_, nullptr, /*allow_exceptions=*/false));
      return;
    }
    if (!stream_) {
      FinishPlain(complete);
    } else if (!done_ && !failed_) {
      SetLost(complete ? "no_terminal_marker" : "connection_broken");
    } else if (!failed_) {
      result_->outcome = CallerOutcome::kAnswered;
    }
  }

 private:
  void ParseLine(absl::string_view line) {
    if (!absl::ConsumePrefix(&line, "data:")) {
      return;
    }
    line = absl::StripLeadingAsciiWhitespace(line);
    if (line == kDoneMarker) {
      done_ = true;
      return;
    }
    const Json json = Json::parse(line.begin(), line.end(), nullptr, /*allow_exceptions=*/false);
    if (!json.is_object()) {
      result_->wrong = true;
      return;
    }
    if (json.contains("error")) {
      failed_ = true;
      ParseError(json);
      return;
    }
    ParseChoices(json, "delta");
  }

  void ParseChoices(const Json& json, const char* part) {
    const auto choices = json.find("choices");
    if (choices == json.end() || !choices->is_array() || choices->empty()) {
      return;
    }
    const auto found = choices->front().find(part);
    if (found == choices->front().end() || !found->is_object()) {
      return;
    }
    const std::string text = StringOr(*found, "content");
    if (text.empty()) {
      return;
    }
    if (result_->text.empty()) {
      result_->first_token = SystemClock().Now() - start_;
    }
    result_->text += text;
  }

  void FinishPlain(bool complete) {
    const Json json = Json::parse(buffer_, nullptr, /*allow_exceptions=*/false);
    if (!json.is_object()) {
      SetLost(complete ? "malformed" : "connection_broken");
      return;
    }
    ParseChoices(json, "message");
    result_->outcome = CallerOutcome::kAnswered;
  }

  void ParseError(const Json& json) {
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object()) {
      SetLost("malformed");
      result_->detail = buffer_;
      return;
    }
    const Json& error = json["error"];
    result_->code = StringOr(error, "code");
    result_->attempt = StringOr(error, "attempt");
    result_->key = StringOr(error, "key");
    result_->detail = StringOr(error, "message");
    result_->outcome =
        result_->attempt == kNotRun ? CallerOutcome::kRefused : CallerOutcome::kFailed;
  }

  void SetLost(const char* code) {
    result_->outcome = CallerOutcome::kLost;
    result_->code = code;
  }

  const bool stream_;
  const absl::Time start_;
  CallerResult* const result_;
  std::string buffer_;
  bool done_ = false;
  bool failed_ = false;
};

void ReadHeaders(const httplib::Response& response, CallerResult* result) {
  result->http_status = response.status;
  std::int64_t number = 0;
  if (absl::SimpleAtoi(response.get_header_value("X-Retry-After-Ms"), &number)) {
    result->retry_after = absl::Milliseconds(number);
  } else if (absl::SimpleAtoi(response.get_header_value("Retry-After"), &number)) {
    result->retry_after = absl::Seconds(number);
  }
}

void SetUnanswered(httplib::Error error, CallerResult* result) {
  const bool unconnected =
      error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
  result->outcome = unconnected ? CallerOutcome::kFailed : CallerOutcome::kLost;
  result->code = unconnected ? "connect_failed" : "connection_broken";
  result->attempt = unconnected ? kNotRun : "";
  result->detail = httplib::to_string(error);
}

struct Token {
  std::string request;
  int number = 0;
};

// Parses "<prefix><request>/<number>".
std::optional<Token> ParseToken(absl::string_view text, const std::string& prefix) {
  Token token;
  if (!absl::ConsumePrefix(&text, prefix)) {
    return std::nullopt;
  }
  const std::size_t slash = text.rfind('/');
  if (slash == absl::string_view::npos ||
      !absl::SimpleAtoi(text.substr(slash + 1), &token.number)) {
    return std::nullopt;
  }
  token.request = std::string(text.substr(0, slash));
  return token;
}

}  // namespace

std::string_view CallerOutcomeName(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kAnswered:
      return "answered";
    case CallerOutcome::kRefused:
      return "refused";
    case CallerOutcome::kFailed:
      return "failed";
    case CallerOutcome::kLost:
      return "lost";
  }
  return "lost";
}

TokenCheck CheckTokens(std::string_view text, std::string_view model, int expected_tokens) {
  TokenCheck check;
  const std::string prefix = std::string(model) + "#";
  const absl::string_view tokens(text.data(), text.size());
  for (const absl::string_view token : absl::StrSplit(tokens, ' ', absl::SkipEmpty())) {
    ++check.tokens;
    const std::optional<Token> parsed = ParseToken(token, prefix);
    if (!parsed.has_value() || parsed->number != check.tokens) {
      check.wrong = true;
      continue;
    }
    if (check.request.empty()) {
      check.request = parsed->request;
    }
    check.wrong = check.wrong || check.request != parsed->request;
  }
  check.wrong = check.wrong || (expected_tokens >= 0 && check.tokens != expected_tokens);
  return check;
}

CallerClient::CallerClient(std::string address) : address_(std::move(address)) {}

CallerResult CallerClient::Send(const CallerRequest& request, absl::Duration grace) const {
  CallerResult result;
  const Result<HostPort> target = ParseHostPort(address_);
  if (!target) {
    result.outcome = CallerOutcome::kFailed;
    result.code = "malformed";
    result.attempt = kNotRun;
    return result;
  }
  const absl::Time start = SystemClock().Now();
  const absl::Duration limit =
      (request.time_limit > absl::ZeroDuration() ? request.time_limit : kDefaultTimeLimit) + grace;
  httplib::Client client(target->host, target->port);
  client.set_connection_timeout(absl::ToChronoMicroseconds(std::min(limit, kConnectTimeout)));
  client.set_read_timeout(absl::ToChronoMicroseconds(limit));
  client.set_write_timeout(absl::ToChronoMicroseconds(limit));
  client.set_tcp_nodelay(true);

  AnswerReader reader(request.stream, start, &result);
  httplib::Request call;
  call.method = "POST";
  call.path = kChatPath;
  call.headers = RequestHeaders(request);
  call.body = RequestBody(request);
  call.response_handler = [&](const httplib::Response& response) {
    ReadHeaders(response, &result);
    return true;
  };
  call.content_receiver = [&](const char* bytes, std::size_t size, std::uint64_t, std::uint64_t) {
    reader.Append(bytes, size);
    return SystemClock().Now() - start < limit;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool complete = client.send(call, response, error);
  if (result.http_status == 0) {
    SetUnanswered(error, &result);
    result.total = SystemClock().Now() - start;
    return result;
  }
  reader.Finish(complete);
  result.total = SystemClock().Now() - start;
  const bool answered = result.outcome == CallerOutcome::kAnswered;
  const TokenCheck check =
      CheckTokens(result.text, request.model, answered ? request.max_tokens : -1);
  result.wrong = result.wrong || check.wrong;
  result.tokens = check.tokens;
  result.answered_request = check.request;
  return result;
}

}  // namespace hingespan::load
