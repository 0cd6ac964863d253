#include "hingespan/serving/retry_budget.h"

#include <algorithm>

namespace hingespan::gateway {
namespace {

// Fraction of the budget that is used. The rest is a margin, as retries and requests are counted
// here slightly earlier or later than by the users.
constexpr double kUsedPart = 0.9;

void DropBefore(std::deque<absl::Time>* times, absl::Time begin) {
  while (!times->empty() && times->front() < begin) {
    times->pop_front();
  }
}

}  // namespace

double RetryBudget::Part(absl::Time now) const {
  const int divisor = share_.Divisor(now);
  return divisor == 0 ? 0 : kUsedPart * limits_.extra / divisor;
}

// Within a window, a node can send at most the tokens in its bucket at the start of the window plus
// those earned within the window. The node's share is divided equally between the two, except that
// the bucket holds one whole retry if the share does.
double RetryBudget::Capacity(double part) { return std::min(part, std::max(1.0, part / 2)); }

void RetryBudget::Fill(Counts* counts, absl::Time now) const {
  const double part = std::min(part_, Part(now));
  if (counts->filled != absl::InfinitePast()) {
    counts->tokens +=
        (part - Capacity(part)) * absl::FDivDuration(now - counts->filled, limits_.window);
  }
  counts->tokens = std::min(counts->tokens, Capacity(expected_part_));
  counts->filled = now;
}

void RetryBudget::SetNodes(const std::vector<std::string>& nodes, absl::Time asked,
                           absl::Time now) {
  for (auto& [service, counts] : counts_) {
    Fill(&counts, now);
  }
  share_.SetNodes(nodes, asked, now);
  part_ = Part(now);
  expected_part_ =
      kUsedPart * limits_.extra / static_cast<double>(std::max(1, share_.Counted(now)));
}

RetryBudget::Counts& RetryBudget::Pruned(const std::string& service, absl::Time now) {
  Counts& counts = counts_[service];
  DropBefore(&counts.repeats, now - limits_.window);
  Fill(&counts, now);
  return counts;
}

void RetryBudget::RecordRequest(const std::string& service, absl::Time now) {
  Counts& counts = Pruned(service, now);
  counts.tokens = std::min(counts.tokens + kUsedPart * limits_.ratio, Capacity(expected_part_));
}

double RetryBudget::Available(const std::string& service, absl::Time now) {
  return Pruned(service, now).tokens;
}

bool RetryBudget::TryTake(const std::string& service, absl::Time now) {
  Counts& counts = Pruned(service, now);
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
  const Counts& counts = Pruned(service, now);
  return {counts.sent, counts.denied, counts.tokens, static_cast<int>(counts.repeats.size())};
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
