// Slots and queue of an emulated worker, and the rejections that a brittle one does not survive.
#ifndef EMULATOR_WORKER_ROOM_H_
#define EMULATOR_WORKER_ROOM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <set>

#include "absl/time/time.h"

namespace hingespan::emulator {

class WorkerRoom {
 public:
  // At most `queue` requests wait while `slots` run.
  WorkerRoom(int slots, int queue) : slots_(slots), queue_limit_(queue) {}

  // Requests that wait already stay.
  void SetQueue(int queue) { queue_limit_ = queue; }
  // Sets the number of rejections within a second that the worker survives; absent for any.
  void SetSurvivedRejections(std::optional<int> count) { survived_rejections_ = count; }
  std::optional<int> survived_rejections() const { return survived_rejections_; }

  // Starts a request once it has a slot; `slot` is the key for Leave.
  using Start = std::function<void(std::uint64_t slot)>;
  // Returns the key of a request that waits for a slot, 0 if it has started within this call, or
  // std::nullopt if there is no room.
  std::optional<std::uint64_t> Enter(Start start);
  // Ends a request that runs or waits.
  void Leave(std::uint64_t key);
  // Returns whether the worker survives a rejection now.
  bool Reject(absl::Time now);

  int rejections() const { return rejections_; }
  int running() const { return static_cast<int>(running_.size()); }

 private:
  struct Waiting {
    std::uint64_t key = 0;
    Start start;
  };

  int slots_;
  int queue_limit_;
  std::optional<int> survived_rejections_;
  std::uint64_t last_key_ = 0;
  std::set<std::uint64_t> running_;
  std::list<Waiting> waiting_;
  std::deque<absl::Time> recent_rejections_;
  int rejections_ = 0;
};

}  // namespace hingespan::emulator

#endif  // EMULATOR_WORKER_ROOM_H_
