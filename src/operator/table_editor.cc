#include "hingespan/operator/table_editor.h"

#include <nlohmann/json.hpp>
#include <random>
#include <string_view>
#include <utility>

#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "hingespan/common/clock.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

constexpr int kChangesPerPage = 1000;

// Returns whether a retry of the call may succeed.
bool IsTransient(std::error_code error) {
  return error == Error::kUnavailable || error == Error::kRateLimited || MayHaveTakenEffect(error);
}

Result<VersionedRow> RowOfValue(const std::string& key, const StoredValue& stored) {
  VersionedRow versioned;
  if (!stored.value.has_value()) {
    return versioned;
  }
  Result<Record> record = DecodeRecord(key, *stored.value);
  if (!record.ok()) {
    return record.error();
  }
  versioned.revision = stored.revision;
  versioned.row = std::get<ModelRow>(*std::move(record));
  return versioned;
}

// Returns the conflicting value of a key, or null if the key's precondition held.
const StoredValue* FindConflict(const TransactionResult& result, const std::string& key) {
  for (const StoredValue& present : result.conflicting) {
    if (present.key == key) {
      return &present;
    }
  }
  return nullptr;
}

std::string EncodeEdit(const std::string& editor, absl::Time wall_time, const ModelName& row) {
  const nlohmann::json json{
      {"editor", editor}, {"time_ms", absl::ToUnixMillis(wall_time)}, {"row", row.value()}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<bool> AddChanges(const ValueChangePage& page, RowsByName* rows) {
  for (const StoredValue& change : page.changes) {
    if (!change.key.starts_with(kRowPrefix)) {
      continue;
    }
    Result<VersionedRow> versioned = RowOfValue(change.key, change);
    if (!versioned.ok()) {
      return versioned.error();
    }
    const ModelName name(change.key.substr(std::string_view(kRowPrefix).size()));
    if (versioned->row.has_value()) {
      (*rows)[name] = *std::move(versioned);
    } else {
      rows->erase(name);
    }
  }
  return true;
}

}  // namespace

TableEditor::TableEditor(TableService* service, TableEditorOptions options)
    : service_(service), options_(std::move(options)) {
  if (!options_.sleep) {
    options_.sleep = [](absl::Duration duration) { absl::SleepFor(duration); };
  }
  if (!options_.make_edit_id) {
    options_.make_edit_id = NewEditId;
  }
  if (!options_.wall_time) {
    options_.wall_time = [] { return SystemClock().WallTime(); };
  }
}

void TableEditor::BackOffBefore(int attempt) {
  if (attempt > 0) {
    options_.sleep(options_.initial_backoff * (1 << (attempt - 1)));
  }
}

template <typename T, typename Call>
Result<T> TableEditor::Retry(const Call& call) {
  Result<T> result = Error::kInternal;
  for (int attempt = 0; attempt < options_.maximum_attempts; ++attempt) {
    BackOffBefore(attempt);
    result = call();
    if (result.ok() || !IsTransient(result.error())) {
      return result;
    }
  }
  return result;
}

Result<VersionedRow> TableEditor::ReadRow(const ModelName& name) {
  const std::string key = RowKey(name);
  const Result<StoredValue> stored =
      Retry<StoredValue>([this, &key] { return service_->Read(key, options_.call_timeout); });
  if (!stored.ok()) {
    return stored.error();
  }
  return RowOfValue(key, *stored);
}

Result<RowsByName> TableEditor::ReadRows() {
  RowsByName rows;
  TableRevision after;
  while (true) {
    const Result<ValueChangePage> page = Retry<ValueChangePage>([this, after] {
      return service_->ReadChanges(after, kChangesPerPage, options_.call_timeout);
    });
    if (!page.ok()) {
      return page.error();
    }
    const Result<bool> added = AddChanges(*page, &rows);
    if (!added.ok()) {
      return added.error();
    }
    if (page->through >= page->latest || page->through <= after) {
      return rows;
    }
    after = page->through;
  }
}

Result<std::vector<HistoryEntry>> TableEditor::ReadHistory(const ModelName& name, int limit) {
  const std::string key = RowKey(name);
  const auto values = Retry<std::vector<StoredValue>>(
      [this, &key, limit] { return service_->ReadHistory(key, limit, options_.call_timeout); });
  if (!values.ok()) {
    return values.error();
  }
  std::vector<HistoryEntry> entries;
  for (const StoredValue& value : *values) {
    Result<VersionedRow> versioned = RowOfValue(key, value);
    if (!versioned.ok()) {
      return versioned.error();
    }
    entries.push_back({value.revision, std::move(versioned->row)});
  }
  return entries;
}

Transaction TableEditor::ToTransaction(const RowEdit& edit, const EditId& id) const {
  const std::string key = RowKey(edit.name);
  Transaction transaction;
  if (!options_.disable_compare_and_set_for_test) {
    transaction.preconditions.push_back({key, edit.expected});
  }
  Write write{key, std::nullopt};
  if (edit.wanted.has_value()) {
    ModelRow row = *edit.wanted;
    row.name = edit.name;
    row.edit = id;
    row.editor = options_.editor;
    write.value = EncodeRecord(row);
  }
  transaction.writes.push_back(std::move(write));
  const std::string edit_key = EditKey(id);
  transaction.preconditions.push_back({edit_key, TableRevision()});
  transaction.writes.push_back(
      {edit_key, EncodeEdit(options_.editor, options_.wall_time(), edit.name)});
  return transaction;
}

EditOutcome TableEditor::Apply(const RowEdit& edit) {
  const EditId id = options_.make_edit_id();
  const Transaction transaction = ToTransaction(edit, id);
  bool answer_was_lost = false;
  EditOutcome outcome;
  for (int attempt = 0; attempt < options_.maximum_attempts; ++attempt) {
    BackOffBefore(attempt);
    // A retry is safe: once an attempt takes effect, the edit id exists and all other attempts
    // fail.
    const Result<TransactionResult> result = service_->Commit(transaction, options_.call_timeout);
    if (result.ok() && result->committed) {
      outcome.status = EditStatus::kApplied;
      outcome.revision = result->revision;
      return outcome;
    }
    if (result.ok()) {
      return ResolveConflict(edit, id, answer_was_lost, *result);
    }
    outcome.error = result.error();
    answer_was_lost = answer_was_lost || MayHaveTakenEffect(result.error());
    if (!IsTransient(result.error())) {
      break;
    }
  }
  outcome.status = answer_was_lost ? EditStatus::kUnknown : EditStatus::kFailed;
  return outcome;
}

EditOutcome TableEditor::ResolveConflict(const RowEdit& edit, const EditId& id,
                                         bool answer_was_lost,
                                         const TransactionResult& result) const {
  EditOutcome outcome;
  const EditStatus without_effect = answer_was_lost ? EditStatus::kUnknown : EditStatus::kFailed;
  const StoredValue* const own_edit = FindConflict(result, EditKey(id));
  const StoredValue* const row = FindConflict(result, RowKey(edit.name));
  if (own_edit == nullptr && row == nullptr) {
    outcome.status = without_effect;
    outcome.error = Error::kMalformed;
    return outcome;
  }
  // A row that is not among the conflicts has the expected revision. If the edit created the row,
  // the row has been deleted since.
  if (row != nullptr) {
    Result<VersionedRow> present = RowOfValue(RowKey(edit.name), *row);
    if (!present.ok()) {
      outcome.status = without_effect;
      outcome.error = present.error();
      return outcome;
    }
    outcome.present = *std::move(present);
  }
  if (own_edit == nullptr) {
    outcome.status = EditStatus::kConflict;
    return outcome;
  }
  // An earlier attempt took effect.
  outcome.revision = own_edit->revision;
  const bool as_written = edit.wanted.has_value() ? outcome.present.revision == own_edit->revision
                                                  : !outcome.present.row.has_value();
  outcome.status = as_written ? EditStatus::kApplied : EditStatus::kAppliedThenChanged;
  return outcome;
}

EditId NewEditId() {
  std::random_device device;
  std::string text;
  for (int word = 0; word < 4; ++word) {
    absl::StrAppendFormat(&text, "%08x", device());
  }
  return EditId(text);
}

}  // namespace hingespan
