#include "hingespan/routing/circuit_breaker.h"

#include <algorithm>

namespace hingespan {
namespace {

constexpr int kMaximumOpenFactor = 10;
// Number of failed trials from which the factor stays at its maximum.
constexpr int kMaximumDoublings = 4;

}  // namespace

bool CircuitBreaker::Allows(absl::Time now) const { return !open() || now >= next_trial_; }

void CircuitBreaker::OnDispatch(absl::Time now) {
  if (!open()) {
    return;
  }
  trial_in_flight_ = true;
  // A trial that never ends must not block further trials.
  next_trial_ = now + OpenFor();
}

void CircuitBreaker::OnSuccess() {
  failures_ = 0;
  failed_trials_ = 0;
  trial_in_flight_ = false;
}

void CircuitBreaker::OnFailure(absl::Time now) {
  const bool was_open = open();
  ++failures_;
  if (was_open && !trial_in_flight_) {
    return;  // The request was sent before the circuit opened.
  }
  if (trial_in_flight_) {
    trial_in_flight_ = false;
    ++failed_trials_;
  }
  if (open()) {
    next_trial_ = now + OpenFor();
  }
}

void CircuitBreaker::OnAbandoned() {
  if (trial_in_flight_) {
    trial_in_flight_ = false;
    next_trial_ = absl::InfinitePast();
  }
}

absl::Duration CircuitBreaker::OpenFor() const {
  const int doubled = 1 << std::min(failed_trials_, kMaximumDoublings);
  return options_.open_for * std::min(doubled, kMaximumOpenFactor);
}

}  // namespace hingespan
