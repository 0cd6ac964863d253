// Faults on the connection to engines: duplicated orders and lost answers.
#ifndef HINGESPAN_EMULATOR_ENGINE_FAULTS_H_
#define HINGESPAN_EMULATOR_ENGINE_FAULTS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"

namespace hingespan::emulator {

enum class EngineCall { kOrder, kGenerate };

// Thread-safe.
class EngineFaults {
 public:
  // Applies each order of the worker a second time after `delay`; no delay turns this off.
  void SetDuplicates(const WorkerId& worker, std::optional<absl::Duration> delay);
  std::optional<absl::Duration> DuplicateDelay(const WorkerId& worker) const;

  // Loses the answers of the next `count` calls after they took effect; a negative count means all
  // calls.
  void LoseAnswers(const WorkerId& worker, EngineCall call, std::int64_t count);
  // Returns true if this call's answer must be lost, and uses up one of the count.
  bool TakeLostAnswer(const WorkerId& worker, EngineCall call);

 private:
  mutable absl::Mutex mutex_;
  std::map<WorkerId, absl::Duration> duplicates_ ABSL_GUARDED_BY(mutex_);
  std::map<std::pair<WorkerId, EngineCall>, std::int64_t> lost_answers_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_ENGINE_FAULTS_H_
