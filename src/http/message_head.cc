#include "hingespan/http/message_head.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace hingespan::gateway {
namespace {

constexpr std::array<absl::string_view, 9> kConnectionFields = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length"};

}  // namespace

const std::string* FindField(const HeaderFields& fields, absl::string_view name) {
  for (const HeaderField& field : fields) {
    if (absl::EqualsIgnoreCase(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

bool IsFieldValue(absl::string_view text) {
  return absl::StripAsciiWhitespace(text).size() == text.size() &&
         std::none_of(text.begin(), text.end(), [](char character) {
           return absl::ascii_iscntrl(static_cast<unsigned char>(character));
         });
}

std::size_t HeldBytes(const RequestHead& head) {
  std::size_t bytes = head.target.capacity() + head.fields.capacity() * sizeof(HeaderField);
  for (const HeaderField& field : head.fields) {
    // A short string's capacity lies within the string itself.
    bytes += field.name.capacity() + field.value.capacity();
  }
  return bytes;
}

bool IsConnectionField(absl::string_view name, absl::string_view connection_value) {
  for (const absl::string_view known : kConnectionFields) {
    if (absl::EqualsIgnoreCase(name, known)) {
      return true;
    }
  }
  if (connection_value.empty()) {
    return false;
  }
  for (const absl::string_view token : absl::StrSplit(connection_value, ',')) {
    if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(token), name)) {
      return true;
    }
  }
  return false;
}

absl::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace hingespan::gateway
