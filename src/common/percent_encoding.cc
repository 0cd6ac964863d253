#include "hingespan/common/percent_encoding.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace hingespan {
namespace {

constexpr std::size_t kDigits = 2;

bool IsUnreserved(char character) {
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' ||
         character == '.' || character == '_' || character == '~';
}

bool IsHexadecimal(std::string_view digits) {
  return digits.size() == kDigits && absl::ascii_isxdigit(static_cast<unsigned char>(digits[0])) &&
         absl::ascii_isxdigit(static_cast<unsigned char>(digits[1]));
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  encoded.reserve(text.size());
  for (const char character : text) {
    if (IsUnreserved(character)) {
      encoded.push_back(character);
    } else {
      absl::StrAppend(&encoded, "%",
                      absl::Hex(static_cast<unsigned char>(character), absl::kZeroPad2));
    }
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  while (!text.empty()) {
    if (text.front() != '%') {
      decoded.push_back(text.front());
      text.remove_prefix(1);
      continue;
    }
    const std::string_view digits = text.substr(1, kDigits);
    if (!IsHexadecimal(digits)) {
      return std::nullopt;
    }
    decoded.append(absl::HexStringToBytes(absl::string_view(digits.data(), digits.size())));
    text.remove_prefix(1 + kDigits);
  }
  return decoded;
}

}  // namespace hingespan
