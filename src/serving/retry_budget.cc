#include "hingespan/serving/retry_budget.h"

#include <algorithm>

namespace hingespan::gateway {
namespace {

// Fraction of the budget that is used. The rest is a margin, as retries and requests are counted
// here slightly earlier or later than by the users.
constexpr double kUsedFraction = 0.9;

void DropBefore(std::deque<absl::Time>* times, absl::Time begin) {
  while (!times->empty() && times->front() < begin) {
    times->pop_front();
  }
}

}  // namespace

double RetryBudget::NodeExtra(absl::Time now) const {
  const int divisor = share_.Divisor(now);
  return divisor == 0 ? 0 : kUsedFraction * limits_.extra / divisor;
}

// Within a window, a node can send at most the tokens in its bucket at the start of the window plus
// those earned within the window. The node's share is divided equally between the two, except that
// the bucket holds one whole retry if the share does.
double RetryBudget::Capacity(double node_extra) {
  return std::min(node_extra, std::max(1.0, node_extra / 2));
}

void RetryBudget::Refill(const std::string& service, Counts* counts, absl::Time now) const {
  const double node_extra = std::min(node_extra_, NodeExtra(now));
  if (counts->last_refill != absl::InfinitePast()) {
    counts->tokens += (node_extra - Capacity(node_extra)) *
                      absl::FDivDuration(now - counts->last_refill, limits_.window);
    counts->tokens -= unread_.Charge(service, counts->last_refill, now);
  }
  counts->tokens = std::clamp(counts->tokens, 0.0, Capacity(expected_node_extra_));
  counts->last_refill = now;
}

void RetryBudget::SetNodes(const std::vector<std::string>& nodes, absl::Time read_started,
                           absl::Time now) {
  for (auto& [service, counts] : counts_) {
    Refill(service, &counts, now);
  }
  share_.SetNodes(nodes, read_started, now);
  node_extra_ = NodeExtra(now);
  expected_node_extra_ =
      kUsedFraction * limits_.extra / static_cast<double>(std::max(1, share_.CountedNodes(now)));
}

RetryBudget::Counts& RetryBudget::PrunedCounts(const std::string& service, absl::Time now) {
  Counts& counts = counts_[service];
  DropBefore(&counts.repeats, now - limits_.window);
  Refill(service, &counts, now);
  return counts;
}

void RetryBudget::RecordRequest(const std::string& service, absl::Time now) {
  Counts& counts = PrunedCounts(service, now);
  counts.tokens =
      std::min(counts.tokens + kUsedFraction * limits_.ratio, Capacity(expected_node_extra_));
}

double RetryBudget::Available(const std::string& service, absl::Time now) {
  return PrunedCounts(service, now).tokens;
}

bool RetryBudget::TryAcquire(const std::string& service, absl::Time now) {
  Counts& counts = PrunedCounts(service, now);
  if (counts.tokens < 1.0) {
    RecordDenied(service);
    return false;
  }
  counts.tokens -= 1;
  counts.repeats.push_back(now);
  ++counts.sent;
  return true;
}

void RetryBudget::RecordDenied(const std::string& service) { ++counts_[service].denied; }

RetryCounts RetryBudget::CountsOf(const std::string& service, absl::Time now) {
  const Counts& counts = PrunedCounts(service, now);
  return {counts.sent, counts.denied, counts.tokens, static_cast<int>(counts.repeats.size()),
          unread_.CountOverdue(service, now)};
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
