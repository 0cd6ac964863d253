#include "platform/store_rows.h"

#include <doctest/doctest.h>
#include <sys/mman.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "emulator/platform_store.h"
#include "hingespan/common/clock.h"
#include "hingespan/http/http_server.h"
#include "tests/foreign_entries/odd_texts.h"

namespace hingespan::gateway::platform {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);

struct Fixture {
  Result<std::uint64_t> Put(const std::string& table, const std::string& key,
                            std::uint64_t version) {
    std::optional<Result<std::uint64_t>> result;
    client.Commit({{table, key, version}}, {{table, key, "value"}},
                  [&](Result<std::uint64_t> answer) { result = answer; });
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }, kLimit));
    return *result;
  }

  std::vector<StoreRow> Read(const std::string& table) {
    std::optional<Result<StoreRows>> result;
    client.Read(table, [&](Result<StoreRows> answer) { result = std::move(answer); });
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }, kLimit));
    REQUIRE(result->ok());
    return (*result)->rows;
  }

  EventLoop loop;
  emulator::PlatformStore store{&loop};
  HttpClient http{&loop, ClientLimits{}};
  GatewayMetrics metrics;
  DecisionLog log{-1, &SystemClock(), DecisionLogLimits{}};
  StoreRowsClient client{&loop, &http, store.address(), &metrics, &log};
};

// Store whose answers a test writes.
struct ScriptedStore {
  ScriptedStore()
      : server(&loop, [this](const std::shared_ptr<ServerExchange>& exchange) {
          targets.push_back(exchange->head().target);
          exchange->Answer(200, "OK", {}, answer);
        }) {
    REQUIRE(!server.Listen("127.0.0.1:0"));
    client = std::make_unique<StoreRowsClient>(&loop, &http, server.address(), &metrics, &log);
  }
  ~ScriptedStore() { close(log_descriptor); }

  Result<StoreRows> Read() {
    std::optional<Result<StoreRows>> result;
    client->Read("servers", [&](Result<StoreRows> rows) { result = std::move(rows); });
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }, kLimit));
    return *std::move(result);
  }
  std::string Log() const {
    std::string text(static_cast<std::size_t>(lseek(log_descriptor, 0, SEEK_END)), ' ');
    REQUIRE(pread(log_descriptor, text.data(), text.size(), 0) ==
            static_cast<ssize_t>(text.size()));
    return text;
  }

  EventLoop loop;
  HttpClient http{&loop, ClientLimits{}};
  GatewayMetrics metrics;
  int log_descriptor = memfd_create("log", 0);
  DecisionLog log{log_descriptor, &SystemClock(), DecisionLogLimits{}};
  HttpServer server;
  std::unique_ptr<StoreRowsClient> client;
  std::string answer;
  std::vector<std::string> targets;
};

std::string PageOf(const std::string& rows, bool has_more = false) {
  return absl::StrCat("{\"rows\":[", rows,
                      "],\"ver\":9,\"now_ms\":5,\"has_more\":", has_more ? "true" : "false", "}");
}

std::string RowOf(const std::string& key) {
  return absl::StrCat("{\"table\":\"servers\",\"part\":\"\",\"private_key\":\"", key,
                      "\",\"ver\":3,\"value\":\"dg==\"}");
}

}  // namespace

TEST_CASE("rows of a part are read and written apart from those of the table's other parts") {
  Fixture fixture;
  const Result<std::uint64_t> first = fixture.Put("t/1", "a", 0);
  REQUIRE(first.ok());
  CHECK(fixture.Put("t/2", "a", 0).ok());
  CHECK(fixture.Put("t", "a", 0).ok());
  CHECK(fixture.Put("t/1", "a", 0).error() == make_error_code(Error::kConflict));
  CHECK(fixture.Put("t/1", "a", *first).ok());
  for (const char* const table : {"t", "t/1", "t/2"}) {
    CAPTURE(table);
    const std::vector<StoreRow> rows = fixture.Read(table);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].key == "a");
    CHECK(rows[0].value == "value");
  }
  CHECK(fixture.Read("t/3").empty());
}

TEST_CASE("rows of any names are read over several pages, in every table") {
  for (const char* const table :
       {"op", "servers", "hingespan", "hingespan-streams/3", "a&b+c/d#e"}) {
    CAPTURE(table);
    Fixture fixture;
    fixture.store.SetPageRows(1);
    std::set<std::string> keys = {"A", "k", "z"};
    for (const std::string& name : foreign_entries::OddNames()) {
      keys.insert(name);
    }
    for (const std::string& key : keys) {
      fixture.store.Put(table, key, "value of " + key);
    }
    const std::vector<StoreRow> rows = fixture.Read(table);
    REQUIRE(rows.size() == keys.size());
    std::size_t index = 0;
    for (const std::string& key : keys) {
      CAPTURE(key);
      CHECK(rows[index].key == key);
      CHECK(rows[index].value == "value of " + key);
      ++index;
    }
    CHECK(fixture.store.pages() == static_cast<int>(keys.size()));
  }
}

TEST_CASE("pages that don't advance end in an error that is logged") {
  ScriptedStore store;
  store.answer = PageOf(RowOf("a"), true);
  CHECK(store.Read().error() == make_error_code(Error::kMalformed));
  CHECK(store.targets.size() == 2);
  CHECK(absl::StrContains(store.Log(), "store_page_not_advancing"));
  // No page of these has a key to go on from.
  for (const std::string& rows : {std::string(), std::string("{\"private_key\":7}")}) {
    store.targets.clear();
    store.answer = PageOf(rows, true);
    CHECK(store.Read().error() == make_error_code(Error::kMalformed));
    CHECK(store.targets.size() == 1);
  }
}

TEST_CASE("an odd row of a page costs itself, with a log line that is bounded") {
  std::vector<std::string> odd = foreign_entries::OddValues();
  for (const char* const member : {"part", "private_key", "ver", "is_gone", "value", "table"}) {
    for (const std::string& row : foreign_entries::WithOddMember(RowOf("m"), member)) {
      odd.push_back(row);
    }
  }
  std::erase_if(odd, [](const std::string& row) {
    // Unbalanced rows make the page one that can't be split.
    return row.empty() || row == "{" || row == "[" || row == std::string(60000, '[');
  });
  for (const std::string& row : odd) {
    CAPTURE(row.substr(0, 200));
    ScriptedStore store;
    store.answer = PageOf(absl::StrCat(RowOf("a"), ",", row, ",", RowOf("z")));
    const Result<StoreRows> read = store.Read();
    REQUIRE(read.ok());
    CHECK(read->version == 9);
    CHECK(read->rows.size() >= 2);
    CHECK(read->rows.size() <= 3);
    CHECK(read->rows.front().key == "a");
    CHECK(read->rows.back().key == "z");
    CHECK(store.Log().size() < 1000);
  }
}

TEST_CASE("a row that is odd but for its key doesn't end the pages") {
  ScriptedStore store;
  store.answer = PageOf("{\"private_key\":\"m\",\"ver\":\"x\"}", true);
  // The second page is the same one, which proves that the first one's key was taken.
  CHECK(!store.Read().ok());
  REQUIRE(store.targets.size() == 2);
  CHECK(absl::EndsWith(store.targets[1], "&source=m%00"));
}

TEST_CASE("a malformed page is an error") {
  for (const std::string& answer : foreign_entries::OddValues()) {
    ScriptedStore store;
    store.answer = answer;
    CHECK(store.Read().error() == make_error_code(Error::kMalformed));
  }
  for (const char* const member : {"ver", "now_ms", "has_more"}) {
    for (const std::string& answer : foreign_entries::WithOddMember(PageOf(RowOf("a")), member)) {
      ScriptedStore store;
      store.answer = answer;
      const Result<StoreRows> read = store.Read();
      CHECK((!read.ok() || read->rows.size() == 1));
    }
  }
}

TEST_CASE("a name that JSON can't hold fails the write, not the process") {
  Fixture fixture;
  CHECK(fixture.Put("t", "\xff\xfe", 0).error() == make_error_code(Error::kInvalidArgument));
  CHECK(fixture.Put("t", "a", 0).ok());
}

}  // namespace hingespan::gateway::platform
