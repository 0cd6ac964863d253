#include "hingespan/fleet/shared_reading.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hingespan/common/clock.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);

// Store whose rows the test sets; counts calls.
class CountedStore : public SharedStore {
 public:
  explicit CountedStore(EventLoop* loop) : loop_(loop) {}
  void Read(const std::string&, RowsCallback callback) override {
    ++calls;
    if (cut) {
      return;
    }
    loop_->Post([this, callback] { callback(StoreRows{rows, version}); });
  }
  void Watch(const std::string&, std::uint64_t after, absl::Duration,
             RowsCallback callback) override {
    ++calls;
    if (cut) {
      return;
    }
    StoreRows changes{{}, version};
    for (const StoreRow& row : rows) {
      if (row.version > after) {
        changes.rows.push_back(row);
      }
    }
    loop_->Post([callback, changes] { callback(changes); });
  }
  void Commit(std::vector<RowCondition>, std::vector<RowWrite>, CommitCallback) override {}

  void Put(const std::string& key) { rows.push_back({"t", key, "v", ++version, false}); }

  std::vector<StoreRow> rows;
  std::uint64_t version = 1;
  int calls = 0;
  // True if no call is answered.
  bool cut = false;

 private:
  EventLoop* loop_;
};

struct Node {
  Node(EventLoop* loop, const std::string& name, const SharedReadingSettings& settings = {})
      : store(loop),
        client(loop, ClientLimits{}),
        log(-1, &SystemClock(), DecisionLogLimits{}),
        reading(loop, &store, &client, &log, SettingsOf(name, settings)) {
    reading.Share("t", nullptr);
    REQUIRE(!reading.Listen("127.0.0.1:0"));
  }
  static SharedReadingSettings SettingsOf(const std::string& name, SharedReadingSettings settings) {
    settings.node = name;
    settings.zone = "z";
    settings.max_nodes_without_readers = 1;
    settings.readers_per_zone = 2;
    return settings;
  }
  CountedStore store;
  HttpClient client;
  DecisionLog log;
  SharedReading reading;
};

struct Fixture {
  EventLoop loop;
  Node wide{&loop, "wide"};
  Node thin{&loop, "thin"};

  void SetNodes() {
    const std::vector<FleetNode> nodes = {{"thin", "z", thin.reading.address(), 10},
                                          {"wide", "z", wide.reading.address(), 200}};
    wide.reading.SetNodes(nodes);
    thin.reading.SetNodes(nodes);
  }
  Result<StoreRows> Read(Node* node) {
    std::unique_ptr<Result<StoreRows>> result;
    node->reading.Read("t", [&](Result<StoreRows> rows) {
      result = std::make_unique<Result<StoreRows>>(std::move(rows));
    });
    REQUIRE(loop.RunUntil([&] { return result != nullptr; }, kLimit));
    return *result;
  }
  Result<StoreRows> Watch(Node* node, std::uint64_t after) {
    std::unique_ptr<Result<StoreRows>> result;
    node->reading.Watch("t", after, absl::Milliseconds(300), [&](Result<StoreRows> rows) {
      result = std::make_unique<Result<StoreRows>>(std::move(rows));
    });
    REQUIRE(loop.RunUntil([&] { return result != nullptr; }, kLimit));
    return *result;
  }
};

TEST_CASE("the node with the widest link reads the store, the other reads from it") {
  Fixture fixture;
  fixture.SetNodes();
  CHECK(fixture.wide.reading.reads_itself());
  CHECK(!fixture.thin.reading.reads_itself());
  fixture.wide.store.Put("a");
  REQUIRE(fixture.Read(&fixture.wide).ok());
  const auto read = fixture.Read(&fixture.thin);
  REQUIRE(read.ok());
  CHECK(read->rows.size() == 1);
  CHECK(fixture.thin.store.calls == 0);
}

TEST_CASE("a node whose reader has no copy reads the store itself") {
  Fixture fixture;
  fixture.SetNodes();
  fixture.thin.store.Put("a");
  const auto read = fixture.Read(&fixture.thin);
  REQUIRE(read.ok());
  CHECK(read->rows.size() == 1);
  CHECK(fixture.thin.store.calls == 1);
}

TEST_CASE("a node that becomes a reader has no gap in its copy") {
  Fixture fixture;
  // At first each node reads the store itself.
  REQUIRE(fixture.Read(&fixture.thin).ok());
  REQUIRE(fixture.Read(&fixture.wide).ok());
  fixture.SetNodes();
  fixture.wide.store.Put("a");
  fixture.thin.store.Put("a");
  REQUIRE(fixture.Watch(&fixture.wide, 1).ok());
  const auto changes = fixture.Watch(&fixture.thin, 1);
  REQUIRE(changes.ok());
  REQUIRE(changes->rows.size() == 1);
  // The wide node leaves. A third node asks the thin one, which continues from its copy.
  fixture.thin.reading.SetNodes(
      {{"thin", "z", fixture.thin.reading.address(), 10}, {"third", "z", "127.0.0.1:1", 5}});
  REQUIRE(fixture.Watch(&fixture.thin, changes->version).ok());
  Node third(&fixture.loop, "third");
  third.reading.SetNodes({{"thin", "z", fixture.thin.reading.address(), 10},
                          {"third", "z", third.reading.address(), 5}});
  const auto read = fixture.Watch(&third, 1);
  REQUIRE(read.ok());
  CHECK(read->rows.size() == 1);
  CHECK(third.store.calls == 0);
}

TEST_CASE("while the reader fails, its substitute reads the store and the others read from it") {
  EventLoop loop;
  auto reader = std::make_unique<Node>(&loop, "a");
  Node substitute(&loop, "b");
  Node other(&loop, "c");
  const std::vector<FleetNode> nodes = {{"a", "z", reader->reading.address(), 30},
                                        {"b", "z", substitute.reading.address(), 20},
                                        {"c", "z", other.reading.address(), 10}};
  for (Node* const node : {reader.get(), &substitute, &other}) {
    node->reading.SetNodes(nodes);
    node->store.Put("x");
  }
  const auto read = [&](Node* node) {
    std::unique_ptr<Result<StoreRows>> result;
    node->reading.Read("t", [&](Result<StoreRows> rows) {
      result = std::make_unique<Result<StoreRows>>(std::move(rows));
    });
    REQUIRE(loop.RunUntil([&] { return result != nullptr; }, kLimit));
    REQUIRE(result->ok());
  };
  CHECK(!substitute.reading.reads_itself());
  reader.reset();
  // The first request of each node fails at the reader, and each then reads the store itself once.
  read(&substitute);
  read(&other);
  CHECK(substitute.store.calls == 1);
  CHECK(other.store.calls == 1);
  read(&substitute);
  read(&other);
  CHECK(substitute.store.calls == 2);
  CHECK(other.store.calls == 1);
}

TEST_CASE("a reader pauses after changes before it watches again") {
  Fixture fixture;
  fixture.SetNodes();
  fixture.wide.store.Put("a");
  REQUIRE(fixture.Read(&fixture.wide).ok());
  REQUIRE(fixture.Watch(&fixture.wide, 1).ok());
  const int before = fixture.wide.store.calls;
  bool answered = false;
  fixture.wide.reading.Watch("t", 2, absl::Seconds(20),
                             [&](Result<StoreRows>) { answered = true; });
  // Another call to the store is sent and answered in the meantime.
  REQUIRE(fixture.Read(&fixture.wide).ok());
  CHECK(fixture.wide.store.calls == before + 1);
  CHECK(!answered);
  REQUIRE(fixture.loop.RunUntil([&] { return answered; }, kLimit));
}

TEST_CASE("a bound that leaves no time for a way through another node has all nodes read") {
  EventLoop loop;
  for (const int bound_ms : {100, 1000, 2000, 3000}) {
    SharedReadingSettings settings;
    settings.bound = absl::Milliseconds(bound_ms);
    Node reader(&loop, "a", settings);
    Node other(&loop, "b", settings);
    other.reading.SetNodes(
        {{"a", "z", reader.reading.address(), 30}, {"b", "z", other.reading.address(), 10}});
    CHECK(other.reading.reads_itself() == (bound_ms <= 1000));
  }
}

// Watches the table through the node, again and again, until `done`.
void WatchUntil(EventLoop* loop, Node* node, std::uint64_t after,
                const std::function<bool()>& done) {
  const auto watch = std::make_shared<std::function<void()>>();
  *watch = [node, after, done, again = std::weak_ptr(watch)] {
    node->reading.Watch("t", after, absl::Seconds(20), [done, again](const Result<StoreRows>&) {
      const auto next = again.lock();
      if (next != nullptr && !done()) {
        (*next)();
      }
    });
  };
  (*watch)();
  REQUIRE(loop->RunUntil(done, kLimit));
}

// Guards against a node that a reader which has lost the store keeps behind for longer than a
// change may take (CONFIG, DRAIN).
TEST_CASE("a node reads the store itself before what it knows is older than the bound") {
  SharedReadingSettings settings;
  settings.bound = absl::Seconds(2);
  // Leaves the check below a second to spare.
  settings.direct_read = absl::Seconds(1);
  settings.peer_slack = absl::Milliseconds(300);
  EventLoop loop;
  Node reader(&loop, "a", settings);
  Node other(&loop, "b", settings);
  const std::vector<FleetNode> nodes = {{"a", "z", reader.reading.address(), 30},
                                        {"b", "z", other.reading.address(), 10}};
  reader.reading.SetNodes(nodes);
  other.reading.SetNodes(nodes);
  for (Node* const node : {&reader, &other}) {
    bool read = false;
    node->reading.Read("t", [&](const Result<StoreRows>& rows) { read = rows.ok(); });
    REQUIRE(loop.RunUntil([&] { return read; }, kLimit));
  }
  CHECK(other.store.calls == 0);
  reader.store.cut = true;
  bool bound_is_over = false;
  const auto timer = loop.MakeTimer();
  timer->Set(loop.Now() + settings.bound, [&] { bound_is_over = true; });
  other.store.Put("change");
  WatchUntil(&loop, &other, 1, [&] { return other.store.calls > 0; });
  CHECK(!bound_is_over);
}

}  // namespace
}  // namespace hingespan::gateway
