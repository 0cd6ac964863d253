// Translates between a deployment's header fields and typed facts about requests and answers.
// Implemented by the platform adapter; no other code knows the names of these header fields.
#ifndef HINGESPAN_SERVING_REQUEST_DIALECT_H_
#define HINGESPAN_SERVING_REQUEST_DIALECT_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/http/message_head.h"

namespace hingespan::gateway {

// One of the consecutive parts of a prompt; parts with the same id have the same text.
struct PromptPart {
  std::string id;
  int tokens = 0;
};

// Facts that a caller's request carries.
struct RequestFacts {
  // Unique to one attempt of a client; empty if the request carries none.
  std::string id;
  // Time for which the caller will wait.
  std::optional<absl::Duration> deadline;
  // Empty for plain services.
  std::string model;
  // Empty for the base model.
  std::string adapter;
  int prompt_tokens = 0;
  int max_output_tokens = 0;
  std::vector<PromptPart> prompt_parts;
  // Last event that the caller has received; empty if none.
  std::string last_event_id;
  // Id of the request that brought the first event of the stream that the caller takes up; empty if
  // the caller names none.
  std::string resumed_id;
};

// Facts that an attempt sent to a worker carries in addition to the caller's own fields.
struct AttemptFacts {
  // Empty for any worker: the receiver is another node, which chooses one.
  std::string worker_id;
  absl::Duration time_left;
  int priority = 5;
  // Event after which the worker resumes the stream; empty to use the caller's value.
  std::string last_event_id;
};

// Facts that a worker's answer carries.
struct AnswerFacts {
  // Echo of the request's id; empty if missing.
  std::string id;
  // The worker has not executed the request and never will.
  bool not_executed = false;
  // The answering worker is not the intended one or doesn't hold the model. Implies `not_executed`.
  bool misdirected = false;
  // Another worker answers at the intended worker's address, so the intended worker has ended.
  bool from_other_worker = false;
  // The worker is brittle: it falls over once it rejects more than so many requests within a second
  // for want of room.
  std::optional<int> survived_rejections;
  // The body has a content encoding. Workers never encode bodies, as callers ask for the identity
  // encoding.
  bool is_encoded = false;
  // The answer carries a worker's signature.
  bool is_signed = false;
};

// Stateless; used on one event loop.
class RequestDialect {
 public:
  virtual ~RequestDialect() = default;
  virtual RequestFacts ReadRequest(const RequestHead& head) const = 0;
  // Returns the caller's fields that are forwarded to a worker, with those of this attempt.
  virtual HeaderFields AttemptFields(const RequestHead& head,
                                     const AttemptFacts& attempt) const = 0;
  // `worker_id` is the worker to which the request was sent.
  virtual AnswerFacts ReadAnswer(const AnswerHead& head, const std::string& worker_id) const = 0;
  // Returns the worker's fields that are forwarded to the caller.
  virtual HeaderFields CallerFields(const AnswerHead& head) const = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_REQUEST_DIALECT_H_
