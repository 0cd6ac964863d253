// Operators' edits of the table: compare-and-set on a row's revision, with bounded retries that
// recognise an edit whose answer was lost.
#ifndef HINGESPAN_OPERATOR_TABLE_EDITOR_H_
#define HINGESPAN_OPERATOR_TABLE_EDITOR_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/backing/table_service.h"
#include "hingespan/common/result.h"
#include "hingespan/operator/row_fields.h"

namespace hingespan {

struct TableEditorOptions {
  // Who edits; kept in the row.
  std::string editor;
  absl::Duration call_timeout = absl::Seconds(5);
  // Calls for one edit or read at most.
  int maximum_attempts = 5;
  // First wait between two attempts; doubles each time.
  absl::Duration first_pause = absl::Milliseconds(200);
  // Replaced by tests. `pause` waits for so long; `new_edit` gives an id that no other edit has;
  // `wall_time` is kept with the id.
  std::function<void(absl::Duration)> pause;
  std::function<EditId()> new_edit;
  std::function<absl::Time()> wall_time;
  // Tests only: a row is written whatever its revision is by then.
  bool disable_compare_and_set_for_test = false;
};

// What a row shall be, if it still is at `expected`.
struct RowEdit {
  ModelName name;
  // 0: the row must be absent.
  TableRevision expected;
  // Empty: the row is deleted.
  std::optional<ModelRow> wanted;
};

enum class EditStatus {
  kApplied,
  // Applied, and changed again by somebody else since: `present` is theirs.
  kAppliedThenChanged,
  // The row is at another revision than expected; nothing was written. See `present`.
  kConflict,
  // See `error`; nothing was written.
  kFailed,
  // See `error`; it may have been written.
  kUnknown,
};

struct EditOutcome {
  EditStatus status = EditStatus::kFailed;
  // Of the row, when applied.
  TableRevision revision;
  std::error_code error;
  // What is there now; of kConflict and kAppliedThenChanged.
  VersionedRow present;
};

// One value of a row's past; no row: it was deleted.
struct HistoryEntry {
  TableRevision revision;
  std::optional<ModelRow> row;
};

// Thread-compatible; blocks.
class TableEditor {
 public:
  // `service` must outlive this.
  TableEditor(TableService* service, TableEditorOptions options);

  // An absent row has revision 0. kMalformed when the value is no row.
  // Spec action: ReadRow.
  Result<VersionedRow> ReadRow(const ModelName& name);
  // All rows. kMalformed when a value is no row.
  Result<RowsByName> ReadRows();
  // Newest first.
  Result<std::vector<HistoryEntry>> ReadHistory(const ModelName& name, int limit);
  // One transaction, which also inserts the edit's id, under a key that must be absent: at most one
  // of its attempts takes effect, whatever others do to the row meanwhile.
  // Spec actions: EditRow, SendEdit, GiveUpCall.
  EditOutcome Apply(const RowEdit& edit);

 private:
  // Waits before attempt `attempt`, which counts from 0.
  void PauseBefore(int attempt);
  Transaction ToTransaction(const RowEdit& edit, const EditId& id) const;
  // Spec action: ResolveAnswer.
  EditOutcome ResolveConflict(const RowEdit& edit, const EditId& id, bool answer_was_lost,
                              const TransactionResult& result) const;
  // Repeats a read while errors may pass.
  template <typename T, typename Call>
  Result<T> Retry(const Call& call);

  TableService* const service_;
  TableEditorOptions options_;
};

// A random id of 128 bits.
EditId NewEditId();

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_TABLE_EDITOR_H_
