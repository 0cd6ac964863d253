#include "json_structure.h"

namespace hingespan {

void JsonStructure::SkipString() {
  const std::size_t begin = next_;
  while (next_ < text_.size() && text_[next_] != '"') {
    next_ += text_[next_] == '\\' ? 2 : 1;
  }
  next_ = next_ < text_.size() ? next_ : text_.size();
  last_string_ = text_.substr(begin, next_ - begin);
  ++next_;
}

bool JsonStructure::Next() {
  while (next_ < text_.size()) {
    position_ = next_++;
    switch (text_[position_]) {
      case '"':
        SkipString();
        break;
      case '[':
      case '{':
        ++depth_;
        return true;
      case ']':
      case '}':
        depth_ -= depth_ > 0 ? 1 : 0;
        return true;
      case ',':
        return true;
      default:
        break;
    }
  }
  return false;
}

}  // namespace hingespan
