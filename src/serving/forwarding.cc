#include "hingespan/serving/forwarding.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "hingespan/common/percent_encoding.h"

namespace hingespan::gateway {
namespace {

constexpr char kOriginField[] = "Hingespan-Origin";
constexpr char kVerdictField[] = "Hingespan-Verdict";
constexpr char kServiceField[] = "Hingespan-Stream-Service";
constexpr char kVersionField[] = "Hingespan-Stream-Version";
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

// Nodes of an earlier release send texts as they are.
std::string Decoded(absl::string_view text) {
  return PercentDecode({text.data(), text.size()}).value_or(std::string(text));
}

}  // namespace

// Format of the origin: "counted" or "not-counted", then the percent-encoded ids of the tried
// workers, separated by commas.
HeaderFields OriginFields(const RequestOrigin& origin) {
  std::string value(origin.counted ? kCounted : kNotCounted);
  for (const std::string& worker_id : origin.tried_workers) {
    absl::StrAppend(&value, ",", PercentEncode(worker_id));
  }
  HeaderFields fields = {
      {"Connection", absl::StrCat(kOriginField, ", ", kServiceField, ", ", kVersionField)},
      {kOriginField, std::move(value)}};
  if (origin.source.has_value()) {
    const HeaderFields source = SourceFields(*origin.source);
    fields.insert(fields.end(), source.begin(), source.end());
  }
  return fields;
}

HeaderFields SourceFields(const StreamSource& source) {
  return {{kServiceField, PercentEncode(source.service)},
          {kVersionField, PercentEncode(source.software_version)}};
}

std::optional<StreamSource> ReadSource(const HeaderFields& fields) {
  const std::string* const service = FindField(fields, kServiceField);
  const std::string* const version = FindField(fields, kVersionField);
  if (service == nullptr || version == nullptr) {
    return std::nullopt;
  }
  return StreamSource{Decoded(*service), Decoded(*version)};
}

void RemoveSource(HeaderFields* fields) {
  std::erase_if(*fields, [](const HeaderField& field) {
    return absl::EqualsIgnoreCase(field.name, kServiceField) ||
           absl::EqualsIgnoreCase(field.name, kVersionField);
  });
}

RequestOrigin ReadOrigin(const RequestHead& head) {
  RequestOrigin origin;
  origin.forwarded = true;
  origin.source = ReadSource(head.fields);
  const std::string* const value = FindField(head.fields, kOriginField);
  if (value == nullptr) {
    return origin;
  }
  bool first = true;
  for (const absl::string_view part : absl::StrSplit(*value, ',')) {
    if (first) {
      origin.counted = part == kCounted;
    } else {
      origin.tried_workers.insert(Decoded(part));
    }
    first = false;
  }
  return origin;
}

void RemoveOrigin(HeaderFields* fields) {
  RemoveSource(fields);
  std::erase_if(*fields, [](const HeaderField& field) {
    return absl::EqualsIgnoreCase(field.name, kOriginField);
  });
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
