// Tests of the whole emulator over HTTP, with faults injected through the admin interface.
#include "emulator/emulator.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "emulator/socket_address.h"
#include "hingespan/backing/http_machine_list.h"
#include "tests/emulator/test_settings.h"

namespace hingespan::emulator {
namespace {

using nlohmann::json;

httplib::Client ClientOf(const std::string& address) {
  httplib::Client client("http://" + address);
  client.set_keep_alive(false);
  client.set_read_timeout(20, 0);
  return client;
}

struct EmulatorTest {
  explicit EmulatorTest(EmulatorSettings settings = TestSettings().Build(2))
      : emulator(std::move(settings), nullptr) {
    REQUIRE_FALSE(emulator.Start());
  }

  httplib::Result Post(const std::string& address, const std::string& path, const json& body) {
    return ClientOf(address).Post(path, body.dump(), "application/json");
  }
  httplib::Result Get(const std::string& address, const std::string& path) {
    return ClientOf(address).Get(path);
  }
  const EmulatorAddresses& addresses() { return emulator.addresses(); }
  void SetFault(const json& fault) {
    const httplib::Result result = Post(addresses().admin, "/faults", fault);
    REQUIRE(result);
    REQUIRE(result->status == 200);
  }
  json Totals() { return json::parse(Get(addresses().admin, "/totals")->body); }
  // Waits for a log entry.
  json WaitFor(const std::string& query) {
    const httplib::Result result =
        Get(addresses().admin, "/log/wait?after=0&timeout_ms=15000&" + query);
    REQUIRE(result);
    REQUIRE(result->status == 200);
    return json::parse(result->body);
  }
  json LoadBody(const std::string& model, int sequence, int memory_mib = 100) {
    return {
        {"fence", {{"incarnation", 1}, {"epoch", 1}, {"sequence", sequence}, {"generation", 1}}},
        {"model", model},
        {"memory_mib", memory_mib}};
  }
  void LoadAndWait(const std::string& model) {
    REQUIRE(Post(addresses().engines, "/engines/w1/load", LoadBody(model, 1))->status == 200);
    WaitFor("event=load_ready&worker=w1&model=" + model);
  }
  json GenerateBody(const std::string& request, const std::string& model, int tokens) {
    return {{"request", request},
            {"model", model},
            {"kind", "completion"},
            {"body", json{{"prompt", "p"}, {"max_tokens", tokens}}.dump()}};
  }
  void Announce(const std::string& http, const std::string& control) {
    const json node{{"node", "n1"},
                    {"zone", "z1"},
                    {"http_address", http},
                    {"control_address", control},
                    {"state", "live"}};
    httplib::Client client = ClientOf(addresses().platform);
    REQUIRE(client.Put("/machines/n1", node.dump(), "application/json")->status == 200);
  }
  json NodeSeenFrom(const std::string& zone) {
    return json::parse(Get(addresses().platform, "/machines?zone=" + zone)->body)["nodes"][0];
  }

  Emulator emulator;
};

std::vector<json> Lines(const std::string& body) {
  std::vector<json> lines;
  for (absl::string_view line : absl::StrSplit(body, '\n', absl::SkipEmpty())) {
    lines.push_back(json::parse(std::string(line)));
  }
  return lines;
}

TEST_CASE_FIXTURE(EmulatorTest, "a commit whose answer is lost has taken effect") {
  SetFault({{"fault", "platform"}, {"mode", "lose_answers"}, {"count", 1}});
  const json commit{{"preconditions", json::array()},
                    {"writes", {{{"key", "rows/a"}, {"value", "1"}}}}};
  CHECK_FALSE(Post(addresses().platform, "/table/commit", commit));
  const httplib::Result read = Get(addresses().platform, "/table/read?key=rows/a");
  REQUIRE(read);
  CHECK(json::parse(read->body)["value"] == "1");
}

TEST_CASE_FIXTURE(EmulatorTest, "an outage of one zone's platform has no effect on the others") {
  SetFault({{"fault", "platform"}, {"mode", "down"}, {"zone", "z1"}});
  const auto& by_zone = addresses().platform_by_zone;
  CHECK(Get(by_zone.at(ZoneId("z1")), "/table/read?key=a")->status == 503);
  CHECK(Get(by_zone.at(ZoneId("z2")), "/table/read?key=a")->status == 200);
}

TEST_CASE("calls beyond the rate get 429 with Retry-After") {
  TestSettings settings;
  settings.platform().table_calls_per_second = 0.001;
  settings.platform().burst = 1;
  EmulatorTest test(settings.Build(1));
  CHECK(test.Get(test.addresses().platform, "/table/read?key=a")->status == 200);
  const httplib::Result refused = test.Get(test.addresses().platform, "/table/read?key=a");
  CHECK(refused->status == 429);
  CHECK(refused->has_header("Retry-After"));
}

TEST_CASE_FIXTURE(EmulatorTest, "a load whose answer is lost goes on; its repetition is refused") {
  SetFault({{"fault", "engine_lose_answers"}, {"worker", "w1"}, {"count", 1}});
  CHECK_FALSE(Post(addresses().engines, "/engines/w1/load", LoadBody("m", 1)));
  WaitFor("event=load_ready&model=m");
  CHECK(Post(addresses().engines, "/engines/w1/load", LoadBody("m", 1))->status == 409);
  CHECK(Totals()["loads_begun"] == 1);
}

TEST_CASE_FIXTURE(EmulatorTest, "orders that arrive twice have their effect once") {
  SetFault({{"fault", "order_duplicates"}, {"worker", "w1"}, {"delay_ms", 1}});
  REQUIRE(Post(addresses().engines, "/engines/w1/load", LoadBody("m", 1))->status == 200);
  CHECK(WaitFor("event=order_refused&model=m")["reason"] == "sequence");
  CHECK(Totals()["loads_begun"] == 1);
}

TEST_CASE("an overcommit is counted and reported to the callback") {
  int reported = 0;
  Emulator emulator(TestSettings().Build(1), [&](const LogEntry&) { ++reported; });
  REQUIRE_FALSE(emulator.Start());
  const json order{
      {"fence", {{"incarnation", 1}, {"epoch", 1}, {"sequence", 1}, {"generation", 1}}},
      {"model", "m"},
      {"memory_mib", 1001}};
  httplib::Client client = ClientOf(emulator.addresses().engines);
  CHECK(client.Post("/engines/w1/load", order.dump(), "application/json")->status == 507);
  emulator.Stop();
  CHECK(reported == 1);
  CHECK(emulator.log().totals().overcommits == 1);
}

TEST_CASE_FIXTURE(EmulatorTest, "a broken stream goes on and can be resumed without a gap") {
  LoadAndWait("m");
  std::string first_part;
  bool broken = false;
  httplib::Client client = ClientOf(addresses().engines);
  httplib::Request request;
  request.method = "POST";
  request.path = "/engines/w1/generate";
  request.body = GenerateBody("r1", "m", 300).dump();
  request.set_header("Content-Type", "application/json");
  request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    first_part.append(data, size);
    if (!broken) {
      broken = true;
      SetFault({{"fault", "engine_break_streams"}, {"worker", "w1"}});
    }
    return true;
  };
  CHECK_FALSE(client.send(request));

  const std::string whole = first_part.substr(0, first_part.rfind('\n') + 1);
  std::vector<json> lines = Lines(whole);
  REQUIRE_FALSE(lines.empty());
  const std::uint64_t received = lines.back()["sequence"];
  REQUIRE(received < 300);
  const httplib::Result resumed =
      Get(addresses().engines, absl::StrCat("/engines/w1/streams/r1?after=", received));
  REQUIRE(resumed);
  for (json& line : Lines(resumed->body)) {
    lines.push_back(std::move(line));
  }
  REQUIRE(lines.size() == 301);
  for (std::size_t i = 0; i < 300; ++i) {
    REQUIRE(lines[i]["sequence"] == i + 1);
    REQUIRE(lines[i]["text"] == absl::StrCat("m#r1/", i + 1, " "));
  }
  CHECK(lines.back()["finish_reason"] == "length");
  CHECK(Totals()["runs"]["r1"] == 1);
}

TEST_CASE_FIXTURE(EmulatorTest,
                  "an unknown stream and a request for another incarnation are rejected") {
  CHECK(Get(addresses().engines, "/engines/w1/streams/r9?after=0")->status == 404);
  LoadAndWait("m");
  json body = GenerateBody("r1", "m", 1);
  body["incarnation"] = 7;
  const httplib::Result refused = Post(addresses().engines, "/engines/w1/generate", body);
  CHECK(refused->status == 409);
  CHECK(json::parse(refused->body)["error"] == "other_incarnation");
}

TEST_CASE_FIXTURE(EmulatorTest, "many streams run at once, each with its own answer") {
  LoadAndWait("m");
  constexpr int kStreams = 64;
  std::vector<std::string> bodies(kStreams);
  std::vector<std::thread> callers;
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&, i] {
      const auto result = Post(addresses().engines, "/engines/w1/generate",
                               GenerateBody(absl::StrCat("r", i), "m", 5));
      bodies[i] = result ? result->body : "";
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (int i = 0; i < kStreams; ++i) {
    const std::vector<json> lines = Lines(bodies[i]);
    REQUIRE(lines.size() == 6);
    CHECK(lines[4]["text"] == absl::StrCat("m#r", i, "/5 "));
  }
}

TEST_CASE_FIXTURE(EmulatorTest, "a reclaimed machine stops answering and is listed as gone") {
  LoadAndWait("m");
  SetFault({{"fault", "machine"}, {"worker", "w1"}, {"state", "gone"}});
  CHECK(Get(addresses().engines, "/engines/w1/status")->status == 503);
  const json list = json::parse(Get(addresses().platform, "/machines?zone=z1")->body);
  CHECK(list["workers"][0]["state"] == "gone");
}

TEST_CASE_FIXTURE(EmulatorTest, "an unchanged machine list is not sent again") {
  HttpMachineList machines(addresses().platform);
  const auto state = [&] {
    return machines.Read(ZoneId("z1"), absl::Seconds(20))->workers[0].state;
  };
  CHECK(state() == MachineState::kLive);
  httplib::Client client = ClientOf(addresses().platform);
  const httplib::Result whole = client.Get("/machines?zone=z1");
  const std::string tag = whole->get_header_value("ETag");
  REQUIRE_FALSE(tag.empty());
  const httplib::Result unchanged = client.Get("/machines?zone=z1", {{"If-None-Match", tag}});
  CHECK(unchanged->status == 304);
  CHECK(unchanged->body.empty());
  CHECK(state() == MachineState::kLive);
  SetFault({{"fault", "machine"}, {"worker", "w1"}, {"state", "gone"}});
  const httplib::Result changed = client.Get("/machines?zone=z1", {{"If-None-Match", tag}});
  CHECK(changed->status == 200);
  CHECK(state() == MachineState::kGone);
}

TEST_CASE_FIXTURE(EmulatorTest,
                  "a worker is announced as leaving and live; a gone one stays gone") {
  const auto announce = [this](const std::string& name, const std::string& body) {
    return ClientOf(addresses().platform)
        .Put("/machines/" + name, body, "application/json")
        ->status;
  };
  const auto listed = [this] {
    return json::parse(Get(addresses().platform, "/machines?zone=z1")->body)["workers"][0]["state"];
  };
  for (const std::string state : {"leaving", "live"}) {
    CHECK(announce("w1", json{{"worker", "w1"}, {"state", state}}.dump()) == 200);
    CHECK(listed() == state);
  }
  CHECK(announce("w1", R"({"worker":"w1","state":"gone"})") == 400);
  CHECK(announce("w1", R"({"worker":"w1","state":"asleep"})") == 400);
  CHECK(announce("w1", R"({"worker":"w2","state":"leaving"})") == 400);
  CHECK(announce("w9", R"({"worker":"w9","state":"leaving"})") == 404);
  CHECK(listed() == "live");
  SetFault({{"fault", "machine"}, {"worker", "w1"}, {"state", "gone"}});
  CHECK(announce("w1", R"({"worker":"w1","state":"leaving"})") == 409);
  CHECK(listed() == "gone");
}

TEST_CASE_FIXTURE(EmulatorTest, "a frozen engine answers nothing, and late orders have effect") {
  SetFault({{"fault", "engine_freeze"}, {"worker", "w1"}, {"frozen", true}});
  httplib::Client short_timeout = ClientOf(addresses().engines);
  short_timeout.set_read_timeout(0, 200000);
  CHECK_FALSE(short_timeout.Post("/engines/w1/load", LoadBody("m", 1).dump(), "application/json"));
  CHECK(Totals()["loads_begun"] == 0);
  CHECK(Get(addresses().engines, "/engines/w2/status")->status == 200);
  SetFault({{"fault", "engine_freeze"}, {"worker", "w1"}, {"frozen", false}});
  WaitFor("event=load_ready&model=m");
}

TEST_CASE_FIXTURE(EmulatorTest, "another zone sees a node through relays that can be cut") {
  // Uses the platform's own address as a node's HTTP server.
  const std::string target = addresses().platform;
  const int node = BindToAnyPort("127.0.0.1", SOCK_DGRAM);
  Announce(target, FormatAddress(BoundAddress(node)));
  CHECK(NodeSeenFrom("z1")["http_address"] == target);
  const json seen = NodeSeenFrom("z2");
  const std::string relay = seen["http_address"];
  REQUIRE(relay != target);
  CHECK(Get(relay, "/table/read?key=a")->status == 200);

  httplib::Client open = ClientOf(relay);
  open.set_keep_alive(true);
  REQUIRE(open.Get("/table/read?key=a"));
  SetFault({{"fault", "link"}, {"from", "z1"}, {"to", "z2"}, {"mode", "cut"}});
  CHECK_FALSE(open.Get("/table/read?key=a"));
  CHECK_FALSE(Get(relay, "/table/read?key=a"));
  SetFault({{"fault", "link"}, {"from", "z2"}, {"to", "z1"}, {"mode", "up"}});
  CHECK(Get(relay, "/table/read?key=a")->status == 200);
  ::close(node);
}

// Waits up to ten seconds for a datagram; returns an empty string if none arrives.
std::string Receive(int socket, sockaddr_in* sender) {
  pollfd entry{socket, POLLIN, 0};
  if (poll(&entry, 1, 10000) <= 0) {
    return "";
  }
  char buffer[64];
  socklen_t length = sizeof(*sender);
  const ssize_t size =
      recvfrom(socket, buffer, sizeof(buffer), 0, reinterpret_cast<sockaddr*>(sender), &length);
  return std::string(buffer, static_cast<std::size_t>(std::max<ssize_t>(0, size)));
}

void SendTo(int socket, const sockaddr_in& destination, const std::string& text) {
  REQUIRE(sendto(socket, text.data(), text.size(), 0,
                 reinterpret_cast<const sockaddr*>(&destination),
                 sizeof(destination)) == static_cast<ssize_t>(text.size()));
}

TEST_CASE_FIXTURE(EmulatorTest, "datagrams pass both ways, and are dropped while the link is cut") {
  const int node = BindToAnyPort("127.0.0.1", SOCK_DGRAM);
  const int caller = BindToAnyPort("127.0.0.1", SOCK_DGRAM);
  Announce(addresses().platform, FormatAddress(BoundAddress(node)));
  const sockaddr_in relay = *ParseAddress(NodeSeenFrom("z2")["control_address"]);

  sockaddr_in sender{};
  SendTo(caller, relay, "one");
  REQUIRE(Receive(node, &sender) == "one");
  SendTo(node, sender, "answer");
  CHECK(Receive(caller, &sender) == "answer");

  SetFault({{"fault", "link"}, {"from", "z1"}, {"to", "z2"}, {"mode", "cut"}});
  SendTo(caller, relay, "lost");
  // The same thread runs the TCP relay, so its answer shows that the datagram was read.
  CHECK_FALSE(Get(NodeSeenFrom("z2")["http_address"], "/table/read?key=a"));
  SetFault({{"fault", "link"}, {"from", "z1"}, {"to", "z2"}, {"mode", "delay"}, {"delay_ms", 5}});
  SendTo(caller, relay, "two");
  CHECK(Receive(node, &sender) == "two");
  ::close(node);
  ::close(caller);
}

TEST_CASE_FIXTURE(EmulatorTest, "invalid faults are rejected") {
  const std::string& admin = addresses().admin;
  CHECK(Post(admin, "/faults", {{"fault", "earthquake"}})->status == 400);
  CHECK(Post(admin, "/faults", {{"fault", "platform"}, {"mode", "sideways"}})->status == 400);
  for (const char* fault : {"engine_restart", "engine_lose_answers", "order_duplicates"}) {
    CHECK(Post(admin, "/faults", {{"fault", fault}, {"worker", "w9"}})->status == 400);
  }
  CHECK(Post(admin, "/faults", {{"fault", "link"}, {"from", "z1"}, {"to", "z9"}, {"mode", "cut"}})
            ->status == 400);
}

}  // namespace
}  // namespace hingespan::emulator
