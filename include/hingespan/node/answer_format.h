// Formats answers, stream events and refusals as OpenAI-compatible JSON. Does no I/O.
#ifndef HINGESPAN_NODE_ANSWER_FORMAT_H_
#define HINGESPAN_NODE_ANSWER_FORMAT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "hingespan/common/ids.h"
#include "hingespan/common/refusal.h"
#include "hingespan/engine/engine_client.h"
#include "hingespan/node/caller_request.h"

namespace hingespan {

// Last event of every complete event stream.
inline constexpr char kDoneEvent[] = "data: [DONE]\n\n";

// Fields that all parts of one answer share.
struct AnswerIdentity {
  CallKind kind = CallKind::kChat;
  RequestId request;
  ModelName model;
  // Creation time in seconds since the Unix epoch.
  std::int64_t created = 0;
  bool include_usage = false;
};

// Formats one answer. Precomputes the parts that all events share, to keep the cost per token low.
// Not thread-safe.
class AnswerFormat {
 public:
  explicit AnswerFormat(const AnswerIdentity& identity);

  // Returns the first event of a chat stream, which carries the role. Empty for text completions.
  std::string OpeningEvent() const;
  // Appends the event of a chunk that is not the last one.
  void AppendTextEvent(std::string_view text, std::string* events) const;
  // Returns the events that end the stream: finish reason, usage if requested, and [DONE].
  std::string ClosingEvents(const GenerationChunk& last) const;
  // Returns the body of an answer that is not streamed.
  std::string WholeAnswer(std::string_view text, const GenerationChunk& last) const;

 private:
  std::string Event(std::string_view choice_members, std::string_view more_members) const;

  const AnswerIdentity identity_;
  // Unclosed JSON object with the members id, object, created and model.
  std::string stream_head_;
  std::string whole_head_;
  std::string text_event_head_;
  std::string text_event_tail_;
};

// Returns the body {"error":{...}} of a refusal.
std::string RefusalBody(const Refusal& refusal);
// Returns the body {"error":{...}} of an invalid request. If the request has an idempotency key,
// the body says that earlier requests with the same key may have run.
std::string BadRequestBody(const CallerProblem& problem, bool has_key);
// Returns the body {"error":{...}} of a request that was rejected before it was parsed.
std::string HttpErrorBody(int status, std::string_view message);
// Returns the body {"error":{...}} of a request that was not read because the node is stopping.
std::string HttpStoppingBody(std::string_view message);
// Returns the error event that ends an interrupted stream.
std::string ErrorEvent(const Refusal& refusal);

// Returns `text` as a quoted JSON string; invalid UTF-8 is replaced.
std::string JsonString(std::string_view text);

}  // namespace hingespan

#endif  // HINGESPAN_NODE_ANSWER_FORMAT_H_
