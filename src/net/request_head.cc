#include "hingespan/net/request_head.h"

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace hingespan {
namespace {

struct HeaderLine {
  absl::string_view name;
  absl::string_view value;
};

std::optional<HeaderLine> ParseHeaderLine(absl::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == absl::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  return HeaderLine{line.substr(0, colon), absl::StripAsciiWhitespace(line.substr(colon + 1))};
}

bool IsDecimal(absl::string_view text) {
  for (const char character : text) {
    if (!absl::ascii_isdigit(static_cast<unsigned char>(character))) {
      return false;
    }
  }
  return !text.empty();
}

RequestHead Refused(int status, std::string problem) {
  RequestHead head;
  head.status = status;
  head.problem = std::move(problem);
  return head;
}

struct BodyHeaders {
  int lengths = 0;
  std::uint64_t length = 0;
  bool chunked = false;
  absl::string_view encoding;
  absl::string_view type;
};

// Records a header that describes the body; returns false if its value is invalid.
bool RecordBodyHeader(const HeaderLine& header, BodyHeaders* body) {
  if (absl::EqualsIgnoreCase(header.name, "content-length")) {
    ++body->lengths;
    return IsDecimal(header.value) && absl::SimpleAtoi(header.value, &body->length);
  }
  if (absl::EqualsIgnoreCase(header.name, "transfer-encoding")) {
    const bool known = absl::EqualsIgnoreCase(header.value, "chunked") && !body->chunked;
    body->chunked = true;
    return known;
  }
  if (absl::EqualsIgnoreCase(header.name, "content-encoding")) {
    body->encoding = header.value;
  }
  if (absl::EqualsIgnoreCase(header.name, "content-type")) {
    body->type = header.value;
  }
  return true;
}

RequestHead CheckBody(absl::string_view method, const BodyHeaders& body, std::size_t maximum_body) {
  if (body.lengths > 1 || (body.lengths == 1 && body.chunked)) {
    return Refused(400, "more than one body length");
  }
  const bool has_body = method == "POST" || method == "PUT" || method == "PATCH";
  if (has_body && body.lengths == 0 && !body.chunked) {
    return Refused(411, "Content-Length is missing");
  }
  if (body.length > maximum_body) {
    return Refused(413, absl::StrCat("body above ", maximum_body, " bytes"));
  }
  if (!body.encoding.empty() && !absl::EqualsIgnoreCase(body.encoding, "identity")) {
    return Refused(415, "Content-Encoding is not supported");
  }
  if (absl::StartsWithIgnoreCase(body.type, "multipart/")) {
    return Refused(415, "multipart bodies are not supported");
  }
  return RequestHead();
}

}  // namespace

RequestHead CheckRequestHead(absl::string_view head, std::size_t maximum_body) {
  const std::vector<absl::string_view> lines = absl::StrSplit(head, "\r\n");
  const std::vector<absl::string_view> request_line = absl::StrSplit(lines[0], ' ');
  if (request_line.size() != 3 || !absl::StartsWith(request_line[2], "HTTP/1.")) {
    return Refused(400, "malformed request line");
  }
  if (request_line[1].size() > kMaximumTargetBytes) {
    return Refused(414, "request target too long");
  }
  BodyHeaders body;
  std::string text = absl::StrCat(lines[0], "\r\n");
  for (std::size_t index = 1; index < lines.size() && !lines[index].empty(); ++index) {
    const std::optional<HeaderLine> header = ParseHeaderLine(lines[index]);
    if (!header.has_value() || !RecordBodyHeader(*header, &body)) {
      return Refused(400, "malformed header");
    }
    if (!absl::EqualsIgnoreCase(header->name, "range")) {
      absl::StrAppend(&text, lines[index], "\r\n");
    }
  }
  RequestHead checked = CheckBody(request_line[0], body, maximum_body);
  checked.text = absl::StrCat(text, "\r\n");
  return checked;
}

}  // namespace hingespan
