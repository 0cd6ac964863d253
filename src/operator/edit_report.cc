#include "hingespan/operator/edit_report.h"

#include <nlohmann/json.hpp>
#include <set>

#include "absl/strings/str_cat.h"
#include "hingespan/operator/output.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

std::string_view StatusName(EditStatus status) {
  switch (status) {
    case EditStatus::kApplied:
      return "applied";
    case EditStatus::kAppliedThenChanged:
      return "applied_then_changed";
    case EditStatus::kConflict:
      return "conflict";
    case EditStatus::kFailed:
      return "failed";
    case EditStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string FieldText(const std::optional<ModelRow>& row, const std::string& field) {
  return row.has_value() ? PrintRowField(*row, field) : "(no row)";
}

// Returns the fields in which the seen, present and wanted values are not all equal.
std::vector<std::string> FieldsInConflict(const EditReport& report) {
  std::vector<std::string> fields;
  for (const std::string& field : RowFieldNames()) {
    const std::set<std::string> values = {FieldText(report.before, field),
                                          FieldText(report.outcome.present.row, field),
                                          FieldText(report.edit.wanted, field)};
    if (values.size() > 1) {
      fields.push_back(field);
    }
  }
  return fields;
}

std::string DescribeLastChange(const VersionedRow& present) {
  if (!present.row.has_value()) {
    return "deleted";
  }
  const std::string& editor = present.row->editor;
  return absl::StrCat("revision ", present.revision.value(), " by ",
                      editor.empty() ? "an unnamed operator" : editor);
}

std::string FormatConflict(const EditReport& report) {
  std::vector<std::vector<std::string>> lines;
  for (const std::string& field : FieldsInConflict(report)) {
    lines.push_back({field, FieldText(report.before, field),
                     FieldText(report.outcome.present.row, field),
                     FieldText(report.edit.wanted, field)});
  }
  return FormatTextTable({"FIELD", "YOU SAW", "IS NOW", "YOU WANTED"}, lines);
}

std::string FormatReport(const EditReport& report) {
  const std::string& name = report.edit.name.value();
  const EditOutcome& outcome = report.outcome;
  switch (outcome.status) {
    case EditStatus::kApplied:
      return report.edit.wanted.has_value()
                 ? absl::StrCat(name, ": applied at revision ", outcome.revision.value(), "\n")
                 : absl::StrCat(name, ": deleted\n");
    case EditStatus::kAppliedThenChanged:
      return absl::StrCat(name, ": applied, and changed again since (",
                          DescribeLastChange(outcome.present), ")\n", FormatConflict(report));
    case EditStatus::kConflict:
      return absl::StrCat(name, ": conflict, not written; now ",
                          DescribeLastChange(outcome.present), "\n", FormatConflict(report));
    case EditStatus::kFailed:
      return absl::StrCat(name, ": not written: ", outcome.error.message(), "\n");
    case EditStatus::kUnknown:
      return absl::StrCat(name, ": may have been written: ", outcome.error.message(),
                          "; check the row before you retry\n");
  }
  return "";
}

Json FieldsToJson(const EditReport& report) {
  Json fields = Json::array();
  for (const std::string& field : FieldsInConflict(report)) {
    fields.push_back(Json{{"field", field},
                          {"seen", FieldText(report.before, field)},
                          {"now", FieldText(report.outcome.present.row, field)},
                          {"wanted", FieldText(report.edit.wanted, field)}});
  }
  return fields;
}

Json ReportToJson(const EditReport& report) {
  const EditOutcome& outcome = report.outcome;
  Json json{{"row", report.edit.name.value()}, {"status", StatusName(outcome.status)}};
  if (outcome.error) {
    json["error"] = outcome.error.message();
  }
  if (outcome.status == EditStatus::kApplied) {
    json["revision"] = outcome.revision.value();
    return json;
  }
  if (outcome.status == EditStatus::kConflict ||
      outcome.status == EditStatus::kAppliedThenChanged) {
    json["now"] = VersionedRowToJson(outcome.present);
    json["wanted"] = VersionedRowToJson({report.edit.expected, report.edit.wanted});
    json["fields"] = FieldsToJson(report);
  }
  return json;
}

ExitCode ExitCodeOfReport(const EditReport& report) {
  switch (report.outcome.status) {
    case EditStatus::kApplied:
    case EditStatus::kAppliedThenChanged:
      return ExitCode::kOk;
    case EditStatus::kConflict:
      return ExitCode::kConflict;
    case EditStatus::kFailed:
    case EditStatus::kUnknown:
      return ExitCodeOfError(report.outcome.error);
  }
  return ExitCode::kFailure;
}

}  // namespace

ExitCode ExitCodeOfError(std::error_code error) {
  const bool is_transport_error = error == Error::kUnavailable || error == Error::kTimeout ||
                                  error == Error::kAnswerLost || error == Error::kRateLimited;
  return is_transport_error ? ExitCode::kUnreachable : ExitCode::kFailure;
}

ExitCode ExitCodeOfReports(const std::vector<EditReport>& reports) {
  ExitCode code = ExitCode::kOk;
  for (const EditReport& report : reports) {
    const ExitCode row = ExitCodeOfReport(report);
    if (row == ExitCode::kConflict) {
      return row;
    }
    code = code == ExitCode::kOk ? row : code;
  }
  return code;
}

std::string FormatEditReports(const std::vector<EditReport>& reports) {
  std::string text;
  for (const EditReport& report : reports) {
    text += FormatReport(report);
  }
  return text.empty() ? "nothing to change\n" : text;
}

nlohmann::json EditReportsToJson(const std::vector<EditReport>& reports) {
  Json rows = Json::array();
  for (const EditReport& report : reports) {
    rows.push_back(ReportToJson(report));
  }
  return Json{{"rows", std::move(rows)}};
}

}  // namespace hingespan
