#include "hingespan/table/string_pool.h"

namespace hingespan {

std::uint32_t StringPool::Acquire(std::string_view text) {
  const auto found = numbers_.find(text);
  if (found != numbers_.end()) {
    ++slots_[found->second].uses;
    return found->second;
  }
  if (free_numbers_.empty()) {
    free_numbers_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t number = free_numbers_.back();
  free_numbers_.pop_back();
  Slot& slot = slots_[number];
  slot.text = std::string(text);
  slot.uses = 1;
  numbers_.emplace(slot.text, number);
  return number;
}

void StringPool::Release(std::string_view text) {
  const auto found = numbers_.find(text);
  const std::uint32_t number = found->second;
  Slot& slot = slots_[number];
  if (--slot.uses > 0) {
    return;
  }
  numbers_.erase(found);
  slot.text = std::string();
  free_numbers_.push_back(number);
}

std::size_t StringPool::HeldBytes() const {
  std::size_t bytes = slots_.size() * sizeof(Slot);
  for (const Slot& slot : slots_) {
    bytes += slot.text.capacity();
  }
  bytes += free_numbers_.capacity() * sizeof(std::uint32_t);
  return bytes + numbers_.capacity() * (sizeof(decltype(numbers_)::value_type) + 1);
}

}  // namespace hingespan
