#include "hingespan/common/error.h"

#include <string>

namespace hingespan {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "hingespan"; }

  std::string message(int condition) const override {
    switch (static_cast<Error>(condition)) {
      case Error::kOk:
        return "ok";
      case Error::kUnavailable:
        return "unavailable";
      case Error::kTimeout:
        return "timed out";
      case Error::kAnswerLost:
        return "answer lost";
      case Error::kRateLimited:
        return "rate limited";
      case Error::kConflict:
        return "conflict";
      case Error::kNotFound:
        return "not found";
      case Error::kMalformed:
        return "malformed";
      case Error::kInvalidArgument:
        return "invalid argument";
      case Error::kFenced:
        return "fenced";
      case Error::kNotLoaded:
        return "not loaded";
      case Error::kOutOfMemory:
        return "out of memory";
      case Error::kPermissionDenied:
        return "permission denied";
      case Error::kStopping:
        return "stopping";
      case Error::kInternal:
        return "internal error";
    }
    return "unknown";
  }
};

}  // namespace

const std::error_category& HingespanCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(Error error) {
  return std::error_code(static_cast<int>(error), HingespanCategory());
}

bool MayHaveTakenEffect(std::error_code error) {
  return error == Error::kTimeout || error == Error::kAnswerLost || error == Error::kInternal;
}

}  // namespace hingespan
