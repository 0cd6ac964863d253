// Heads of HTTP/1.1 messages as plain values, so that only the parser includes Beast.
#ifndef HINGESPAN_HTTP_MESSAGE_HEAD_H_
#define HINGESPAN_HTTP_MESSAGE_HEAD_H_

#include <cstdint>
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

struct RequestHead {
  std::string method;
  // Path and query as they came.
  std::string target;
  HeaderFields fields;
  // Whether the connection may carry another request after this one.
  bool keep_alive = true;
};

struct AnswerHead {
  int status = 0;
  std::string reason;
  HeaderFields fields;
  bool keep_alive = true;
  // Absent: the body is chunked or ends with the connection.
  std::optional<std::uint64_t> body_length;
  // The body ends with the connection.
  bool ends_with_connection = false;
};

// The value of the first field with this name, without regard to case; null when there is none.
const std::string* FindField(const HeaderFields& fields, absl::string_view name);

// Whether a field concerns a single connection only (RFC 9110, 7.6.1) or frames the body.
// `connection_value` is the value of the message's Connection field, which may name more of them.
bool IsConnectionField(absl::string_view name, absl::string_view connection_value);

// The usual reason phrase of a status.
absl::string_view ReasonPhrase(int status);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_MESSAGE_HEAD_H_
