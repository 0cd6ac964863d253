#include "hingespan/serving/memory_plan.h"

#include <algorithm>

namespace hingespan::gateway {
namespace {

constexpr double kBytesPerMegabyte = 1024 * 1024;
// Fractions of the machine's memory. The rest is the process's own, and what the allocator and the
// kernel need beside these bytes.
constexpr double kAnswers = 0.19;
constexpr double kClients = 0.31;
constexpr double kReceiveBuffers = 0.2;
// A smaller buffer would slow down the upload of a body, a larger one speeds up nothing.
constexpr std::size_t kMinReceiveBuffer = 4 * 1024;
constexpr std::size_t kMaxReceiveBuffer = 256 * 1024;

}  // namespace

MemoryPlan PlanMemory(double memory_mb, std::size_t max_connections) {
  const double memory = memory_mb * kBytesPerMegabyte;
  MemoryPlan plan;
  plan.answers.total = static_cast<std::size_t>(memory * kAnswers);
  plan.answers.max_buffer =
      std::max(plan.answers.min_buffer, std::min(plan.answers.max_buffer, plan.answers.total / 2));
  plan.clients.total = static_cast<std::size_t>(memory * kClients);
  const double receive_buffer =
      memory * kReceiveBuffers / static_cast<double>(std::max<std::size_t>(1, max_connections));
  plan.receive_buffer_bytes =
      std::clamp(static_cast<std::size_t>(receive_buffer), kMinReceiveBuffer, kMaxReceiveBuffer);
  return plan;
}

}  // namespace hingespan::gateway
