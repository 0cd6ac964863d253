// Tests of the slots, the queue and the rejections of an emulated worker, in virtual time.
#include "emulator/worker_room.h"

#include <doctest/doctest.h>

namespace hingespan::emulator {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

TEST_CASE("requests beyond slots and queue find no room, and a freed slot goes to the first one") {
  WorkerRoom room(1, 1);
  std::uint64_t first = 0;
  bool second = false;
  CHECK(room.Enter([&](std::uint64_t slot) { first = slot; }) == 0U);
  const auto waiting = room.Enter([&](std::uint64_t) { second = true; });
  CHECK(waiting.value_or(0) != 0);
  CHECK_FALSE(room.Enter([](std::uint64_t) {}).has_value());
  room.Leave(first);
  CHECK(second);
  CHECK(room.running() == 1);
}

TEST_CASE("a request that leaves the queue is not started") {
  WorkerRoom room(1, 1);
  std::uint64_t first = 0;
  bool second = false;
  room.Enter([&](std::uint64_t slot) { first = slot; });
  const auto waiting = room.Enter([&](std::uint64_t) { second = true; });
  room.Leave(waiting.value_or(0));
  room.Leave(first);
  CHECK_FALSE(second);
  CHECK(room.running() == 0);
}

TEST_CASE("a brittle worker survives so many rejections within a second") {
  WorkerRoom room(1, 0);
  CHECK(room.Reject(kStart));
  room.SetSurvivedRejections(2);
  CHECK(room.Reject(kStart + absl::Milliseconds(100)));
  CHECK_FALSE(room.Reject(kStart + absl::Milliseconds(900)));
  CHECK(room.Reject(kStart + absl::Milliseconds(1950)));
}

}  // namespace
}  // namespace hingespan::emulator
