// Record that a worker publishes about itself in the shared store.
#ifndef HINGESPAN_SERVING_WORKER_RECORD_H_
#define HINGESPAN_SERVING_WORKER_RECORD_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/time/time.h"

namespace hingespan::gateway {

// One incarnation of a worker; each start has a new id.
struct WorkerRecord {
  std::string id;
  std::string service;
  // "ip:port".
  std::string address;
  std::string zone;
  // Version of the worker's software, not of its weights; versions have no order. Empty if the
  // worker doesn't tell it.
  std::string software_version;
  int slots = 1;
  // True if the worker is leaving and must get no new requests.
  bool draining = false;
  // Time from the announcement until the worker ends, whatever it still runs. Absent if the worker
  // completes its requests first.
  std::optional<absl::Duration> leaves_in;
  // Loaded adapters by loaded model.
  std::map<std::string, std::set<std::string>> models;
  // Models whose weights the worker has in its host memory or on its disk; loading them is fast and
  // doesn't use the weight store.
  std::set<std::string> copies_in_memory;
  std::set<std::string> copies_on_disk;

  friend bool operator==(const WorkerRecord&, const WorkerRecord&) = default;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_WORKER_RECORD_H_
