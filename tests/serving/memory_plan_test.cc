#include "hingespan/serving/memory_plan.h"

#include <doctest/doctest.h>

namespace hingespan::gateway {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

}  // namespace

TEST_CASE("what a node may hold follows from its machine's memory and stays below it") {
  for (const std::size_t memory_mb : {64, 260, 4096, 65536}) {
    for (const std::size_t connections : {10, 500, 2500}) {
      CAPTURE(memory_mb);
      CAPTURE(connections);
      const MemoryPlan plan = PlanMemory(static_cast<double>(memory_mb), connections);
      const std::size_t bytes =
          plan.answers.total + plan.clients.total + plan.receive_buffer_bytes * connections;
      CHECK(bytes < memory_mb * kMegabyte * 4 / 5);
      CHECK(plan.clients.total >= memory_mb * kMegabyte / 4);
    }
  }
}

TEST_CASE("one answer leaves room for another") {
  const MemoryPlan plan = PlanMemory(32, 100);
  CHECK(plan.answers.max_buffer <= plan.answers.total / 2);
  CHECK(PlanMemory(260, 2500).answers.max_buffer == 8 * kMegabyte);
}

}  // namespace hingespan::gateway
