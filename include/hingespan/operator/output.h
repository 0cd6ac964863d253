// Output of the `hingespan` command: text tables and JSON.
#ifndef HINGESPAN_OPERATOR_OUTPUT_H_
#define HINGESPAN_OPERATOR_OUTPUT_H_

#include <istream>
#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "hingespan/operator/row_fields.h"

namespace hingespan {

enum class OutputFormat { kTable, kJson };

// Input and output streams of a command. All must outlive it.
struct Terminal {
  std::istream* in = nullptr;
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
};

// Pads each column to its widest cell, with two spaces between columns. Empty cells are printed as
// "-".
std::string FormatTextTable(const std::vector<std::string>& header,
                            const std::vector<std::vector<std::string>>& lines);

// Formats any JSON value as text: members as "name: value", lists of objects as tables.
std::string FormatJsonAsText(const nlohmann::json& json);

// Returns the row with its revision, or null if the row is absent.
nlohmann::json VersionedRowToJson(const VersionedRow& versioned);

// Returns indented JSON that ends with a line break.
std::string FormatJson(const nlohmann::json& json);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_OUTPUT_H_
