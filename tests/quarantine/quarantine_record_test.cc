// Tests of the fleet's record of quarantines, against a store in memory.
#include "hingespan/fleet/quarantine_record.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/fleet/memory_store.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);
const std::string kTable = QuarantineRecordSettings().table;

struct World {
  std::unique_ptr<QuarantineRecord> Start(std::vector<Quarantine>* recorded,
                                          std::size_t row_bytes = 49152) {
    QuarantineRecordSettings settings;
    settings.retry_interval = absl::Milliseconds(20);
    settings.row_bytes = row_bytes;
    auto record = std::make_unique<QuarantineRecord>(
        settings, QuarantineRecordParts{&loop, &SystemClock(), &store, &log, &metrics});
    record->SetListener({[recorded](const Quarantine& each) { recorded->push_back(each); },
                         [this](const std::string& id) { removed.push_back(id); },
                         {}});
    return record;
  }
  void Read(QuarantineRecord* record) {
    bool done = false;
    store.Read(kTable, [&](const Result<StoreRows>& rows) {
      record->OnTable(*rows);
      done = true;
    });
    REQUIRE(loop.RunUntil([&] { return done; }, kLimit));
  }
  bool Wait(const std::function<bool()>& done) { return loop.RunUntil(done, kLimit); }

  EventLoop loop;
  MemoryStore store{&loop};
  DecisionLog log{-1, &SystemClock(), DecisionLogLimits{}};
  GatewayMetrics metrics;
  std::vector<std::string> removed;
};

Quarantine Make(EventLoop* loop, const PromptPartIds& parts) {
  Quarantine quarantine;
  quarantine.id = "id";
  quarantine.service = "s";
  quarantine.parts = parts;
  quarantine.since = loop->Now() - absl::Seconds(100);
  quarantine.provisional = true;
  return quarantine;
}

TEST_CASE("a recorded quarantine is read as it was written, whatever bytes its parts have") {
  World world;
  std::vector<Quarantine> first_read;
  std::vector<Quarantine> second_read;
  const auto first = world.Start(&first_read);
  const auto second = world.Start(&second_read);
  const Quarantine written = Make(&world.loop, {"bad", "\xe9", std::string("\0\n", 2)});
  first->Add(written);
  REQUIRE(world.Wait([&] { return world.store.Has("quarantine/id"); }));
  world.Read(second.get());
  world.Read(second.get());
  REQUIRE(second_read.size() == 1);
  CHECK(second_read[0].id == "id");
  CHECK(second_read[0].service == "s");
  CHECK(second_read[0].parts == written.parts);
  CHECK(second_read[0].provisional);
  CHECK(absl::AbsDuration(second_read[0].since - written.since) < absl::Seconds(10));
  // It knows what it has written itself.
  world.Read(first.get());
  CHECK(first_read.empty());
}

// Guards against a quarantine that is recorded although it was lifted, as the outcome of a write
// was not known (LOST).
TEST_CASE("a write without an answer, whether it took effect or not, ends with what is wanted") {
  World world;
  std::vector<Quarantine> read;
  const auto record = world.Start(&read);
  world.store.unanswered = 1;
  record->Add(Make(&world.loop, {"bad", "sound"}));
  SUBCASE("it has no effect") {}
  SUBCASE("it takes effect before the next read") { world.store.ApplyLate(); }
  REQUIRE(world.Wait([&] { return world.store.Has("quarantine/id"); }));
  record->Narrow(Make(&world.loop, {"bad"}));
  record->Narrow(Make(&world.loop, {}));
  REQUIRE(world.Wait([&] { return !world.store.Has("quarantine/id"); }));
  world.Read(record.get());
  CHECK(!record->Has("id"));
}

// Guards against a narrowing that another node's write undoes (LOST).
TEST_CASE("what two nodes narrow at the same time is narrowed by both") {
  World world;
  std::vector<Quarantine> ignored;
  const auto first = world.Start(&ignored);
  const auto second = world.Start(&ignored);
  first->Add(Make(&world.loop, {"a", "b", "bad"}));
  REQUIRE(world.Wait([&] { return world.store.Has("quarantine/id"); }));
  world.Read(second.get());
  first->Narrow(Make(&world.loop, {"b", "bad"}));
  second->Narrow(Make(&world.loop, {"a", "bad"}));
  std::vector<Quarantine> read;
  REQUIRE(world.Wait([&] {
    read.clear();
    world.Read(world.Start(&read).get());
    return read.size() == 1 && read[0].parts == PromptPartIds{"bad"};
  }));
}

TEST_CASE(
    "a removal by another node is told, once, and an older copy of the table undoes nothing") {
  World world;
  std::vector<Quarantine> read;
  const auto first = world.Start(&read);
  const auto second = world.Start(&read);
  first->Add(Make(&world.loop, {"bad"}));
  REQUIRE(world.Wait([&] { return world.store.Has("quarantine/id"); }));
  StoreRows old;
  bool have_old = false;
  world.store.Read(kTable, [&](const Result<StoreRows>& rows) {
    old = *rows;
    have_old = true;
  });
  REQUIRE(world.Wait([&] { return have_old; }));
  world.Read(second.get());
  first->Narrow(Make(&world.loop, {}));
  REQUIRE(world.Wait([&] { return !world.store.Has("quarantine/id"); }));
  world.Read(second.get());
  world.Read(second.get());
  CHECK(world.removed == std::vector<std::string>{"id"});
  const std::size_t before = read.size();
  second->OnTable(old);
  CHECK(read.size() == before);
}

// Guards against a write at each read of the table.
TEST_CASE("a quarantine that is too large for a row is left out for good") {
  World world;
  std::vector<Quarantine> read;
  const auto record = world.Start(&read, 100);
  record->Add(Make(&world.loop, {std::string(200, 'a')}));
  CHECK(record->Has("id"));
  world.Read(record.get());
  CHECK(record->Has("id"));
  CHECK(world.store.commits == 0);
}

}  // namespace
}  // namespace hingespan::gateway
