// Requests of a node that wait for a worker, ordered by priority, then by deadline.
#ifndef HINGESPAN_SERVING_REQUEST_QUEUE_H_
#define HINGESPAN_SERVING_REQUEST_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::gateway {

class RequestRelay;

// Position of a request in the queue.
struct QueuePlace {
  int priority = 0;
  absl::Time deadline;
  // Sequence number of arrival; makes positions unique.
  std::uint64_t number = 0;
  friend auto operator<=>(const QueuePlace& left, const QueuePlace& right) {
    if (left.priority != right.priority) {
      return left.priority < right.priority ? std::strong_ordering::less
                                            : std::strong_ordering::greater;
    }
    if (left.deadline != right.deadline) {
      return left.deadline < right.deadline ? std::strong_ordering::less
                                            : std::strong_ordering::greater;
    }
    return left.number <=> right.number;
  }
  friend bool operator==(const QueuePlace& left, const QueuePlace& right) = default;
};

// Not thread-safe.
class RequestQueue {
 public:
  void Add(const QueuePlace& place, std::shared_ptr<RequestRelay> request) {
    requests_[place] = std::move(request);
  }
  void Remove(const QueuePlace& place) { requests_.erase(place); }
  bool empty() const { return requests_.empty(); }
  std::size_t size() const { return requests_.size(); }
  // Returns the requests in order, as a copy, so that requests may leave during iteration.
  std::vector<std::shared_ptr<RequestRelay>> InOrder() const {
    std::vector<std::shared_ptr<RequestRelay>> list;
    list.reserve(requests_.size());
    for (const auto& [place, request] : requests_) {
      list.push_back(request);
    }
    return list;
  }

 private:
  std::map<QueuePlace, std::shared_ptr<RequestRelay>> requests_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_REQUEST_QUEUE_H_
