#include "emulator/engine_faults.h"

namespace hingespan::emulator {

void EngineFaults::SetDuplicates(const WorkerId& worker, std::optional<absl::Duration> delay) {
  absl::MutexLock lock(&mutex_);
  if (delay.has_value()) {
    duplicates_[worker] = *delay;
  } else {
    duplicates_.erase(worker);
  }
}

std::optional<absl::Duration> EngineFaults::DuplicateDelay(const WorkerId& worker) const {
  absl::MutexLock lock(&mutex_);
  auto found = duplicates_.find(worker);
  if (found == duplicates_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void EngineFaults::LoseAnswers(const WorkerId& worker, EngineCall call, std::int64_t count) {
  absl::MutexLock lock(&mutex_);
  lost_answers_[{worker, call}] = count;
}

bool EngineFaults::TakeLostAnswer(const WorkerId& worker, EngineCall call) {
  absl::MutexLock lock(&mutex_);
  auto found = lost_answers_.find({worker, call});
  if (found == lost_answers_.end() || found->second == 0) {
    return false;
  }
  if (found->second > 0) {
    --found->second;
  }
  return true;
}

}  // namespace hingespan::emulator
