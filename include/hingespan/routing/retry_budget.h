// Limits retries to a share of the requests, so that failures do not multiply the load.
#ifndef HINGESPAN_ROUTING_RETRY_BUDGET_H_
#define HINGESPAN_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace hingespan {

struct RetryBudgetOptions {
  // Retries earned by each request, and the maximum number of unused retries.
  double retries_per_request = 0.2;
  double maximum_saved = 20.0;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options)
      : options_(options), saved_(options.maximum_saved) {}
  void OnRequest() {
    saved_ = std::min(options_.maximum_saved, saved_ + options_.retries_per_request);
  }
  // Returns true and uses one retry if a retry is allowed.
  bool TryRetry() {
    if (saved_ < 1.0) {
      return false;
    }
    saved_ -= 1.0;
    return true;
  }

 private:
  RetryBudgetOptions options_;
  double saved_;
};

}  // namespace hingespan

#endif  // HINGESPAN_ROUTING_RETRY_BUDGET_H_
