#include "hingespan/fleet/version_registry.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

std::map<std::string, WorkerState> Workers(const std::vector<std::string>& versions) {
  std::map<std::string, WorkerState> workers;
  for (const std::string& version : versions) {
    WorkerState& worker = workers[absl::StrCat("worker-", version)];
    worker.record.service = "s";
    worker.record.software_version = version;
  }
  return workers;
}

// Guards against a process that has just started taking the version it sees for the only one, after
// the last worker of another version has left.
TEST_CASE("a version counts as the only one only if the fleet's record says so") {
  VersionRegistry registry;
  registry.Observe(Workers({"v2"}), kStart);
  CHECK(!registry.OnlyVersion("s", kStart).has_value());
  registry.SetRecord({{"s", {"v1", "v2"}}});
  CHECK(!registry.OnlyVersion("s", kStart).has_value());
  registry.SetRecord({{"s", {"v2"}}});
  CHECK(registry.OnlyVersion("s", kStart) == "v2");
}

TEST_CASE("a version that was just seen counts before the record has it") {
  VersionRegistry registry;
  registry.SetRecord({{"s", {"v1"}}});
  registry.Observe(Workers({"v1", "v2"}), kStart);
  CHECK(!registry.OnlyVersion("s", kStart).has_value());
  registry.Observe(Workers({"v1"}), kStart + absl::Seconds(5));
  CHECK(!registry.OnlyVersion("s", kStart + absl::Seconds(5)).has_value());
}

// Guards against forgetting a version while a stream that began at it may be taken up.
TEST_CASE("the record keeps a version for a while after its last worker") {
  VersionRegistry registry;
  registry.SetRecord({{"s", {"v1"}}});
  CHECK(registry.WantedRecord(kStart).at("s") == std::set<std::string>{"v1"});
  const absl::Time later = kStart + VersionRegistry::kMemory - absl::Seconds(1);
  registry.Observe(Workers({"v2"}), later);
  CHECK(registry.WantedRecord(later).at("s") == std::set<std::string>{"v1", "v2"});
  registry.Observe(Workers({"v2"}), later + absl::Seconds(2));
  CHECK(registry.WantedRecord(later + absl::Seconds(2)).at("s") == std::set<std::string>{"v2"});
}

TEST_CASE("a service with several versions, or without any, has no only version") {
  VersionRegistry registry;
  registry.SetRecord({{"s", {"v1", "v2"}}, {"empty", {}}});
  CHECK(!registry.OnlyVersion("s", kStart).has_value());
  CHECK(!registry.OnlyVersion("empty", kStart).has_value());
  CHECK(!registry.OnlyVersion("unknown", kStart).has_value());
}

}  // namespace
}  // namespace hingespan::gateway
