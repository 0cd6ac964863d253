// hingespan-platform-emulator: emulates the users' platform in a single process, with its metadata
// store and the workers of a plain service and a model service. Used by the demonstration and by
// multi-process tests.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "emulator/platform_store.h"
#include "emulator/platform_worker.h"
#include "hingespan/http/event_loop.h"

namespace hingespan::emulator {
namespace {

using Json = nlohmann::json;

constexpr int kModelMemoryMb = 100;
constexpr int kWorkerMemoryMb = 250;
constexpr int kTimeoutMs = 15000;

struct Flags {
  int plain_workers = 2;
  int model_workers = 2;
  int models = 4;
  double load_seconds = 0.5;
};

Json RouteJson(const std::string& prefix, const std::string& kind, const std::string& service,
               int attempts, bool resumable) {
  return Json{{"name", prefix},         {"host", "demo.example"},   {"path_prefix", prefix},
              {"kind", kind},           {"timeout_ms", kTimeoutMs}, {"target_latency_ms", 600},
              {"priority", 1},          {"service", service},       {"max_attempts", attempts},
              {"resumable", resumable}, {"gap_target_ms", 300}};
}

std::string ConfigurationText(const Flags& flags) {
  Json models = Json::array();
  for (int number = 1; number <= flags.models; ++number) {
    models.push_back({{"name", absl::StrCat("model-", number)},
                      {"weights_mb", kModelMemoryMb},
                      {"load_s", flags.load_seconds},
                      {"adapters", 4},
                      {"adapter_mb", 1}});
  }
  const Json engine{{"slots", 16},
                    {"kv_capacity_tokens", 100000},
                    {"weights_mb", kWorkerMemoryMb},
                    {"adapter_slots", 4},
                    {"loads_per_s", 10},
                    {"models", models}};
  return Json{{"version", 1},
              {"routes",
               {RouteJson("/act/", "non_idempotent", "plain", 1, false),
                RouteJson("/read/", "idempotent", "plain", 2, false),
                RouteJson("/generate/", "streaming", "models", 2, true)}},
              {"services",
               {Json{{"name", "plain"}, {"max_connections", 100}},
                Json{{"name", "models"}, {"max_connections", 100}, {"engine", engine}}}},
              {"limits", Json::object()}}
      .dump();
}

int Main(int argc, char** argv) {
  CLI::App app("hingespan-platform-emulator: store and workers of the users' platform");
  Flags flags;
  app.add_option("--plain-workers", flags.plain_workers, "Workers of service plain");
  app.add_option("--model-workers", flags.model_workers, "Workers of service models");
  app.add_option("--models", flags.models, "Models of service models");
  app.add_option("--load-seconds", flags.load_seconds, "How long a load takes");
  CLI11_PARSE(app, argc, argv);
  gateway::EventLoop loop;
  PlatformStore store(&loop);
  std::vector<std::unique_ptr<PlatformWorker>> workers;
  for (int number = 1; number <= flags.plain_workers; ++number) {
    PlatformWorkerOptions options;
    options.id = absl::StrCat("plain-", number);
    options.service = "plain";
    workers.push_back(std::make_unique<PlatformWorker>(&loop, &store, std::move(options)));
  }
  for (int number = 1; number <= flags.model_workers; ++number) {
    PlatformWorkerOptions options;
    options.id = absl::StrCat("models-", number);
    options.service = "models";
    options.models[absl::StrCat("model-", number)];
    options.load_time = absl::Seconds(flags.load_seconds);
    workers.push_back(std::make_unique<PlatformWorker>(&loop, &store, std::move(options)));
  }
  store.Put("op", "config", ConfigurationText(flags));
  std::cout << Json{{"event", "listening"}, {"store", store.address()}}.dump() << std::endl;
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  signal(SIGPIPE, SIG_IGN);
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace hingespan::emulator

int main(int argc, char** argv) { return hingespan::emulator::Main(argc, argv); }
