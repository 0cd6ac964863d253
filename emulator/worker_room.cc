#include "emulator/worker_room.h"

#include <utility>

namespace hingespan::emulator {
namespace {

constexpr absl::Duration kRejectionWindow = absl::Seconds(1);

}  // namespace

std::optional<std::uint64_t> WorkerRoom::Enter(Start start) {
  const bool has_slot = running() < slots_;
  if (!has_slot && static_cast<int>(waiting_.size()) >= queue_limit_) {
    return std::nullopt;
  }
  const std::uint64_t key = ++last_key_;
  if (has_slot) {
    running_.insert(key);
    start(key);
    return 0;
  }
  waiting_.push_back({key, std::move(start)});
  return key;
}

void WorkerRoom::Leave(std::uint64_t key) {
  waiting_.remove_if([key](const Waiting& each) { return each.key == key; });
  if (running_.erase(key) == 0 || waiting_.empty()) {
    return;
  }
  Waiting next = std::move(waiting_.front());
  waiting_.pop_front();
  running_.insert(next.key);
  next.start(next.key);
}

bool WorkerRoom::Reject(absl::Time now) {
  ++rejections_;
  recent_rejections_.push_back(now);
  while (recent_rejections_.front() + kRejectionWindow <= now) {
    recent_rejections_.pop_front();
  }
  return !survived_rejections_.has_value() ||
         static_cast<int>(recent_rejections_.size()) <= *survived_rejections_;
}

}  // namespace hingespan::emulator
