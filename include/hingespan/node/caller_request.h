// Parses a caller's HTTP request into typed values and reports every kind of invalid input.
#ifndef HINGESPAN_NODE_CALLER_REQUEST_H_
#define HINGESPAN_NODE_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/result.h"

namespace hingespan {

enum class CallKind { kChat, kCompletion };

// Values of the headers that hingespan reads; nullopt if a header is absent.
struct CallerHeaders {
  std::optional<std::string> request_timeout_ms;
  std::optional<std::string> repeatable;
  std::optional<std::string> idempotency_key;
  std::optional<std::string> priority;
  std::optional<std::string> request_id;
};

struct CallerRequest {
  CallKind kind = CallKind::kChat;
  ModelName model;
  bool stream = false;
  // True if a streamed answer must end with a usage event.
  bool include_usage = false;
  // Body sent to the engine: the caller's JSON, with the idempotency key in "metadata".
  std::string body;
  // Hash of the first bytes of the prompt, for prefix affinity.
  std::uint64_t prefix_hash = 0;
  // Time limit given by the caller; zero if none is given.
  absl::Duration timeout;
  bool repeatable = true;
  IdempotencyKey key;
  int priority = 0;
  // Request id given by the caller; empty if none is given.
  std::string caller_request_id;
};

// A problem with a request: a message for the caller and the parameter at fault.
struct CallerProblem {
  std::string message;
  std::string parameter;
};

struct ParsedCallerRequest {
  CallerRequest request;
  std::optional<CallerProblem> problem;
};

// Maximum nesting depth of the body's JSON.
inline constexpr int kMaximumJsonDepth = 32;

ParsedCallerRequest ParseCallerRequest(CallKind kind, std::string_view body,
                                       const CallerHeaders& headers);

// Returns true if `text` is a request id: 1 to `maximum` letters, digits and "._:~-".
bool IsRequestId(std::string_view text, std::size_t maximum);

}  // namespace hingespan

#endif  // HINGESPAN_NODE_CALLER_REQUEST_H_
