// Reference-counted storage of strings that many records share, such as zones, workers and bases.
#ifndef HINGESPAN_TABLE_STRING_POOL_H_
#define HINGESPAN_TABLE_STRING_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace hingespan {

// Not thread-safe. Each string has a number for as long as it is in use.
class StringPool {
 public:
  // Adds one reference to the string and returns its number.
  std::uint32_t Acquire(std::string_view text);
  // Drops one reference to the string, which must be in use. After the last reference is dropped,
  // the string is removed and its number may be reused for another string.
  void Release(std::string_view text);
  const std::string& Text(std::uint32_t number) const { return slots_[number].text; }

  std::size_t size() const { return numbers_.size(); }
  // Returns the number of bytes held, without allocator overhead.
  std::size_t HeldBytes() const;

 private:
  struct Slot {
    std::string text;
    std::uint32_t uses = 0;
  };

  // A deque keeps its elements in place, as the keys of `numbers_` point into their texts.
  std::deque<Slot> slots_;
  std::vector<std::uint32_t> free_numbers_;
  absl::flat_hash_map<std::string_view, std::uint32_t> numbers_;
};

}  // namespace hingespan

#endif  // HINGESPAN_TABLE_STRING_POOL_H_
