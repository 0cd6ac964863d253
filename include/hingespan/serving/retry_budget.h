// This node's part of the budget of repeated sends that all nodes share, by service.
#ifndef HINGESPAN_SERVING_RETRY_BUDGET_H_
#define HINGESPAN_SERVING_RETRY_BUDGET_H_

#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace hingespan::gateway {

struct RetryBudgetLimits {
  // Over any window, all nodes together may send `ratio` times the requests plus `extra` repeats.
  double ratio = 0.2;
  double extra = 10;
  absl::Duration window = absl::Seconds(10);
};

// Pure; not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetLimits& limits) : limits_(limits) {}

  // The number of nodes among which `extra` is divided; at least 1.
  void SetNodes(int nodes);
  void RecordRequest(const std::string& service, absl::Time now);
  // Takes one repeat when the budget allows it.
  bool TryTake(const std::string& service, absl::Time now);
  // Repeats that may be sent now.
  double Available(const std::string& service, absl::Time now);

 private:
  struct Counts {
    std::deque<absl::Time> requests;
    std::deque<absl::Time> repeats;
  };
  Counts& Pruned(const std::string& service, absl::Time now);

  RetryBudgetLimits limits_;
  int nodes_ = 1;
  absl::flat_hash_map<std::string, Counts> counts_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_RETRY_BUDGET_H_
