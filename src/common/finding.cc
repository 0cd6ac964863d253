#include "hingespan/common/finding.h"

#include "absl/strings/str_cat.h"

namespace hingespan {

std::string FormatFinding(const Finding& finding) {
  std::string text = finding.place.file;
  if (finding.place.line > 0) {
    absl::StrAppend(&text, ":", finding.place.line, ":", finding.place.column);
  }
  absl::StrAppend(&text, ": ", finding.key, ": ", finding.problem);
  if (!finding.allowed.empty()) {
    absl::StrAppend(&text, " (allowed: ", finding.allowed, ")");
  }
  return text;
}

std::string FormatFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    absl::StrAppend(&text, FormatFinding(finding), "\n");
  }
  return text;
}

}  // namespace hingespan
