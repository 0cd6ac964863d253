#include "tests/serving/gateway_world.h"

#include <doctest/doctest.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace hingespan::gateway {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration kWaitLimit = absl::Seconds(20);

GatewaySettings SettingsOf(const std::string& name, const std::string& store_address,
                           const std::string& metrics_address, absl::Duration stop_time) {
  GatewaySettings settings;
  settings.node = name;
  settings.zone = "zone-a";
  settings.request_listen = "127.0.0.1:0";
  settings.status_listen = "127.0.0.1:0";
  settings.peer_listen = "127.0.0.1:0";
  settings.forward_listen = "127.0.0.1:0";
  settings.store_address = store_address;
  settings.metrics_listen = metrics_address;
  settings.lease = absl::Milliseconds(400);
  settings.stop_time = stop_time;
  return settings;
}

Json RouteJson(const std::string& prefix, const std::string& kind, const std::string& service,
               int timeout_ms, int attempts, bool resumable, int target_ms) {
  return Json{{"name", prefix},
              {"host", "h"},
              {"path_prefix", prefix},
              {"kind", kind},
              {"timeout_ms", timeout_ms},
              {"target_latency_ms", target_ms},
              {"priority", 1},
              {"service", service},
              {"max_attempts", attempts},
              {"resumable", resumable},
              {"gap_target_ms", 50}};
}

Json ModelJson(const std::string& name, double load_seconds) {
  return Json{{"name", name},
              {"weights_mb", 100.0},
              {"load_s", load_seconds},
              {"adapters", 4},
              {"adapter_mb", 1.0}};
}

}  // namespace

TestRequest StreamRequest(const std::string& target, const std::string& model) {
  TestRequest request;
  request.target = target;
  request.fields = {{"Model", model}, {"Token-Count", "10,6"}, {"Prompt-Prefix", "aa:5,bb:5"}};
  return request;
}

std::string Events(int first, int last) {
  std::string text;
  for (int event = first; event <= last; ++event) {
    absl::StrAppend(&text, "id: ", event, "\ndata: event ", event, "\n\n");
  }
  return text;
}

TestNode::TestNode(EventLoop* loop, const std::string& name, const std::string& store_address,
                   const std::string& metrics_address, absl::Duration stop_time,
                   const DeploymentReader* own_reader)
    : log_descriptor(memfd_create("log", 0)),
      log(log_descriptor, &SystemClock(), DecisionLogLimits{}),
      client(loop, ClientLimits{}),
      store(loop, &client, store_address, &metrics, &log),
      control(loop, &client),
      gateway(SettingsOf(name, store_address, metrics_address, stop_time),
              {loop, &dialect, own_reader == nullptr ? &reader : own_reader, &store, &control,
               &client, &log, &metrics}) {
  log.SetSource("hingespan-gateway", name, "zone-a");
}

TestNode::~TestNode() { close(log_descriptor); }

std::vector<std::string> TestNode::LogLines() const {
  std::string text(static_cast<std::size_t>(lseek(log_descriptor, 0, SEEK_END)), ' ');
  const ssize_t count = pread(log_descriptor, text.data(), text.size(), 0);
  text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, count)));
  return absl::StrSplit(text, '\n', absl::SkipEmpty());
}

GatewayFixture::GatewayFixture() : store(&loop), caller(&loop, ClientLimits{}) {
  PutConfiguration(1);
}

void GatewayFixture::PutConfiguration(int version, int timeout_ms, double load_seconds,
                                      int target_ms, int stream_attempts, int plain_attempts) {
  const auto route = [&](const char* prefix, const char* kind, const char* service, int attempts,
                         bool resumable) {
    return RouteJson(prefix, kind, service, timeout_ms, attempts, resumable, target_ms);
  };
  const Json engine{
      {"slots", 8},
      {"kv_capacity_tokens", 100000},
      {"weights_mb", 150.0},
      {"adapter_slots", 2},
      {"loads_per_s", 20.0},
      {"models", Json::array({ModelJson("m1", load_seconds), ModelJson("m2", load_seconds)})}};
  const Json configuration{
      {"version", version},
      {"routes", Json::array({route("/plain/", "non_idempotent", "plain", plain_attempts, false),
                              route("/safe/", "idempotent", "plain", 2, false),
                              route("/stream/", "streaming", "models", stream_attempts, true),
                              route("/once/", "streaming", "models", 1, false)})},
      {"services",
       Json::array({Json{{"name", "plain"}, {"max_connections", 50}},
                    Json{{"name", "models"}, {"max_connections", 50}, {"engine", engine}}})},
      {"limits", Json{{"max_header_bytes", 4096},
                      {"max_body_bytes", 10000},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}}};
  store.Put("op", "config", configuration.dump());
}

emulator::PlatformWorker* GatewayFixture::AddWorker(emulator::PlatformWorkerOptions options) {
  workers.push_back(std::make_unique<emulator::PlatformWorker>(&loop, &store, std::move(options)));
  return workers.back().get();
}

void GatewayFixture::AddWorkerAt(const std::string& address, const std::string& id,
                                 const std::string& service) {
  constexpr int kSlots = 50;
  emulator::PlatformWorkerOptions options;
  options.id = id;
  options.service = service;
  options.slots = kSlots;
  options.models["m1"];
  AddWorker(options)->Announce(address);
}

emulator::PlatformWorker* GatewayFixture::AddPlainWorker(const std::string& id) {
  emulator::PlatformWorkerOptions options;
  options.id = id;
  options.service = "plain";
  return AddWorker(std::move(options));
}

emulator::PlatformWorker* GatewayFixture::AddModelWorker(const std::string& id,
                                                         const std::string& model) {
  emulator::PlatformWorkerOptions options;
  options.id = id;
  options.service = "models";
  if (!model.empty()) {
    options.models[model];
  }
  return AddWorker(std::move(options));
}

TestNode* GatewayFixture::AddNode(const std::string& name, const std::string& metrics_address,
                                  const DeploymentReader* own_reader) {
  nodes.push_back(std::make_unique<TestNode>(&loop, name, store.address(), metrics_address,
                                             kTestStopTime, own_reader));
  TestNode* const node = nodes.back().get();
  REQUIRE(!node->gateway.Start());
  REQUIRE(Wait([&] { return node->gateway.ready(); }));
  // Wait until some node holds the placement lease and can order loads.
  REQUIRE(Wait([&] { return !store.Value("hingespan", "lease/placement").empty(); }));
  // Wait until requests earn retries.
  REQUIRE(Wait([&] { return node->gateway.fleet_size() > 0; }));
  return node;
}

void GatewayFixture::EarnRetries(TestNode* node, TestRequest request) {
  constexpr int kRequests = 30;
  request.deadline_ms = 100;
  std::vector<std::unique_ptr<TestCall>> calls;
  for (int number = 0; number < kRequests; ++number) {
    request.id = absl::StrCat("earns", number);
    calls.push_back(Send(node, request));
  }
  REQUIRE(Wait([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->ended; });
  }));
}

std::unique_ptr<TestCall> GatewayFixture::Send(TestNode* node, const TestRequest& request) {
  auto call = std::make_unique<TestCall>();
  HeaderFields fields = {{"Attempt-Id", request.id},
                         {"Deadline-Ms", absl::StrCat(request.deadline_ms)}};
  fields.insert(fields.end(), request.fields.begin(), request.fields.end());
  call->exchange = caller.Send(
      node->gateway.request_address(),
      RequestText(request.method, request.target, "h", fields, request.body), call.get());
  return call;
}

std::unique_ptr<TestCall> GatewayFixture::Ask(TestNode* node, const TestRequest& request) {
  std::unique_ptr<TestCall> call = Send(node, request);
  REQUIRE(Wait([&] { return call->ended; }));
  return call;
}

bool GatewayFixture::Wait(const std::function<bool()>& done) {
  return loop.RunUntil(done, kWaitLimit);
}

}  // namespace hingespan::gateway
