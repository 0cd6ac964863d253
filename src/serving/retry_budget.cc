#include "hingespan/serving/retry_budget.h"

#include <algorithm>

namespace hingespan::gateway {
namespace {

// Nodes count their windows at different instants; this part of the budget is left unused for that.
constexpr double kUsedPart = 0.9;

void DropBefore(std::deque<absl::Time>* times, absl::Time begin) {
  while (!times->empty() && times->front() < begin) {
    times->pop_front();
  }
}

}  // namespace

void RetryBudget::SetNodes(int nodes) { nodes_ = std::max(1, nodes); }

RetryBudget::Counts& RetryBudget::Pruned(const std::string& service, absl::Time now) {
  Counts& counts = counts_[service];
  DropBefore(&counts.requests, now - limits_.window);
  DropBefore(&counts.repeats, now - limits_.window);
  return counts;
}

void RetryBudget::RecordRequest(const std::string& service, absl::Time now) {
  Pruned(service, now).requests.push_back(now);
}

double RetryBudget::Available(const std::string& service, absl::Time now) {
  const Counts& counts = Pruned(service, now);
  const double allowed = limits_.ratio * static_cast<double>(counts.requests.size()) +
                         limits_.extra / static_cast<double>(nodes_);
  return kUsedPart * allowed - static_cast<double>(counts.repeats.size());
}

bool RetryBudget::TryTake(const std::string& service, absl::Time now) {
  if (Available(service, now) < 1.0) {
    return false;
  }
  counts_[service].repeats.push_back(now);
  return true;
}

}  // namespace hingespan::gateway
