// How many loads from the weight store may run at once, learned from how long loads take.
//
// The store gives full speed to some number of loads; beyond it all of them take proportionally
// longer, so that more at once bring nothing forward. The number is not told. Each load that ends
// gives a sample: with n loads beside each other on average, a load that took its full-speed time
// says "at least n"; one that took longer says "n times the part of full speed that it had".
//
// States: growing (no slow load was seen yet; each load at full speed that the limit held back
// others beside raises it by a part), settled (the limit follows the samples of slow loads; now and
// then, after many loads at full speed, one more is tried).
#ifndef HINGESPAN_FLEET_WEIGHT_STORE_LIMIT_H_
#define HINGESPAN_FLEET_WEIGHT_STORE_LIMIT_H_

#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"

namespace hingespan::gateway {

struct WeightStoreLimitSettings {
  // False: no limit but the store's rate.
  bool enabled = true;
  // Loads at once before anything was observed.
  double first_limit = 3;
  // Added to the limit for each load at full speed while nothing slow was seen: the limit is then
  // half as large again after each load time.
  double growth = 0.5;
  // Once settled, one more is tried after so many loads at full speed for each place.
  double loads_each_place_before_trial = 2;
  // The part of a new sample in the estimate.
  double sample_weight = 0.5;
  // A load that took this much longer than its time counts as slow.
  double slow_factor = 1.12;
  // How late the end of a load may be seen: reports are some hundred ms old, and asked for now and
  // then.
  absl::Duration observation_lag = absl::Milliseconds(400);
};

// What one holder hands to the next.
struct WeightStoreEstimate {
  // Loads at once; 0: nothing is known.
  double limit = 0;
  // Whether a slow load was ever seen.
  bool settled = false;
};

// Pure; not thread-safe.
class WeightStoreLimit {
 public:
  explicit WeightStoreLimit(const WeightStoreLimitSettings& settings)
      : settings_(settings), limit_(settings.first_limit) {}

  // A new holder knows of no load, and goes on from its predecessor's estimate.
  void Begin(const WeightStoreEstimate& inherited);

  // A worker took a load that takes `full_speed` when nothing slows it. Where it is not known when
  // (`timed` is false), the load counts as one beside others and gives no sample.
  void LoadBegan(const std::string& worker_id, absl::Duration full_speed, bool timed,
                 absl::Time now);
  // It was still under way as of `now`.
  void LoadSeenRunning(const std::string& worker_id, absl::Time now);
  void LoadEnded(const std::string& worker_id, absl::Time now);
  // Nothing can be learned from it: the worker is gone, or took the order at an unknown time.
  void LoadDropped(const std::string& worker_id, absl::Time now);
  // Loads that were not ordered by this holder.
  void SetOtherLoads(int count, absl::Time now);

  // Whether one more load may be ordered beside those under way and `planned` ones. `part`: of the
  // limit, what the workers can spare; one load is always allowed.
  bool MayBegin(int planned, double part, absl::Time now);
  // How long a load is expected to take beside those under way.
  absl::Duration ExpectedTime(absl::Duration full_speed) const;
  int running() const { return static_cast<int>(loads_.size()) + others_; }
  WeightStoreEstimate estimate() const { return {limit_, settled_}; }

 private:
  struct Load {
    absl::Duration full_speed;
    bool timed = true;
    absl::Time began;
    absl::Time last_seen_running;
    // Seconds times loads at once, since it began.
    double load_seconds = 0;
    // It was the limit that kept others from running beside it.
    bool limit_bound = false;
  };

  void Advance(absl::Time now);
  void TakeFullSpeed(double at_once, bool limit_bound);
  void TakeSlow(double sample);
  // Loads that are overdue already tell as much as ended ones.
  void TakeOverdue(absl::Time now);

  WeightStoreLimitSettings settings_;
  std::map<std::string, Load> loads_;
  int others_ = 0;
  absl::Time advanced_ = absl::InfinitePast();
  double limit_ = 0;
  bool settled_ = false;
  // Loads at full speed since the last change of the limit.
  double at_full_speed_ = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_WEIGHT_STORE_LIMIT_H_
