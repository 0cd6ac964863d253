// Holds either a value or a std::error_code.
#ifndef HINGESPAN_COMMON_RESULT_H_
#define HINGESPAN_COMMON_RESULT_H_

#include <system_error>
#include <utility>
#include <variant>

#include "hingespan/common/error.h"

namespace hingespan {

template <typename T>
class [[nodiscard]] Result {
 public:
  Result(T value) : state_(std::in_place_index<0>, std::move(value)) {}     // NOLINT
  Result(std::error_code error) : state_(std::in_place_index<1>, error) {}  // NOLINT
  Result(Error error) : Result(make_error_code(error)) {}                   // NOLINT

  bool ok() const { return state_.index() == 0; }
  explicit operator bool() const { return ok(); }

  // Accessors of the value; require ok().
  T& value() { return std::get<0>(state_); }
  const T& value() const { return std::get<0>(state_); }
  T* operator->() { return &value(); }
  const T* operator->() const { return &value(); }
  T& operator*() { return value(); }
  const T& operator*() const { return value(); }

  // Returns the error, or an empty code if ok().
  std::error_code error() const {
    if (ok()) {
      return {};
    }
    return std::get<1>(state_);
  }

 private:
  std::variant<T, std::error_code> state_;
};

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_RESULT_H_
