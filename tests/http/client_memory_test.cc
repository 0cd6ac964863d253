#include "hingespan/http/client_memory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace hingespan::gateway {
namespace {

constexpr std::size_t kTotal = 800 * 1024;
constexpr std::size_t kSmall = 10 * 1024;
constexpr std::size_t kLarge = 100 * 1024;

// A client that gives way by releasing all.
struct TestHolder : MemoryHolder {
  TestHolder(ClientMemory* client_memory, std::size_t bytes, absl::Time since)
      : memory(client_memory), held(memory->budget()), waiting(since) {
    memory->Add(this);
    memory->Resize(&held, bytes);
  }
  ~TestHolder() override { memory->Remove(this); }
  void Recount() override { memory->Resize(&held, std::min(held.bytes(), at_most)); }
  std::size_t reclaimable_bytes() const override { return keeps_waiting ? held.bytes() : 0; }
  absl::Time waiting_since() const override { return waiting; }
  void GiveWay() override {
    gave_way = true;
    memory->Resize(&held, 0);
  }

  ClientMemory* memory;
  MemoryReservation held;
  absl::Time waiting;
  // What a recount finds.
  std::size_t at_most = kTotal * 2;
  bool keeps_waiting = true;
  bool gave_way = false;
};

struct Fixture {
  TestHolder* Add(std::size_t bytes, absl::Duration waited) {
    holders.push_back(std::make_unique<TestHolder>(memory.get(), bytes, loop.Now() - waited));
    return holders.back().get();
  }

  EventLoop loop;
  int releases = 0;
  std::shared_ptr<ClientMemory> memory = std::make_shared<ClientMemory>(
      &loop, ClientMemorySettings{kTotal, kSmall}, [this] { ++releases; });
  std::vector<std::unique_ptr<TestHolder>> holders;
};

}  // namespace

TEST_CASE("nobody gives way while the clients hold no more than they may") {
  Fixture fixture;
  for (int number = 0; number < 8; ++number) {
    fixture.Add(kLarge, absl::Minutes(1));
  }
  fixture.memory->Relieve();
  CHECK(fixture.memory->budget()->used() == 8 * kLarge);
}

TEST_CASE("nobody gives way if a recount finds that the clients hold less") {
  Fixture fixture;
  TestHolder* const unfinished = fixture.Add(3 * kLarge, absl::Minutes(1));
  TestHolder* const has_read = fixture.Add(6 * kLarge, absl::Minutes(1));
  has_read->at_most = kSmall;
  fixture.memory->Relieve();
  CHECK(!unfinished->gave_way);
  CHECK(!has_read->gave_way);
  CHECK(fixture.memory->budget()->used() == 3 * kLarge + kSmall);
}

TEST_CASE("those that held most for longest give way, until some room is free") {
  Fixture fixture;
  TestHolder* const slow = fixture.Add(kLarge, absl::Seconds(10));
  TestHolder* const large = fixture.Add(3 * kLarge, absl::Seconds(8));
  std::vector<TestHolder*> fresh;
  for (int number = 0; number < 5; ++number) {
    fresh.push_back(fixture.Add(kLarge, absl::Milliseconds(number)));
  }
  fixture.memory->Relieve();
  CHECK(large->gave_way);
  CHECK(!slow->gave_way);
  for (const TestHolder* const holder : fresh) {
    CHECK(!holder->gave_way);
  }
  CHECK(fixture.memory->budget()->used() == 6 * kLarge);
}

TEST_CASE("small clients, and those that wait for the node, never give way") {
  Fixture fixture;
  TestHolder* const running = fixture.Add(kTotal, absl::Minutes(1));
  running->keeps_waiting = false;
  TestHolder* const small = fixture.Add(kSmall, absl::Minutes(1));
  TestHolder* const large = fixture.Add(kLarge, absl::ZeroDuration());
  fixture.memory->Relieve();
  CHECK(!running->gave_way);
  CHECK(!small->gave_way);
  CHECK(large->gave_way);
}

TEST_CASE("a later relief happens within the loop, once") {
  Fixture fixture;
  TestHolder* const large = fixture.Add(kTotal + 1, absl::Seconds(1));
  fixture.memory->RelieveLater();
  fixture.memory->RelieveLater();
  CHECK(!large->gave_way);
  CHECK(fixture.loop.RunUntil([&] { return large->gave_way; }, absl::Seconds(10)));
}

TEST_CASE("the heap is released after much memory was, not after little") {
  Fixture fixture;
  TestHolder* const small = fixture.Add(kSmall, absl::ZeroDuration());
  fixture.memory->Resize(&small->held, 0);
  TestHolder* const large = fixture.Add(kTotal / 2, absl::ZeroDuration());
  CHECK(fixture.releases == 0);
  fixture.memory->Resize(&large->held, 0);
  CHECK(fixture.loop.RunUntil([&] { return fixture.releases == 1; }, absl::Seconds(10)));
}

}  // namespace hingespan::gateway
