// Validates a request's head (request line and headers) before cpp-httplib parses it, since its
// regular expressions recurse once per byte, and it accepts bodies of unknown length or compressed.
#ifndef HINGESPAN_NET_REQUEST_HEAD_H_
#define HINGESPAN_NET_REQUEST_HEAD_H_

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"

namespace hingespan {

// Size limits of the head, and of the request target in it.
inline constexpr std::size_t kMaximumHeadBytes = 16 * 1024;
inline constexpr std::size_t kMaximumTargetBytes = 1024;

struct RequestHead {
  // HTTP status of the refusal; 0 if the head is valid.
  int status = 0;
  std::string problem;
  // The head to parse, without ignored headers.
  std::string text;
};

// Checks `head`, which ends with its blank line. Refuses unknown or repeated body lengths, bodies
// above `maximum_body` bytes, encoded and multipart bodies, and long targets; removes "Range".
RequestHead CheckRequestHead(absl::string_view head, std::size_t maximum_body);

}  // namespace hingespan

#endif  // HINGESPAN_NET_REQUEST_HEAD_H_
