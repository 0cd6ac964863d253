#include "tests/foreign_entries/foreign_entries_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace hingespan::foreign_entries {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration kWaitLimit = absl::Seconds(30);
constexpr int kDeadlineMs = 500;
// Length that a log line about an entry may have, whatever the entry holds.
constexpr std::size_t kLongestLogLine = 2000;

struct Call : gateway::AnswerReceiver {
  bool OnHead(const gateway::AnswerHead& head) override {
    status = head.status;
    return true;
  }
  void OnBody(absl::string_view) override {}
  void OnEnd(gateway::ExchangeResult end) override {
    whole = end == gateway::ExchangeResult::kComplete;
    ended = true;
  }
  int status = 0;
  bool whole = false;
  bool ended = false;
};

std::string MakeFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "hingespan-foreign-XXXXXX").string();
  REQUIRE(mkdtemp(name.data()) != nullptr);
  return name;
}

Json RouteJson(const std::string& prefix, const std::string& kind, const std::string& service) {
  return Json{{"name", prefix},     {"host", "h"},        {"path_prefix", prefix},
              {"kind", kind},       {"timeout_ms", 5000}, {"target_latency_ms", 800},
              {"priority", 1},      {"service", service}, {"max_attempts", 1},
              {"resumable", false}, {"gap_target_ms", 50}};
}

}  // namespace

ForeignEntriesWorld::ForeignEntriesWorld(int processes)
    : store_(&loop_), caller_(&loop_, gateway::ClientLimits{}), folder_(MakeFolder()) {
  store_.SetPageRows(1);
  PutConfiguration();
  AddWorker("k-plain", "plain");
  AddWorker("k-models", "models");
  for (int number = 1; number <= processes; ++number) {
    soak::GatewayProcessOptions options;
    options.program = absl::StrCat(HINGESPAN_PROGRAM_DIRECTORY, "/hingespan-gateway");
    options.name = absl::StrCat("n", number);
    options.zone = "zone-a";
    options.store_address = store_.address();
    options.folder = folder_;
    processes_.push_back(std::make_unique<soak::GatewayProcess>(std::move(options)));
  }
  RestartAll();
  REQUIRE(ServingProcesses() == processes);
}

ForeignEntriesWorld::~ForeignEntriesWorld() {
  processes_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void ForeignEntriesWorld::PutConfiguration() {
  const Json model{{"name", "m1"},
                   {"weights_mb", 100.0},
                   {"load_s", 0.05},
                   {"adapters", 4},
                   {"adapter_mb", 1.0}};
  const Json engine{{"slots", 8},          {"kv_capacity_tokens", 100000},
                    {"weights_mb", 150.0}, {"adapter_slots", 2},
                    {"loads_per_s", 20.0}, {"models", Json::array({model})}};
  const Json configuration{
      {"version", 1},
      {"routes", Json::array({RouteJson("/plain/", "non_idempotent", "plain"),
                              RouteJson("/stream/", "streaming", "models")})},
      {"services",
       Json::array({Json{{"name", "plain"}, {"max_connections", 50}},
                    Json{{"name", "models"}, {"max_connections", 50}, {"engine", engine}}})},
      {"limits", Json::object()}};
  store_.Put("op", "config", configuration.dump());
}

void ForeignEntriesWorld::AddWorker(const std::string& id, const std::string& service) {
  emulator::PlatformWorkerOptions options;
  options.id = id;
  options.service = service;
  if (service == "models") {
    options.models["m1"];
  }
  workers_.push_back(
      std::make_unique<emulator::PlatformWorker>(&loop_, &store_, std::move(options)));
}

void ForeignEntriesWorld::RestartAll() {
  for (const auto& process : processes_) {
    process->Signal(SIGKILL);
  }
  int ignored = 0;
  REQUIRE(Wait([&] {
    return std::all_of(processes_.begin(), processes_.end(), [&](const auto& process) {
      return !process->running() || process->Reap(&ignored);
    });
  }));
  for (const auto& process : processes_) {
    process->Launch();
  }
  REQUIRE(Wait([&] {
    return std::all_of(processes_.begin(), processes_.end(), [&](const auto& process) {
      return process->Listens() || process->Reap(&ignored) || !process->running();
    });
  }));
}

bool ForeignEntriesWorld::IsServed(const soak::GatewayProcess& process, const std::string& target) {
  const absl::Time limit = loop_.Now() + kWaitLimit;
  while (process.serving() && loop_.Now() < limit) {
    const int calls = store_.calls();
    Call call;
    const std::string id = absl::StrCat("r", ++request_number_);
    gateway::HeaderFields fields = {{"Attempt-Id", id}, {"Deadline-Ms", absl::StrCat(kDeadlineMs)}};
    if (absl::StartsWith(target, "/stream/")) {
      fields.insert(fields.end(), {{"Model", "m1"}, {"Token-Count", "10,6"}});
    }
    const auto exchange = caller_.Send(process.request_address(),
                                       RequestText("POST", target, "h", fields, "x"), &call);
    if (!Wait([&] { return call.ended; })) {
      return false;
    }
    if (call.whole && call.status == 200) {
      return true;
    }
    // A refusal comes at once; what changes it is read from the store.
    (void)Wait([&] { return store_.calls() > calls; });
  }
  return false;
}

int ForeignEntriesWorld::LivingProcesses() {
  int ignored = 0;
  return static_cast<int>(std::count_if(
      processes_.begin(), processes_.end(),
      [&](const auto& process) { return !process->Reap(&ignored) && process->running(); }));
}

int ForeignEntriesWorld::ServingProcesses() {
  (void)LivingProcesses();
  return static_cast<int>(
      std::count_if(processes_.begin(), processes_.end(), [&](const auto& process) {
        return IsServed(*process, "/plain/x") && IsServed(*process, "/stream/x");
      }));
}

bool ForeignEntriesWorld::AwaitReads() {
  // The first of these reads may have been under way; the processes read in turn.
  const int reads = store_.reads(kFleetTable) + 2 * static_cast<int>(processes_.size());
  const int lived = LivingProcesses();
  return Wait([&] { return store_.reads(kFleetTable) >= reads || LivingProcesses() < lived; });
}

std::vector<std::string> ForeignEntriesWorld::Lines(const std::string& text) const {
  std::vector<std::string> lines;
  for (const auto& process : processes_) {
    std::ifstream log(process->log_file());
    for (std::string line; std::getline(log, line);) {
      if (absl::StrContains(line, text)) {
        lines.push_back(line);
      }
    }
  }
  return lines;
}

std::size_t ForeignEntriesWorld::LogLines(const std::string& text) const {
  return Lines(text).size();
}

void ForeignEntriesWorld::CheckServed() {
  const int processes = static_cast<int>(processes_.size());
  REQUIRE(AwaitReads());
  CHECK(LivingProcesses() == processes);
  CHECK(ServingProcesses() == processes);
  RestartAll();
  CHECK(ServingProcesses() == processes);
  REQUIRE(AwaitReads());
  CHECK(LivingProcesses() == processes);
  for (const std::string& line : Lines("_malformed")) {
    CHECK(line.size() <= kLongestLogLine);
  }
}

bool ForeignEntriesWorld::Wait(const std::function<bool()>& done) {
  return loop_.RunUntil(done, kWaitLimit);
}

}  // namespace hingespan::foreign_entries
