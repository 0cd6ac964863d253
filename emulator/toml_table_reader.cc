#include "emulator/toml_table_reader.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace hingespan::emulator {

TomlTableReader::TomlTableReader(const toml::table* table, std::string prefix, std::string file,
                                 Findings* findings)
    : table_(table), prefix_(std::move(prefix)), file_(std::move(file)), findings_(findings) {}

void TomlTableReader::ReadNumber(const std::string& key, double minimum, double maximum,
                                 double* output) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return;
  }
  const std::string allowed = absl::StrCat("a number from ", minimum, " to ", maximum);
  if (!node->is_number()) {
    Report(key, "not a number", allowed);
    return;
  }
  const double value = *node->value<double>();
  if (!(value >= minimum && value <= maximum)) {
    Report(key, "out of range", allowed);
    return;
  }
  *output = value;
}

bool TomlTableReader::FindInteger(const std::string& key, std::int64_t minimum,
                                  std::int64_t maximum, std::int64_t* value) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return false;
  }
  const std::string allowed = absl::StrCat("a whole number from ", minimum, " to ", maximum);
  if (!node->is_integer()) {
    Report(key, "not a whole number", allowed);
    return false;
  }
  *value = *node->value<std::int64_t>();
  if (*value < minimum || *value > maximum) {
    Report(key, "out of range", allowed);
    return false;
  }
  return true;
}

void TomlTableReader::ReadMilliseconds(const std::string& key, double maximum,
                                       absl::Duration* output) {
  double milliseconds = absl::ToDoubleMilliseconds(*output);
  ReadNumber(key, 0, maximum, &milliseconds);
  *output = absl::Milliseconds(milliseconds);
}

void TomlTableReader::ReadBool(const std::string& key, bool* output) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return;
  }
  if (!node->is_boolean()) {
    Report(key, "not a truth value", "true or false");
    return;
  }
  *output = *node->value<bool>();
}

void TomlTableReader::ReadText(const std::string& key, std::string* output) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return;
  }
  const std::optional<std::string> text = node->value_exact<std::string>();
  if (!text.has_value() || text->empty()) {
    Report(key, "not a text", "a text of at least one character");
    return;
  }
  *output = *text;
}

std::string TomlTableReader::ReadRequiredText(const std::string& key) {
  std::string text;
  if (Find(key) == nullptr) {
    Report(key, "missing", "a text of at least one character");
    return text;
  }
  ReadText(key, &text);
  return text;
}

const toml::table* TomlTableReader::ReadTable(const std::string& key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return nullptr;
  }
  if (!node->is_table()) {
    Report(key, "not a table", "a table");
    return nullptr;
  }
  return node->as_table();
}

std::vector<const toml::table*> TomlTableReader::ReadTables(const std::string& key) {
  std::vector<const toml::table*> tables;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return tables;
  }
  if (!node->is_array_of_tables()) {
    Report(key, "not an array of tables", "an array of tables");
    return tables;
  }
  for (const toml::node& element : *node->as_array()) {
    tables.push_back(element.as_table());
  }
  return tables;
}

void TomlTableReader::ReportUnknownKeys() {
  if (table_ == nullptr) {
    return;
  }
  for (const auto& [key, node] : *table_) {
    const std::string name(key.str());
    if (!known_keys_.contains(name)) {
      Report(name, "unknown key", absl::StrJoin(known_keys_, ", "));
    }
  }
}

void TomlTableReader::Report(const std::string& key, std::string problem, std::string allowed) {
  Finding finding;
  finding.place = PlaceOf(key);
  finding.key = FullKey(key);
  finding.problem = std::move(problem);
  finding.allowed = std::move(allowed);
  findings_->push_back(std::move(finding));
}

const toml::node* TomlTableReader::Find(const std::string& key) {
  known_keys_.insert(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

std::string TomlTableReader::FullKey(const std::string& key) const {
  return prefix_.empty() ? key : absl::StrCat(prefix_, ".", key);
}

Place TomlTableReader::PlaceOf(const std::string& key) const {
  Place place;
  place.file = file_;
  if (table_ == nullptr) {
    return place;
  }
  const toml::node* node = table_->get(key);
  const toml::source_region& source = node == nullptr ? table_->source() : node->source();
  place.line = static_cast<int>(source.begin.line);
  place.column = static_cast<int>(source.begin.column);
  return place;
}

}  // namespace hingespan::emulator
