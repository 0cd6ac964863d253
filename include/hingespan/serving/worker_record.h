// What a worker says of itself in the shared store.
#ifndef HINGESPAN_SERVING_WORKER_RECORD_H_
#define HINGESPAN_SERVING_WORKER_RECORD_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/time/time.h"

namespace hingespan::gateway {

// One incarnation of a worker: each start has a new id.
struct WorkerRecord {
  std::string id;
  std::string service;
  // "ip:port".
  std::string address;
  std::string zone;
  int slots = 1;
  // It leaves: no new requests.
  bool draining = false;
  // It is gone so long after it said so, whatever it runs. Absent: it ends in good order.
  std::optional<absl::Duration> leaves_in;
  // By model held, the adapters held of it.
  std::map<std::string, std::set<std::string>> models;
  // Models whose weights it keeps in its host's memory or on its disk: their loads are quick and
  // don't use the weight store.
  std::set<std::string> copies_in_memory;
  std::set<std::string> copies_on_disk;

  friend bool operator==(const WorkerRecord&, const WorkerRecord&) = default;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_WORKER_RECORD_H_
