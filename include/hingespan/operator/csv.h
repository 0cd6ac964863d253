// CSV reader and writer (RFC 4180). The reader records the position of each cell.
#ifndef HINGESPAN_OPERATOR_CSV_H_
#define HINGESPAN_OPERATOR_CSV_H_

#include <string>
#include <string_view>
#include <vector>

#include "hingespan/common/finding.h"

namespace hingespan {

struct CsvCell {
  std::string text;
  Place place;
};

struct CsvDocument {
  // Blank lines are skipped.
  std::vector<std::vector<CsvCell>> lines;
  Findings findings;
};

CsvDocument ParseCsv(std::string_view text, const std::string& file);

// Returns one line with its line break. Cells are quoted where needed.
std::string EncodeCsvLine(const std::vector<std::string>& cells);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_CSV_H_
