// This node's part of the budget of repeated sends that all nodes share, by service.
#ifndef HINGESPAN_SERVING_RETRY_BUDGET_H_
#define HINGESPAN_SERVING_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

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
  // May be sent now.
  double available = 0;
  // Sent within the last window.
  int in_window = 0;
};

// A token bucket for each service. It is empty when the process starts: the one before it may have
// used what it held. Requests earn `ratio`, and time earns a part of `extra`.
// Pure; not thread-safe.
class RetryBudget {
 public:
  // `share`: of `extra`.
  RetryBudget(const RetryBudgetLimits& limits, FleetShare share, absl::Time started)
      : limits_(limits), share_(std::move(share)), started_(started) {}

  // The nodes whose rows the fleet's table held, as a read begun at `asked` gave them.
  void SetNodes(const std::vector<std::string>& nodes, absl::Time asked, absl::Time now);
  const FleetShare& share() const { return share_; }
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
    double tokens = 0;
    absl::Time filled = absl::InfinitePast();
    std::deque<absl::Time> repeats;
    std::uint64_t sent = 0;
    std::uint64_t denied = 0;
  };
  Counts& Pruned(const std::string& service, absl::Time now);
  // This node's part of `extra`.
  double Part(absl::Time now) const;
  // Of the bucket.
  static double Capacity(double part);
  void Fill(Counts* counts, absl::Time now) const;

  RetryBudgetLimits limits_;
  FleetShare share_;
  // As of the last table: the part, and what it is once this node has one.
  double part_ = 0;
  double expected_part_ = 0;
  absl::Time started_;
  absl::flat_hash_map<std::string, Counts> counts_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_RETRY_BUDGET_H_
