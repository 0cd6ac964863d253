#include "hingespan/settings/toml_document.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace hingespan {
namespace {

constexpr std::size_t kMaximumFileBytes = 64 << 20;

Place PlaceOf(const toml::source_region& region, const std::string& file) {
  return {file, static_cast<int>(region.begin.line), static_cast<int>(region.begin.column)};
}

std::string TypeName(const toml::node& node) {
  std::ostringstream stream;
  stream << node.type();
  return stream.str();
}

TomlValue ArrayValue(const toml::array& array) {
  std::vector<std::string> texts;
  for (const toml::node& item : array) {
    if (!item.is_string()) {
      return TomlOther{"list of " + TypeName(item)};
    }
    texts.push_back(item.as_string()->get());
  }
  return texts;
}

TomlValue ValueOf(const toml::node& node) {
  if (node.is_table()) {
    return TomlTable{};
  }
  if (const auto* value = node.as_boolean()) {
    return value->get();
  }
  if (const auto* value = node.as_integer()) {
    return value->get();
  }
  if (const auto* value = node.as_floating_point()) {
    return value->get();
  }
  if (const auto* value = node.as_string()) {
    return value->get();
  }
  if (const auto* value = node.as_array()) {
    return ArrayValue(*value);
  }
  return TomlOther{TypeName(node)};
}

class Flattener {
 public:
  explicit Flattener(const std::string& file) : file_(file) {}

  void Visit(const toml::table& table) {
    for (const auto& [key, node] : table) {
      path_.emplace_back(key.str());
      entries_.push_back({path_, ValueOf(node), PlaceOf(PlaceRegion(key, node), file_)});
      if (const toml::table* inner = node.as_table()) {
        Visit(*inner);
      }
      path_.pop_back();
    }
  }

  std::vector<TomlEntry> TakeSortedEntries() {
    std::stable_sort(entries_.begin(), entries_.end(),
                     [](const TomlEntry& left, const TomlEntry& right) {
                       return left.place.line < right.place.line;
                     });
    return std::move(entries_);
  }

 private:
  // Returns the region of the key, which is the most helpful place for values. A table whose key
  // has none has its header as its own region.
  static const toml::source_region& PlaceRegion(const toml::key& key, const toml::node& node) {
    return key.source().begin.line > 0 ? key.source() : node.source();
  }

  const std::string& file_;
  std::vector<std::string> path_;
  std::vector<TomlEntry> entries_;
};

}  // namespace

TomlDocument ParseToml(std::string_view text, const std::string& file) {
  TomlDocument document;
  try {
    const toml::table table = toml::parse(text, file);
    Flattener flattener(file);
    flattener.Visit(table);
    document.entries = flattener.TakeSortedEntries();
  } catch (const toml::parse_error& error) {
    document.findings.push_back(
        {PlaceOf(error.source(), file), "syntax", std::string(error.description()), "TOML 1.0"});
  }
  return document;
}

Result<std::string> ReadTextFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    return Error::kNotFound;
  }
  std::string text;
  char buffer[1 << 14];
  while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
    text.append(buffer, static_cast<std::size_t>(stream.gcount()));
    if (text.size() > kMaximumFileBytes) {
      return Error::kMalformed;
    }
  }
  // A directory can be opened but not read.
  if (stream.bad()) {
    return Error::kNotFound;
  }
  return text;
}

std::string QuoteToml(std::string_view text) {
  std::ostringstream stream;
  stream << toml::toml_formatter(toml::value<std::string>(std::string(text)),
                                 toml::format_flags::none);
  return stream.str();
}

}  // namespace hingespan
