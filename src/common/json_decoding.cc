#include "hingespan/common/json_decoding.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/ascii.h"
#include "hingespan/common/cbor_check.h"
#include "json_structure.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

Json Discarded() {
  // In a return statement, braces would make it an array.
  Json json(Json::value_t::discarded);
  return json;
}

bool IsNestedTooDeeply(std::string_view text) {
  JsonStructure structure(text);
  while (structure.Next()) {
    if (structure.depth() > kMaxNesting) {
      return true;
    }
  }
  return false;
}

// Compares before the conversion, which is undefined for a number out of range.
template <typename T>
bool IsInRange(double whole) {
  const double limit = std::ldexp(1.0, std::numeric_limits<T>::digits);
  return whole < limit && whole >= (std::is_signed_v<T> ? -limit : 0.0);
}

// Returns the member, or end() if there is none.
Json::const_iterator FindMember(const Json& object, const char* name) {
  if (!object.is_object()) {
    throw DecodeError("no object");
  }
  return object.find(name);
}

bool IsBlank(std::string_view text) {
  for (const char character : text) {
    if (!absl::ascii_isspace(static_cast<unsigned char>(character))) {
      return false;
    }
  }
  return true;
}

}  // namespace

Json ParseJson(std::string_view text) {
  if (IsNestedTooDeeply(text)) {
    return Discarded();
  }
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

Json ParseCbor(std::string_view bytes) {
  if (!IsBoundedCbor(bytes, kMaxNesting)) {
    return Discarded();
  }
  try {
    constexpr bool kWholeInput = true;
    constexpr bool kThrow = false;
    return Json::from_cbor(bytes.begin(), bytes.end(), kWholeInput, kThrow);
  } catch (const Json::exception&) {
    // Thrown for some inputs even if exceptions are disabled.
    return Discarded();
  }
}

std::error_code VisitJson(const Json& json, JsonVisitor visit) {
  if (json.is_discarded()) {
    return Error::kMalformed;
  }
  try {
    visit(json);
  } catch (const Json::exception&) {
    return Error::kMalformed;
  } catch (const DecodeError&) {
    return Error::kMalformed;
  }
  return {};
}

template <typename T>
T ReadNumber(const Json& json) {
  if (json.is_number_unsigned()) {
    const auto number = json.get<std::uint64_t>();
    if (std::in_range<T>(number)) {
      return static_cast<T>(number);
    }
  } else if (json.is_number_integer()) {
    const auto number = json.get<std::int64_t>();
    if (std::in_range<T>(number)) {
      return static_cast<T>(number);
    }
  } else if (json.is_number_float()) {
    const double whole = std::trunc(json.get<double>());
    if (IsInRange<T>(whole)) {
      return static_cast<T>(whole);
    }
  }
  throw DecodeError("no number within the range");
}

template <>
double ReadNumber(const Json& json) {
  const double number = json.is_number() ? json.get<double>() : std::nan("");
  if (!std::isfinite(number)) {
    throw DecodeError("no finite number");
  }
  return number;
}

template <typename T>
T ReadNumber(const Json& object, const char* name, T otherwise) {
  const auto member = FindMember(object, name);
  return member == object.end() ? otherwise : ReadNumber<T>(*member);
}

template int ReadNumber(const Json&);
template std::uint32_t ReadNumber(const Json&);
template std::uint64_t ReadNumber(const Json&);
template std::int64_t ReadNumber(const Json&);
template int ReadNumber(const Json&, const char*, int);
template std::uint32_t ReadNumber(const Json&, const char*, std::uint32_t);
template std::uint64_t ReadNumber(const Json&, const char*, std::uint64_t);
template std::int64_t ReadNumber(const Json&, const char*, std::int64_t);
template double ReadNumber(const Json&, const char*, double);

const Json& RequireArray(const Json& json) {
  if (!json.is_array()) {
    throw DecodeError("no array");
  }
  return json;
}

const Json& ReadArray(const Json& object, const char* name) {
  static const Json kEmpty = Json::array();
  const auto member = FindMember(object, name);
  return member == object.end() || member->is_null() ? kEmpty : RequireArray(*member);
}

std::optional<UnparsedArray> SplitArray(std::string_view text, std::string_view name) {
  // Depths within the object and within its array.
  constexpr std::size_t kInObject = 1;
  constexpr std::size_t kInArray = 2;
  JsonStructure structure(text);
  const auto begins_array = [&] {
    return structure.character() == '[' && structure.depth() == kInArray &&
           structure.last_string() == name;
  };
  do {
    if (!structure.Next()) {
      return std::nullopt;
    }
  } while (!begins_array());
  UnparsedArray split;
  split.object = text.substr(0, structure.position() + 1);
  std::size_t begin = structure.position() + 1;
  while (structure.Next()) {
    const bool ends_array = structure.depth() == kInObject;
    if (!ends_array && (structure.character() != ',' || structure.depth() != kInArray)) {
      continue;
    }
    const std::string_view element = text.substr(begin, structure.position() - begin);
    if (!ends_array || !split.elements.empty() || !IsBlank(element)) {
      split.elements.push_back(element);
    }
    begin = structure.position() + 1;
    if (ends_array) {
      split.object += text.substr(structure.position());
      return split;
    }
  }
  return std::nullopt;
}

}  // namespace hingespan
