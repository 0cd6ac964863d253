// Orders to workers and their reports. Implemented by the adapter of the platform.
#ifndef HINGESPAN_SERVING_WORKER_CONTROL_H_
#define HINGESPAN_SERVING_WORKER_CONTROL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "hingespan/common/result.h"

namespace hingespan::gateway {

enum class OrderKind { kLoad, kUnload };

struct WorkerOrder {
  std::string worker_id;
  std::string address;
  OrderKind kind = OrderKind::kLoad;
  std::string model;
  // Empty: the model itself.
  std::string adapter;
  // The worker refuses the order when it has taken another number of orders by then.
  std::uint64_t expected_sequence = 0;
  // Name of the node that orders, and the fencing token that its lease gave it.
  std::string holder;
  std::uint64_t token = 0;
};

enum class OrderOutcome {
  // It is being done.
  kAccepted,
  // It already held, or was done at once.
  kDone,
  // Another order is under way or the sequence differs: nothing was done.
  kConflict,
  // A higher fencing token was seen there: this holder's lease has ended.
  kFenced,
  // Refused for another reason, or not that worker: nothing was done.
  kRefused,
  // No answer: it may have been taken, or be carried out later.
  kUnknown,
};

struct WorkerReport {
  std::map<std::string, std::set<std::string>> models;
  // Adapters on their way, "model/adapter".
  std::set<std::string> pending_adapters;
  bool busy = false;
  std::uint64_t order_sequence = 0;
  int waiting = 0;
  int running = 0;
};

class WorkerControl {
 public:
  virtual ~WorkerControl() = default;
  virtual void SendOrder(const WorkerOrder& order, std::function<void(OrderOutcome)> callback) = 0;
  virtual void ReadReport(const std::string& worker_id, const std::string& address,
                          std::function<void(Result<WorkerReport>)> callback) = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_WORKER_CONTROL_H_
