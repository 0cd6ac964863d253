// Tests the table of spec/README.md: it lists every rule of the models, and the comment of each
// function in it names the action that the function implements ("Spec action: NAME.").
#include <doctest/doctest.h>

#include <filesystem>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "hingespan/settings/toml_document.h"

namespace hingespan {
namespace {

constexpr absl::string_view kTableHeader = "| Action | Model | Function |";
constexpr absl::string_view kMark = "Spec action";

struct TableRow {
  std::vector<std::string> actions;
  std::vector<std::string> models;
  // Each is "Class::Function" or "Function".
  std::vector<std::string> functions;
};

struct SourceFile {
  std::string path;
  std::vector<std::string> lines;
};

std::vector<std::string> ReadLines(const std::string& path) {
  const Result<std::string> text = ReadTextFile(path);
  REQUIRE(text.ok());
  return absl::StrSplit(*text, '\n');
}

std::vector<std::string> SplitWords(absl::string_view cell) {
  std::vector<std::string> words;
  for (const absl::string_view word : absl::StrSplit(cell, ',')) {
    words.emplace_back(absl::StripAsciiWhitespace(word));
  }
  return words;
}

// Returns the texts between backticks.
std::vector<std::string> ParseCodeSpans(absl::string_view cell) {
  const std::vector<std::string> pieces = absl::StrSplit(cell, '`');
  std::vector<std::string> code;
  for (std::size_t piece = 1; piece < pieces.size(); piece += 2) {
    code.push_back(pieces[piece]);
  }
  return code;
}

std::vector<TableRow> ReadTable() {
  std::vector<TableRow> rows;
  bool in_table = false;
  for (const std::string& line :
       ReadLines(absl::StrCat(HINGESPAN_SOURCE_DIRECTORY, "/spec/README.md"))) {
    if (line == kTableHeader) {
      in_table = true;
      continue;
    }
    if (!in_table || absl::StartsWith(line, "|---")) {
      continue;
    }
    const std::vector<std::string> cells = absl::StrSplit(line, '|');
    if (cells.size() < 4) {
      break;
    }
    rows.push_back({SplitWords(cells[1]), SplitWords(cells[2]), ParseCodeSpans(cells[3])});
  }
  return rows;
}

std::vector<SourceFile> ReadSources() {
  std::vector<SourceFile> files;
  for (const char* folder : {"include", "src", "emulator"}) {
    const std::string root = absl::StrCat(HINGESPAN_SOURCE_DIRECTORY, "/", folder);
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root)) {
      const std::string path = entry.path().string();
      if (absl::EndsWith(path, ".h") || absl::EndsWith(path, ".cc")) {
        files.push_back({path, ReadLines(path)});
      }
    }
  }
  return files;
}

bool IsWord(char letter) { return absl::ascii_isalnum(letter) || letter == '_'; }

bool ContainsWord(absl::string_view text, absl::string_view word) {
  for (std::size_t at = text.find(word); at != absl::string_view::npos;
       at = text.find(word, at + 1)) {
    const bool begins = at == 0 || !IsWord(text[at - 1]);
    const std::size_t end = at + word.size();
    if (begins && (end == text.size() || !IsWord(text[end]))) {
      return true;
    }
  }
  return false;
}

// Returns the comment that ends directly above the line.
std::string CommentAbove(const std::vector<std::string>& lines, std::size_t line) {
  std::vector<absl::string_view> comment;
  while (line > 0) {
    const absl::string_view above = absl::StripAsciiWhitespace(lines[line - 1]);
    if (!absl::StartsWith(above, "//")) {
      break;
    }
    comment.insert(comment.begin(), above);
    --line;
  }
  return absl::StrJoin(comment, " ");
}

// Returns the comments of the function from the mark on; empty if none has the mark.
std::string ActionsNamedBy(const std::vector<SourceFile>& files, const std::string& function) {
  const std::vector<std::string> parts = absl::StrSplit(function, "::");
  const std::string call = absl::StrCat(parts.back(), "(");
  std::string named;
  for (const SourceFile& file : files) {
    bool in_class = parts.size() == 1;
    for (std::size_t line = 0; line < file.lines.size(); ++line) {
      const std::string& text = file.lines[line];
      in_class = in_class || absl::StrContains(text, absl::StrCat("class ", parts.front(), " "));
      const bool defined_here = absl::StrContains(text, absl::StrCat(function, "("));
      if (!defined_here && !(in_class && ContainsWord(text, parts.back()))) {
        continue;
      }
      const std::string comment = CommentAbove(file.lines, line);
      const std::size_t mark = comment.find(std::string(kMark));
      if (absl::StrContains(text, call) && mark != std::string::npos) {
        absl::StrAppend(&named, comment.substr(mark), " ");
      }
    }
  }
  return named;
}

// Returns the first word of the name of each rule of a model.
std::set<std::string> ReadRules(const std::string& model) {
  std::set<std::string> rules;
  const std::string path = absl::StrCat(HINGESPAN_SOURCE_DIRECTORY, "/spec/", model, ".m");
  for (const std::string& line : ReadLines(path)) {
    const absl::string_view text = absl::StripAsciiWhitespace(line);
    if (absl::StartsWith(text, "rule \"")) {
      const std::vector<std::string> quoted = absl::StrSplit(text, '"');
      rules.insert(std::vector<std::string>(absl::StrSplit(quoted[1], ' ')).front());
    }
  }
  return rules;
}

TEST_CASE("every function in the table names an action of its row, and every action is named") {
  const std::vector<SourceFile> files = ReadSources();
  const std::vector<TableRow> rows = ReadTable();
  REQUIRE(rows.size() > 20);
  for (const TableRow& row : rows) {
    std::set<std::string> unnamed(row.actions.begin(), row.actions.end());
    for (const std::string& function : row.functions) {
      const std::string named = ActionsNamedBy(files, function);
      bool names_one = false;
      for (const std::string& action : row.actions) {
        if (ContainsWord(named, action)) {
          names_one = true;
          unnamed.erase(action);
        }
      }
      INFO(function, " of the row ", absl::StrJoin(row.actions, ", "));
      CHECK(names_one);
    }
    if (!row.functions.empty()) {
      INFO("named by no function: ", absl::StrJoin(unnamed, ", "));
      CHECK(unnamed.empty());
    }
  }
}

TEST_CASE("the table has every rule of the models, and no other") {
  const std::vector<TableRow> rows = ReadTable();
  for (const auto& entry :
       std::filesystem::directory_iterator(absl::StrCat(HINGESPAN_SOURCE_DIRECTORY, "/spec"))) {
    if (entry.path().extension() != ".m") {
      continue;
    }
    const std::string model = entry.path().stem().string();
    std::set<std::string> listed;
    for (const TableRow& row : rows) {
      for (const std::string& in_model : row.models) {
        if (in_model == model) {
          listed.insert(row.actions.begin(), row.actions.end());
        }
      }
    }
    const std::set<std::string> rules = ReadRules(model);
    REQUIRE(!rules.empty());
    for (const std::string& rule : rules) {
      INFO("rule ", rule, " of ", model);
      CHECK(listed.contains(rule));
    }
    for (const std::string& action : listed) {
      INFO("action ", action, " listed for ", model);
      CHECK(rules.contains(action));
    }
  }
}

}  // namespace
}  // namespace hingespan
