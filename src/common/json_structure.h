// Iterates over the structure of a JSON text without parsing its values.
#ifndef HINGESPAN_SRC_COMMON_JSON_STRUCTURE_H_
#define HINGESPAN_SRC_COMMON_JSON_STRUCTURE_H_

#include <cstddef>
#include <string_view>

namespace hingespan {

// Stops at each bracket, brace and comma outside of strings. Of malformed texts, what it returns is
// unspecified.
class JsonStructure {
 public:
  explicit JsonStructure(std::string_view text) : text_(text) {}

  // Moves to the next structural character. Returns false at the end of the text.
  bool Next();
  char character() const { return text_[position_]; }
  std::size_t position() const { return position_; }
  // Number of arrays and objects that are open after this character.
  std::size_t depth() const { return depth_; }
  // Content of the last string before this character, still escaped.
  std::string_view last_string() const { return last_string_; }

 private:
  // Moves from the quote that begins a string to the one that ends it.
  void SkipString();

  std::string_view text_;
  std::string_view last_string_;
  std::size_t position_ = 0;
  std::size_t next_ = 0;
  std::size_t depth_ = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_SRC_COMMON_JSON_STRUCTURE_H_
