#include "hingespan/common/refusal.h"

namespace hingespan {

std::string_view RefusalCodeName(RefusalCode code) {
  switch (code) {
    case RefusalCode::kBadRequest:
      return "bad_request";
    case RefusalCode::kUnknownModel:
      return "unknown_model";
    case RefusalCode::kUnauthorized:
      return "unauthorized";
    case RefusalCode::kBodyTooLarge:
      return "body_too_large";
    case RefusalCode::kQueueFull:
      return "queue_full";
    case RefusalCode::kWaitHopeless:
      return "wait_hopeless";
    case RefusalCode::kWaitExpired:
      return "wait_expired";
    case RefusalCode::kNoCapacity:
      return "no_capacity";
    case RefusalCode::kSiteUnavailable:
      return "site_unavailable";
    case RefusalCode::kOverloaded:
      return "overloaded";
    case RefusalCode::kStopping:
      return "stopping";
    case RefusalCode::kKeyAlreadyClaimed:
      return "key_already_claimed";
    case RefusalCode::kKeyUndecided:
      return "key_undecided";
    case RefusalCode::kKeyOutOfTime:
      return "key_out_of_time";
    case RefusalCode::kEngineFailed:
      return "engine_failed";
    case RefusalCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case RefusalCode::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::optional<RefusalCode> ParseRefusalCode(std::string_view name) {
  constexpr int kLast = static_cast<int>(RefusalCode::kCancelled);
  for (int index = 0; index <= kLast; ++index) {
    const auto code = static_cast<RefusalCode>(index);
    if (RefusalCodeName(code) == name) {
      return code;
    }
  }
  return std::nullopt;
}

int RefusalHttpStatus(RefusalCode code) {
  switch (code) {
    case RefusalCode::kBadRequest:
    case RefusalCode::kKeyOutOfTime:
      return 400;
    case RefusalCode::kUnauthorized:
      return 401;
    case RefusalCode::kUnknownModel:
      return 404;
    case RefusalCode::kKeyAlreadyClaimed:
      return 409;
    case RefusalCode::kBodyTooLarge:
      return 413;
    case RefusalCode::kQueueFull:
      return 429;
    case RefusalCode::kCancelled:
      return 499;
    case RefusalCode::kEngineFailed:
      return 502;
    case RefusalCode::kWaitHopeless:
    case RefusalCode::kNoCapacity:
    case RefusalCode::kSiteUnavailable:
    case RefusalCode::kOverloaded:
    case RefusalCode::kStopping:
    case RefusalCode::kKeyUndecided:
      return 503;
    case RefusalCode::kWaitExpired:
    case RefusalCode::kDeadlineExceeded:
      return 504;
  }
  return 500;
}

bool RetryMayHelp(RefusalCode code) {
  switch (code) {
    case RefusalCode::kBadRequest:
    case RefusalCode::kUnknownModel:
    case RefusalCode::kUnauthorized:
    case RefusalCode::kBodyTooLarge:
    case RefusalCode::kKeyAlreadyClaimed:
    case RefusalCode::kKeyOutOfTime:
    case RefusalCode::kCancelled:
      return false;
    case RefusalCode::kQueueFull:
    case RefusalCode::kWaitHopeless:
    case RefusalCode::kWaitExpired:
    case RefusalCode::kNoCapacity:
    case RefusalCode::kSiteUnavailable:
    case RefusalCode::kOverloaded:
    case RefusalCode::kStopping:
    case RefusalCode::kKeyUndecided:
    case RefusalCode::kEngineFailed:
    case RefusalCode::kDeadlineExceeded:
      return true;
  }
  return false;
}

std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kMayHaveRun:
      return "may_have_run";
  }
  return "may_have_run";
}

}  // namespace hingespan
