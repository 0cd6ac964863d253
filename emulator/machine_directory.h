// The platform's list of machines, which readers see with a delay.
#ifndef HINGESPAN_EMULATOR_MACHINE_DIRECTORY_H_
#define HINGESPAN_EMULATOR_MACHINE_DIRECTORY_H_

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/backing/machine_list.h"

namespace hingespan::emulator {

// Not thread-safe. The times passed in must not decrease.
class MachineDirectory {
 public:
  // Each change becomes visible after `lag`.
  explicit MachineDirectory(absl::Duration lag);

  // Adds a machine that exists from the start and is visible without lag.
  void AddInitialWorker(const WorkerMachine& worker);
  void Announce(const NodeMachine& node, absl::Time now);
  // Returns false if the machine is unknown.
  bool SetNodeState(const NodeId& node, MachineState state, absl::Time now);
  bool SetWorkerState(const WorkerId& worker, MachineState state, absl::Time now);

  // Returns the list as it was `lag` before `now`.
  MachineListing Read(absl::Time now);
  // Returns the last announced state, without lag.
  std::optional<NodeMachine> FindNode(const NodeId& node) const;
  std::optional<WorkerMachine> FindWorker(const WorkerId& worker) const;

 private:
  using Machine = std::variant<NodeMachine, WorkerMachine>;
  struct PendingChange {
    absl::Time visible_at;
    Machine machine;
  };

  void ShowDue(absl::Time now);

  absl::Duration lag_;
  std::map<NodeId, NodeMachine> nodes_;
  std::map<WorkerId, WorkerMachine> workers_;
  std::map<NodeId, NodeMachine> shown_nodes_;
  std::map<WorkerId, WorkerMachine> shown_workers_;
  std::deque<PendingChange> pending_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_MACHINE_DIRECTORY_H_
