// The name of a machine's state in the machine list.
#ifndef HINGESPAN_BACKING_MACHINE_STATE_NAME_H_
#define HINGESPAN_BACKING_MACHINE_STATE_NAME_H_

#include "hingespan/backing/machine_list.h"

namespace hingespan {

// "live", "leaving" or "gone".
const char* MachineStateName(MachineState state);

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_MACHINE_STATE_NAME_H_
