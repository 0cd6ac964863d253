#include "hingespan/serving/event_splitter.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "hingespan/http/message_head.h"

namespace hingespan::gateway {
namespace {

constexpr absl::string_view kEventEnd = "\n\n";
constexpr absl::string_view kEventEndCrLf = "\r\n\r\n";
constexpr absl::string_view kIdField = "id:";

// Length of the longest prefix of `text` that ends with a complete event; 0 if there is none.
std::size_t CompleteEventsLength(absl::string_view text) {
  std::size_t length = 0;
  const std::size_t lf = text.rfind(kEventEnd);
  if (lf != absl::string_view::npos) {
    length = lf + kEventEnd.size();
  }
  const std::size_t crlf = text.rfind(kEventEndCrLf);
  if (crlf != absl::string_view::npos) {
    length = std::max(length, crlf + kEventEndCrLf.size());
  }
  return length;
}

}  // namespace

std::string EventSplitter::Feed(absl::string_view piece) {
  pending_.append(piece.data(), piece.size());
  const std::size_t length = CompleteEventsLength(pending_);
  if (length == 0) {
    return {};
  }
  std::string events = pending_.substr(0, length);
  pending_.erase(0, length);
  any_event_ = true;
  ReadIds(events);
  return events;
}

std::string EventSplitter::TakeRest() {
  std::string rest;
  rest.swap(pending_);
  return rest;
}

void EventSplitter::ReadIds(absl::string_view events) {
  for (const absl::string_view line : absl::StrSplit(events, '\n')) {
    if (absl::StartsWith(line, kIdField)) {
      const absl::string_view id = absl::StripAsciiWhitespace(line.substr(kIdField.size()));
      // A stream can't go on after an event whose id can't be sent.
      last_event_id_ = IsFieldValue(id) ? std::string(id) : std::string();
    }
  }
}

}  // namespace hingespan::gateway
