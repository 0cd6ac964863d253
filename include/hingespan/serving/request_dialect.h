// How requests and answers are spelled on the wire of a deployment, as typed facts. Implemented by
// the adapter of the platform; nothing else knows the names of header fields that carry these
// facts.
#ifndef HINGESPAN_SERVING_REQUEST_DIALECT_H_
#define HINGESPAN_SERVING_REQUEST_DIALECT_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/http/message_head.h"

namespace hingespan::gateway {

// A part of a prompt, in order; parts with the same id are the same text.
struct PromptPart {
  std::string id;
  int tokens = 0;
};

// What a caller's request says.
struct RequestFacts {
  // Unique to one attempt of a client; empty when it has none.
  std::string id;
  // How long the caller will wait.
  std::optional<absl::Duration> deadline;
  // Empty for plain services.
  std::string model;
  // Empty: the model itself.
  std::string adapter;
  int prompt_tokens = 0;
  int max_output_tokens = 0;
  std::vector<PromptPart> prompt_parts;
  // The caller has the events up to this one; empty: none.
  std::string last_event_id;
};

// What one attempt at a worker says beside the caller's own fields.
struct AttemptFacts {
  std::string worker_id;
  absl::Duration time_left;
  int priority = 5;
  // Where the worker is to go on; empty: as the caller said.
  std::string last_event_id;
};

// What a worker's answer says.
struct AnswerFacts {
  // Echo of the request's id; empty when missing.
  std::string id;
  // The worker did not run the request and never will.
  bool not_executed = false;
  // It is not the worker that was meant, or holds no such model; then `not_executed` is set too.
  bool misdirected = false;
  // Another worker than the one that was meant answers at its address: that one has ended.
  bool from_other_worker = false;
  // Its body is encoded, which no worker does: callers ask for bodies as they are.
  bool is_encoded = false;
  // It carries a worker's signature.
  bool is_signed = false;
};

// Stateless; used on one loop.
class RequestDialect {
 public:
  virtual ~RequestDialect() = default;
  virtual RequestFacts ReadRequest(const RequestHead& head) const = 0;
  // The caller's fields that go on to a worker, with those of this attempt.
  virtual HeaderFields AttemptFields(const RequestHead& head,
                                     const AttemptFacts& attempt) const = 0;
  // `worker_id` is the worker that was asked.
  virtual AnswerFacts ReadAnswer(const AnswerHead& head, const std::string& worker_id) const = 0;
  // The worker's fields that go on to the caller.
  virtual HeaderFields CallerFields(const AnswerHead& head) const = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_REQUEST_DIALECT_H_
