#include "hingespan/operator/table_editor.h"

#include <doctest/doctest.h>

#include <functional>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "tests/operator/fake_table_service.h"

namespace hingespan {
namespace {

ModelRow Row(const std::string& name, std::uint32_t replicas) {
  ModelRow row;
  row.name = ModelName(name);
  row.memory_mib = 1024;
  row.max_replicas = replicas;
  return row;
}

// An operator whose backoff delays are recorded instead of slept.
class Operator {
 public:
  Operator(TableService* service, const std::string& name) : editor_(service, MakeOptions(name)) {}

  EditOutcome Set(TableRevision expected, const ModelRow& row) {
    return editor_.Apply({row.name, expected, row});
  }
  EditOutcome Delete(TableRevision expected, const std::string& name) {
    return editor_.Apply({ModelName(name), expected, std::nullopt});
  }
  TableEditor& editor() { return editor_; }
  const std::vector<absl::Duration>& pauses() const { return pauses_; }

 private:
  TableEditorOptions MakeOptions(const std::string& name) {
    TableEditorOptions options;
    options.editor = name;
    options.maximum_attempts = 4;
    options.sleep = [this](absl::Duration pause) { pauses_.push_back(pause); };
    options.make_edit_id = [this, name] { return EditId(absl::StrCat(name, "-", ++edits_)); };
    return options;
  }

  int edits_ = 0;
  std::vector<absl::Duration> pauses_;
  TableEditor editor_;
};

TEST_CASE("an edit stores its id and editor in the row") {
  FakeTableService service;
  Operator anne(&service, "anne");
  const EditOutcome outcome = anne.Set(TableRevision(), Row("a", 2));
  CHECK(outcome.status == EditStatus::kApplied);
  const auto row = anne.editor().ReadRow(ModelName("a"));
  REQUIRE(row.ok());
  CHECK(row->revision == outcome.revision);
  CHECK(row->row->max_replicas == 2);
  CHECK(row->row->editor == "anne");
  CHECK(row->row->edit == EditId("anne-1"));
}

TEST_CASE("an edit whose answer was lost after it took effect is applied only once") {
  for (CommitFault fault : {CommitFault::kAnswerLost, CommitFault::kTimeoutAfterEffect}) {
    FakeTableService service;
    Operator anne(&service, "anne");
    service.faults = {fault};
    const EditOutcome outcome = anne.Set(TableRevision(), Row("a", 2));
    CHECK(outcome.status == EditStatus::kApplied);
    CHECK(outcome.revision == TableRevision(1));
    CHECK(service.commits == 2);
    CHECK(anne.editor().ReadHistory(ModelName("a"), 10)->size() == 1);
  }
}

TEST_CASE("an edit whose answer was lost before it took effect is retried") {
  FakeTableService service;
  Operator anne(&service, "anne");
  service.faults = {CommitFault::kTimeoutWithoutEffect, CommitFault::kRateLimited};
  CHECK(anne.Set(TableRevision(), Row("a", 2)).status == EditStatus::kApplied);
  CHECK(anne.pauses() ==
        std::vector<absl::Duration>{absl::Milliseconds(200), absl::Milliseconds(400)});
}

TEST_CASE("the second of two edits at one revision gets a conflict with the first one's value") {
  FakeTableService service;
  Operator anne(&service, "anne");
  Operator bela(&service, "bela");
  const TableRevision base = anne.Set(TableRevision(), Row("a", 1)).revision;
  service.before_next_commit = [&] { bela.Set(base, Row("a", 7)); };
  const EditOutcome outcome = anne.Set(base, Row("a", 2));
  CHECK(outcome.status == EditStatus::kConflict);
  REQUIRE(outcome.present.row.has_value());
  CHECK(outcome.present.row->max_replicas == 7);
  CHECK(outcome.present.row->editor == "bela");
  CHECK(anne.editor().ReadRow(ModelName("a"))->row->max_replicas == 7);
}

TEST_CASE(
    "after a lost answer, a later edit by another operator is distinguished from a conflict") {
  FakeTableService service;
  Operator anne(&service, "anne");
  Operator bela(&service, "bela");
  const TableRevision base = anne.Set(TableRevision(), Row("a", 1)).revision;

  SUBCASE("the first attempt took effect") {
    service.faults = {CommitFault::kAnswerLost};
    bool raced = false;
    TableEditorOptions options;
    options.editor = "cora";
    options.make_edit_id = [] { return EditId("cora-1"); };
    options.sleep = [&](absl::Duration) {
      raced = true;
      bela.Set(base.Next(), Row("a", 7));
    };
    TableEditor cora(&service, options);
    const EditOutcome outcome = cora.Apply({ModelName("a"), base, Row("a", 2)});
    CHECK(raced);
    CHECK(outcome.status == EditStatus::kAppliedThenChanged);
    CHECK(outcome.present.row->editor == "bela");
  }
  SUBCASE("the first attempt had no effect") {
    service.faults = {CommitFault::kTimeoutWithoutEffect};
    TableEditorOptions options;
    options.editor = "cora";
    options.make_edit_id = [] { return EditId("cora-1"); };
    options.sleep = [&](absl::Duration) { bela.Set(base, Row("a", 7)); };
    TableEditor cora(&service, options);
    const EditOutcome outcome = cora.Apply({ModelName("a"), base, Row("a", 2)});
    CHECK(outcome.status == EditStatus::kConflict);
  }
}

TEST_CASE("retries are bounded, and the outcome tells whether the edit may have been applied") {
  FakeTableService service;
  Operator anne(&service, "anne");
  service.faults.assign(10, CommitFault::kUnavailable);
  const EditOutcome refused = anne.Set(TableRevision(), Row("a", 2));
  CHECK(refused.status == EditStatus::kFailed);
  CHECK(refused.error == Error::kUnavailable);
  CHECK(service.commits == 4);

  service.faults.assign(10, CommitFault::kUnavailable);
  service.faults[1] = CommitFault::kTimeoutWithoutEffect;
  CHECK(anne.Set(TableRevision(), Row("a", 2)).status == EditStatus::kUnknown);
}

TEST_CASE("a deletion with a lost answer succeeds; a deletion of a changed row conflicts") {
  FakeTableService service;
  Operator anne(&service, "anne");
  const TableRevision base = anne.Set(TableRevision(), Row("a", 1)).revision;
  CHECK(anne.Delete(base.Next(), "a").status == EditStatus::kConflict);
  service.faults = {CommitFault::kAnswerLost};
  CHECK(anne.Delete(base, "a").status == EditStatus::kApplied);
  CHECK_FALSE(anne.editor().ReadRow(ModelName("a"))->row.has_value());
  CHECK_FALSE(anne.editor().ReadHistory(ModelName("a"), 1)->at(0).row.has_value());
}

TEST_CASE("a row created after a deletion with a lost answer is reported as changed since") {
  FakeTableService service;
  Operator bela(&service, "bela");
  const TableRevision base = bela.Set(TableRevision(), Row("a", 1)).revision;
  service.faults = {CommitFault::kAnswerLost};
  TableEditorOptions options;
  options.sleep = [&](absl::Duration) { bela.Set(TableRevision(), Row("a", 7)); };
  TableEditor anne(&service, options);
  const EditOutcome outcome = anne.Apply({ModelName("a"), base, std::nullopt});
  CHECK(outcome.status == EditStatus::kAppliedThenChanged);
  CHECK(outcome.present.row->max_replicas == 7);
}

// Applies an edit whose first commit has a fault. `meanwhile` runs before the retry.
EditOutcome EditWithLostAnswer(FakeTableService* service, CommitFault fault, const RowEdit& edit,
                               const std::function<void()>& meanwhile) {
  service->faults = {fault};
  TableEditorOptions options;
  options.editor = "cora";
  options.make_edit_id = [] { return EditId("cora-1"); };
  options.sleep = [&](absl::Duration) { meanwhile(); };
  return TableEditor(service, options).Apply(edit);
}

TEST_CASE("a retried creation does not restore a row that was deleted since") {
  for (CommitFault fault : {CommitFault::kAnswerLost, CommitFault::kTimeoutAfterEffect}) {
    FakeTableService service;
    Operator bela(&service, "bela");
    const EditOutcome outcome = EditWithLostAnswer(
        &service, fault, {ModelName("a"), TableRevision(), Row("a", 2)},
        [&] { CHECK(bela.Delete(TableRevision(1), "a").status == EditStatus::kApplied); });
    CHECK(outcome.status == EditStatus::kAppliedThenChanged);
    CHECK(outcome.revision == TableRevision(1));
    CHECK_FALSE(outcome.present.row.has_value());
    CHECK_FALSE(bela.editor().ReadRow(ModelName("a"))->row.has_value());
  }
}

TEST_CASE("a deletion by another operator is a conflict, never reported as one's own") {
  FakeTableService service;
  Operator anne(&service, "anne");
  Operator bela(&service, "bela");
  const TableRevision base = anne.Set(TableRevision(), Row("a", 1)).revision;
  const auto bela_deletes = [&] { bela.Delete(base, "a"); };
  EditOutcome outcome;
  SUBCASE("before the first attempt") {
    service.before_next_commit = bela_deletes;
    outcome = anne.Delete(base, "a");
  }
  SUBCASE("after a first attempt that timed out without an effect") {
    outcome = EditWithLostAnswer(&service, CommitFault::kTimeoutWithoutEffect,
                                 {ModelName("a"), base, std::nullopt}, bela_deletes);
  }
  CHECK(outcome.status == EditStatus::kConflict);
  CHECK_FALSE(outcome.present.row.has_value());
}

TEST_CASE("each edit stores its editor, time and row under its id") {
  FakeTableService service;
  TableEditorOptions options;
  options.editor = "anne";
  options.make_edit_id = [] { return EditId("anne-1"); };
  options.wall_time = [] { return absl::FromUnixMillis(1'800'000'000'123); };
  TableEditor(&service, options).Apply({ModelName("a"), TableRevision(), Row("a", 1)});
  options.make_edit_id = [] { return EditId("anne-2"); };
  TableEditor(&service, options).Apply({ModelName("a"), TableRevision(1), std::nullopt});
  for (const EditId& id : {EditId("anne-1"), EditId("anne-2")}) {
    const Result<StoredValue> stored = service.Read(EditKey(id), {});
    REQUIRE(stored->value.has_value());
    const auto json = nlohmann::json::parse(*stored->value);
    CHECK(json["editor"] == "anne");
    CHECK(json["row"] == "a");
    CHECK(json["time_ms"] == 1'800'000'000'123);
  }
}

TEST_CASE("all rows are read over several pages, without other kinds of keys and deleted rows") {
  FakeTableService service;
  service.page_limit = 2;
  Operator anne(&service, "anne");
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    anne.Set(TableRevision(), Row(name, 1));
  }
  anne.Delete(TableRevision(2), "b");
  service.CommitWithoutFaults({{}, {{"grants/a", "{}"}}});
  const auto rows = anne.editor().ReadRows();
  REQUIRE(rows.ok());
  CHECK(rows->size() == 4);
  CHECK_FALSE(rows->contains(ModelName("b")));
  CHECK(rows->at(ModelName("c")).revision == TableRevision(3));
}

TEST_CASE("a value that can't be decoded as a row is an error, not an absent row") {
  FakeTableService service;
  service.CommitWithoutFaults({{}, {{"rows/a", "{}"}}});
  Operator anne(&service, "anne");
  CHECK(anne.editor().ReadRow(ModelName("a")).error() == Error::kMalformed);
  CHECK(anne.editor().ReadRows().error() == Error::kMalformed);
}

}  // namespace
}  // namespace hingespan
