#include "hingespan/node/answer_format.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Returns true if the character needs no escaping in JSON.
bool IsPlain(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte >= 0x20 && byte < 0x7F && character != '"' && character != '\\';
}

std::string Usage(const GenerationChunk& last) {
  return absl::StrCat("\"usage\":{\"prompt_tokens\":", last.prompt_tokens,
                      ",\"completion_tokens\":", last.completion_tokens,
                      ",\"total_tokens\":", last.prompt_tokens + last.completion_tokens, "}");
}

std::string Head(const AnswerIdentity& identity, absl::string_view id_prefix,
                 absl::string_view object) {
  return absl::StrCat("{\"id\":", JsonString(absl::StrCat(id_prefix, identity.request.value())),
                      ",\"object\":\"", object, "\",\"created\":", identity.created,
                      ",\"model\":", JsonString(identity.model.value()));
}

absl::string_view View(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace

std::string JsonString(std::string_view text) {
  std::string quoted;
  quoted.reserve(text.size() + 2);
  quoted.push_back('"');
  for (const char character : text) {
    if (!IsPlain(character)) {
      return Dump(text);
    }
    quoted.push_back(character);
  }
  quoted.push_back('"');
  return quoted;
}

AnswerFormat::AnswerFormat(const AnswerIdentity& identity) : identity_(identity) {
  if (identity.kind == CallKind::kChat) {
    stream_head_ = Head(identity, "chatcmpl-", "chat.completion.chunk");
    whole_head_ = Head(identity, "chatcmpl-", "chat.completion");
    text_event_head_ =
        absl::StrCat("data: ", stream_head_, ",\"choices\":[{\"index\":0,\"delta\":{\"content\":");
    text_event_tail_ = "},\"finish_reason\":null}]}\n\n";
  } else {
    stream_head_ = Head(identity, "cmpl-", "text_completion");
    whole_head_ = stream_head_;
    text_event_head_ = absl::StrCat("data: ", stream_head_, ",\"choices\":[{\"index\":0,\"text\":");
    text_event_tail_ = ",\"finish_reason\":null}]}\n\n";
  }
}

std::string AnswerFormat::Event(std::string_view choice_members,
                                std::string_view more_members) const {
  return absl::StrCat("data: ", stream_head_, ",\"choices\":[{\"index\":0,", View(choice_members),
                      "}]", View(more_members), "}\n\n");
}

std::string AnswerFormat::OpeningEvent() const {
  if (identity_.kind == CallKind::kCompletion) {
    return std::string();
  }
  return Event("\"delta\":{\"role\":\"assistant\",\"content\":\"\"},\"finish_reason\":null", "");
}

void AnswerFormat::AppendTextEvent(std::string_view text, std::string* events) const {
  absl::StrAppend(events, text_event_head_, JsonString(text), text_event_tail_);
}

std::string AnswerFormat::ClosingEvents(const GenerationChunk& last) const {
  const std::string finish = absl::StrCat(",\"finish_reason\":", JsonString(last.finish_reason));
  const bool chat = identity_.kind == CallKind::kChat;
  std::string events = Event(absl::StrCat(chat ? "\"delta\":{}" : "\"text\":\"\"", finish), "");
  if (identity_.include_usage) {
    absl::StrAppend(&events, "data: ", stream_head_, ",\"choices\":[],", Usage(last), "}\n\n");
  }
  events.append(kDoneEvent);
  return events;
}

std::string AnswerFormat::WholeAnswer(std::string_view text, const GenerationChunk& last) const {
  const std::string content = JsonString(text);
  const std::string value =
      identity_.kind == CallKind::kChat
          ? absl::StrCat("\"message\":{\"role\":\"assistant\",\"content\":", content, "}")
          : absl::StrCat("\"text\":", content);
  return absl::StrCat(whole_head_, ",\"choices\":[{\"index\":0,", value,
                      ",\"finish_reason\":", JsonString(last.finish_reason), "}],", Usage(last),
                      "}");
}

std::string RefusalBody(const Refusal& refusal) {
  const std::string code(RefusalCodeName(refusal.code));
  return Dump({{"error",
                {{"message", refusal.detail.empty() ? code : refusal.detail},
                 {"type", "hingespan_refusal"},
                 {"code", code},
                 {"param", nullptr},
                 {"attempt", RunStateName(refusal.attempt)},
                 {"key", RunStateName(refusal.key)}}}});
}

std::string BadRequestBody(const CallerProblem& problem, bool has_key) {
  const RunState key = has_key ? RunState::kMayHaveRun : RunState::kNotRun;
  const Json parameter = problem.parameter.empty() ? Json() : Json(problem.parameter);
  return Dump({{"error",
                {{"message", problem.message},
                 {"type", "invalid_request_error"},
                 {"code", RefusalCodeName(RefusalCode::kBadRequest)},
                 {"param", parameter},
                 {"attempt", RunStateName(RunState::kNotRun)},
                 {"key", RunStateName(key)}}}});
}

std::string HttpErrorBody(int status, std::string_view message) {
  RefusalCode code = RefusalCode::kBadRequest;
  if (status == RefusalHttpStatus(RefusalCode::kOverloaded)) {
    code = RefusalCode::kOverloaded;
  } else if (status == RefusalHttpStatus(RefusalCode::kBodyTooLarge)) {
    code = RefusalCode::kBodyTooLarge;
  } else if (status == RefusalHttpStatus(RefusalCode::kUnauthorized)) {
    code = RefusalCode::kUnauthorized;
  }
  Refusal refusal;
  refusal.code = code;
  // The request was not parsed, so nothing is known about its idempotency key.
  refusal.key = RunState::kMayHaveRun;
  refusal.detail = std::string(message);
  return RefusalBody(refusal);
}

std::string HttpStoppingBody(std::string_view message) {
  Refusal refusal;
  refusal.code = RefusalCode::kStopping;
  refusal.key = RunState::kMayHaveRun;
  refusal.detail = std::string(message);
  return RefusalBody(refusal);
}

std::string ErrorEvent(const Refusal& refusal) {
  return absl::StrCat("data: ", RefusalBody(refusal), "\n\n");
}

}  // namespace hingespan
