#include "hingespan/claim/key_time.h"

#include <xxhash.h>

#include <cstddef>

#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"

namespace hingespan {
namespace {

// RFC 9562: 8-4-4-4-12 hexadecimal digits. The first 12 digits are the time, followed by the
// version; the fourth group starts with the variant.
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kTimeEnd = 13;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;
constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << 48) - 1;

bool IsHyphenPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

bool IsUuid(const std::string& text) {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (std::size_t position = 0; position < kUuidLength; ++position) {
    const auto character = static_cast<unsigned char>(text[position]);
    const bool fits =
        IsHyphenPosition(position) ? character == '-' : absl::ascii_isxdigit(character);
    if (!fits) {
      return false;
    }
  }
  return true;
}

bool IsVariantDigit(char digit) {
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(digit));
  return lower == '8' || lower == '9' || lower == 'a' || lower == 'b';
}

std::uint64_t HexDigit(char digit) {
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(digit));
  return static_cast<std::uint64_t>(lower <= '9' ? lower - '0' : lower - 'a' + 10);
}

}  // namespace

std::optional<std::uint64_t> KeyTimeMs(const IdempotencyKey& key) {
  const std::string& text = key.value();
  if (!IsUuid(text) || text[kVersionPosition] != '7' || !IsVariantDigit(text[kVariantPosition])) {
    return std::nullopt;
  }
  std::uint64_t time_ms = 0;
  for (std::size_t position = 0; position < kTimeEnd; ++position) {
    if (!IsHyphenPosition(position)) {
      time_ms = (time_ms << 4) | HexDigit(text[position]);
    }
  }
  return time_ms;
}

KeyRangeId RangeOf(const IdempotencyKey& key, std::uint32_t range_count) {
  if (range_count == 0) {
    return KeyRangeId();
  }
  return KeyRangeId(XXH3_64bits(key.value().data(), key.value().size()) % range_count);
}

IdempotencyKey MakeKey(absl::Time wall_time, Random* random) {
  const std::uint64_t time_ms =
      static_cast<std::uint64_t>(absl::ToUnixMillis(wall_time)) & kTimeMask;
  constexpr std::uint64_t kVariant = 0x8000;
  const std::uint64_t variant_and_random = kVariant | random->Below(0x4000);
  return IdempotencyKey(absl::StrFormat("%08x-%04x-7%03x-%04x-%012x", time_ms >> 16,
                                        time_ms & 0xFFFF, random->Below(0x1000), variant_and_random,
                                        random->Next() & kTimeMask));
}

}  // namespace hingespan
