#include "platform/store_rows.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "emulator/platform_store.h"

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
  StoreRowsClient client{&loop, &http, store.address(), &metrics};
};

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

}  // namespace hingespan::gateway::platform
