// This node's part of the budget of repeated sends that all nodes share, by service.
#ifndef HINGESPAN_SERVING_RETRY_BUDGET_H_
#define HINGESPAN_SERVING_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/serving/fleet_share.h"

namespace hingespan::gateway {

struct RetryBudgetLimits {
  // Over any window, all nodes together may send `ratio` times the requests plus `extra` repeats.
  double ratio = 0.2;
  double extra = 10;
  absl::Duration window = absl::Seconds(10);
};

// A service's repeats at this node.
struct RetryCounts {
  // Since the start.
  std::uint64_t sent = 0;
  std::uint64_t denied = 0;
  // Within the last window: allowed, and sent.
  double allowed = 0;
  int in_window = 0;
};

// Pure; not thread-safe.
class RetryBudget {
 public:
  // `share`: of `extra`.
  RetryBudget(const RetryBudgetLimits& limits, FleetShare share, absl::Time started)
      : limits_(limits), share_(std::move(share)), started_(started) {}

  FleetShare& share() { return share_; }
  void RecordRequest(const std::string& service, absl::Time now);
  // Takes one repeat when the budget allows it.
  bool TryTake(const std::string& service, absl::Time now);
  // A repeat was not sent for want of budget.
  void RecordDenied(const std::string& service);
  // Repeats that may be sent now.
  double Available(const std::string& service, absl::Time now);

  // Whether the process started less than a window ago.
  bool InFirstWindow(absl::Time now) const { return now - started_ < limits_.window; }
  RetryCounts CountsOf(const std::string& service, absl::Time now);
  std::map<std::string, RetryCounts> AllCounts(absl::Time now);

 private:
  struct Counts {
    // Of the last two windows.
    std::deque<absl::Time> requests;
    std::deque<absl::Time> repeats;
    std::uint64_t sent = 0;
    std::uint64_t denied = 0;
  };
  Counts& Pruned(const std::string& service, absl::Time now);
  double Allowed(const Counts& counts, absl::Time now) const;

  RetryBudgetLimits limits_;
  FleetShare share_;
  absl::Time started_;
  absl::flat_hash_map<std::string, Counts> counts_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_RETRY_BUDGET_H_
