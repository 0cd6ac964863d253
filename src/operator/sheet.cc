#include "hingespan/operator/sheet.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "hingespan/operator/csv.h"
#include "hingespan/settings/toml_document.h"

namespace hingespan {
namespace {

constexpr char kNameColumn[] = "name";
constexpr char kRevisionColumn[] = "revision";
constexpr char kWeightsField[] = "weights";

// A row as read from the file, before its fields are parsed.
struct RawRow {
  std::string name;
  Place place;
  std::vector<FieldAssignment> assignments;
};

// --- Conversion of raw rows

bool ParseRevisionField(const FieldAssignment& assignment, SheetRow* row, Findings* findings) {
  if (assignment.field != kRevisionColumn) {
    return false;
  }
  std::uint64_t revision = 0;
  if (assignment.text.empty()) {
    return true;
  }
  if (absl::SimpleAtoi(assignment.text, &revision)) {
    row->revision = TableRevision(revision);
  } else {
    findings->push_back(
        {assignment.place, absl::StrCat(row->row.name.value(), ".", kRevisionColumn),
         absl::StrCat("\"", assignment.text, "\" is not a revision number"), "integer"});
  }
  return true;
}

SheetRow BuildRow(const RawRow& raw, Findings* findings) {
  SheetRow row;
  row.row.name = ModelName(raw.name);
  row.place = raw.place;
  std::vector<FieldAssignment> fields;
  for (const FieldAssignment& assignment : raw.assignments) {
    if (!ParseRevisionField(assignment, &row, findings)) {
      fields.push_back(assignment);
    }
  }
  const std::size_t before = findings->size();
  AssignRowFields(fields, &row.row, findings);
  // An invalid value already has a finding. CheckRow would report the unset field a second time.
  if (findings->size() == before) {
    CheckRow(row.row, raw.place, findings);
  }
  return row;
}

void AddRow(const RawRow& raw, std::set<std::string>* names, Sheet* sheet) {
  if (!names->insert(raw.name).second) {
    sheet->findings.push_back({raw.place, raw.name, "appears twice in the sheet", "each row once"});
    return;
  }
  sheet->rows.push_back(BuildRow(raw, &sheet->findings));
}

// --- TOML

// Converts a value to its text form. Returns false if no field has a value of this type.
bool TomlValueToText(const TomlValue& value, std::string* text) {
  if (const auto* string = std::get_if<std::string>(&value)) {
    *text = *string;
    return true;
  }
  if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    *text = absl::StrCat(*integer);
    return true;
  }
  return false;
}

void AddTomlField(const TomlEntry& entry, RawRow* row, Findings* findings) {
  FieldAssignment assignment;
  assignment.field = absl::StrJoin(entry.path.begin() + 1, entry.path.end(), ".");
  assignment.place = entry.place;
  if (std::holds_alternative<TomlTable>(entry.value) && assignment.field == kWeightsField) {
    return;
  }
  if (!TomlValueToText(entry.value, &assignment.text)) {
    findings->push_back({entry.place, absl::StrJoin(entry.path, "."), "has the wrong type",
                         RowFieldType(assignment.field)});
    return;
  }
  row->assignments.push_back(std::move(assignment));
}

std::vector<RawRow> ReadToml(const TomlDocument& document, Findings* findings) {
  std::vector<RawRow> rows;
  std::map<std::string, std::size_t> row_index;
  for (const TomlEntry& entry : document.entries) {
    if (entry.path.size() > 1) {
      continue;
    }
    if (std::holds_alternative<TomlTable>(entry.value)) {
      row_index[entry.path[0]] = rows.size();
      rows.push_back({entry.path[0], entry.place, {}});
    } else {
      findings->push_back({entry.place, entry.path[0], "is outside of any row", "[NAME] first"});
    }
  }
  for (const TomlEntry& entry : document.entries) {
    if (entry.path.size() > 1) {
      AddTomlField(entry, &rows[row_index.at(entry.path[0])], findings);
    }
  }
  return rows;
}

std::string EncodeTomlKey(const std::string& name) {
  return name.find('.') == std::string::npos ? name : QuoteToml(name);
}

std::string EncodeTomlWeights(const ModelRow& row) {
  std::vector<std::string> parts;
  for (const auto& [zone, weight] : row.weights) {
    parts.push_back(absl::StrCat(EncodeTomlKey(zone.value()), " = ", weight));
  }
  return absl::StrCat("{ ", absl::StrJoin(parts, ", "), " }");
}

bool IsTextField(const std::string& field) {
  return field == "kind" || field == "base" || field == "checkpoint";
}

std::string EncodeTomlRow(const ModelRow& row) {
  std::string text = absl::StrCat("[", EncodeTomlKey(row.name.value()), "]\n");
  const ModelRow defaults;
  for (const std::string& field : RowFieldNames()) {
    const std::string value = PrintRowField(row, field);
    const bool is_default = value == PrintRowField(defaults, field);
    if (is_default && field != "kind") {
      continue;
    }
    if (field == kWeightsField) {
      absl::StrAppend(&text, field, " = ", EncodeTomlWeights(row), "\n");
    } else {
      absl::StrAppend(&text, field, " = ", IsTextField(field) ? QuoteToml(value) : value, "\n");
    }
  }
  return text;
}

std::string EncodeToml(const RowsByName& rows, bool with_revisions) {
  std::string text;
  for (const auto& [name, versioned] : rows) {
    if (!versioned.row.has_value()) {
      continue;
    }
    absl::StrAppend(&text, text.empty() ? "" : "\n", EncodeTomlRow(*versioned.row));
    if (with_revisions) {
      absl::StrAppend(&text, kRevisionColumn, " = ", versioned.revision.value(), "\n");
    }
  }
  return text;
}

// --- CSV

std::string EncodeCsv(const RowsByName& rows, bool with_revisions) {
  std::vector<std::string> header = {kNameColumn};
  header.insert(header.end(), RowFieldNames().begin(), RowFieldNames().end());
  if (with_revisions) {
    header.push_back(kRevisionColumn);
  }
  std::string text = EncodeCsvLine(header);
  for (const auto& [name, versioned] : rows) {
    if (!versioned.row.has_value()) {
      continue;
    }
    std::vector<std::string> cells = {name.value()};
    for (const std::string& field : RowFieldNames()) {
      cells.push_back(PrintRowField(*versioned.row, field));
    }
    if (with_revisions) {
      cells.push_back(absl::StrCat(versioned.revision.value()));
    }
    text += EncodeCsvLine(cells);
  }
  return text;
}

// Returns the index of the name column, or -1 and a finding if there is none. Unknown and duplicate
// columns are findings.
int CheckHeader(const std::vector<CsvCell>& header, Findings* findings) {
  std::set<std::string> known(RowFieldNames().begin(), RowFieldNames().end());
  known.insert(kNameColumn);
  known.insert(kRevisionColumn);
  std::set<std::string> seen;
  int name_column = -1;
  for (std::size_t index = 0; index < header.size(); ++index) {
    const CsvCell& cell = header[index];
    if (!known.contains(cell.text)) {
      findings->push_back({cell.place, cell.text, "unknown column", absl::StrJoin(known, ", ")});
    } else if (!seen.insert(cell.text).second) {
      findings->push_back({cell.place, cell.text, "duplicate column", "each column once"});
    }
    if (cell.text == kNameColumn) {
      name_column = static_cast<int>(index);
    }
  }
  if (name_column < 0) {
    findings->push_back({header[0].place, kNameColumn, "column is required", ""});
  }
  return name_column;
}

RawRow ReadCsvLine(const std::vector<CsvCell>& header, const std::vector<CsvCell>& line,
                   std::size_t name_column, Findings* findings) {
  RawRow row;
  row.place = line[0].place;
  if (line.size() != header.size()) {
    findings->push_back({line[0].place, "columns", absl::StrCat(line.size(), " cells"),
                         absl::StrCat(header.size(), ", as in the header")});
  }
  for (std::size_t index = 0; index < line.size() && index < header.size(); ++index) {
    if (index == name_column) {
      row.name = line[index].text;
      continue;
    }
    // An empty cell means the default value.
    if (!line[index].text.empty()) {
      row.assignments.push_back({header[index].text, line[index].text, line[index].place});
    }
  }
  return row;
}

std::vector<RawRow> ReadCsv(const CsvDocument& document, Findings* findings) {
  std::vector<RawRow> rows;
  if (document.lines.empty()) {
    return rows;
  }
  const std::vector<CsvCell>& header = document.lines[0];
  const std::size_t findings_before = findings->size();
  const int name_column = CheckHeader(header, findings);
  // With an invalid header, every line would repeat the same findings.
  if (findings->size() > findings_before) {
    return rows;
  }
  for (std::size_t index = 1; index < document.lines.size(); ++index) {
    rows.push_back(ReadCsvLine(header, document.lines[index], static_cast<std::size_t>(name_column),
                               findings));
  }
  return rows;
}

}  // namespace

SheetFormat SheetFormatOfFile(std::string_view file) {
  return file.ends_with(".csv") ? SheetFormat::kCsv : SheetFormat::kToml;
}

std::string EncodeSheet(const RowsByName& rows, SheetFormat format, bool with_revisions) {
  return format == SheetFormat::kCsv ? EncodeCsv(rows, with_revisions)
                                     : EncodeToml(rows, with_revisions);
}

Sheet DecodeSheet(std::string_view text, const std::string& file, SheetFormat format) {
  Sheet sheet;
  std::vector<RawRow> raw_rows;
  if (format == SheetFormat::kCsv) {
    const CsvDocument document = ParseCsv(text, file);
    sheet.findings = document.findings;
    raw_rows = ReadCsv(document, &sheet.findings);
  } else {
    const TomlDocument document = ParseToml(text, file);
    sheet.findings = document.findings;
    raw_rows = ReadToml(document, &sheet.findings);
  }
  std::set<std::string> names;
  for (const RawRow& raw : raw_rows) {
    AddRow(raw, &names, &sheet);
  }
  return sheet;
}

}  // namespace hingespan
