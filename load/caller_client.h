// Client that sends one caller's request to a node and checks the tokens of the answer.
#ifndef HINGESPAN_LOAD_CALLER_CLIENT_H_
#define HINGESPAN_LOAD_CALLER_CLIENT_H_

#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace hingespan::load {

struct CallerRequest {
  std::string model;
  std::string prompt = "hello";
  int max_tokens = 16;
  bool stream = true;
  // Sent as X-Repeatable; a request that is not repeatable needs a key.
  bool repeatable = true;
  // Sent as Idempotency-Key; not sent if empty.
  std::string idempotency_key;
  // Sent as the body's metadata.idempotency_key, by which the emulator counts runs. If empty, the
  // idempotency key is used.
  std::string tag;
  int priority = 0;
  // Sent as X-Request-Timeout-Ms; not sent if zero.
  absl::Duration time_limit = absl::Seconds(30);
  // Sent as a bearer token; not sent if empty.
  std::string caller_key;
};

enum class CallerOutcome {
  // The complete answer arrived, with its terminal marker.
  kAnswered,
  // The request was rejected explicitly with "not_run".
  kRefused,
  // The request failed with an explicit "may_have_run" error, or no connection was established.
  kFailed,
  // No explicit end arrived: the connection broke or was silent beyond the time limit.
  kLost,
};

// Returns "answered", "refused", "failed" or "lost".
std::string_view CallerOutcomeName(CallerOutcome outcome);

struct CallerResult {
  CallerOutcome outcome = CallerOutcome::kLost;
  // Status code of the answer; 0 if no status line arrived.
  int http_status = 0;
  // The node's error code, or "connect_failed", "connection_broken", "no_terminal_marker" or
  // "malformed" for errors detected by the client itself.
  std::string code;
  // "not_run" or "may_have_run", as reported by the node; empty if not reported.
  std::string attempt;
  std::string key;
  absl::Duration retry_after;
  // Both durations start with the call. InfiniteDuration means that no token arrived.
  absl::Duration first_token = absl::InfiniteDuration();
  absl::Duration total;
  // True if a token belongs to another model or request, or is missing, duplicated or out of order.
  bool wrong = false;
  // Request id found in the answer's tokens.
  std::string answered_request;
  int tokens = 0;
  std::string text;
  std::string detail;
};

// Result of checking the tokens of one answer.
struct TokenCheck {
  bool wrong = false;
  int tokens = 0;
  std::string request;
};

// Checks that `text` consists of "<model>#<request>/<i> " for one request and i = 1, 2, 3 and so on
// and, if `expected_tokens` is not negative, that there are as many tokens.
TokenCheck CheckTokens(std::string_view text, std::string_view model, int expected_tokens);

// Thread-safe: each call opens its own connection.
class CallerClient {
 public:
  // `address` is "ip:port" of a node's HTTP server.
  explicit CallerClient(std::string address);

  // Blocks until the answer ends, at most for the time limit plus `grace`.
  CallerResult Send(const CallerRequest& request, absl::Duration grace = absl::Seconds(5)) const;

 private:
  std::string address_;
};

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_CALLER_CLIENT_H_
