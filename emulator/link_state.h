// State of the link between two zones.
#ifndef HINGESPAN_EMULATOR_LINK_STATE_H_
#define HINGESPAN_EMULATOR_LINK_STATE_H_

#include "absl/time/time.h"

namespace hingespan::emulator {

struct LinkState {
  // Blocks the link: connections break and datagrams are dropped.
  bool cut = false;
  // Delay added in each direction.
  absl::Duration delay;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_LINK_STATE_H_
