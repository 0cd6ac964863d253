#include "hingespan/node/machine_announcer.h"

#include "hingespan/common/log.h"

namespace hingespan {

MachineAnnouncer::MachineAnnouncer(MachineAnnouncerOptions options, MachineList* machines)
    : options_(options), machines_(machines), thread_([this] { Run(); }) {}

MachineAnnouncer::~MachineAnnouncer() { Stop(); }

void MachineAnnouncer::Set(const NodeMachine& machine) {
  absl::MutexLock lock(&mutex_);
  machine_ = machine;
  announce_pending_ = true;
  accepted_ = false;
}

bool MachineAnnouncer::WaitAccepted(absl::Duration limit) {
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(this, &MachineAnnouncer::Accepted), limit);
}

void MachineAnnouncer::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopped_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void MachineAnnouncer::Run() {
  absl::Duration pause = absl::InfiniteDuration();
  while (true) {
    NodeMachine machine;
    {
      absl::MutexLock lock(&mutex_);
      mutex_.AwaitWithTimeout(absl::Condition(this, &MachineAnnouncer::HasWork), pause);
      if (stopped_) {
        return;
      }
      machine = machine_;
      announce_pending_ = false;
    }
    const Result<bool> accepted = machines_->Announce(machine, options_.timeout);
    pause = accepted.ok() ? options_.repeat_after : options_.retry_after;
    if (!accepted.ok()) {
      Log(LogLevel::kWarning, "announce_failed", {{"error", accepted.error().message()}});
    }
    absl::MutexLock lock(&mutex_);
    // Set may have been called during the call.
    accepted_ = accepted.ok() && !announce_pending_;
  }
}

}  // namespace hingespan
