// Divides the memory of a machine between what workers and clients can make its node hold.
#ifndef HINGESPAN_SERVING_MEMORY_PLAN_H_
#define HINGESPAN_SERVING_MEMORY_PLAN_H_

#include <cstddef>

#include "hingespan/http/client_memory.h"
#include "hingespan/http/memory_budget.h"

namespace hingespan::gateway {

struct MemoryPlan {
  // Workers' answers that are kept until they can be passed on.
  MemoryBudgetSettings answers;
  // What clients make the node hold.
  ClientMemorySettings clients;
  // Bytes that the kernel may receive for one connection before they are read.
  std::size_t receive_buffer_bytes = 0;
};

// `memory_mb` is the machine's memory, `max_connections` the limit of callers' connections.
MemoryPlan PlanMemory(double memory_mb, std::size_t max_connections);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_MEMORY_PLAN_H_
