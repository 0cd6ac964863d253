#include "hingespan/serving/forwarding.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace hingespan::gateway {
namespace {

constexpr char kOriginField[] = "Hingespan-Origin";
constexpr char kVerdictField[] = "Hingespan-Verdict";
constexpr absl::string_view kCounted = "counted";
constexpr absl::string_view kNotCounted = "not-counted";

absl::string_view NameOf(PeerVerdict verdict) {
  switch (verdict) {
    case PeerVerdict::kUnavailable:
      return "unavailable";
    case PeerVerdict::kRefused:
      return "refused";
    case PeerVerdict::kFailed:
      return "failed";
  }
  return "failed";
}

}  // namespace

// Format of the origin: "counted" or "not-counted", then the ids of the tried workers, separated by
// commas.
HeaderFields OriginFields(const RequestOrigin& origin) {
  std::string value(origin.counted ? kCounted : kNotCounted);
  for (const std::string& worker_id : origin.tried_workers) {
    absl::StrAppend(&value, ",", worker_id);
  }
  return {{"Connection", kOriginField}, {kOriginField, std::move(value)}};
}

RequestOrigin ReadOrigin(const RequestHead& head) {
  RequestOrigin origin;
  origin.forwarded = true;
  const std::string* const value = FindField(head.fields, kOriginField);
  if (value == nullptr) {
    return origin;
  }
  bool first = true;
  for (const absl::string_view part : absl::StrSplit(*value, ',')) {
    if (first) {
      origin.counted = part == kCounted;
    } else {
      origin.tried_workers.emplace(part);
    }
    first = false;
  }
  return origin;
}

HeaderField VerdictField(PeerVerdict verdict) {
  return {kVerdictField, std::string(NameOf(verdict))};
}

std::optional<PeerVerdict> ReadVerdict(const AnswerHead& head) {
  const std::string* const value = FindField(head.fields, kVerdictField);
  if (value == nullptr) {
    return std::nullopt;
  }
  for (const PeerVerdict verdict : {PeerVerdict::kUnavailable, PeerVerdict::kRefused}) {
    if (*value == NameOf(verdict)) {
      return verdict;
    }
  }
  return PeerVerdict::kFailed;
}

}  // namespace hingespan::gateway
