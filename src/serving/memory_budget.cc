#include "hingespan/serving/memory_budget.h"

#include <algorithm>

namespace hingespan::gateway {

std::size_t MemoryBudget::AnswerLimit() const {
  const std::size_t free = settings_.total - std::min(used_, settings_.total);
  return std::clamp(free / 2, settings_.min_answer, settings_.max_answer);
}

bool MemoryReservation::Resize(std::size_t bytes) {
  budget_->used_ += bytes;
  budget_->used_ -= bytes_;
  bytes_ = bytes;
  return bytes <= budget_->AnswerLimit();
}

}  // namespace hingespan::gateway
