// Detects that this node has lost its path to all workers of a service, although other nodes may
// still have one.
//
// States: open (workers answer, or nothing suggests otherwise), checking (in doubt, a round of
// probes is in flight), lost (a whole round failed; further rounds follow until a probe is
// answered).
#ifndef HINGESPAN_SERVING_WORKER_PATH_H_
#define HINGESPAN_SERVING_WORKER_PATH_H_

#include <set>
#include <string>

#include "absl/time/time.h"

namespace hingespan::gateway {

struct WorkerPathSettings {
  // Attempts in flight without a byte from any worker for this long put the path in doubt.
  absl::Duration silence = absl::Milliseconds(500);
  // Number of distinct workers to which no connection could be made that puts the path in doubt.
  std::size_t unreachable_workers = 2;
  // Time between the starts of two rounds of probes.
  absl::Duration round_interval = absl::Milliseconds(500);
  // The same time after a round that was answered.
  absl::Duration answered_interval = absl::Milliseconds(1500);
};

// Does no I/O; not thread-safe.
class WorkerPath {
 public:
  enum class State { kOpen, kChecking, kLost };

  explicit WorkerPath(const WorkerPathSettings& settings = {}) : settings_(settings) {}

  State state() const { return state_; }
  bool lost() const { return state_ == State::kLost; }

  void OnAttemptStarted(absl::Time now);
  void OnAttemptEnded() { --attempts_; }
  // Called when bytes from a worker have arrived for a request. Doesn't end a loss, since open
  // connections may live on while new ones fail.
  void OnBytes(absl::Time now);
  // Called when no connection to the worker could be made, or one ended before its first byte.
  void OnUnreachable(const std::string& worker_id) { unreachable_.insert(worker_id); }

  // Called when something else suggests that the path is lost, e.g. the loss of another service's.
  void Doubt() { doubted_ = true; }

  // True if attempts are in flight and no worker has sent a byte for a while.
  bool Silent(absl::Time now) const {
    return attempts_ > 0 && now - last_sign_ >= settings_.silence;
  }
  // Returns true if a round of probes is due, and begins it. The caller must report its outcome.
  bool BeginRound(absl::Time now);
  // Time at which the next round may become due; InfiniteFuture if only an event can make it due.
  absl::Time NextDue() const;
  // Reports whether any probe of the round was answered.
  void OnRoundEnded(bool answered, absl::Time now);

 private:
  WorkerPathSettings settings_;
  State state_ = State::kOpen;
  bool round_in_flight_ = false;
  bool doubted_ = false;
  int attempts_ = 0;
  // Latest time at which bytes arrived, or at which the first of the attempts in flight started.
  absl::Time last_sign_ = absl::InfinitePast();
  // No round begins before this time.
  absl::Time next_round_ = absl::InfinitePast();
  // Workers to which no connection could be made since the last round.
  std::set<std::string> unreachable_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_WORKER_PATH_H_
