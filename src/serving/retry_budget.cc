#include "hingespan/serving/retry_budget.h"

#include <algorithm>

namespace hingespan::gateway {
namespace {

// Repeats and requests are counted here a little before or after the users count them; this part of
// the budget is used, the rest is left for that.
constexpr double kUsedPart = 0.9;

void DropBefore(std::deque<absl::Time>* times, absl::Time begin) {
  while (!times->empty() && times->front() < begin) {
    times->pop_front();
  }
}

// The fewest of `times` that lie in any window which ends within the window before `now`, without
// its ends. `times` holds those of two windows, in order.
std::size_t FewestInWindow(const std::deque<absl::Time>& times, absl::Duration window,
                           absl::Time now) {
  auto end = std::lower_bound(times.begin(), times.end(), now - window);
  auto fewest = static_cast<std::size_t>(end - times.begin());
  // The number falls where one leaves the window.
  for (auto begin = times.begin(); begin != times.end() && *begin + window <= now; ++begin) {
    while (end != times.end() && *end < *begin + window) {
      ++end;
    }
    fewest = std::min(fewest, static_cast<std::size_t>(end - begin) - 1);
  }
  return fewest;
}

}  // namespace

RetryBudget::Counts& RetryBudget::Pruned(const std::string& service, absl::Time now) {
  Counts& counts = counts_[service];
  DropBefore(&counts.requests, now - 2 * limits_.window);
  DropBefore(&counts.repeats, now - limits_.window);
  return counts;
}

void RetryBudget::RecordRequest(const std::string& service, absl::Time now) {
  Pruned(service, now).requests.push_back(now);
}

// A repeat counts in every window that holds it. In none of them may it rest on requests that other
// nodes' repeats rest on as well: each node's rest on its own requests one window earlier, whatever
// instant the window ends at.
double RetryBudget::Allowed(const Counts& counts, absl::Time now) const {
  const std::size_t requests = FewestInWindow(counts.requests, limits_.window, now);
  const int divisor = share_.Divisor(now);
  const double part = divisor == 0 ? 0 : limits_.extra / divisor;
  return kUsedPart * (limits_.ratio * static_cast<double>(requests) + part);
}

double RetryBudget::Available(const std::string& service, absl::Time now) {
  const Counts& counts = Pruned(service, now);
  return Allowed(counts, now) - static_cast<double>(counts.repeats.size());
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
  return {counts.sent, counts.denied, Allowed(counts, now),
          static_cast<int>(counts.repeats.size())};
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
