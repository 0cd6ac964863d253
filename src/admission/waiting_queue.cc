#include "hingespan/admission/waiting_queue.h"

namespace hingespan {

bool WaitingQueue::Push(const RequestId& request, int priority, absl::Time deadline,
                        std::size_t limit) {
  if (by_key_.size() >= limit || keys_.contains(request)) {
    return false;
  }
  const WaitingKey key{priority, deadline, next_arrival_++};
  by_key_.emplace(key, request);
  by_deadline_.emplace(deadline, request);
  keys_.emplace(request, key);
  return true;
}

std::optional<RequestId> WaitingQueue::Pop() {
  std::optional<RequestId> first = Front();
  if (first.has_value()) {
    Remove(*first);
  }
  return first;
}

std::optional<RequestId> WaitingQueue::Front() const {
  if (by_key_.empty()) {
    return std::nullopt;
  }
  return by_key_.begin()->second;
}

bool WaitingQueue::Remove(const RequestId& request) {
  const auto found = keys_.find(request);
  if (found == keys_.end()) {
    return false;
  }
  const WaitingKey key = found->second;
  const auto [first, last] = by_deadline_.equal_range(key.deadline);
  for (auto entry = first; entry != last; ++entry) {
    if (entry->second == request) {
      by_deadline_.erase(entry);
      break;
    }
  }
  by_key_.erase(key);
  keys_.erase(found);
  return true;
}

std::vector<RequestId> WaitingQueue::TakeExpired(absl::Time now) {
  std::vector<RequestId> expired;
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    expired.push_back(by_deadline_.begin()->second);
    Remove(expired.back());
  }
  return expired;
}

absl::Time WaitingQueue::earliest_deadline() const {
  return by_deadline_.empty() ? absl::InfiniteFuture() : by_deadline_.begin()->first;
}

absl::Time WaitingQueue::latest_deadline() const {
  return by_deadline_.empty() ? absl::InfinitePast() : by_deadline_.rbegin()->first;
}

std::vector<RequestId> WaitingQueue::Requests() const {
  std::vector<RequestId> requests;
  requests.reserve(by_key_.size());
  for (const auto& [key, request] : by_key_) {
    requests.push_back(request);
  }
  return requests;
}

}  // namespace hingespan
