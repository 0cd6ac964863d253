// A sheet is the table as a TOML or CSV file that operators edit.
//
// TOML: each row is a table with the row's name, `[NAME]`, followed by `field = value` lines.
// Weights are written as `weights = {ZONE = N}`.
//
// CSV (RFC 4180): the header line has `name` and the fields, then each line is a row. Weights are
// written as "z1=80 z2=20".
//
// An omitted field has its default. The optional field `revision` is the revision at which the row
// was read.
#ifndef HINGESPAN_OPERATOR_SHEET_H_
#define HINGESPAN_OPERATOR_SHEET_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hingespan/common/finding.h"
#include "hingespan/operator/row_fields.h"

namespace hingespan {

enum class SheetFormat { kToml, kCsv };

struct SheetRow {
  ModelRow row;
  Place place;
  // Empty if the sheet does not name a revision for the row.
  std::optional<TableRevision> revision;
};

struct Sheet {
  std::vector<SheetRow> rows;
  Findings findings;
};

// Returns kCsv for names that end in ".csv", otherwise kToml.
SheetFormat SheetFormatOfFile(std::string_view file);

// With `with_revisions`, each row has its revision, so that an import detects concurrent edits.
std::string EncodeSheet(const RowsByName& rows, SheetFormat format, bool with_revisions);

// Returns all rows that can be read, and all findings. Each row is checked on its own, not against
// other rows.
Sheet DecodeSheet(std::string_view text, const std::string& file, SheetFormat format);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_SHEET_H_
