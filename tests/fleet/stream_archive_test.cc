#include "hingespan/fleet/stream_archive.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "tests/fleet/memory_store.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);
constexpr absl::Duration kLifetime = absl::Seconds(30);
const StreamSource kFirst{"s", "v1"};
const StreamSource kSecond{"s", "v2"};

class TestClock : public Clock {
 public:
  absl::Time Now() override { return time; }
  absl::Time WallTime() override { return time; }

  absl::Time time = absl::FromUnixSeconds(1'000'000);
};

struct World {
  // Starts a process of the node, which knows nothing.
  std::unique_ptr<StreamArchive> Start(const std::string& node) {
    StreamArchiveSettings settings;
    settings.node = node;
    settings.write_interval = absl::Milliseconds(20);
    settings.write_interval_per_node = absl::ZeroDuration();
    settings.read_interval = absl::ZeroDuration();
    settings.row_bytes = row_bytes;
    return std::make_unique<StreamArchive>(
        settings, StreamArchiveParts{&loop, &clock, &store, &log, &metrics});
  }

  std::optional<StreamSource> Find(StreamArchive* archive, const std::string& stream_id) {
    bool ended = false;
    std::optional<StreamSource> found;
    archive->Find(stream_id, [&](std::optional<StreamSource> source) {
      found = std::move(source);
      ended = true;
    });
    REQUIRE(Wait([&] { return ended; }));
    return found;
  }

  // Waits until the node's row has the stream.
  bool IsWritten(const std::string& node, const std::string& stream_id) {
    return Wait([&] { return store.Value(node).find(stream_id) != std::string::npos; });
  }

  bool Wait(const std::function<bool()>& done) { return loop.RunUntil(done, kLimit); }

  EventLoop loop;
  TestClock clock;
  MemoryStore store{&loop};
  DecisionLog log{-1, &SystemClock(), DecisionLogLimits{}};
  GatewayMetrics metrics;
  std::size_t row_bytes = 49152;
};

}  // namespace

// Guards against streams that can't go on because all nodes were killed at once (LOST), or that go
// on at another version (ORDER).
TEST_CASE("a stream is found by every process that starts after all were killed") {
  World world;
  auto first = world.Start("n1");
  auto second = world.Start("n2");
  first->Add("a", kFirst, kLifetime);
  second->Add("b", kSecond, kLifetime);
  REQUIRE(world.IsWritten("n1", "\"a\""));
  REQUIRE(world.IsWritten("n2", "\"b\""));
  const auto third = world.Start("n3");
  CHECK(world.Find(third.get(), "a") == kFirst);
  CHECK(world.Find(third.get(), "b") == kSecond);
  CHECK(!world.Find(third.get(), "c").has_value());
}

// Guards against a process that overwrites what its predecessor has left.
TEST_CASE("a process that starts under the same name keeps its predecessor's streams") {
  World world;
  const auto former = world.Start("n1");
  former->Add("old", kFirst, kLifetime);
  REQUIRE(world.IsWritten("n1", "\"old\""));
  const auto next = world.Start("n1");
  next->Add("new", kSecond, kLifetime);
  REQUIRE(world.IsWritten("n1", "\"new\""));
  const auto other = world.Start("n2");
  CHECK(world.Find(other.get(), "old") == kFirst);
  CHECK(world.Find(other.get(), "new") == kSecond);
}

// Guards against a write of a former process that takes effect late and removes later streams.
TEST_CASE("a late write of a former process does not replace the row") {
  World world;
  const auto former = world.Start("n1");
  former->Add("old", kFirst, kLifetime);
  REQUIRE(world.IsWritten("n1", "\"old\""));
  world.store.unanswered = 1;
  former->Add("late", kFirst, kLifetime);
  REQUIRE(world.Wait([&] { return world.store.late() == 1; }));
  const auto next = world.Start("n1");
  next->Add("new", kSecond, kLifetime);
  REQUIRE(world.IsWritten("n1", "\"new\""));
  world.store.ApplyLate();
  CHECK(world.IsWritten("n1", "\"new\""));
}

// Guards against streams that are missing because one write got no answer.
TEST_CASE("streams are written again after a write without an answer") {
  World world;
  const auto archive = world.Start("n1");
  world.store.unanswered = 2;
  archive->Add("a", kFirst, kLifetime);
  CHECK(world.IsWritten("n1", "\"a\""));
}

// Guards against more calls to the store than its rates and prices allow.
TEST_CASE("streams that begin together are written together") {
  World world;
  const auto archive = world.Start("n1");
  for (int number = 0; number < 200; ++number) {
    archive->Add(absl::StrCat("stream-", number), number % 2 == 0 ? kFirst : kSecond, kLifetime);
  }
  REQUIRE(world.IsWritten("n1", "stream-199"));
  CHECK(world.store.commits == 1);
  MESSAGE("bytes of a row of 200 streams: " << world.store.Value("n1").size());
}

// Guards against a table that grows for years.
TEST_CASE("a row goes once its streams have expired, that of a lost node too") {
  World world;
  const auto archive = world.Start("n1");
  // Does nothing any more before its timer, which the wall clock doesn't move.
  const auto lost = world.Start("n2");
  lost->Add("b", kSecond, kLifetime);
  REQUIRE(world.IsWritten("n2", "\"b\""));
  archive->Add("a", kFirst, absl::Milliseconds(300));
  REQUIRE(world.IsWritten("n1", "\"a\""));
  world.clock.time += absl::Minutes(5);
  CHECK(world.Wait([&] { return !world.store.Has("n1"); }));
  CHECK(!world.Find(archive.get(), "c").has_value());
  CHECK(world.Wait([&] { return !world.store.Has("n2"); }));
}

TEST_CASE("a row that is full leaves out the streams that expire first") {
  World world;
  world.row_bytes = 2000;
  const auto archive = world.Start("n1");
  for (int number = 0; number < 200; ++number) {
    archive->Add(absl::StrCat("stream-", number), kFirst, absl::Seconds(10 + number));
  }
  REQUIRE(world.IsWritten("n1", "stream-199"));
  CHECK(world.store.Value("n1").size() <= world.row_bytes);
  CHECK(world.store.Value("n1").find("stream-0\"") == std::string::npos);
}

}  // namespace hingespan::gateway
