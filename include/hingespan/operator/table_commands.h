// The `hingespan table` commands.
#ifndef HINGESPAN_OPERATOR_TABLE_COMMANDS_H_
#define HINGESPAN_OPERATOR_TABLE_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hingespan/operator/edit_report.h"
#include "hingespan/operator/exit_code.h"
#include "hingespan/operator/output.h"
#include "hingespan/operator/sheet.h"
#include "hingespan/operator/sheet_edit.h"
#include "hingespan/operator/table_editor.h"

namespace hingespan {

struct SetRequest {
  ModelName name;
  // "field=value" each.
  std::vector<std::string> assignments;
  // Revision that the row must have. If empty, the revision that the command reads first.
  std::optional<TableRevision> if_revision;
};

struct DeleteRequest {
  ModelName name;
  std::optional<TableRevision> if_revision;
};

struct ImportRequest {
  std::string file;
  // The sheet before it was edited. If empty, the present table is the base.
  std::string base_file;
  // Delete rows that are in the base but not in the sheet.
  bool allow_delete = false;
  // Print the differences and write nothing.
  bool dry_run = false;
};

struct EditRequest {
  SheetFormat format = SheetFormat::kToml;
  // File to write the sheet to; its extension selects the format. If empty, a new file in the
  // system's temporary directory is used.
  std::string file;
  bool allow_delete = false;
};

// Implements the `hingespan table` commands. Thread-compatible. Each command prints its result to
// `out`, and findings and errors to `err`.
class TableCommands {
 public:
  // `editor` must outlive this object.
  TableCommands(TableEditor* editor, Terminal terminal, OutputFormat format);

  // Prints the rows whose name starts with `prefix`.
  ExitCode List(const std::string& prefix);
  ExitCode Get(const ModelName& name);
  ExitCode Set(const SetRequest& request);
  ExitCode Delete(const DeleteRequest& request);
  // Prints the table as a sheet.
  ExitCode Export(SheetFormat format, bool with_revisions);
  ExitCode Import(const ImportRequest& request);
  ExitCode Diff(const std::string& file);
  ExitCode History(const ModelName& name, int limit);
  // Writes a sheet, waits until the operator confirms that it is edited, and applies the changes.
  ExitCode Edit(const EditRequest& request);

 private:
  ExitCode Fail(std::error_code error, const std::string& action);
  ExitCode ReportFindings(const Findings& findings);
  ExitCode ReportEdits(const std::vector<EditReport>& reports);
  // Applies all edits in turn. A failed edit does not stop the others.
  ExitCode ApplyEdits(const std::vector<RowEdit>& edits, const RowsByName& seen);
  ExitCode ApplyPlan(const SheetPlan& plan, const RowsByName& seen);
  // Returns the row at the revision that the operator named, or no row if that revision is not
  // found in the history. Without a revision, returns `present`.
  VersionedRow RowAt(const ModelName& name, const std::optional<TableRevision>& revision,
                     const VersionedRow& present);
  // Returns the findings that this edit causes in references between rows. Reads the table only if
  // the edit can affect such references.
  Result<Findings> CheckReferences(const RowEdit& edit, const VersionedRow& before);
  // Returns the rows of a sheet. A row without a revision gets revision 0.
  static RowsByName RowsOfSheet(const Sheet& sheet);
  // Reads a sheet that was exported with revisions. A row without a revision is a finding.
  static Sheet LoadBase(const std::string& file);
  // Waits for the operator and reads the edited sheet, until it has no findings. Returns nothing if
  // the operator ends the input.
  std::optional<SheetPlan> ReadEditedSheet(const EditRequest& request, const std::string& file,
                                           const RowsByName& base);
  // Asks the operator to edit the file and waits for Enter. Returns false at the end of input.
  bool WaitForOperator(const std::string& file);

  TableEditor* const editor_;
  const Terminal terminal_;
  const OutputFormat format_;
};

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_TABLE_COMMANDS_H_
