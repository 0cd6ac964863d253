#include "hingespan/node/call_lanes.h"

#include <utility>

namespace hingespan {
namespace {

ThreadPoolOptions LanePool(const CallLanesOptions& options) {
  ThreadPoolOptions pool;
  pool.maximum_threads = options.maximum_threads;
  // The pool queues at most one task per lane, and each lane with a task holds at least one call.
  pool.maximum_queue = options.maximum_calls;
  return pool;
}

}  // namespace

CallLanes::CallLanes(CallLanesOptions options) : options_(options), threads_(LanePool(options)) {}

CallLanes::~CallLanes() { Shutdown(); }

bool CallLanes::TrySubmit(const std::string& lane, Call call) {
  absl::MutexLock lock(&mutex_);
  std::deque<Call>& calls = lanes_[lane];
  const bool starts_lane = calls.empty();
  bool accepted = calls.size() < options_.maximum_per_lane && calls_ < options_.maximum_calls;
  if (accepted && starts_lane) {
    accepted = threads_.TrySubmit([this, lane] { RunLane(lane); });
  }
  if (accepted) {
    calls.push_back(std::move(call));
    ++calls_;
  } else if (starts_lane) {
    lanes_.erase(lane);
  }
  return accepted;
}

void CallLanes::RunLane(const std::string& lane) {
  while (true) {
    Call call;
    {
      absl::MutexLock lock(&mutex_);
      call = std::move(lanes_[lane].front());
    }
    call();
    call = nullptr;
    absl::MutexLock lock(&mutex_);
    std::deque<Call>& calls = lanes_[lane];
    calls.pop_front();
    --calls_;
    if (calls.empty()) {
      lanes_.erase(lane);
      return;
    }
  }
}

void CallLanes::Shutdown() { threads_.Shutdown(); }

std::size_t CallLanes::pending() const {
  absl::MutexLock lock(&mutex_);
  return calls_;
}

}  // namespace hingespan
