#include "tests/soak/worker_process.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

using Json = nlohmann::json;

// Calls `handle` with each whole line of the log.
void ForEachLine(const std::string& log_file, const std::function<void(const Json&)>& handle) {
  std::ifstream log(log_file);
  for (std::string line; std::getline(log, line);) {
    const Json json = Json::parse(line, nullptr, false);
    if (json.is_object()) {
      handle(json);
    }
  }
}

// Time between two looks at the logs of workers that start.
constexpr absl::Duration kPollInterval = absl::Milliseconds(20);

}  // namespace

WorkerProcess::WorkerProcess(WorkerProcessOptions options) : options_(std::move(options)) {
  std::vector<std::string> arguments = {"--id",
                                        options_.id,
                                        "--service",
                                        options_.service,
                                        "--run-time-ms",
                                        absl::StrCat(options_.run_time_ms),
                                        "--failing-share",
                                        absl::StrCat(options_.failing_share)};
  for (const std::string& model : options_.models) {
    arguments.insert(arguments.end(), {"--model", model});
  }
  process_.Launch(options_.program, arguments, LogFile());
}

std::string WorkerProcess::LogFile() const {
  return absl::StrCat(options_.folder, "/", options_.id, ".log");
}

bool WorkerProcess::Listens() {
  if (address_.empty()) {
    ForEachLine(LogFile(), [this](const Json& line) {
      if (line.value("event", "") == "listening") {
        address_ = line.value("address", "");
      }
    });
  }
  return !address_.empty();
}

std::vector<emulator::PlatformWorker::Arrival> WorkerProcess::Arrivals() const {
  std::vector<emulator::PlatformWorker::Arrival> arrivals;
  ForEachLine(LogFile(), [&arrivals](const Json& line) {
    if (line.value("event", "") == "arrival") {
      arrivals.push_back(
          {line.value("id", ""), absl::FromUnixMicros(line.value("at_us", std::int64_t{0}))});
    }
  });
  return arrivals;
}

std::string WorkerProcess::Row() const {
  Json models = Json::array();
  for (const std::string& model : options_.models) {
    models.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
  }
  return Json{{"service", options_.service},
              {"address", address_},
              {"zone", "zone-a"},
              {"version", "v1"},
              {"slots", 100},
              {"state", "ready"},
              {"cold_remaining_ms", 0},
              {"models", models},
              {"sequence", 1}}
      .dump();
}

bool AwaitListening(gateway::EventLoop* loop,
                    const std::vector<std::unique_ptr<WorkerProcess>>& workers,
                    absl::Duration limit) {
  const auto timer = loop->MakeTimer();
  // The loop looks at the logs only when something happens on it.
  const std::function<void()> poll = [&] { timer->Set(loop->Now() + kPollInterval, poll); };
  poll();
  return loop->RunUntil(
      [&workers] {
        return std::all_of(workers.begin(), workers.end(),
                           [](const auto& worker) { return worker->Listens(); });
      },
      limit);
}

}  // namespace hingespan::soak
