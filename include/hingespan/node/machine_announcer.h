// Announces this node to the platform's machine list. Repeats an announcement until the platform
// accepts it, and announces the node's leave.
#ifndef HINGESPAN_NODE_MACHINE_ANNOUNCER_H_
#define HINGESPAN_NODE_MACHINE_ANNOUNCER_H_

#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/backing/machine_list.h"

namespace hingespan {

struct MachineAnnouncerOptions {
  absl::Duration timeout = absl::Seconds(2);
  // Delay after a failed call.
  absl::Duration retry_after = absl::Seconds(1);
  // Interval at which an accepted announcement is repeated, in case the platform has lost it.
  absl::Duration repeat_after = absl::Minutes(1);
};

// Thread-safe.
class MachineAnnouncer {
 public:
  // `machines` must outlive this object.
  MachineAnnouncer(MachineAnnouncerOptions options, MachineList* machines);
  // Calls Stop.
  ~MachineAnnouncer();

  // Sets the machine to announce from now on.
  void Set(const NodeMachine& machine) ABSL_LOCKS_EXCLUDED(mutex_);
  // Waits up to `limit` until the platform has accepted the latest announcement. Returns false at
  // the limit.
  bool WaitAccepted(absl::Duration limit) ABSL_LOCKS_EXCLUDED(mutex_);
  void Stop() ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  void Run() ABSL_LOCKS_EXCLUDED(mutex_);
  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return stopped_ || announce_pending_;
  }
  bool Accepted() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return accepted_; }

  const MachineAnnouncerOptions options_;
  MachineList* const machines_;
  absl::Mutex mutex_;
  NodeMachine machine_ ABSL_GUARDED_BY(mutex_);
  // True if `machine_` was set and has not been announced yet.
  bool announce_pending_ ABSL_GUARDED_BY(mutex_) = false;
  bool accepted_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_MACHINE_ANNOUNCER_H_
