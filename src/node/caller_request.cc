#include "hingespan/node/caller_request.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaximumModelBytes = 256;
constexpr std::size_t kMaximumKeyBytes = 128;
constexpr std::size_t kMaximumRequestIdBytes = 200;
constexpr std::int64_t kMaximumTimeoutMs = 24 * 60 * 60 * 1000;
constexpr int kMaximumPriority = 10;
// Maximum number of bytes of a JSON parser message that are passed on, because the message may
// quote the body.
constexpr std::size_t kMaximumReason = 200;
// Number of bytes of the prompt that are hashed to select a replica.
constexpr std::size_t kPrefixBytes = 512;

// Describes why a text is not valid JSON, and at which byte.
std::string MalformedJson(std::string_view text) {
  try {
    const Json parsed = Json::parse(text);
  } catch (const Json::parse_error& error) {
    // "[json.exception.parse_error.101] parse error at ...: syntax error ..."
    const std::string_view all = error.what();
    const std::size_t start = all.find(": ");
    const std::string_view reason = start == std::string_view::npos ? all : all.substr(start + 2);
    return absl::StrCat("the body is not JSON, at byte ", error.byte, ": ",
                        absl::string_view(reason.data(), std::min(reason.size(), kMaximumReason)));
  }
  return "the body is not JSON";
}

// Parses the request and keeps the first problem found.
class Parser {
 public:
  Parser(CallKind kind, const CallerHeaders& headers) : headers_(headers) {
    parsed_.request.kind = kind;
  }

  ParsedCallerRequest Parse(std::string_view body) {
    ParseHeaders();
    ParseBody(body);
    return std::move(parsed_);
  }

 private:
  void Problem(std::string message, std::string parameter) {
    if (!parsed_.problem.has_value()) {
      parsed_.problem = CallerProblem{std::move(message), std::move(parameter)};
    }
  }

  void ParseHeaders() {
    ParseTimeout();
    ParseKey();
    ParseRepeatable();
    ParsePriority();
    if (headers_.request_id.has_value()) {
      parsed_.request.caller_request_id = *headers_.request_id;
      if (!IsRequestId(*headers_.request_id, kMaximumRequestIdBytes)) {
        Problem("X-Request-Id must be 1 to 200 letters, digits and ._:~-", "X-Request-Id");
      }
    }
  }

  void ParseTimeout() {
    if (!headers_.request_timeout_ms.has_value()) {
      return;
    }
    std::int64_t milliseconds = 0;
    const bool is_number = absl::SimpleAtoi(*headers_.request_timeout_ms, &milliseconds);
    if (!is_number || milliseconds < 1 || milliseconds > kMaximumTimeoutMs) {
      Problem("X-Request-Timeout-Ms must be a whole number of milliseconds, 1 to 86400000",
              "X-Request-Timeout-Ms");
    }
    parsed_.request.timeout = absl::Milliseconds(milliseconds);
  }

  void ParseKey() {
    if (!headers_.idempotency_key.has_value()) {
      return;
    }
    const std::string& key = *headers_.idempotency_key;
    const auto is_graphic = [](unsigned char character) { return absl::ascii_isgraph(character); };
    if (key.empty() || key.size() > kMaximumKeyBytes ||
        !std::all_of(key.begin(), key.end(), is_graphic)) {
      Problem("Idempotency-Key must be 1 to 128 visible ASCII characters", "Idempotency-Key");
    }
    parsed_.request.key = IdempotencyKey(key);
    parsed_.request.repeatable = false;
  }

  void ParseRepeatable() {
    if (!headers_.repeatable.has_value()) {
      return;
    }
    if (*headers_.repeatable != "true" && *headers_.repeatable != "false") {
      Problem("X-Repeatable must be true or false", "X-Repeatable");
    }
    parsed_.request.repeatable = *headers_.repeatable == "true";
  }

  void ParsePriority() {
    if (!headers_.priority.has_value()) {
      return;
    }
    int priority = 0;
    const bool is_number = absl::SimpleAtoi(*headers_.priority, &priority);
    if (!is_number || priority < -kMaximumPriority || priority > kMaximumPriority) {
      Problem("X-Priority must be a whole number, -10 to 10", "X-Priority");
    }
    parsed_.request.priority = priority;
  }

  void ParseBody(std::string_view text) {
    bool too_deep = false;
    const auto limit_depth = [&too_deep](int depth, Json::parse_event_t, Json&) {
      too_deep = too_deep || depth > kMaximumJsonDepth;
      return !too_deep;
    };
    Json body = Json::parse(text, limit_depth, false);
    if (too_deep) {
      Problem("the body is nested too deeply", "");
      return;
    }
    if (body.is_discarded()) {
      Problem(MalformedJson(text), "");
      return;
    }
    if (!body.is_object()) {
      Problem("the body must be a JSON object", "");
      return;
    }
    ParseModel(body);
    ParseStream(body);
    ParseLimits(body);
    const std::string prompt = ParsePrompt(body);
    const std::size_t prefix = std::min(prompt.size(), kPrefixBytes);
    parsed_.request.prefix_hash = XXH3_64bits(prompt.data(), prefix);
    FillBody(text, &body);
  }

  void ParseModel(const Json& body) {
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
      Problem("model must be given, as a string", "model");
      return;
    }
    parsed_.request.model = ModelName(model->get<std::string>());
    const std::string& name = parsed_.request.model.value();
    if (name.empty() || name.size() > kMaximumModelBytes) {
      Problem("model must be 1 to 256 bytes long", "model");
    }
  }

  void ParseStream(const Json& body) {
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_null()) {
      if (!stream->is_boolean()) {
        Problem("stream must be true or false", "stream");
        return;
      }
      parsed_.request.stream = stream->get<bool>();
    }
    const auto options = body.find("stream_options");
    if (options == body.end() || options->is_null()) {
      return;
    }
    const auto usage = options->find("include_usage");
    if (!options->is_object() || (usage != options->end() && !usage->is_boolean())) {
      Problem("stream_options must be an object; its include_usage true or false",
              "stream_options");
      return;
    }
    parsed_.request.include_usage = usage != options->end() && usage->get<bool>();
  }

  void ParseLimits(const Json& body) {
    for (const char* const name : {"max_tokens", "max_completion_tokens"}) {
      const auto tokens = body.find(name);
      if (tokens != body.end() && !tokens->is_null() &&
          (!tokens->is_number_integer() || tokens->get<std::int64_t>() < 1)) {
        Problem(absl::StrCat(name, " must be a whole number above 0"), name);
      }
    }
    const auto choices = body.find("n");
    if (choices != body.end() && !choices->is_null() && *choices != 1) {
      Problem("n must be 1", "n");
    }
    const auto metadata = body.find("metadata");
    if (metadata != body.end() && !metadata->is_null() && !metadata->is_object()) {
      Problem("metadata must be an object", "metadata");
    }
  }

  // Returns the text that the model is prompted with, for prefix affinity.
  std::string ParsePrompt(const Json& body) {
    if (parsed_.request.kind == CallKind::kCompletion) {
      const auto given = body.find("prompt");
      const bool is_list = given != body.end() && given->is_array() && given->size() == 1;
      const Json prompt = is_list ? given->front() : body.value("prompt", Json());
      if (!prompt.is_string()) {
        Problem("prompt must be given, as a string or a list of one string", "prompt");
        return std::string();
      }
      return prompt.get<std::string>();
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
      Problem("messages must be given, as a list that is not empty", "messages");
      return std::string();
    }
    std::string prompt;
    for (const Json& message : *messages) {
      AppendMessage(message, &prompt);
    }
    return prompt;
  }

  void AppendMessage(const Json& message, std::string* prompt) {
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
      Problem("each message must be an object with a role", "messages");
      return;
    }
    const auto content = message.find("content");
    if (content == message.end() || content->is_null()) {
      return;
    }
    if (!content->is_string() && !content->is_array()) {
      Problem("a message's content must be a string or a list of parts", "messages");
      return;
    }
    if (prompt->size() < kPrefixBytes && content->is_string()) {
      absl::StrAppend(prompt, message["role"].get_ref<const std::string&>(), ":",
                      content->get_ref<const std::string&>(), "\n");
    }
  }

  // Passes the caller's text on unchanged unless the idempotency key must be added.
  void FillBody(std::string_view text, Json* body) {
    if (parsed_.request.key.empty() || parsed_.problem.has_value()) {
      parsed_.request.body = std::string(text);
      return;
    }
    Json& metadata = (*body)["metadata"];
    metadata["idempotency_key"] = parsed_.request.key.value();
    parsed_.request.body = body->dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  const CallerHeaders& headers_;
  ParsedCallerRequest parsed_;
};

}  // namespace

ParsedCallerRequest ParseCallerRequest(CallKind kind, std::string_view body,
                                       const CallerHeaders& headers) {
  return Parser(kind, headers).Parse(body);
}

bool IsRequestId(std::string_view text, std::size_t maximum) {
  const auto allowed = [](char character) {
    const bool alphanumeric = absl::ascii_isalnum(static_cast<unsigned char>(character));
    return alphanumeric || absl::StrContains("._:~-", character);
  };
  return !text.empty() && text.size() <= maximum && std::all_of(text.begin(), text.end(), allowed);
}

}  // namespace hingespan
