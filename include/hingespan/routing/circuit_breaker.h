// Circuit breaker: stops sending to an engine that fails repeatedly and lets single trial requests
// through.
#ifndef HINGESPAN_ROUTING_CIRCUIT_BREAKER_H_
#define HINGESPAN_ROUTING_CIRCUIT_BREAKER_H_

#include "absl/time/time.h"

namespace hingespan {

struct CircuitBreakerOptions {
  // Number of consecutive failures that opens the circuit.
  int failure_threshold = 3;
  // Time before the first trial and between two trials. It doubles with each failed trial, up to
  // ten times this value.
  absl::Duration open_for = absl::Seconds(1);
};

// States: closed -> open (after consecutive failures) -> half open (one trial in flight) -> closed
// or open. Not thread-safe.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(CircuitBreakerOptions options) : options_(options) {}
  // Returns whether a request may be sent now.
  bool Allows(absl::Time now) const;
  // Records that a request is sent now. While the circuit is half open, this request is the trial.
  void OnDispatch(absl::Time now);
  void OnSuccess();
  void OnFailure(absl::Time now);
  // Records that the request ended without a result for this engine, for example because its caller
  // disconnected.
  void OnAbandoned();
  bool open() const { return failures_ >= options_.failure_threshold; }

 private:
  absl::Duration OpenFor() const;

  CircuitBreakerOptions options_;
  int failures_ = 0;
  int failed_trials_ = 0;
  bool trial_in_flight_ = false;
  // Time from which the next trial is allowed while the circuit is open.
  absl::Time next_trial_ = absl::InfinitePast();
};

}  // namespace hingespan

#endif  // HINGESPAN_ROUTING_CIRCUIT_BREAKER_H_
