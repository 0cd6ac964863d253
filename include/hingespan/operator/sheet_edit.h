// Computes the edits that bring the table to the state of a sheet.
#ifndef HINGESPAN_OPERATOR_SHEET_EDIT_H_
#define HINGESPAN_OPERATOR_SHEET_EDIT_H_

#include <vector>

#include "hingespan/common/finding.h"
#include "hingespan/operator/row_fields.h"
#include "hingespan/operator/sheet.h"
#include "hingespan/operator/table_editor.h"

namespace hingespan {

// Treatment of rows that are in the base state but not in the sheet.
enum class MissingRows { kKeep, kDelete, kFinding };

struct SheetPlan {
  // A base is written before the rows that depend on it. Deletions come last, in reverse order.
  std::vector<RowEdit> edits;
  Findings findings;
};

// `base` holds the rows as the sheet's author saw them. A row that equals its base state is not
// edited. A row whose revision is in the sheet is edited at that revision, any other row at the
// revision in `base`. `current` is the present table; references between rows are checked against
// it.
SheetPlan PlanSheet(const Sheet& sheet, const RowsByName& base, const RowsByName& current,
                    MissingRows missing);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_SHEET_EDIT_H_
