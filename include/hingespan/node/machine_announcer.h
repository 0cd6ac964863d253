// Tells the platform's machine list of this node: again and again until it was taken, and when it
// leaves.
#ifndef HINGESPAN_NODE_MACHINE_ANNOUNCER_H_
#define HINGESPAN_NODE_MACHINE_ANNOUNCER_H_

#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/backing/machine_list.h"

namespace hingespan {

struct MachineAnnouncerOptions {
  absl::Duration timeout = absl::Seconds(2);
  // Pause after a failed call.
  absl::Duration retry_after = absl::Seconds(1);
  // A taken announcement is repeated this often, in case the platform has lost it.
  absl::Duration repeat_after = absl::Minutes(1);
};

// Thread-safe.
class MachineAnnouncer {
 public:
  // `machines` must outlive this.
  MachineAnnouncer(MachineAnnouncerOptions options, MachineList* machines);
  // Calls Stop.
  ~MachineAnnouncer();

  // What to announce from now on.
  void Set(const NodeMachine& machine) ABSL_LOCKS_EXCLUDED(mutex_);
  // Waits up to `limit` until the latest machine was taken.
  bool WaitTaken(absl::Duration limit) ABSL_LOCKS_EXCLUDED(mutex_);
  void Stop() ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  void Run() ABSL_LOCKS_EXCLUDED(mutex_);
  bool HasNews() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return stopped_ || news_; }
  bool Taken() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return taken_; }

  const MachineAnnouncerOptions options_;
  MachineList* const machines_;
  absl::Mutex mutex_;
  NodeMachine machine_ ABSL_GUARDED_BY(mutex_);
  // `machine_` was set and not announced yet.
  bool news_ ABSL_GUARDED_BY(mutex_) = false;
  bool taken_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_MACHINE_ANNOUNCER_H_
