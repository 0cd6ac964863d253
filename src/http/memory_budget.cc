#include "hingespan/http/memory_budget.h"

#include <algorithm>

namespace hingespan::gateway {

std::size_t MemoryBudget::BufferLimit() const {
  const std::size_t free = settings_.total - std::min(used_, settings_.total);
  return std::clamp(free / 2, settings_.min_buffer, settings_.max_buffer);
}

bool MemoryReservation::Resize(std::size_t bytes) {
  budget_->used_ += bytes;
  budget_->used_ -= bytes_;
  bytes_ = bytes;
  return bytes <= budget_->BufferLimit();
}

}  // namespace hingespan::gateway
