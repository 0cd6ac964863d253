// Conversion of machine states to their names in the machine list.
#ifndef HINGESPAN_BACKING_MACHINE_STATE_NAME_H_
#define HINGESPAN_BACKING_MACHINE_STATE_NAME_H_

#include "hingespan/backing/machine_list.h"

namespace hingespan {

// Returns "live", "leaving" or "gone".
const char* MachineStateName(MachineState state);

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_MACHINE_STATE_NAME_H_
