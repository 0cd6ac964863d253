#include "hingespan/common/cbor_check.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace hingespan {
namespace {

// Major types of RFC 8949, section 3.1.
enum class MajorType : std::uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

constexpr std::uint8_t kFirstMultiByteArgument = 24;
constexpr std::uint8_t kLastMultiByteArgument = 27;
constexpr std::uint64_t kSimpleFalse = 20;
constexpr std::uint64_t kSimpleNull = 22;
// The top-level value and nine nested arrays: envelope, numbered message, message, list of changes,
// change, numbered record, record, list of slots, slot.
constexpr std::size_t kMessageDepth = 10;
constexpr std::size_t kLargestDepth = 64;
// Simple values that are followed by a floating-point number of 2, 4 or 8 bytes.
constexpr std::uint8_t kFirstFloat = 25;

// Returns the length of the valid UTF-8 sequence at the front of `text`; 0 if it is invalid.
std::size_t Utf8SequenceLength(std::string_view text) {
  const auto byte = [text](std::size_t index) { return static_cast<std::uint8_t>(text[index]); };
  const std::uint8_t first = byte(0);
  if (first < 0x80) {
    return 1;
  }
  const std::size_t length = first >= 0xF0 ? 4 : first >= 0xE0 ? 3 : 2;
  if (first < 0xC2 || first > 0xF4 || text.size() < length) {
    return 0;
  }
  for (std::size_t index = 1; index < length; ++index) {
    if ((byte(index) & 0xC0) != 0x80) {
      return 0;
    }
  }
  const std::uint8_t second = byte(1);
  const bool overlong = (first == 0xE0 && second < 0xA0) || (first == 0xF0 && second < 0x90);
  const bool surrogate = first == 0xED && second >= 0xA0;
  const bool too_large = first == 0xF4 && second >= 0x90;
  return overlong || surrogate || too_large ? 0 : length;
}

struct Head {
  MajorType type = MajorType::kUnsigned;
  std::uint64_t argument = 0;
  bool is_float = false;
};

enum class Subset {
  // The types that the codec of messages writes.
  kPlain,
  kAllButTags,
};

// Iterates over the items of one CBOR value without recursion.
class Checker {
 public:
  Checker(std::string_view bytes, Subset subset, std::size_t max_depth)
      : remaining_(bytes), subset_(subset), max_open_(std::min(max_depth, kLargestDepth) + 1) {}

  bool Check() {
    open_items_[0] = 1;
    while (depth_ > 0) {
      if (open_items_[depth_ - 1] == 0) {
        --depth_;
        continue;
      }
      --open_items_[depth_ - 1];
      if (!CheckItem()) {
        return false;
      }
    }
    return remaining_.empty();
  }

 private:
  bool CheckItem() {
    Head head;
    if (!ReadHead(&head)) {
      return false;
    }
    const bool any_type = subset_ == Subset::kAllButTags;
    switch (head.type) {
      case MajorType::kUnsigned:
        return true;
      case MajorType::kNegative:
        return any_type;
      case MajorType::kBytes:
        return Skip(head.argument);
      case MajorType::kText:
        return any_type ? Skip(head.argument) : SkipText(head.argument);
      case MajorType::kArray:
        return Open(head.argument, 1);
      case MajorType::kMap:
        return any_type && Open(head.argument, 2);
      case MajorType::kSimple:
        return head.is_float || (head.argument >= kSimpleFalse && head.argument <= kSimpleNull);
      case MajorType::kTag:
        return false;
    }
    return false;
  }

  bool ReadHead(Head* head) {
    if (remaining_.empty()) {
      return false;
    }
    const auto first = static_cast<std::uint8_t>(remaining_.front());
    remaining_.remove_prefix(1);
    head->type = static_cast<MajorType>(first >> 5);
    const std::uint8_t info = first & 0x1F;
    if (info < kFirstMultiByteArgument) {
      head->argument = info;
      return true;
    }
    // Reserved values and indefinite lengths are never written.
    if (info > kLastMultiByteArgument) {
      return false;
    }
    if (head->type == MajorType::kSimple) {
      head->is_float = subset_ == Subset::kAllButTags && info >= kFirstFloat;
      if (!head->is_float) {
        return false;
      }
    }
    return ReadArgument(std::size_t{1} << (info - kFirstMultiByteArgument), &head->argument);
  }

  bool ReadArgument(std::size_t length, std::uint64_t* argument) {
    if (remaining_.size() < length) {
      return false;
    }
    for (const char byte : remaining_.substr(0, length)) {
      *argument = (*argument << 8) | static_cast<std::uint8_t>(byte);
    }
    remaining_.remove_prefix(length);
    return true;
  }

  bool Skip(std::uint64_t length) {
    if (length > remaining_.size()) {
      return false;
    }
    remaining_.remove_prefix(length);
    return true;
  }

  bool SkipText(std::uint64_t length) {
    if (length > remaining_.size() || !IsUtf8(remaining_.substr(0, length))) {
      return false;
    }
    remaining_.remove_prefix(length);
    return true;
  }

  // Opens an array or map of `length` entries, each of which consists of `items_each` items.
  bool Open(std::uint64_t length, std::uint64_t items_each) {
    // Each item takes at least one byte.
    if (length > remaining_.size() / items_each || depth_ == max_open_) {
      return false;
    }
    open_items_[depth_] = length * items_each;
    ++depth_;
    return true;
  }

  std::string_view remaining_;
  const Subset subset_;
  // Number of remaining items of each open array or map. The first entry is the top-level value.
  std::array<std::uint64_t, kLargestDepth + 1> open_items_{};
  const std::size_t max_open_;
  std::size_t depth_ = 1;
};

}  // namespace

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = Utf8SequenceLength(text);
    if (length == 0) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

bool IsPlainCbor(std::string_view bytes) {
  // The top-level value counts as a level of its own.
  return Checker(bytes, Subset::kPlain, kMessageDepth - 1).Check();
}

bool IsBoundedCbor(std::string_view bytes, std::size_t max_depth) {
  return Checker(bytes, Subset::kAllButTags, max_depth).Check();
}

}  // namespace hingespan
