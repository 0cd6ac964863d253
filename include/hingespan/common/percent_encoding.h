// Percent-encoding of texts that become part of a URL or a header field (RFC 3986, 2.1).
#ifndef HINGESPAN_COMMON_PERCENT_ENCODING_H_
#define HINGESPAN_COMMON_PERCENT_ENCODING_H_

#include <optional>
#include <string>
#include <string_view>

namespace hingespan {

// Encodes all bytes but unreserved characters (letters, digits, "-", ".", "_" and "~"), so that the
// result may stand in any part of a URL and in a list within a header field.
std::string PercentEncode(std::string_view text);

// Returns std::nullopt if a "%" is not followed by two hexadecimal digits. A "+" stays a "+".
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_PERCENT_ENCODING_H_
