#include "hingespan/node/request_forwarder.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"
#include "hingespan/common/json_decoding.h"
#include "hingespan/node/forward_token.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

constexpr char kErrorEventHead[] = "data: {\"error\"";
// Number of bytes of an event that suffice to recognize an error or the end.
constexpr std::size_t kEventPrefixBytes = 32;
// Extra time for the answer of the other node, which is sent at the deadline, to arrive.
constexpr absl::Duration kAnswerGrace = absl::Milliseconds(250);

std::vector<HttpHeader> ForwardHeaders(const RequestForwarderOptions& options,
                                       const ForwardedRequest& forwarded,
                                       const CallerRequest& request) {
  const absl::Duration left = forwarded.deadline - SystemClock().Now();
  const std::int64_t left_ms = std::max<std::int64_t>(1, absl::ToInt64Milliseconds(left));
  const std::string& id = forwarded.request.value();
  std::vector<HttpHeader> headers = {
      {kForwardedHeader, MakeForwardToken(options.cluster_key, id, SystemClock().WallTime())},
      {"X-Request-Id", id},
      {"X-Request-Timeout-Ms", absl::StrCat(left_ms)},
      {"X-Priority", absl::StrCat(request.priority)},
      {"X-Repeatable", request.repeatable ? "true" : "false"}};
  if (!request.key.empty()) {
    headers.push_back({"Idempotency-Key", request.key.value()});
  }
  // The signed forward header replaces the caller's key, so that the key is not disclosed to the
  // other node.
  if (options.cluster_key.empty() && !options.caller_key.empty()) {
    headers.push_back({"Authorization", absl::StrCat("Bearer ", options.caller_key)});
  }
  return headers;
}

// Returns true for refusals that another node would repeat, or that leave no time to ask one.
bool IsFinal(RefusalCode code) {
  switch (code) {
    case RefusalCode::kBadRequest:
    case RefusalCode::kWaitHopeless:
    case RefusalCode::kWaitExpired:
    case RefusalCode::kKeyAlreadyClaimed:
    case RefusalCode::kKeyUndecided:
    case RefusalCode::kKeyOutOfTime:
    case RefusalCode::kDeadlineExceeded:
      return true;
    default:
      return false;
  }
}

RunState ReadRunState(const Json& error, const char* field) {
  const auto found = error.find(field);
  const bool not_run =
      found != error.end() && *found == std::string(RunStateName(RunState::kNotRun));
  return not_run ? RunState::kNotRun : RunState::kMayHaveRun;
}

std::string ReadText(const Json& error, const char* field) {
  const auto found = error.find(field);
  return found != error.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t NumberOfHeader(const HttpAnswer& answer, absl::string_view name) {
  for (const HttpHeader& header : answer.headers) {
    std::int64_t number = 0;
    if (absl::EqualsIgnoreCase(header.name, name) && absl::SimpleAtoi(header.value, &number)) {
      return std::max<std::int64_t>(0, number);
    }
  }
  return 0;
}

absl::Duration ReadRetryAfter(const HttpAnswer& answer) {
  const std::int64_t milliseconds = NumberOfHeader(answer, "X-Retry-After-Ms");
  return milliseconds > 0 ? absl::Milliseconds(milliseconds)
                          : absl::Seconds(NumberOfHeader(answer, "Retry-After"));
}

// Returns nullopt if the answer is not the refusal of a node.
std::optional<Refusal> ReadRefusal(const HttpAnswer& answer) {
  const Json body = ParseJson(answer.body);
  if (answer.end != ExchangeEnd::kComplete || !body.is_object() || !body.contains("error") ||
      !body["error"].is_object()) {
    return std::nullopt;
  }
  const Json& error = body["error"];
  const std::optional<RefusalCode> code = ParseRefusalCode(ReadText(error, "code"));
  if (!code.has_value()) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.code = *code;
  refusal.attempt = ReadRunState(error, "attempt");
  refusal.key = ReadRunState(error, "key");
  refusal.retry_after = ReadRetryAfter(answer);
  refusal.detail = ReadText(error, "message");
  return refusal;
}

ForwardResult ResultOfRefusal(const HttpAnswer& answer) {
  std::optional<Refusal> refusal = ReadRefusal(answer);
  if (refusal.has_value() && IsFinal(refusal->code)) {
    return {AttemptOutcome::kRefusedElsewhere, *std::move(refusal)};
  }
  // Only the refusal of a node can state that the request did not run.
  if (refusal.has_value() && refusal->attempt == RunState::kNotRun) {
    return {AttemptOutcome::kNotRun, Refusal()};
  }
  const bool timeout = answer.status == RefusalHttpStatus(RefusalCode::kDeadlineExceeded);
  return {timeout ? AttemptOutcome::kDeadlineExceeded : AttemptOutcome::kFailedBeforeOutput,
          Refusal()};
}

AttemptOutcome OutcomeOfInterruptedAnswer(const HttpAnswer& answer, const CallerAnswer& caller) {
  if (answer.end == ExchangeEnd::kCancelled) {
    return AttemptOutcome::kCancelled;
  }
  if (caller.started()) {
    return AttemptOutcome::kFailedAfterOutput;
  }
  return answer.end == ExchangeEnd::kTimeout ? AttemptOutcome::kDeadlineExceeded
                                             : AttemptOutcome::kFailedBeforeOutput;
}

}  // namespace

RequestForwarder::RequestForwarder(RequestForwarderOptions options)
    : options_(std::move(options)), pool_(options_.http) {}

ForwardResult RequestForwarder::Forward(const ForwardedRequest& forwarded,
                                        const CallerRequest& request, CallerAnswer* answer) {
  EventStreamEnd events;
  HttpExchange exchange;
  exchange.address = forwarded.address;
  exchange.method = "POST";
  exchange.path = request.kind == CallKind::kChat ? "/v1/chat/completions" : "/v1/completions";
  exchange.headers = ForwardHeaders(options_, forwarded, request);
  exchange.body = request.body;
  exchange.content_type = "application/json";
  exchange.deadline = forwarded.deadline + kAnswerGrace;
  exchange.cancelled = [answer] { return answer->caller_gone(); };
  if (request.stream) {
    exchange.idle_limit = options_.idle_limit;
    exchange.on_piece = [answer, &events](std::string_view piece) {
      events.Add(piece);
      return answer->Relay(piece);
    };
    exchange.before_wait = [answer] { answer->Flush(); };
  }
  const HttpAnswer got = pool_.Exchange(exchange);
  if (got.end != ExchangeEnd::kNotSent && got.status != 0 && got.status != 200) {
    return ResultOfRefusal(got);
  }
  return {OutcomeOf(got, events, request.stream, answer), Refusal()};
}

AttemptOutcome RequestForwarder::OutcomeOf(const HttpAnswer& got, const EventStreamEnd& events,
                                           bool stream, CallerAnswer* answer) const {
  if (got.end == ExchangeEnd::kNotSent) {
    return AttemptOutcome::kNotRun;
  }
  if (events.whole()) {
    return AttemptOutcome::kComplete;
  }
  if (events.failed()) {
    answer->EndAfterRemoteError();
    return AttemptOutcome::kFailedAfterOutput;
  }
  // A truncated document has no other sign if the end of the connection marks its end.
  if (got.end == ExchangeEnd::kComplete && !stream && Json::accept(got.body)) {
    answer->Relay(got.body);
    return AttemptOutcome::kComplete;
  }
  return OutcomeOfInterruptedAnswer(got, *answer);
}

void EventStreamEnd::Add(std::string_view piece) {
  constexpr std::string_view kEventEnd = "\n\n";
  for (const char character : piece) {
    if (partial_.size() < kEventPrefixBytes) {
      partial_.push_back(character);
    } else {
      // Keeps the last two bytes to detect the end of the event.
      partial_[kEventPrefixBytes - 2] = partial_[kEventPrefixBytes - 1];
      partial_[kEventPrefixBytes - 1] = character;
    }
    const std::string_view kept = partial_;
    if (kept.size() >= kEventEnd.size() &&
        kept.substr(kept.size() - kEventEnd.size()) == kEventEnd) {
      latest_ = std::exchange(partial_, std::string());
    }
  }
}

bool EventStreamEnd::whole() const { return partial_.empty() && latest_ == kDoneEvent; }

bool EventStreamEnd::failed() const {
  return partial_.empty() && absl::StartsWith(latest_, kErrorEventHead);
}

}  // namespace hingespan
