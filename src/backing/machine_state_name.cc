#include "hingespan/backing/machine_state_name.h"

namespace hingespan {

const char* MachineStateName(MachineState state) {
  switch (state) {
    case MachineState::kLive:
      return "live";
    case MachineState::kLeaving:
      return "leaving";
    case MachineState::kGone:
      return "gone";
  }
  return "unknown";
}

}  // namespace hingespan
