// soak-worker: an emulated worker in a process of its own. Writes a line when it listens and one
// for each request that it reads.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "emulator/platform_store.h"
#include "emulator/platform_worker.h"
#include "hingespan/http/event_loop.h"

namespace hingespan::soak {
namespace {

using Json = nlohmann::json;

void WriteLine(const Json& line) { std::cout << line.dump() << std::endl; }

int Main(int argc, char** argv) {
  CLI::App app("soak-worker: an emulated worker whose row is written by whoever starts it");
  emulator::PlatformWorkerOptions options;
  std::vector<std::string> models;
  int run_time_ms = 0;
  app.add_option("--id", options.id, "Worker's id")->required();
  app.add_option("--service", options.service, "Service that the worker belongs to")->required();
  app.add_option("--run-time-ms", run_time_ms, "Time that a plain request takes");
  app.add_option("--failing-share", options.failing_share, "Share of plain requests answered 500");
  app.add_option("--model", models, "Model that the worker holds");
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  for (const std::string& model : models) {
    options.models[model];
  }
  options.run_time = absl::Milliseconds(run_time_ms);
  options.includes_request_id = true;
  options.writes_row_at_start = false;
  options.on_arrival = [](const emulator::PlatformWorker::Arrival& arrival) {
    WriteLine(
        {{"event", "arrival"}, {"id", arrival.id}, {"at_us", absl::ToUnixMicros(arrival.at)}});
  };
  gateway::EventLoop loop;
  // Nobody reads this store.
  emulator::PlatformStore store(&loop);
  emulator::PlatformWorker worker(&loop, &store, options);
  loop.OnSignal(SIGUSR1, [&worker] { worker.SetFailingShare(0); });
  WriteLine({{"event", "listening"}, {"address", worker.address()}});
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace hingespan::soak

int main(int argc, char** argv) { return hingespan::soak::Main(argc, argv); }
