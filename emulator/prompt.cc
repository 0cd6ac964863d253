#include "emulator/prompt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace hingespan::emulator {
namespace {

using nlohmann::json;

std::string TextOf(const json& body) {
  auto prompt = body.find("prompt");
  if (prompt != body.end() && prompt->is_string()) {
    return prompt->get<std::string>();
  }
  if (prompt != body.end() && prompt->is_array() && prompt->size() == 1 &&
      prompt->front().is_string()) {
    return prompt->front().get<std::string>();
  }
  std::string text;
  auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) {
    return text;
  }
  for (const json& message : *messages) {
    if (message.is_object()) {
      absl::StrAppend(&text, message.value("role", json()).dump(), ": ",
                      message.value("content", json()).dump(), "\n");
    }
  }
  return text;
}

}  // namespace

std::uint32_t Prompt::token_count() const {
  const std::size_t tokens = (text.size() + kBytesPerToken - 1) / kBytesPerToken;
  return static_cast<std::uint32_t>(std::max<std::size_t>(1, tokens));
}

Prompt ParsePrompt(const std::string& body) {
  Prompt prompt;
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    prompt.text = body;
    return prompt;
  }
  prompt.text = TextOf(parsed);
  for (const char* const name : {"max_tokens", "max_completion_tokens"}) {
    const auto tokens = parsed.find(name);
    if (tokens != parsed.end() && tokens->is_number_unsigned()) {
      prompt.maximum_tokens = std::max<std::uint32_t>(1, tokens->get<std::uint32_t>());
      prompt.limited = true;
    }
  }
  auto metadata = parsed.find("metadata");
  if (metadata != parsed.end() && metadata->is_object()) {
    auto key = metadata->find("idempotency_key");
    if (key != metadata->end() && key->is_string()) {
      prompt.key = IdempotencyKey(key->get<std::string>());
    }
  }
  return prompt;
}

}  // namespace hingespan::emulator
