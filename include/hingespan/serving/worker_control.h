// Sends orders to workers and reads their reports. Implemented by the platform adapter.
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
  // Empty for the base model.
  std::string adapter;
  // Number of orders that the worker must have accepted so far; otherwise it refuses this order.
  std::uint64_t expected_sequence = 0;
  // Name of the ordering node and the fencing token of its lease.
  std::string holder;
  std::uint64_t token = 0;
};

enum class OrderOutcome {
  // The worker is carrying out the order.
  kAccepted,
  // The requested state already existed or was reached at once.
  kDone,
  // Another order is in progress or the sequence differs; nothing was done.
  kConflict,
  // The worker has seen a higher fencing token, so this holder's lease has ended.
  kFenced,
  // The order was refused for another reason or reached another worker; nothing was done.
  kRefused,
  // No answer arrived; the order may have been accepted or may be carried out later.
  kUnknown,
};

struct WorkerReport {
  // Loaded adapters by loaded model.
  std::map<std::string, std::set<std::string>> models;
  // Adapters that are being loaded, as "model/adapter".
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
  // Reports whether anything answers at the worker's address on a new connection.
  virtual void Probe(const std::string& address, std::function<void(bool answered)> callback) = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_WORKER_CONTROL_H_
