// This node's share of the retry budget of all nodes, for each service.
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
#include "hingespan/serving/unread_attempts.h"

namespace hingespan::gateway {

struct RetryBudgetLimits {
  // In any window, all nodes together may send `ratio` times the requests, plus `extra`, as
  // retries.
  double ratio = 0.2;
  double extra = 10;
  absl::Duration window = absl::Seconds(10);
};

// Retry counts of a service at this node.
struct RetryCounts {
  // Totals since the start.
  std::uint64_t sent = 0;
  std::uint64_t denied = 0;
  // Number of retries that may be sent now.
  double available = 0;
  // Number of retries sent within the last window.
  int in_window = 0;
  // Attempts that their recipients should have read by now and have not shown to.
  int unread = 0;
};

// Token bucket for each service. It is empty when the process starts, as the previous process may
// have spent its tokens. Each request earns `ratio` tokens, and time earns a share of `extra`. A
// retry takes a token when it is sent, and further ones while it may still be read.
// Does no I/O; not thread-safe.
class RetryBudget {
 public:
  // `share` is this node's share of `extra`.
  RetryBudget(const RetryBudgetLimits& limits, FleetShare share, absl::Time started)
      : limits_(limits), share_(std::move(share)), started_(started), unread_(limits.window) {}

  // Sets the nodes that have a row in the fleet table, as returned by a read that was started at
  // `read_started`.
  void SetNodes(const std::vector<std::string>& nodes, absl::Time read_started, absl::Time now);
  const FleetShare& share() const { return share_; }
  void RecordRequest(const std::string& service, absl::Time now);
  // Takes the token for one retry. Returns false and counts a denial if there is none.
  bool TryAcquire(const std::string& service, absl::Time now);
  // Counts a retry that was not sent because the budget was exhausted.
  void RecordDenied(const std::string& service);
  // Number of retries that may be sent now.
  double Available(const std::string& service, absl::Time now);
  UnreadAttempts* unread() { return &unread_; }

  // Returns whether the process started less than one window ago.
  bool InFirstWindow(absl::Time now) const { return now - started_ < limits_.window; }
  RetryCounts CountsOf(const std::string& service, absl::Time now);
  std::map<std::string, RetryCounts> AllCounts(absl::Time now);

 private:
  struct Counts {
    double tokens = 0;
    absl::Time last_refill = absl::InfinitePast();
    std::deque<absl::Time> repeats;
    std::uint64_t sent = 0;
    std::uint64_t denied = 0;
  };
  Counts& PrunedCounts(const std::string& service, absl::Time now);
  // This node's share of `extra`; 0 if it has none now.
  double NodeExtra(absl::Time now) const;
  // Capacity of a bucket for a node's share of `extra`.
  static double Capacity(double node_extra);
  void Refill(const std::string& service, Counts* counts, absl::Time now) const;

  RetryBudgetLimits limits_;
  FleetShare share_;
  // As of the last read of the fleet table: this node's share of `extra`, and its size once this
  // node has a share.
  double node_extra_ = 0;
  double expected_node_extra_ = 0;
  absl::Time started_;
  absl::flat_hash_map<std::string, Counts> counts_;
  UnreadAttempts unread_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_RETRY_BUDGET_H_
