// UUIDs encoded as 16 bytes instead of 36 characters.
#ifndef HINGESPAN_SRC_TRANSPORT_UUID_BYTES_H_
#define HINGESPAN_SRC_TRANSPORT_UUID_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hingespan {

inline constexpr std::size_t kUuidBytes = 16;

// Returns the bytes of a UUID written as 8-4-4-4-12 in lower case; nullopt for any other text, so
// that UuidText restores exactly the packed text.
std::optional<std::vector<std::uint8_t>> PackUuid(std::string_view text);
// Returns the text of a UUID; `bytes` has kUuidBytes elements.
std::string UuidText(const std::vector<std::uint8_t>& bytes);

}  // namespace hingespan

#endif  // HINGESPAN_SRC_TRANSPORT_UUID_BYTES_H_
