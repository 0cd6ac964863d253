// The answer to one caller, sent as an event stream or as a single body.
#ifndef HINGESPAN_NODE_CALLER_ANSWER_H_
#define HINGESPAN_NODE_CALLER_ANSWER_H_

#include <memory>
#include <string>
#include <string_view>

#include "hingespan/common/refusal.h"
#include "hingespan/engine/engine_client.h"
#include "hingespan/node/answer_format.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace hingespan {

class DeadlineStream;

// Not thread-safe: used only on the thread that serves the caller.
class CallerAnswer {
 public:
  virtual ~CallerAnswer() = default;

  // Begins a new attempt and discards the output of an earlier one. Must not be called once
  // started().
  virtual void BeginAttempt(const AnswerIdentity& identity) = 0;
  // Adds a chunk from this node's engine. A chunk whose wait is announced may be buffered until
  // Flush. Returns false if the caller accepts no more output.
  virtual bool AddChunk(const GenerationChunk& chunk) = 0;
  // Adds a piece of another node's answer unchanged. It may be buffered until Flush. Returns false
  // if the caller accepts no more output.
  virtual bool Relay(std::string_view piece) = 0;
  // Sends the output buffered by AddChunk and Relay, so that pieces that arrive together cost one
  // write.
  virtual void Flush() {}
  // Ends the answer after a complete attempt.
  virtual void Complete() = 0;
  // Ends the answer with a refusal, or with an error event if output has started.
  virtual void Refuse(const Refusal& refusal) = 0;
  // Ends the answer after another node ended the stream with an error event of its own.
  virtual void EndAfterRemoteError() = 0;

  // Returns true if output has been sent to the caller.
  virtual bool started() const = 0;
  // Returns true if the caller has closed the connection or a write to it has failed.
  virtual bool caller_gone() const = 0;
};

// Creates an answer that is written to `stream`, the caller's connection.
std::unique_ptr<CallerAnswer> MakeStreamedAnswer(const httplib::Request& request,
                                                 const std::string& caller_request_id,
                                                 DeadlineStream* stream,
                                                 httplib::Response* response);
std::unique_ptr<CallerAnswer> MakeWholeAnswer(DeadlineStream* stream, httplib::Response* response);

// Fills a response with a refusal: status, body and Retry-After headers.
void FillRefusal(const Refusal& refusal, httplib::Response* response);

}  // namespace hingespan

#endif  // HINGESPAN_NODE_CALLER_ANSWER_H_
