// Store that supplies checkpoints. It limits how many transfers begin per second and how many run
// at full speed; beyond that number, all transfers share the bandwidth.
#ifndef HINGESPAN_EMULATOR_WEIGHT_STORE_H_
#define HINGESPAN_EMULATOR_WEIGHT_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::emulator {

using TransferId = std::uint64_t;

struct WeightStoreOptions {
  // Transfers that may begin per second.
  double begins_per_second = 2.0;
  // Concurrent transfers that run at full speed.
  int full_speed_concurrency = 8;
};

// Not thread-safe. A state machine whose time advances only through Advance.
class WeightStore {
 public:
  explicit WeightStore(WeightStoreOptions options);

  // Queues a transfer that takes `full_speed_time` at full speed.
  TransferId Request(absl::Duration full_speed_time, absl::Time now);
  void Abort(TransferId transfer, absl::Time now);
  // Makes every transfer take `factor` times as long from now on; at least 1.
  void SetSlowdown(double factor, absl::Time now);

  // Advances the time to `now`. TakeFinished returns the transfers that ended.
  void Advance(absl::Time now);
  std::vector<TransferId> TakeFinished();
  // Time at which a transfer begins or ends next; InfiniteFuture if there is none.
  absl::Time NextEvent() const;

  int active() const { return static_cast<int>(active_.size()); }
  int queued() const { return static_cast<int>(queue_.size()); }
  int peak_concurrency() const { return peak_concurrency_; }

 private:
  struct Queued {
    TransferId id = 0;
    absl::Duration full_speed_time;
  };

  // Share of full speed at which each active transfer currently runs.
  double Speed() const;
  absl::Time NextBegin() const;
  absl::Time NextEnd() const;
  void AdvanceTransfers(absl::Time until);
  void BeginDueTransfers();
  void EndDueTransfers();

  WeightStoreOptions options_;
  double slowdown_ = 1.0;
  absl::Time advanced_to_ = absl::InfinitePast();
  absl::Time next_permit_ = absl::InfinitePast();
  TransferId next_id_ = 1;
  std::deque<Queued> queue_;
  // Remaining full-speed time by active transfer.
  std::map<TransferId, absl::Duration> active_;
  std::vector<TransferId> finished_;
  int peak_concurrency_ = 0;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_WEIGHT_STORE_H_
