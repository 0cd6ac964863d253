// Problems found in a settings file or table sheet, which are collected and reported together.
#ifndef HINGESPAN_COMMON_FINDING_H_
#define HINGESPAN_COMMON_FINDING_H_

#include <string>
#include <vector>

namespace hingespan {

// Location of a finding. Line and column count from 1; 0 means unknown.
struct Place {
  std::string file;
  int line = 0;
  int column = 0;
};

struct Finding {
  Place place;
  // Full key, e.g. "membership.probe_interval", or row and column of a sheet.
  std::string key;
  // Description of the problem.
  std::string problem;
  // Description of the allowed values; may be empty.
  std::string allowed;
};

using Findings = std::vector<Finding>;

// Formats as "file:line:column: key: problem (allowed: ...)".
std::string FormatFinding(const Finding& finding);
// Formats one line per finding.
std::string FormatFindings(const Findings& findings);

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_FINDING_H_
