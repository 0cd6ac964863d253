#include "hingespan/fleet/shared_reading.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "hingespan/common/clock.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);

// A store whose state the test sets; it counts calls.
class CountedStore : public SharedStore {
 public:
  explicit CountedStore(EventLoop* loop) : loop_(loop) {}
  void Read(const std::string&, RowsCallback callback) override {
    ++calls;
    loop_->Post([this, callback] { callback(StoreRows{rows, version}); });
  }
  void Watch(const std::string&, std::uint64_t after, absl::Duration,
             RowsCallback callback) override {
    ++calls;
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

 private:
  EventLoop* loop_;
};

struct Node {
  Node(EventLoop* loop, const std::string& name)
      : store(loop),
        client(loop, ClientLimits{}),
        log(-1, &SystemClock(), DecisionLogLimits{}),
        reading(loop, &store, &client, &log, SettingsOf(name)) {
    reading.Share("t", nullptr);
    REQUIRE(!reading.Listen("127.0.0.1:0"));
  }
  static SharedReadingSettings SettingsOf(const std::string& name) {
    SharedReadingSettings settings;
    settings.node = name;
    settings.zone = "z";
    settings.most_nodes_without_readers = 1;
    settings.readers_each_zone = 2;
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

TEST_CASE("the node with the widest link reads, the other asks it") {
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

TEST_CASE("a node whose reader has no copy reads by itself") {
  Fixture fixture;
  fixture.SetNodes();
  fixture.thin.store.Put("a");
  const auto read = fixture.Read(&fixture.thin);
  REQUIRE(read.ok());
  CHECK(read->rows.size() == 1);
  CHECK(fixture.thin.store.calls == 1);
}

TEST_CASE("a node that becomes a reader has no gap from the time when it was none") {
  Fixture fixture;
  // Everybody reads at first.
  REQUIRE(fixture.Read(&fixture.thin).ok());
  REQUIRE(fixture.Read(&fixture.wide).ok());
  fixture.SetNodes();
  fixture.wide.store.Put("a");
  fixture.thin.store.Put("a");
  REQUIRE(fixture.Watch(&fixture.wide, 1).ok());
  const auto told = fixture.Watch(&fixture.thin, 1);
  REQUIRE(told.ok());
  REQUIRE(told->rows.size() == 1);
  // The wide one leaves; a third asks the thin one, which goes on from where it was.
  fixture.thin.reading.SetNodes(
      {{"thin", "z", fixture.thin.reading.address(), 10}, {"third", "z", "127.0.0.1:1", 5}});
  REQUIRE(fixture.Watch(&fixture.thin, told->version).ok());
  Node third(&fixture.loop, "third");
  third.reading.SetNodes({{"thin", "z", fixture.thin.reading.address(), 10},
                          {"third", "z", third.reading.address(), 5}});
  const auto read = fixture.Watch(&third, 1);
  REQUIRE(read.ok());
  CHECK(read->rows.size() == 1);
  CHECK(third.store.calls == 0);
}

TEST_CASE("while the reader fails, its substitute reads and the others ask that one") {
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
  // The first question of each fails at the reader, and each reads by itself once.
  read(&substitute);
  read(&other);
  CHECK(substitute.store.calls == 1);
  CHECK(other.store.calls == 1);
  read(&substitute);
  read(&other);
  CHECK(substitute.store.calls == 2);
  CHECK(other.store.calls == 1);
}

TEST_CASE("a reader lets changes come together before it asks for more") {
  Fixture fixture;
  fixture.SetNodes();
  fixture.wide.store.Put("a");
  REQUIRE(fixture.Read(&fixture.wide).ok());
  REQUIRE(fixture.Watch(&fixture.wide, 1).ok());
  const int before = fixture.wide.store.calls;
  bool told = false;
  fixture.wide.reading.Watch("t", 2, absl::Seconds(20), [&](Result<StoreRows>) { told = true; });
  // Another question goes out and is answered meanwhile.
  REQUIRE(fixture.Read(&fixture.wide).ok());
  CHECK(fixture.wide.store.calls == before + 1);
  CHECK(!told);
  REQUIRE(fixture.loop.RunUntil([&] { return told; }, kLimit));
}

}  // namespace
}  // namespace hingespan::gateway
