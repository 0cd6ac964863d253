// Reads and edits the table for operators. An edit is a compare-and-set on the row's revision, with
// bounded retries that recognise an earlier attempt whose answer was lost.
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
  // Name of the operator; stored in the row.
  std::string editor;
  absl::Duration call_timeout = absl::Seconds(5);
  // Maximum number of attempts for an edit, or for each call that a read makes.
  int maximum_attempts = 5;
  // Delay before the first retry; doubles with each further retry.
  absl::Duration initial_backoff = absl::Milliseconds(200);
  // Injected by tests. `sleep` blocks for the given duration, `make_edit_id` returns a unique edit
  // id, and `wall_time` gives the time that is stored with the id.
  std::function<void(absl::Duration)> sleep;
  std::function<EditId()> make_edit_id;
  std::function<absl::Time()> wall_time;
  // Tests only: write the row without a check of its revision.
  bool disable_compare_and_set_for_test = false;
};

// A change of one row that is applied only if the row still has revision `expected`.
struct RowEdit {
  ModelName name;
  // Revision 0 means that the row must be absent.
  TableRevision expected;
  // The new value. If empty, the row is deleted.
  std::optional<ModelRow> wanted;
};

enum class EditStatus {
  kApplied,
  // The edit was applied, but somebody else has changed the row since. `present` holds their value.
  kAppliedThenChanged,
  // The row has another revision than expected; nothing was written. `present` holds the row.
  kConflict,
  // Nothing was written. `error` holds the reason.
  kFailed,
  // The edit may have been written. `error` holds the last error.
  kUnknown,
};

struct EditOutcome {
  EditStatus status = EditStatus::kFailed;
  // Revision that the edit created, if it was applied.
  TableRevision revision;
  std::error_code error;
  // The present row, for kConflict and kAppliedThenChanged.
  VersionedRow present;
};

// One revision in the history of a row. `row` is empty if the row was deleted at this revision.
struct HistoryEntry {
  TableRevision revision;
  std::optional<ModelRow> row;
};

// Thread-compatible. All calls block.
class TableEditor {
 public:
  // `service` must outlive this object.
  TableEditor(TableService* service, TableEditorOptions options);

  // An absent row has revision 0. Returns kMalformed if the value can't be decoded as a row.
  // Spec action: ReadRow.
  Result<VersionedRow> ReadRow(const ModelName& name);
  // Returns all rows, or kMalformed if a value can't be decoded as a row.
  Result<RowsByName> ReadRows();
  // Returns up to `limit` revisions of the row, newest first.
  Result<std::vector<HistoryEntry>> ReadHistory(const ModelName& name, int limit);
  // Sends the edit as one transaction that also inserts the edit's id under a key that must be
  // absent. Therefore at most one attempt takes effect, even if others change the row in between.
  // Spec actions: EditRow, SendEdit, GiveUpCall.
  EditOutcome Apply(const RowEdit& edit);

 private:
  // Waits for the backoff before an attempt. Attempts count from 0; the first one does not wait.
  void BackOffBefore(int attempt);
  Transaction ToTransaction(const RowEdit& edit, const EditId& id) const;
  // Spec action: ResolveAnswer.
  EditOutcome ResolveConflict(const RowEdit& edit, const EditId& id, bool answer_was_lost,
                              const TransactionResult& result) const;
  // Retries a read after transient errors.
  template <typename T, typename Call>
  Result<T> Retry(const Call& call);

  TableService* const service_;
  TableEditorOptions options_;
};

// Returns a random 128-bit id.
EditId NewEditId();

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_TABLE_EDITOR_H_
