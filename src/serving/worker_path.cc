#include "hingespan/serving/worker_path.h"

#include <algorithm>

namespace hingespan::gateway {

void WorkerPath::OnAttemptStarted(absl::Time now) {
  if (attempts_++ == 0) {
    last_sign_ = std::max(last_sign_, now);
  }
}

void WorkerPath::OnBytes(absl::Time now) { last_sign_ = std::max(last_sign_, now); }

bool WorkerPath::BeginRound(absl::Time now) {
  if (round_in_flight_ || now < next_round_) {
    return false;
  }
  const bool in_doubt =
      doubted_ || Silent(now) || unreachable_.size() >= settings_.unreachable_workers;
  if (state_ == State::kOpen && !in_doubt) {
    return false;
  }
  if (state_ == State::kOpen) {
    state_ = State::kChecking;
  }
  round_in_flight_ = true;
  next_round_ = now + settings_.round_interval;
  unreachable_.clear();
  doubted_ = false;
  return true;
}

absl::Time WorkerPath::NextDue() const {
  if (round_in_flight_) {
    return absl::InfiniteFuture();
  }
  if (state_ != State::kOpen || doubted_ || unreachable_.size() >= settings_.unreachable_workers) {
    return next_round_;
  }
  return attempts_ > 0 ? std::max(next_round_, last_sign_ + settings_.silence)
                       : absl::InfiniteFuture();
}

void WorkerPath::OnRoundEnded(bool answered, absl::Time now) {
  round_in_flight_ = false;
  if (answered) {
    next_round_ = std::max(next_round_, now + settings_.answered_interval);
    unreachable_.clear();
  }
  state_ = answered ? State::kOpen : State::kLost;
}

}  // namespace hingespan::gateway
