// Heads of HTTP/1.1 messages as plain structs, so that only the parser includes Boost.Beast.
#ifndef HINGESPAN_HTTP_MESSAGE_HEAD_H_
#define HINGESPAN_HTTP_MESSAGE_HEAD_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace hingespan::gateway {

struct HeaderField {
  std::string name;
  std::string value;
};

using HeaderFields = std::vector<HeaderField>;

// Body of a message that several holders need, e.g. the server's and a client's exchange.
using SharedBody = std::shared_ptr<const std::string>;

struct RequestHead {
  std::string method;
  // Path and query as received, not decoded.
  std::string target;
  HeaderFields fields;
  // True if the connection may carry another request after this one.
  bool keep_alive = true;
  // False for an HTTP/1.0 caller, which doesn't know chunked bodies.
  bool accepts_chunks = true;
};

// Bytes that a head takes in memory, with spare capacity.
std::size_t HeldBytes(const RequestHead& head);

struct AnswerHead {
  int status = 0;
  std::string reason;
  HeaderFields fields;
  bool keep_alive = true;
  // Unset if the body is chunked or ends with the connection.
  std::optional<std::uint64_t> body_length;
  // True if the end of the connection marks the end of the body.
  bool ends_with_connection = false;
};

// Returns the value of the first field with this name (case-insensitive), or null if there is none.
const std::string* FindField(const HeaderFields& fields, absl::string_view name);

// Returns true if the text can be sent as the value of a field: no control bytes, and no blanks at
// its ends, which receivers strip (RFC 9110, 5.5).
bool IsFieldValue(absl::string_view text);

// Returns true for hop-by-hop fields (RFC 9110, 7.6.1) and for fields that frame the body.
// `connection_value` is the value of the message's Connection field, which may name further ones.
bool IsConnectionField(absl::string_view name, absl::string_view connection_value);

// Returns the standard reason phrase of a status.
absl::string_view ReasonPhrase(int status);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_MESSAGE_HEAD_H_
