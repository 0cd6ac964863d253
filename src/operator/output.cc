#include "hingespan/operator/output.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "absl/strings/str_cat.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;
using TextLine = std::vector<std::string>;

constexpr int kJsonIndent = 2;
constexpr char kEmptyCell[] = "-";

std::string CellText(const std::string& cell) { return cell.empty() ? kEmptyCell : cell; }

std::vector<std::size_t> ColumnWidths(const TextLine& header, const std::vector<TextLine>& lines) {
  std::vector<std::size_t> widths;
  for (const std::string& cell : header) {
    widths.push_back(cell.size());
  }
  for (const TextLine& line : lines) {
    for (std::size_t index = 0; index < line.size() && index < widths.size(); ++index) {
      widths[index] = std::max(widths[index], CellText(line[index]).size());
    }
  }
  return widths;
}

void AppendLine(const TextLine& line, const std::vector<std::size_t>& widths, std::string* text) {
  for (std::size_t index = 0; index < line.size(); ++index) {
    const std::string cell = CellText(line[index]);
    text->append(cell);
    if (index + 1 < line.size()) {
      text->append(widths[index] + 2 - std::min(cell.size(), widths[index]), ' ');
    }
  }
  text->append("\n");
}

std::string ScalarText(const Json& json) {
  return json.is_string() ? json.get<std::string>() : json.dump();
}

// A list or object within a cell is shown as its number of entries; JSON output has it in full.
std::string CellOfJson(const Json& json) {
  return json.is_structured() ? absl::StrCat(json.size(), " entries") : ScalarText(json);
}

bool IsListOfObjects(const Json& json) {
  return json.is_array() && !json.empty() &&
         std::all_of(json.begin(), json.end(), [](const Json& item) { return item.is_object(); });
}

std::string ObjectsAsTable(const Json& list) {
  std::set<std::string> names;
  for (const Json& item : list) {
    for (const auto& [name, value] : item.items()) {
      names.insert(name);
    }
  }
  const TextLine header(names.begin(), names.end());
  std::vector<TextLine> lines;
  for (const Json& item : list) {
    TextLine line;
    for (const std::string& name : header) {
      line.push_back(item.contains(name) ? CellOfJson(item[name]) : "");
    }
    lines.push_back(std::move(line));
  }
  return FormatTextTable(header, lines);
}

std::string ListAsText(const Json& list) {
  if (IsListOfObjects(list)) {
    return ObjectsAsTable(list);
  }
  std::string text;
  for (const Json& item : list) {
    absl::StrAppend(&text, ScalarText(item), "\n");
  }
  return text;
}

}  // namespace

std::string FormatTextTable(const std::vector<std::string>& header,
                            const std::vector<std::vector<std::string>>& lines) {
  const std::vector<std::size_t> widths = ColumnWidths(header, lines);
  std::string text;
  AppendLine(header, widths, &text);
  for (const TextLine& line : lines) {
    AppendLine(line, widths, &text);
  }
  return text;
}

std::string FormatJsonAsText(const nlohmann::json& json) {
  if (json.is_array()) {
    return ListAsText(json);
  }
  if (!json.is_object()) {
    return ScalarText(json) + "\n";
  }
  std::string text;
  for (const auto& [name, value] : json.items()) {
    if (value.is_structured() && !value.empty()) {
      absl::StrAppend(&text, name, ":\n", FormatJsonAsText(value), "\n");
    } else {
      absl::StrAppend(&text, name, ": ", ScalarText(value), "\n");
    }
  }
  return text;
}

nlohmann::json VersionedRowToJson(const VersionedRow& versioned) {
  if (!versioned.row.has_value()) {
    return nullptr;
  }
  Json json = RowToJson(*versioned.row);
  json["revision"] = versioned.revision.value();
  return json;
}

std::string FormatJson(const nlohmann::json& json) {
  return json.dump(kJsonIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace hingespan
