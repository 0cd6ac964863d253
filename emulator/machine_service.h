// Machine list as each zone sees it: addresses in other zones point to relays of the links.
#ifndef HINGESPAN_EMULATOR_MACHINE_SERVICE_H_
#define HINGESPAN_EMULATOR_MACHINE_SERVICE_H_

#include <system_error>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "emulator/machine_directory.h"
#include "emulator/zone_links.h"
#include "hingespan/common/clock.h"

namespace hingespan::emulator {

// Thread-safe.
class MachineService {
 public:
  // `clock` and `links` must outlive the service.
  MachineService(std::vector<ZoneId> zones, absl::Duration lag, Clock* clock, ZoneLinks* links);

  void AddInitialWorker(const WorkerMachine& worker);
  // Returns the list as seen from `zone`; for an unknown zone, all addresses are the machines' own.
  MachineListing Read(const ZoneId& zone);
  // Returns kInvalidArgument for an unknown zone or an invalid address.
  std::error_code Announce(const NodeMachine& node);
  // Lists a worker as leaving, or as live again. Returns kNotFound for an unknown worker, kConflict
  // for one that is gone, and kInvalidArgument for kGone, since only faults end a machine.
  std::error_code AnnounceWorker(const WorkerId& worker, MachineState state);
  // Returns false if the machine is unknown.
  bool SetNodeState(const NodeId& node, MachineState state);
  bool SetWorkerState(const WorkerId& worker, MachineState state);

 private:
  bool IsZone(const ZoneId& zone) const;

  const std::vector<ZoneId> zones_;
  Clock* const clock_;
  ZoneLinks* const links_;
  absl::Mutex mutex_;
  MachineDirectory directory_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_MACHINE_SERVICE_H_
