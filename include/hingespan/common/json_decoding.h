// Decodes JSON and CBOR that other programs wrote. Whatever they hold, decoding ends in a value or
// in an error: nesting is bounded, and numbers are checked before they are narrowed.
#ifndef HINGESPAN_COMMON_JSON_DECODING_H_
#define HINGESPAN_COMMON_JSON_DECODING_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "absl/functional/function_ref.h"
#include "hingespan/common/result.h"

namespace hingespan {

// Nesting beyond which a document is malformed. The library copies values, and reads CBOR,
// recursively.
inline constexpr std::size_t kMaxNesting = 64;

// A value doesn't have the expected type or range.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Both return a discarded value if the bytes are malformed or nested too deeply.
nlohmann::json ParseJson(std::string_view text);
nlohmann::json ParseCbor(std::string_view bytes);

using JsonVisitor = absl::FunctionRef<void(const nlohmann::json&)>;

// Calls `visit` with the value. Errors: kMalformed if the value is discarded, or if `visit` throws
// DecodeError or an exception of the library.
std::error_code VisitJson(const nlohmann::json& json, JsonVisitor visit);

// Returns what `decode` makes of the value. Errors: those of VisitJson.
template <typename T>
Result<T> DecodeJson(const nlohmann::json& json,
                     absl::FunctionRef<T(const nlohmann::json&)> decode) {
  std::optional<T> value;
  const std::error_code error =
      VisitJson(json, [&](const nlohmann::json& parsed) { value.emplace(decode(parsed)); });
  if (error) {
    return error;
  }
  return *std::move(value);
}

// The functions below read values, or members of objects, and throw DecodeError, or an exception of
// the library, if the type or range is not the expected one.

// T is int, std::uint32_t, std::uint64_t, std::int64_t or double. Fractions are cut off for an
// integer.
template <typename T>
T ReadNumber(const nlohmann::json& json);
// Returns `otherwise` if the object has no such member.
template <typename T>
T ReadNumber(const nlohmann::json& object, const char* name, T otherwise);
// Returns the array under `name` without copying it; an empty one if it is absent or null.
const nlohmann::json& ReadArray(const nlohmann::json& object, const char* name);
// Throws unless the value is an array.
const nlohmann::json& RequireArray(const nlohmann::json& json);

// An object with an array whose elements are still to be parsed, so that one malformed element
// costs no other.
struct UnparsedArray {
  // The object's text, with an empty array.
  std::string object;
  // Views into the text that was split.
  std::vector<std::string_view> elements;
};

// Splits the object in `text` at its member `name`. Returns std::nullopt if it has no such array.
std::optional<UnparsedArray> SplitArray(std::string_view text, std::string_view name);

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_JSON_DECODING_H_
