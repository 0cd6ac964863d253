// Reports the outcomes of a batch of edits to the operator, all rows together.
#ifndef HINGESPAN_OPERATOR_EDIT_REPORT_H_
#define HINGESPAN_OPERATOR_EDIT_REPORT_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "hingespan/operator/exit_code.h"
#include "hingespan/operator/row_fields.h"
#include "hingespan/operator/table_editor.h"

namespace hingespan {

struct EditReport {
  RowEdit edit;
  // The row as the operator saw it before the edit.
  std::optional<ModelRow> before;
  EditOutcome outcome;
};

// Returns kUnreachable for transport errors and rate limiting, otherwise kFailure.
ExitCode ExitCodeOfError(std::error_code error);
// Returns kConflict if any edit conflicted, otherwise the code of the first failure, or kOk if
// there is none.
ExitCode ExitCodeOfReports(const std::vector<EditReport>& reports);

// Returns one line per row, followed for conflicts by a table of the fields: the value that the
// operator saw, the present value and the wanted value. The row's line names the other editor.
std::string FormatEditReports(const std::vector<EditReport>& reports);
nlohmann::json EditReportsToJson(const std::vector<EditReport>& reports);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_EDIT_REPORT_H_
