// Estimates how many loads from the weight store may run at once, from the durations of loads.
//
// The store serves a certain number of loads at full speed. Beyond that number all loads slow down
// proportionally, so running more at once gains nothing. The number is not known in advance. Each
// load that ends gives a sample: with n concurrent loads on average, a load that took its
// full-speed time shows a capacity of at least n, and a slower one shows a capacity of n times the
// fraction of full speed that it reached.
//
// States: growing (no slow load has been seen yet; each load at full speed during which the limit
// held back others raises the limit), and settled (the limit follows the samples of slow loads;
// after a number of loads at full speed it is raised by one as a trial).
#ifndef HINGESPAN_FLEET_WEIGHT_STORE_LIMIT_H_
#define HINGESPAN_FLEET_WEIGHT_STORE_LIMIT_H_

#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"

namespace hingespan::gateway {

struct WeightStoreLimitSettings {
  // If false, only the store's rate limits loads.
  bool enabled = true;
  // Initial limit, before any load was observed.
  double first_limit = 3;
  // Added to the limit for each load at full speed while no slow load has been seen: the limit then
  // grows by half in each load time.
  double growth = 0.5;
  // In the settled state, the limit is raised by one as a trial after this many loads at full speed
  // per slot.
  double loads_per_slot_before_trial = 2;
  // Weight of a new sample in the moving average.
  double sample_weight = 0.5;
  // A load that took longer than this multiple of its full-speed time counts as slow.
  double slow_factor = 1.12;
  // Upper bound on the delay with which the end of a load is observed: reports are some hundred
  // milliseconds old and are requested only periodically.
  absl::Duration observation_lag = absl::Milliseconds(400);
};

// Estimate that a lease holder passes on to its successor.
struct WeightStoreEstimate {
  // Number of concurrent loads; 0 if unknown.
  double limit = 0;
  // True if a slow load was ever seen.
  bool settled = false;
};

// Performs no I/O and reads no clock. Not thread-safe.
class WeightStoreLimit {
 public:
  explicit WeightStoreLimit(const WeightStoreLimitSettings& settings)
      : settings_(settings), limit_(settings.first_limit) {}

  // Starts a term as lease holder without known loads, from the predecessor's estimate.
  void Begin(const WeightStoreEstimate& inherited);

  // Called when a worker took a load that takes `full_speed` if nothing slows it. If its start time
  // is unknown (`timed` is false), the load counts as a concurrent one and gives no sample.
  void LoadBegan(const std::string& worker_id, absl::Duration full_speed, bool timed,
                 absl::Time now);
  // Called when the load was still running at `now`.
  void LoadSeenRunning(const std::string& worker_id, absl::Time now);
  void LoadEnded(const std::string& worker_id, absl::Time now);
  // Called for a load that gives no sample, because the worker is gone or the load was lost.
  void LoadDropped(const std::string& worker_id, absl::Time now);
  // Sets the number of loads that were not ordered by this holder.
  void SetOtherLoads(int count, absl::Time now);

  // Returns true if one more load may be ordered in addition to those in flight and `planned` ones.
  // `fraction` is the fraction of the limit that may be used; one load is always allowed.
  bool MayBegin(int planned, double fraction, absl::Time now);
  // Returns the expected duration of a load in addition to those in flight.
  absl::Duration ExpectedTime(absl::Duration full_speed) const;
  int running() const { return static_cast<int>(loads_.size()) + other_loads_; }
  WeightStoreEstimate estimate() const { return {limit_, settled_}; }

 private:
  struct Load {
    absl::Duration full_speed;
    bool timed = true;
    absl::Time began;
    absl::Time last_seen_running;
    // Integral of the number of concurrent loads over time since this load began, in seconds.
    double load_seconds = 0;
    // True if the limit kept further loads from running at the same time.
    bool limit_bound = false;
  };

  void Advance(absl::Time now);
  void AddFullSpeedSample(double mean_concurrency, bool limit_bound);
  void AddSlowSample(double sample);
  // Lowers the limit by loads that are overdue; they are samples like loads that have ended.
  void ApplyOverdueLoads(absl::Time now);

  WeightStoreLimitSettings settings_;
  std::map<std::string, Load> loads_;
  int other_loads_ = 0;
  absl::Time advanced_ = absl::InfinitePast();
  double limit_ = 0;
  bool settled_ = false;
  // Number of loads at full speed since the last change of the limit.
  double full_speed_loads_ = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_WEIGHT_STORE_LIMIT_H_
