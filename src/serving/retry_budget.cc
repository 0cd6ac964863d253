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

void RetryBudget::SetFleet(const std::vector<std::string>& nodes, absl::Time /*asked*/,
                           absl::Time /*now*/) {
  divisor_ = std::max(1, static_cast<int>(nodes.size()));
}

RetryBudget::Counts& RetryBudget::Pruned(const std::string& service, absl::Time now) {
  Counts& counts = counts_[service];
  DropBefore(&counts.requests, now - limits_.window);
  DropBefore(&counts.repeats, now - limits_.window);
  return counts;
}

void RetryBudget::RecordRequest(const std::string& service, absl::Time now) {
  Pruned(service, now).requests.push_back(now);
}

double RetryBudget::Allowed(const Counts& counts) const {
  return kUsedPart * (limits_.ratio * static_cast<double>(counts.requests.size()) +
                      limits_.extra / static_cast<double>(divisor_));
}

double RetryBudget::Available(const std::string& service, absl::Time now) {
  const Counts& counts = Pruned(service, now);
  return Allowed(counts) - static_cast<double>(counts.repeats.size());
}

bool RetryBudget::TryTake(const std::string& service, absl::Time now) {
  if (Available(service, now) < 1.0) {
    RecordDenied(service);
    return false;
  }
  Counts& counts = counts_[service];
  counts.repeats.push_back(now);
  ++counts.sent;
  return true;
}

void RetryBudget::RecordDenied(const std::string& service) { ++counts_[service].denied; }

RetryCounts RetryBudget::CountsOf(const std::string& service, absl::Time now) {
  const Counts& counts = Pruned(service, now);
  return {counts.sent, counts.denied, Allowed(counts), static_cast<int>(counts.repeats.size())};
}

std::map<std::string, RetryCounts> RetryBudget::AllCounts(absl::Time now) {
  std::map<std::string, RetryCounts> all;
  for (const auto& [service, counts] : counts_) {
    all.emplace(service, RetryCounts{});
  }
  for (auto& [service, counts] : all) {
    counts = CountsOf(service, now);
  }
  return all;
}

}  // namespace hingespan::gateway
