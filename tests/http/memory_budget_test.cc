#include "hingespan/http/memory_budget.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

namespace hingespan::gateway {
namespace {

constexpr std::size_t kStep = 16 * 1024;
const MemoryBudgetSettings kSettings;

// Answers that each grow until the budget refuses it.
std::vector<std::unique_ptr<MemoryReservation>> GrowWithoutEnd(MemoryBudget* budget,
                                                               std::size_t count) {
  std::vector<std::unique_ptr<MemoryReservation>> answers;
  for (std::size_t number = 0; number < count; ++number) {
    answers.push_back(std::make_unique<MemoryReservation>(budget));
  }
  std::vector<std::size_t> sizes(count, 0);
  for (bool grows = true; grows;) {
    grows = false;
    for (std::size_t number = 0; number < count; ++number) {
      if (answers[number]->Resize(sizes[number] + kStep)) {
        sizes[number] += kStep;
        grows = true;
      } else {
        answers[number]->Resize(sizes[number]);
      }
    }
  }
  return answers;
}

}  // namespace

TEST_CASE("one buffer may have the most that a buffer may have") {
  MemoryBudget budget;
  MemoryReservation answer(&budget);
  CHECK(answer.Resize(kSettings.max_buffer));
  CHECK(!answer.Resize(kSettings.max_buffer + 1));
}

// Guards against a node that many answers without end fill until it is killed (Fault).
TEST_CASE("answers that grow without end stay within the budget and leave room for others") {
  for (const std::size_t count : {10, 100, 1000}) {
    CAPTURE(count);
    MemoryBudget budget;
    const auto answers = GrowWithoutEnd(&budget, count);
    CHECK(budget.used() <= kSettings.total);
    MemoryReservation sound(&budget);
    CHECK(sound.Resize(kSettings.min_buffer));
  }
}

TEST_CASE("a reservation is returned when it is resized or destroyed") {
  MemoryBudget budget;
  {
    MemoryReservation answer(&budget);
    answer.Resize(1000);
    CHECK(budget.used() == 1000);
    answer.Resize(10);
    CHECK(budget.used() == 10);
  }
  CHECK(budget.used() == 0);
}

}  // namespace hingespan::gateway
