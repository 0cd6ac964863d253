#include "hingespan/operator/csv.h"

#include <utility>

namespace hingespan {
namespace {

class CsvParser {
 public:
  CsvParser(std::string_view text, const std::string& file) : text_(text), file_(file) {}

  CsvDocument Parse() {
    while (!AtEnd()) {
      ParseLine();
    }
    return std::move(document_);
  }

 private:
  bool AtEnd() const { return position_ >= text_.size(); }
  bool AtLineEnd() const { return AtEnd() || Peek() == '\n' || Peek() == '\r'; }
  char Peek() const { return text_[position_]; }
  Place Here() const { return {file_, line_, column_}; }

  char Take() {
    const char character = text_[position_++];
    ++column_;
    if (character == '\n') {
      ++line_;
      column_ = 1;
    }
    return character;
  }

  void ParseLine() {
    std::vector<CsvCell> cells;
    cells.push_back(ParseCell());
    while (!AtLineEnd()) {
      Take();  // Comma.
      cells.push_back(ParseCell());
    }
    while (!AtEnd() && Peek() == '\r') {
      Take();
    }
    if (!AtEnd()) {
      Take();  // Line feed.
    }
    const bool blank = cells.size() == 1 && cells[0].text.empty();
    if (!blank) {
      document_.lines.push_back(std::move(cells));
    }
  }

  CsvCell ParseCell() {
    CsvCell cell{"", Here()};
    if (!AtEnd() && Peek() == '"') {
      cell.text = ParseQuoted(cell.place);
    }
    while (!AtLineEnd() && Peek() != ',') {
      cell.text.push_back(Take());
    }
    return cell;
  }

  std::string ParseQuoted(const Place& place) {
    std::string text;
    Take();
    while (!AtEnd()) {
      const char character = Take();
      if (character != '"') {
        text.push_back(character);
      } else if (!AtEnd() && Peek() == '"') {
        text.push_back(Take());
      } else {
        return text;
      }
    }
    document_.findings.push_back({place, "syntax", "unterminated quoted cell", "CSV of RFC 4180"});
    return text;
  }

  const std::string_view text_;
  const std::string& file_;
  std::size_t position_ = 0;
  int line_ = 1;
  int column_ = 1;
  CsvDocument document_;
};

std::string EncodeCell(const std::string& text) {
  if (text.find_first_of(",\"\r\n") == std::string::npos) {
    return text;
  }
  std::string quoted = "\"";
  for (const char character : text) {
    quoted.append(character == '"' ? "\"\"" : std::string(1, character));
  }
  return quoted + "\"";
}

}  // namespace

CsvDocument ParseCsv(std::string_view text, const std::string& file) {
  return CsvParser(text, file).Parse();
}

std::string EncodeCsvLine(const std::vector<std::string>& cells) {
  std::string line;
  for (const std::string& cell : cells) {
    line.append(line.empty() && &cell == &cells.front() ? "" : ",");
    line.append(EncodeCell(cell));
  }
  return line + "\n";
}

}  // namespace hingespan
