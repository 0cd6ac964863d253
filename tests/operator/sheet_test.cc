#include "hingespan/operator/sheet.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "hingespan/operator/csv.h"

namespace hingespan {
namespace {

ModelRow FullRow() {
  ModelRow row;
  row.name = ModelName("rules.v2");
  row.kind = RowKind::kVersion;
  row.base = ModelName("rules");
  row.checkpoint = "rules-2";
  row.memory_mib = 512;
  row.max_replicas = 3;
  row.min_replicas = 1;
  row.max_wait_ms = 4000;
  row.max_queue = 12;
  row.max_concurrency = 5;
  row.idle_ms = 60000;
  row.weights = {{ZoneId("z1"), 80}, {ZoneId("z.2"), 0}};
  return row;
}

RowsByName TwoRows() {
  ModelRow model;
  model.name = ModelName("rules");
  model.memory_mib = 1024;
  RowsByName rows;
  rows[model.name] = {TableRevision(4), model};
  rows[FullRow().name] = {TableRevision(9), FullRow()};
  return rows;
}

bool Has(const Findings& findings, const std::string& key, int line, int column) {
  return std::any_of(findings.begin(), findings.end(), [&](const Finding& finding) {
    return finding.key == key && finding.place.line == line && finding.place.column == column;
  });
}

TEST_CASE("rows survive a round trip through TOML and CSV sheets, with and without revisions") {
  for (SheetFormat format : {SheetFormat::kToml, SheetFormat::kCsv}) {
    for (bool with_revisions : {false, true}) {
      const std::string text = EncodeSheet(TwoRows(), format, with_revisions);
      CAPTURE(text);
      const Sheet sheet = DecodeSheet(text, "sheet", format);
      CHECK(FormatFindings(sheet.findings) == "");
      REQUIRE(sheet.rows.size() == 2);
      CHECK(sheet.rows[1].row == FullRow());
      CHECK(sheet.rows[0].row == *TwoRows()[ModelName("rules")].row);
      CHECK(sheet.rows[1].revision.has_value() == with_revisions);
      CHECK(sheet.rows[1].revision.value_or(TableRevision(9)) == TableRevision(9));
    }
  }
}

TEST_CASE("all findings of a TOML sheet are reported together, with line and column") {
  const Sheet sheet = DecodeSheet(R"(loose = 1
[a]
memory_mib = 0
  max_replicas = "many"
colour = "red"
[b]
kind = "adapter"
memory_mib = 10
weights = { z1 = -1 }
[c]
kind = "model"
)",
                                  "sheet.toml", SheetFormat::kToml);
  CHECK(Has(sheet.findings, "loose", 1, 1));
  CHECK(Has(sheet.findings, "a.memory_mib", 3, 1));
  CHECK(Has(sheet.findings, "a.max_replicas", 4, 3));
  CHECK(Has(sheet.findings, "a.colour", 5, 1));
  CHECK(Has(sheet.findings, "b.weights.z1", 9, 13));
  CHECK(Has(sheet.findings, "c.memory_mib", 10, 2));
  CHECK(sheet.findings.size() == 6);
}

TEST_CASE("all findings of a CSV sheet are reported together, with line and column") {
  const Sheet sheet = DecodeSheet(
      "name,kind,memory_mib\n"
      "a,thing,10\n"
      "\"b\",model,\"1\"\"0\"\n"
      "c,model\n"
      "a,model,5\n",
      "sheet.csv", SheetFormat::kCsv);
  CHECK(Has(sheet.findings, "a.kind", 2, 3));
  CHECK(Has(sheet.findings, "b.memory_mib", 3, 11));
  CHECK(Has(sheet.findings, "columns", 4, 1));
  CHECK(Has(sheet.findings, "c.memory_mib", 4, 1));
  CHECK(Has(sheet.findings, "a", 5, 1));
  CHECK(sheet.findings.size() == 5);
}

TEST_CASE("unknown, duplicate and missing columns are findings") {
  const Sheet sheet =
      DecodeSheet("kind,colour,kind\nmodel,red,model\n", "sheet.csv", SheetFormat::kCsv);
  CHECK(Has(sheet.findings, "colour", 1, 6));
  CHECK(Has(sheet.findings, "kind", 1, 13));
  CHECK(Has(sheet.findings, "name", 1, 1));
  CHECK(sheet.rows.empty());
}

TEST_CASE("commas, quotes and line breaks in cells survive a CSV round trip") {
  const std::vector<std::string> cells = {"", "a,b", "say \"x\"", "two\nlines", "plain"};
  const CsvDocument document = ParseCsv(EncodeCsvLine(cells), "file");
  REQUIRE(document.lines.size() == 1);
  REQUIRE(document.lines[0].size() == cells.size());
  for (std::size_t index = 0; index < cells.size(); ++index) {
    CHECK(document.lines[0][index].text == cells[index]);
  }
  CHECK(ParseCsv("a,\"open\n", "file").findings.size() == 1);
  CHECK(ParseCsv("a\r\n\r\nb", "file").lines.size() == 2);
}

TEST_CASE("a base must exist, and an adapter's base is no adapter") {
  RowsByName rows = TwoRows();
  Findings findings;
  CheckBases(rows, {}, &findings);
  CHECK(findings.empty());

  ModelRow adapter = FullRow();
  adapter.name = ModelName("x");
  adapter.kind = RowKind::kAdapter;
  rows[adapter.name] = {TableRevision(1), adapter};
  ModelRow nested = adapter;
  nested.name = ModelName("y");
  nested.base = adapter.name;
  rows[nested.name] = {TableRevision(2), nested};
  rows.erase(ModelName("rules"));
  CheckBases(rows, {}, &findings);
  CHECK(findings.size() == 3);
}

TEST_CASE("differences name the fields and ignore the editor") {
  ModelRow before = FullRow();
  ModelRow after = before;
  after.max_replicas = 5;
  after.weights.erase(ZoneId("z1"));
  after.editor = "bela";
  CHECK(DiffRows(before, after) ==
        std::vector<FieldDifference>{{"max_replicas", "3", "5"},
                                     {"weights", "z.2=0 z1=80", "z.2=0"}});
  CHECK(DiffRows(before, std::nullopt).size() == RowFieldNames().size());
}

TEST_CASE("invalid assignments are reported together, and the others are applied") {
  ModelRow row = FullRow();
  Findings findings;
  AssignRowFields({{"max_replicas", "9", {}},
                   {"max_queue", "-1", {}},
                   {"weights.z1", "5", {}},
                   {"weights", "z1:5", {}},
                   {"size", "1", {}}},
                  &row, &findings);
  CHECK(row.max_replicas == 9);
  CHECK(row.weights[ZoneId("z1")] == 5);
  CHECK(findings.size() == 3);
}

TEST_CASE("contradictory fields of a row are findings") {
  ModelRow row = FullRow();
  row.kind = RowKind::kModel;
  row.min_replicas = 4;
  row.memory_mib = 0;
  row.base = row.name;
  Findings findings;
  CheckRow(row, {}, &findings);
  CHECK(findings.size() == 4);
}

}  // namespace
}  // namespace hingespan
