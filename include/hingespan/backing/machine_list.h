// The platform's list of machines, which lags behind reality. It is only a hint, except for the
// state "gone".
#ifndef HINGESPAN_BACKING_MACHINE_LIST_H_
#define HINGESPAN_BACKING_MACHINE_LIST_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/result.h"

namespace hingespan {

// kGone: the platform has ended the machine, which will never run again under this incarnation.
enum class MachineState { kLive, kLeaving, kGone };

struct NodeMachine {
  NodeId node;
  ZoneId zone;
  // "ip:port" addresses of the HTTP server for callers and of the control datagrams.
  std::string http_address;
  std::string control_address;
  MachineState state = MachineState::kLive;

  friend bool operator==(const NodeMachine&, const NodeMachine&) = default;
};

struct WorkerMachine {
  WorkerId worker;
  ZoneId zone;
  // Base URL of the engine, e.g. "http://127.0.0.1:9000/engines/w1".
  std::string base_url;
  MachineState state = MachineState::kLive;

  friend bool operator==(const WorkerMachine&, const WorkerMachine&) = default;
};

struct MachineListing {
  std::vector<NodeMachine> nodes;
  std::vector<WorkerMachine> workers;
};

// Implementations are thread-safe and block up to `timeout`.
class MachineList {
 public:
  virtual ~MachineList() = default;
  // Returns the list as seen from `zone`: addresses in other zones may lead through that zone's
  // links.
  virtual Result<MachineListing> Read(const ZoneId& zone, absl::Duration timeout) = 0;
  // Announces the addresses of this machine to the platform, or that it is leaving.
  virtual Result<bool> Announce(const NodeMachine& machine, absl::Duration timeout) = 0;
  // Requests that the platform list a worker as leaving, or as live again. kNotFound: no such
  // worker; kConflict: the platform has ended it; kInvalidArgument for kGone, which only the
  // platform may set.
  virtual Result<bool> AnnounceWorker(const WorkerId& worker, MachineState state,
                                      absl::Duration timeout) = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_MACHINE_LIST_H_
