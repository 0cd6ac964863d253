// Name of a replica's state as used in the engine protocol and shown to operators.
#ifndef HINGESPAN_ENGINE_REPLICA_STATE_NAME_H_
#define HINGESPAN_ENGINE_REPLICA_STATE_NAME_H_

#include "hingespan/engine/engine_client.h"

namespace hingespan {

// "loading", "ready", "draining" or "failed".
const char* ReplicaStateName(ReplicaState state);

}  // namespace hingespan

#endif  // HINGESPAN_ENGINE_REPLICA_STATE_NAME_H_
