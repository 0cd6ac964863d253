#include "tests/paused_workers/paused_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::paused_workers {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration kWaitLimit = absl::Minutes(2);
constexpr absl::Duration kDeadline = absl::Seconds(3);
constexpr absl::Duration kLateArrival = absl::Seconds(2);
constexpr double kExtraRepeats = 52;

std::string MakeFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "hingespan-paused-XXXXXX").string();
  REQUIRE(mkdtemp(name.data()) != nullptr);
  return name;
}

std::string ProgramPath(const std::string& name) {
  return absl::StrCat(HINGESPAN_PROGRAM_DIRECTORY, "/", name);
}

}  // namespace

struct PausedWorld::Call : public gateway::AnswerReceiver {
  bool OnHead(const gateway::AnswerHead& head) override {
    status = head.status;
    return true;
  }
  void OnBody(absl::string_view) override {}
  void OnEnd(gateway::ExchangeResult) override { ended = true; }

  std::string id;
  absl::Time sent;
  int status = 0;
  bool ended = false;
  std::unique_ptr<gateway::ClientExchange> exchange;
};

PausedWorld::PausedWorld(const Play& play)
    : play_(play), folder_(MakeFolder()), store_(&loop_), caller_(&loop_, gateway::ClientLimits{}) {
  limits_.extra = kExtraRepeats;
  StartWorkers();
  PutConfiguration();
  StartGateways();
}

PausedWorld::~PausedWorld() {
  calls_.clear();
  gateways_.clear();
  workers_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void PausedWorld::StartWorkers() {
  for (std::size_t number = 0; number < play_.workers; ++number) {
    soak::WorkerProcessOptions options;
    options.program = ProgramPath("soak-worker");
    options.folder = folder_;
    options.id = absl::StrCat("w", number);
    options.failing_share = play_.failing_share;
    workers_.push_back(std::make_unique<soak::WorkerProcess>(std::move(options)));
  }
  REQUIRE(soak::AwaitListening(&loop_, workers_, kWaitLimit));
  for (const auto& worker : workers_) {
    store_.Put("servers", worker->id(), worker->Row());
  }
}

void PausedWorld::PutConfiguration() {
  const Json route{{"name", "read"},       {"host", "h"},        {"path_prefix", "/read/"},
                   {"kind", "idempotent"}, {"timeout_ms", 5000}, {"target_latency_ms", 800},
                   {"priority", 1},        {"service", "plain"}, {"max_attempts", 2},
                   {"resumable", false},   {"gap_target_ms", 50}};
  const Json configuration{
      {"version", 1},
      {"routes", Json::array({route})},
      {"services", Json::array({Json{{"name", "plain"}, {"max_connections", 1000}}})},
      {"limits", Json::object()}};
  store_.Put("op", "config", configuration.dump());
}

void PausedWorld::StartGateways() {
  for (std::size_t number = 0; number < play_.gateways; ++number) {
    soak::GatewayProcessOptions options;
    options.program = ProgramPath("hingespan-gateway");
    options.name = absl::StrCat("n", number);
    options.zone = "zone-a";
    options.store_address = store_.address();
    options.folder = folder_;
    options.repeats = limits_;
    gateways_.push_back(std::make_unique<soak::GatewayProcess>(std::move(options)));
    gateways_.back()->Launch();
  }
  REQUIRE(loop_.RunUntil(
      [this] {
        return std::all_of(gateways_.begin(), gateways_.end(),
                           [](const auto& gateway) { return gateway->Listens(); });
      },
      kWaitLimit));
}

void PausedWorld::At(absl::Duration after, std::function<void()> task) {
  timers_.push_back(loop_.MakeTimer());
  timers_.back()->Set(began_ + after, std::move(task));
}

void PausedWorld::PlanPauses() {
  for (const Pause& pause : play_.pauses) {
    for (std::size_t number = 0; number < pause.count; ++number) {
      soak::WorkerProcess* const worker = workers_[pause.first + number].get();
      At(pause.begin + static_cast<double>(number) * pause.apart, [worker] { worker->Pause(); });
      At(pause.end, [worker] { worker->GoOn(); });
    }
  }
}

void PausedWorld::SendNext() {
  if (!sending_) {
    return;
  }
  auto call = std::make_unique<Call>();
  call->id = absl::StrCat("r", calls_.size());
  call->sent = loop_.Now();
  const gateway::HeaderFields fields = {
      {"Attempt-Id", call->id},
      {"Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(kDeadline))}};
  call->exchange =
      caller_.Send(gateways_[calls_.size() % gateways_.size()]->request_address(),
                   gateway::RequestText("GET", "/read/x", "h", fields, ""), call.get());
  calls_.push_back(std::move(call));
  timers_.front()->Set(
      began_ + static_cast<double>(calls_.size()) * absl::Seconds(1 / play_.requests_per_second),
      [this] { SendNext(); });
}

Outcome PausedWorld::Run() {
  began_ = loop_.Now();
  At(absl::ZeroDuration(), [this] { SendNext(); });
  PlanPauses();
  At(play_.length, [this] { sending_ = false; });
  REQUIRE(loop_.RunUntil(
      [this] {
        return !sending_ && std::all_of(calls_.begin(), calls_.end(),
                                        [](const auto& call) { return call->ended; });
      },
      play_.length + kWaitLimit));
  return OutcomeOf();
}

bool PausedWorld::DuringPause(absl::Time time) const {
  return std::any_of(play_.pauses.begin(), play_.pauses.end(), [&](const Pause& pause) {
    return time >= began_ + pause.begin && time < began_ + pause.end;
  });
}

Outcome PausedWorld::OutcomeOf() const {
  Outcome outcome;
  soak::ServiceTraffic traffic;
  for (const auto& call : calls_) {
    traffic.requests.push_back(call->sent);
    const int served = call->status == 200 ? 1 : 0;
    ++outcome.requests;
    outcome.served += served;
    if (DuringPause(call->sent)) {
      ++outcome.paused_requests;
      outcome.paused_served += served;
    }
  }
  for (const auto& worker : workers_) {
    for (const auto& arrival : worker->Arrivals()) {
      traffic.arrivals[arrival.id].push_back(arrival.at);
    }
  }
  for (const auto& [id, times] : traffic.arrivals) {
    const absl::Time first = *std::min_element(times.begin(), times.end());
    outcome.late_arrivals += static_cast<int>(std::count_if(
        times.begin(), times.end(), [&](absl::Time at) { return at > first + kLateArrival; }));
  }
  outcome.worst = soak::WorstRepeatWindow(std::move(traffic), limits_);
  return outcome;
}

}  // namespace hingespan::paused_workers
