#include "hingespan/operator/table_commands.h"

#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/settings/toml_document.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

constexpr char kArgumentPlace[] = "arguments";
// Number of history entries that are searched for a revision.
constexpr int kHistorySearchLimit = 100;

// Reads a sheet. An unreadable file is a finding.
Sheet LoadSheet(const std::string& file) {
  const Result<std::string> text = ReadTextFile(file);
  if (text.ok()) {
    return DecodeSheet(*text, file, SheetFormatOfFile(file));
  }
  Sheet sheet;
  sheet.findings.push_back({{file, 0, 0}, "file", "can't be read", "a readable file"});
  return sheet;
}

// Parses "field=value" texts. A text without '=' is a finding.
std::vector<FieldAssignment> ParseAssignments(const std::vector<std::string>& texts,
                                              Findings* findings) {
  std::vector<FieldAssignment> assignments;
  for (const std::string& text : texts) {
    const Place place{kArgumentPlace, 0, 0};
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
      findings->push_back({place, text, "is not an assignment", "FIELD=VALUE"});
      continue;
    }
    assignments.push_back({text.substr(0, equals), text.substr(equals + 1), place});
  }
  return assignments;
}

std::vector<std::string> ListHeader() {
  std::vector<std::string> header = {"name"};
  header.insert(header.end(), RowFieldNames().begin(), RowFieldNames().end());
  header.push_back("revision");
  header.push_back("editor");
  return header;
}

std::vector<std::string> ListLine(const VersionedRow& versioned) {
  std::vector<std::string> line = {versioned.row->name.value()};
  for (const std::string& field : RowFieldNames()) {
    line.push_back(PrintRowField(*versioned.row, field));
  }
  line.push_back(absl::StrCat(versioned.revision.value()));
  line.push_back(versioned.row->editor);
  return line;
}

std::string FormatRows(const RowsByName& rows) {
  std::vector<std::vector<std::string>> lines;
  for (const auto& [name, versioned] : rows) {
    lines.push_back(ListLine(versioned));
  }
  return FormatTextTable(ListHeader(), lines);
}

std::string FormatRow(const VersionedRow& versioned) {
  std::vector<std::vector<std::string>> lines;
  const std::vector<std::string> header = ListHeader();
  const std::vector<std::string> line = ListLine(versioned);
  for (std::size_t index = 0; index < header.size(); ++index) {
    lines.push_back({header[index], line[index]});
  }
  return FormatTextTable({"FIELD", "VALUE"}, lines);
}

Json RowsToJson(const RowsByName& rows) {
  Json json = Json::array();
  for (const auto& [name, versioned] : rows) {
    json.push_back(VersionedRowToJson(versioned));
  }
  return json;
}

Json DifferencesToJson(const std::vector<FieldDifference>& differences) {
  Json json = Json::array();
  for (const FieldDifference& difference : differences) {
    json.push_back(Json{
        {"field", difference.field}, {"before", difference.before}, {"after", difference.after}});
  }
  return json;
}

// --- Differences between the table and a sheet

struct RowDifference {
  ModelName name;
  // "added", "changed" or "absent".
  std::string kind;
  std::vector<FieldDifference> fields;
};

std::vector<RowDifference> DiffTable(const RowsByName& table, const RowsByName& sheet) {
  std::vector<RowDifference> differences;
  for (const auto& [name, wanted] : sheet) {
    const auto present = table.find(name);
    const bool added = present == table.end();
    auto fields = DiffRows(added ? std::nullopt : present->second.row, wanted.row);
    if (!fields.empty()) {
      differences.push_back({name, added ? "added" : "changed", std::move(fields)});
    }
  }
  for (const auto& [name, present] : table) {
    if (!sheet.contains(name)) {
      differences.push_back({name, "absent", {}});
    }
  }
  return differences;
}

std::string FormatDifferences(const std::vector<RowDifference>& differences) {
  std::vector<std::vector<std::string>> lines;
  for (const RowDifference& row : differences) {
    if (row.fields.empty()) {
      lines.push_back({row.name.value(), row.kind, "", "", ""});
    }
    for (const FieldDifference& field : row.fields) {
      lines.push_back({row.name.value(), row.kind, field.field, field.before, field.after});
    }
  }
  return FormatTextTable({"ROW", "IN SHEET", "FIELD", "TABLE", "SHEET"}, lines);
}

Json DifferencesToJson(const std::vector<RowDifference>& differences) {
  Json json = Json::array();
  for (const RowDifference& row : differences) {
    json.push_back(Json{{"row", row.name.value()},
                        {"in_sheet", row.kind},
                        {"fields", DifferencesToJson(row.fields)}});
  }
  return json;
}

// --- History

// A history entry and its differences from the next older one.
struct HistoryStep {
  HistoryEntry entry;
  std::vector<FieldDifference> differences;
};

// `entries` are newest first. An entry beyond `limit` only serves as the older side of a
// comparison.
std::vector<HistoryStep> HistorySteps(const std::vector<HistoryEntry>& entries, std::size_t limit) {
  std::vector<HistoryStep> steps;
  for (std::size_t index = 0; index < entries.size() && index < limit; ++index) {
    const bool oldest = index + 1 == entries.size();
    const std::optional<ModelRow> older = oldest ? std::nullopt : entries[index + 1].row;
    steps.push_back({entries[index], DiffRows(older, entries[index].row)});
  }
  return steps;
}

std::string FormatHistory(const std::vector<HistoryStep>& steps) {
  std::vector<std::vector<std::string>> lines;
  for (const HistoryStep& step : steps) {
    const std::string revision = absl::StrCat(step.entry.revision.value());
    if (!step.entry.row.has_value()) {
      lines.push_back({revision, "", "(deleted)", "", ""});
      continue;
    }
    for (const FieldDifference& field : step.differences) {
      lines.push_back({revision, step.entry.row->editor, field.field, field.before, field.after});
    }
    if (step.differences.empty()) {
      lines.push_back({revision, step.entry.row->editor, "(unchanged)", "", ""});
    }
  }
  return FormatTextTable({"REVISION", "EDITOR", "FIELD", "BEFORE", "AFTER"}, lines);
}

Json HistoryToJson(const std::vector<HistoryStep>& steps) {
  Json json = Json::array();
  for (const HistoryStep& step : steps) {
    json.push_back(Json{{"revision", step.entry.revision.value()},
                        {"row", VersionedRowToJson({step.entry.revision, step.entry.row})},
                        {"differences", DifferencesToJson(step.differences)}});
  }
  return json;
}

// --- Sheet files

// Creates an empty file that only this user can read. Returns its path, or an empty string on
// failure.
std::string NewTemporaryFile(SheetFormat format) {
  const std::string suffix = format == SheetFormat::kCsv ? ".csv" : ".toml";
  std::error_code error;
  std::string path = std::filesystem::temp_directory_path(error) / "hingespan-table-XXXXXX";
  path += suffix;
  const int descriptor = ::mkstemps(path.data(), static_cast<int>(suffix.size()));
  if (error || descriptor < 0) {
    return "";
  }
  ::close(descriptor);
  return path;
}

bool WriteTextFile(const std::string& file, const std::string& text) {
  std::ofstream stream(file, std::ios::binary | std::ios::trunc);
  stream << text;
  stream.close();
  return stream.good();
}

}  // namespace

TableCommands::TableCommands(TableEditor* editor, Terminal terminal, OutputFormat format)
    : editor_(editor), terminal_(terminal), format_(format) {}

ExitCode TableCommands::Fail(std::error_code error, const std::string& action) {
  *terminal_.err << "can't " << action << ": " << error.message() << "\n";
  return ExitCodeOfError(error);
}

ExitCode TableCommands::ReportFindings(const Findings& findings) {
  *terminal_.err << FormatFindings(findings);
  return ExitCode::kUsage;
}

ExitCode TableCommands::ReportEdits(const std::vector<EditReport>& reports) {
  if (format_ == OutputFormat::kJson) {
    *terminal_.out << FormatJson(EditReportsToJson(reports));
  } else {
    *terminal_.out << FormatEditReports(reports);
  }
  return ExitCodeOfReports(reports);
}

ExitCode TableCommands::ApplyEdits(const std::vector<RowEdit>& edits, const RowsByName& seen) {
  std::vector<EditReport> reports;
  for (const RowEdit& edit : edits) {
    const auto before = seen.find(edit.name);
    reports.push_back(
        {edit, before != seen.end() ? before->second.row : std::nullopt, editor_->Apply(edit)});
  }
  return ReportEdits(reports);
}

ExitCode TableCommands::ApplyPlan(const SheetPlan& plan, const RowsByName& seen) {
  if (!plan.findings.empty()) {
    return ReportFindings(plan.findings);
  }
  return ApplyEdits(plan.edits, seen);
}

ExitCode TableCommands::List(const std::string& prefix) {
  Result<RowsByName> rows = editor_->ReadRows();
  if (!rows.ok()) {
    return Fail(rows.error(), "read the table");
  }
  std::erase_if(*rows,
                [&prefix](const auto& entry) { return !entry.first.value().starts_with(prefix); });
  *terminal_.out << (format_ == OutputFormat::kJson ? FormatJson(RowsToJson(*rows))
                                                    : FormatRows(*rows));
  return ExitCode::kOk;
}

ExitCode TableCommands::Get(const ModelName& name) {
  const Result<VersionedRow> row = editor_->ReadRow(name);
  if (!row.ok()) {
    return Fail(row.error(), "read the row");
  }
  if (!row->row.has_value()) {
    *terminal_.err << "there is no row \"" << name.value() << "\"\n";
    return ExitCode::kFailure;
  }
  *terminal_.out << (format_ == OutputFormat::kJson ? FormatJson(VersionedRowToJson(*row))
                                                    : FormatRow(*row));
  return ExitCode::kOk;
}

Result<Findings> TableCommands::CheckReferences(const RowEdit& edit, const VersionedRow& before) {
  const bool is_new = !before.row.has_value();
  const bool kept = edit.wanted.has_value() && !is_new && edit.wanted->kind == before.row->kind &&
                    edit.wanted->base == before.row->base;
  const bool new_model = is_new && edit.wanted.has_value() && edit.wanted->base.empty();
  Findings findings;
  if (kept || new_model) {
    return findings;
  }
  Result<RowsByName> rows = editor_->ReadRows();
  if (!rows.ok()) {
    return rows.error();
  }
  (*rows)[edit.name].row = edit.wanted;
  CheckBases(*rows, {kArgumentPlace, 0, 0}, &findings);
  return findings;
}

VersionedRow TableCommands::RowAt(const ModelName& name,
                                  const std::optional<TableRevision>& revision,
                                  const VersionedRow& present) {
  if (!revision.has_value() || *revision == present.revision) {
    return present;
  }
  const auto history = editor_->ReadHistory(name, kHistorySearchLimit);
  if (history.ok()) {
    for (const HistoryEntry& entry : *history) {
      if (entry.revision == *revision) {
        return {entry.revision, entry.row};
      }
    }
  }
  return {*revision, std::nullopt};
}

ExitCode TableCommands::Set(const SetRequest& request) {
  const Result<VersionedRow> present = editor_->ReadRow(request.name);
  if (!present.ok()) {
    return Fail(present.error(), "read the row");
  }
  Findings findings;
  ModelRow wanted = present->row.value_or(ModelRow{});
  wanted.name = request.name;
  AssignRowFields(ParseAssignments(request.assignments, &findings), &wanted, &findings);
  CheckRow(wanted, {kArgumentPlace, 0, 0}, &findings);
  const RowEdit edit{request.name, request.if_revision.value_or(present->revision), wanted};
  const Result<Findings> others = CheckReferences(edit, *present);
  if (!others.ok()) {
    return Fail(others.error(), "read the table");
  }
  findings.insert(findings.end(), others->begin(), others->end());
  if (!findings.empty()) {
    return ReportFindings(findings);
  }
  if (DiffRows(present->row, wanted).empty() && edit.expected == present->revision) {
    return ReportEdits({});
  }
  return ApplyEdits({edit}, {{request.name, RowAt(request.name, request.if_revision, *present)}});
}

ExitCode TableCommands::Delete(const DeleteRequest& request) {
  const Result<VersionedRow> present = editor_->ReadRow(request.name);
  if (!present.ok()) {
    return Fail(present.error(), "read the row");
  }
  if (!present->row.has_value()) {
    *terminal_.err << "there is no row \"" << request.name.value() << "\"\n";
    return ExitCode::kFailure;
  }
  const RowEdit edit{request.name, request.if_revision.value_or(present->revision), std::nullopt};
  const Result<Findings> others = CheckReferences(edit, *present);
  if (!others.ok()) {
    return Fail(others.error(), "read the table");
  }
  if (!others->empty()) {
    return ReportFindings(*others);
  }
  return ApplyEdits({edit}, {{request.name, RowAt(request.name, request.if_revision, *present)}});
}

ExitCode TableCommands::Export(SheetFormat format, bool with_revisions) {
  const Result<RowsByName> rows = editor_->ReadRows();
  if (!rows.ok()) {
    return Fail(rows.error(), "read the table");
  }
  *terminal_.out << EncodeSheet(*rows, format, with_revisions);
  return ExitCode::kOk;
}

RowsByName TableCommands::RowsOfSheet(const Sheet& sheet) {
  RowsByName rows;
  for (const SheetRow& row : sheet.rows) {
    rows[row.row.name] = {row.revision.value_or(TableRevision()), row.row};
  }
  return rows;
}

Sheet TableCommands::LoadBase(const std::string& file) {
  Sheet base = LoadSheet(file);
  for (const SheetRow& row : base.rows) {
    if (!row.revision.has_value()) {
      base.findings.push_back({row.place, row.row.name.value(), "has no revision",
                               "a sheet of `table export --revisions`"});
    }
  }
  return base;
}

ExitCode TableCommands::Import(const ImportRequest& request) {
  const Sheet sheet = LoadSheet(request.file);
  Sheet base;
  if (!request.base_file.empty()) {
    base = LoadBase(request.base_file);
  }
  const Result<RowsByName> current = editor_->ReadRows();
  if (!current.ok()) {
    return Fail(current.error(), "read the table");
  }
  const RowsByName seen = request.base_file.empty() ? *current : RowsOfSheet(base);
  MissingRows missing = MissingRows::kKeep;
  if (!request.base_file.empty()) {
    missing = request.allow_delete ? MissingRows::kDelete : MissingRows::kFinding;
  }
  SheetPlan plan = PlanSheet(sheet, seen, *current, missing);
  plan.findings.insert(plan.findings.end(), base.findings.begin(), base.findings.end());
  if (request.dry_run && plan.findings.empty()) {
    return Diff(request.file);
  }
  return ApplyPlan(plan, seen);
}

ExitCode TableCommands::Diff(const std::string& file) {
  const Sheet sheet = LoadSheet(file);
  if (!sheet.findings.empty()) {
    return ReportFindings(sheet.findings);
  }
  const Result<RowsByName> rows = editor_->ReadRows();
  if (!rows.ok()) {
    return Fail(rows.error(), "read the table");
  }
  const std::vector<RowDifference> differences = DiffTable(*rows, RowsOfSheet(sheet));
  *terminal_.out << (format_ == OutputFormat::kJson ? FormatJson(DifferencesToJson(differences))
                                                    : FormatDifferences(differences));
  return ExitCode::kOk;
}

ExitCode TableCommands::History(const ModelName& name, int limit) {
  // Reads one more entry, so that the oldest one shown can be compared with its predecessor.
  const auto entries = editor_->ReadHistory(name, limit + 1);
  if (!entries.ok()) {
    return Fail(entries.error(), "read the row's history");
  }
  const std::vector<HistoryStep> steps = HistorySteps(*entries, static_cast<std::size_t>(limit));
  *terminal_.out << (format_ == OutputFormat::kJson ? FormatJson(HistoryToJson(steps))
                                                    : FormatHistory(steps));
  return ExitCode::kOk;
}

bool TableCommands::WaitForOperator(const std::string& file) {
  *terminal_.err << "Edit " << file << " and save it. Then press Enter here to apply it; "
                 << "end of input leaves the table as it is.\n";
  std::string line;
  return static_cast<bool>(std::getline(*terminal_.in, line));
}

std::optional<SheetPlan> TableCommands::ReadEditedSheet(const EditRequest& request,
                                                        const std::string& file,
                                                        const RowsByName& base) {
  const MissingRows missing = request.allow_delete ? MissingRows::kDelete : MissingRows::kFinding;
  while (WaitForOperator(file)) {
    SheetPlan plan = PlanSheet(LoadSheet(file), base, base, missing);
    if (plan.findings.empty()) {
      return plan;
    }
    ReportFindings(plan.findings);
  }
  return std::nullopt;
}

ExitCode TableCommands::Edit(const EditRequest& request) {
  const SheetFormat format =
      request.file.empty() ? request.format : SheetFormatOfFile(request.file);
  const Result<RowsByName> rows = editor_->ReadRows();
  if (!rows.ok()) {
    return Fail(rows.error(), "read the table");
  }
  const std::string file = request.file.empty() ? NewTemporaryFile(format) : request.file;
  const std::string sheet = EncodeSheet(*rows, format, /*with_revisions=*/true);
  if (file.empty() || !WriteTextFile(file, sheet)) {
    *terminal_.err << "can't write the sheet\n";
    return ExitCode::kFailure;
  }
  const std::optional<SheetPlan> plan = ReadEditedSheet(request, file, *rows);
  if (!plan.has_value()) {
    *terminal_.err << "nothing was changed; the sheet is still in " << file << "\n";
    return ExitCode::kUsage;
  }
  const ExitCode code = ApplyPlan(*plan, *rows);
  if (code == ExitCode::kOk) {
    ::unlink(file.c_str());
  } else {
    *terminal_.err << "the sheet is still in " << file << "\n";
  }
  return code;
}

}  // namespace hingespan
