// TOML text as a flat list of entries with their places, so that only one source file includes
// toml++.
#ifndef HINGESPAN_SETTINGS_TOML_DOCUMENT_H_
#define HINGESPAN_SETTINGS_TOML_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hingespan/common/finding.h"
#include "hingespan/common/result.h"

namespace hingespan {

// Marks a table; the entries of its members follow.
struct TomlTable {};
// Value of a type that no setting has, e.g. a date.
struct TomlOther {
  std::string type;
};
using TomlValue = std::variant<TomlTable, TomlOther, bool, std::int64_t, double, std::string,
                               std::vector<std::string>>;

struct TomlEntry {
  // Components of the key, e.g. {"http", "tls", "key_file"}.
  std::vector<std::string> path;
  TomlValue value;
  Place place;
};

struct TomlDocument {
  // Entries in the order of the text.
  std::vector<TomlEntry> entries;
  // Syntax errors; if there are any, `entries` is empty.
  Findings findings;
};

// Parses `text`; `file` is the file name used in places.
TomlDocument ParseToml(std::string_view text, const std::string& file);

// Reads a whole file. Errors: kNotFound if it can't be opened or read, kMalformed if it is larger
// than 64 MiB.
Result<std::string> ReadTextFile(const std::string& file);

// Returns `text` as a TOML string literal.
std::string QuoteToml(std::string_view text);

}  // namespace hingespan

#endif  // HINGESPAN_SETTINGS_TOML_DOCUMENT_H_
