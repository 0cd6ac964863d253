// Bounded queue of one model's waiting requests, ordered by priority and deadline.
#ifndef HINGESPAN_ADMISSION_WAITING_QUEUE_H_
#define HINGESPAN_ADMISSION_WAITING_QUEUE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"

namespace hingespan {

// Sort key: priority (higher first), then deadline (earlier first), then arrival.
struct WaitingKey {
  int priority = 0;
  absl::Time deadline;
  std::uint64_t arrival = 0;

  friend bool operator<(const WaitingKey& left, const WaitingKey& right) {
    if (left.priority != right.priority) {
      return left.priority > right.priority;
    }
    if (left.deadline != right.deadline) {
      return left.deadline < right.deadline;
    }
    return left.arrival < right.arrival;
  }
};

// Not thread-safe.
class WaitingQueue {
 public:
  // Adds a request. Returns false if `limit` requests are waiting or this request is already
  // queued.
  bool Push(const RequestId& request, int priority, absl::Time deadline, std::size_t limit);
  // Removes and returns the first request; nullopt if the queue is empty.
  std::optional<RequestId> Pop();
  // Returns the first request without removing it; nullopt if the queue is empty.
  std::optional<RequestId> Front() const;
  // Removes a request. Returns false if it is not queued.
  bool Remove(const RequestId& request);
  // Removes and returns all requests whose deadline is at or before `now`, earliest deadline first.
  std::vector<RequestId> TakeExpired(absl::Time now);

  std::size_t size() const { return by_key_.size(); }
  bool empty() const { return by_key_.empty(); }
  // Returns InfiniteFuture if the queue is empty.
  absl::Time earliest_deadline() const;
  // Returns InfinitePast if the queue is empty.
  absl::Time latest_deadline() const;
  // Returns all queued requests in order.
  std::vector<RequestId> Requests() const;

 private:
  absl::btree_map<WaitingKey, RequestId> by_key_;
  absl::btree_multimap<absl::Time, RequestId> by_deadline_;
  absl::flat_hash_map<RequestId, WaitingKey> keys_;
  std::uint64_t next_arrival_ = 1;
};

}  // namespace hingespan

#endif  // HINGESPAN_ADMISSION_WAITING_QUEUE_H_
