#include "uuid_bytes.h"

namespace hingespan {
namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::string_view kDigits = "0123456789abcdef";

// Returns true if a hyphen precedes this byte in the text.
bool FollowsHyphen(std::size_t byte) { return byte == 4 || byte == 6 || byte == 8 || byte == 10; }

}  // namespace

std::optional<std::vector<std::uint8_t>> PackUuid(std::string_view text) {
  if (text.size() != kTextLength) {
    return std::nullopt;
  }
  std::vector<std::uint8_t> bytes;
  bytes.reserve(kUuidBytes);
  std::size_t position = 0;
  while (bytes.size() < kUuidBytes) {
    if (FollowsHyphen(bytes.size()) && text[position++] != '-') {
      return std::nullopt;
    }
    const std::size_t high = kDigits.find(text[position++]);
    const std::size_t low = kDigits.find(text[position++]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    bytes.push_back(static_cast<std::uint8_t>(high << 4 | low));
  }
  return bytes;
}

std::string UuidText(const std::vector<std::uint8_t>& bytes) {
  std::string text;
  text.reserve(kTextLength);
  for (std::size_t index = 0; index < kUuidBytes; ++index) {
    if (FollowsHyphen(index)) {
      text.push_back('-');
    }
    text.push_back(kDigits[bytes[index] >> 4]);
    text.push_back(kDigits[bytes[index] & 0xF]);
  }
  return text;
}

}  // namespace hingespan
