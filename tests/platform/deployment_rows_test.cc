#include "platform/deployment_rows.h"

#include <doctest/doctest.h>

#include <string>

namespace hingespan::gateway::platform {
namespace {

constexpr char kConfiguration[] = R"({"version":7,"routes":[
  {"name":"r1","host":"h","path_prefix":"/p/","kind":"streaming","timeout_ms":25000,
   "target_latency_ms":6000,"priority":2,"service":"s1","max_attempts":1,"sticky":true,
   "resumable":true,"gap_target_ms":300},
  {"name":"r2","host":"h","path_prefix":"/q/","kind":"idempotent","timeout_ms":1000,
   "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2}],
 "services":[{"name":"s1","health_path":"/health","max_connections":360,"engine":{"slots":64,
   "kv_capacity_tokens":130679,"weights_mb":200000.0,"adapter_slots":8,"loads_per_s":2.2,
   "models":[{"name":"m1","weights_mb":65099.99999999999,"load_s":3.9,"adapters":4,
   "adapter_mb":12.0,"warm_s":1.2,"disk_load_s":1.6}]}},
  {"name":"s2","max_connections":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
   "idle_timeout_ms":15000},"unknown":1})";

TEST_CASE("a configuration row is parsed") {
  const auto read = DeploymentRows().ReadConfiguration({"op", "config", kConfiguration, 3, false});
  REQUIRE(read.ok());
  CHECK(read->version == 7);
  REQUIRE(read->routes.size() == 2);
  CHECK(read->routes[0].kind == RouteKind::kStreaming);
  CHECK(read->routes[0].resumable);
  CHECK(read->routes[0].target_gap == absl::Milliseconds(300));
  REQUIRE(read->routes[1].services.size() == 2);
  CHECK(read->routes[1].services[0].weight == 90);
  REQUIRE(read->services[0].engine.has_value());
  const ModelSpecification* const model = read->services[0].FindModel("m1");
  REQUIRE(model != nullptr);
  CHECK(model->load_time_from_disk == absl::Seconds(1.6));
  CHECK(!read->services[1].engine.has_value());
  CHECK(read->limits.idle_timeout == absl::Seconds(15));
}

TEST_CASE("a malformed configuration is an error and is never read in part") {
  for (const char* const text :
       {"", "{", "[]", R"({"version":1})", R"({"version":"x","routes":[]})",
        R"({"version":1,"routes":[{}],"services":[]})"}) {
    CAPTURE(text);
    CHECK(!DeploymentRows().ReadConfiguration({"op", "config", text, 3, false}).ok());
  }
}

TEST_CASE("a worker's record is parsed") {
  const auto read = DeploymentRows().ReadWorker(
      {"servers", "i-1",
       R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":64,"state":"draining",
           "remaining_ms":2000,"sequence":19,"models":[{"name":"m1","adapters":["a1"]}],
           "available":{"in_memory":["m2"],"on_disk":["m1","m2"]}})",
       9, false});
  REQUIRE(read.ok());
  CHECK(read->id == "i-1");
  CHECK(read->draining);
  CHECK(read->leaves_in == absl::Seconds(2));
  CHECK(read->models.at("m1").contains("a1"));
  CHECK(read->copies_in_memory.contains("m2"));
  CHECK(read->copies_on_disk.size() == 2);
  CHECK(!DeploymentRows().ReadWorker({"servers", "i-1", "{}", 9, false}).ok());
}

Result<WorkerRecord> ReadWorkerAt(const std::string& address, const std::string& key = "i-1") {
  return DeploymentRows().ReadWorker(
      {"servers", key, "{\"service\":\"s1\",\"address\":\"" + address + "\"}", 9, false});
}

TEST_CASE("a worker needs an address that something can be sent to") {
  CHECK(ReadWorkerAt("10.0.0.1:65535").ok());
  CHECK(ReadWorkerAt("[::1]:80").ok());
  for (const std::string address :
       {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536",
        "10.0.0.1:99999", "10.0.0.1:18446744073709551616", ":80", "host:80", "10.0.0.1 :80",
        "::1%\\r\\nX: y:80", "10.0.0.1\\u0000:80"}) {
    CAPTURE(address);
    CHECK(!ReadWorkerAt(address).ok());
  }
}

TEST_CASE("a worker needs a name that can be sent in a field") {
  for (const std::string key : {"a&b", "a+b", "a#b", "a b", "%41", "a?b/c", "\"'", "\xc3\xa9"}) {
    CAPTURE(key);
    const auto read = ReadWorkerAt("10.0.0.1:80", key);
    REQUIRE(read.ok());
    CHECK(read->id == key);
  }
  for (const std::string& key : {std::string(), std::string("a\r\nb"), std::string("\x01"),
                                 std::string("a\0b", 3), std::string(" a"), std::string("a ")}) {
    CAPTURE(key);
    CHECK(!ReadWorkerAt("10.0.0.1:80", key).ok());
  }
}

TEST_CASE("a worker's numbers are checked against their range") {
  for (const char* const slots :
       {"-1", "2147483648", "1e30", "18446744073709551616", "\"8\"", "null", "true", "[8]"}) {
    CAPTURE(slots);
    const std::string value =
        std::string(R"({"service":"s1","address":"10.0.0.1:80","slots":)") + slots + "}";
    CHECK(!DeploymentRows().ReadWorker({"servers", "i-1", value, 9, false}).ok());
  }
}

}  // namespace
}  // namespace hingespan::gateway::platform
