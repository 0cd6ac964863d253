// Fields of a table row in the form that operators edit: names, limits, text form and checks.
#ifndef HINGESPAN_OPERATOR_ROW_FIELDS_H_
#define HINGESPAN_OPERATOR_ROW_FIELDS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hingespan/common/finding.h"
#include "hingespan/common/ids.h"
#include "hingespan/table/records.h"

namespace hingespan {

// Assigns a value, in text form, to a field.
struct FieldAssignment {
  // One of RowFieldNames(), or "weights.ZONE".
  std::string field;
  std::string text;
  Place place;
};

// A row and the revision at which the platform holds it. Revision 0 means that the row is absent.
struct VersionedRow {
  TableRevision revision;
  std::optional<ModelRow> row;
};

// A field that differs between two rows. An absent row or value is the empty text.
struct FieldDifference {
  std::string field;
  std::string before;
  std::string after;

  friend bool operator==(const FieldDifference&, const FieldDifference&) = default;
};

using RowsByName = std::map<ModelName, VersionedRow>;

// Returns the fields that operators can set, in the order of the sheet's columns. The fields name,
// edit and editor are not among them.
const std::vector<std::string>& RowFieldNames();
// Returns the type and limits of a field for error messages and help, such as "integer 0..10000".
std::string RowFieldType(std::string_view field);
// Returns the description of a field for help texts.
std::string_view RowFieldMeaning(std::string_view field);
// Returns the value of a field as text. Weights are printed as "z1=80 z2=20".
std::string PrintRowField(const ModelRow& row, std::string_view field);

// Applies all valid assignments, and appends a finding for each invalid one.
void AssignRowFields(const std::vector<FieldAssignment>& assignments, ModelRow* row,
                     Findings* findings);

// Checks a row on its own: its name, required fields and fields that contradict each other. `place`
// is the row's position.
void CheckRow(const ModelRow& row, const Place& place, Findings* findings);
// Appends a finding unless the base of `row` exists and may be a base. `base` is null if there is
// no such row.
void CheckBase(const ModelRow& row, const ModelRow* base, const Place& place, Findings* findings);
// Applies CheckBase to each row of the table.
void CheckBases(const RowsByName& rows, const Place& place, Findings* findings);

// Returns the differences in the fields that operators set. The edit id and the editor are ignored.
std::vector<FieldDifference> DiffRows(const std::optional<ModelRow>& before,
                                      const std::optional<ModelRow>& after);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_ROW_FIELDS_H_
