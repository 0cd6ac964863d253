#include "hingespan/engine/replica_state_name.h"

namespace hingespan {

const char* ReplicaStateName(ReplicaState state) {
  switch (state) {
    case ReplicaState::kLoading:
      return "loading";
    case ReplicaState::kReady:
      return "ready";
    case ReplicaState::kDraining:
      return "draining";
    case ReplicaState::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace hingespan
