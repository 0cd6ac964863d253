#include "emulator/admin_front_end.h"

#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "emulator/http_answers.h"
#include "emulator/json_forms.h"

namespace hingespan::emulator {
namespace {

using nlohmann::json;

constexpr int kThreadLimit = 256;
constexpr std::uint64_t kDefaultPageSize = 10000;
constexpr std::uint64_t kDefaultWaitMs = 10000;
constexpr std::uint64_t kMaximumWaitMs = 600000;

absl::Duration Milliseconds(const json& fault, const char* key) {
  return absl::Milliseconds(fault.value(key, 0.0));
}

LogFilter FilterOf(const httplib::Request& request) {
  LogFilter filter;
  if (request.has_param("event")) {
    filter.event = request.get_param_value("event");
  }
  filter.worker = WorkerId(request.get_param_value("worker"));
  filter.model = ModelName(request.get_param_value("model"));
  filter.request = RequestId(request.get_param_value("request"));
  return filter;
}

}  // namespace

AdminFrontEnd::AdminFrontEnd(AdminParts parts) : parts_(std::move(parts)), server_(kThreadLimit) {
  httplib::Server& routes = server_.routes();
  routes.Get("/log", [this](const httplib::Request& request, httplib::Response& response) {
    ReadLog(request, response);
  });
  routes.Get("/log/wait", [this](const httplib::Request& request, httplib::Response& response) {
    WaitForLog(request, response);
  });
  routes.Get("/totals", [this](const httplib::Request&, httplib::Response& response) {
    ReadTotals(response);
  });
  routes.Post("/faults", [this](const httplib::Request& request, httplib::Response& response) {
    SetFault(request, response);
  });
}

void AdminFrontEnd::ReadLog(const httplib::Request& request, httplib::Response& response) {
  const std::uint64_t after = NumberParameter(request, "after", 0);
  const std::uint64_t limit = NumberParameter(request, "limit", kDefaultPageSize);
  json entries = json::array();
  for (const LogEntry& entry : parts_.log->After(after, limit)) {
    entries.push_back(ToJson(entry));
  }
  AnswerJson(kHttpOk, json{{"entries", std::move(entries)}}, &response);
}

void AdminFrontEnd::WaitForLog(const httplib::Request& request, httplib::Response& response) {
  const std::uint64_t after = NumberParameter(request, "after", 0);
  const std::uint64_t wait_ms =
      std::min(kMaximumWaitMs, NumberParameter(request, "timeout_ms", kDefaultWaitMs));
  const std::optional<LogEntry> entry = parts_.log->WaitFor(
      after, FilterOf(request), absl::Milliseconds(static_cast<std::int64_t>(wait_ms)));
  if (entry.has_value()) {
    AnswerJson(kHttpOk, ToJson(*entry), &response);
  } else {
    AnswerError(kHttpTimeout, "timeout", &response);
  }
}

void AdminFrontEnd::ReadTotals(httplib::Response& response) {
  AnswerJson(kHttpOk, ToJson(parts_.log->totals(), parts_.fleet->totals()), &response);
}

void AdminFrontEnd::SetFault(const httplib::Request& request, httplib::Response& response) {
  std::string problem;
  try {
    problem = Apply(json::parse(request.body));
  } catch (const json::exception& error) {
    problem = error.what();
  }
  if (problem.empty()) {
    AnswerJson(kHttpOk, json::object(), &response);
  } else {
    AnswerError(kHttpBadRequest, problem, &response);
  }
}

std::string AdminFrontEnd::Apply(const json& fault) {
  const std::string name = fault.at("fault").get<std::string>();
  if (name == "platform") {
    return SetPlatformFault(fault);
  }
  if (name == "weight_store") {
    parts_.fleet->SetWeightStoreSlowdown(fault.at("slowdown").get<double>());
    return "";
  }
  if (name == "machine") {
    return SetMachineState(fault);
  }
  if (name == "link") {
    return SetLink(fault);
  }
  if (name == "engine_lose_answers") {
    return LoseEngineAnswers(fault);
  }
  return InjectEngineFault(name, fault);
}

std::string AdminFrontEnd::SetPlatformFault(const json& fault) {
  PlatformFault platform;
  const std::string mode = fault.at("mode").get<std::string>();
  if (mode == "down") {
    platform.mode = PlatformMode::kDown;
  } else if (mode == "slow") {
    platform.mode = PlatformMode::kSlow;
  } else if (mode == "lose_answers") {
    platform.mode = PlatformMode::kLoseAnswers;
  } else if (mode != "up") {
    return "mode must be up, down, slow or lose_answers";
  }
  platform.delay = Milliseconds(fault, "delay_ms");
  platform.probability = fault.value("probability", 1.0);
  platform.count = fault.value("count", std::int64_t{-1});
  const ZoneId zone(fault.value("zone", std::string()));
  if (!zone.empty() && !IsZone(zone)) {
    return "unknown zone";
  }
  parts_.gate->SetFault(zone, platform);
  return "";
}

std::string AdminFrontEnd::SetMachineState(const json& fault) {
  const std::optional<MachineState> state = ParseMachineState(fault.at("state").get<std::string>());
  if (!state.has_value()) {
    return "state must be live, leaving or gone";
  }
  const NodeId node(fault.value("node", std::string()));
  if (!node.empty()) {
    return parts_.machines->SetNodeState(node, *state) ? "" : "unknown node";
  }
  const WorkerId worker(fault.at("worker").get<std::string>());
  if (!parts_.machines->SetWorkerState(worker, *state)) {
    return "unknown worker";
  }
  if (*state == MachineState::kGone) {
    parts_.fleet->InjectFault(worker, [](Engine& engine, absl::Time now) { engine.End(now); });
  }
  return "";
}

std::string AdminFrontEnd::SetLink(const json& fault) {
  const ZoneId from(fault.at("from").get<std::string>());
  const ZoneId to(fault.at("to").get<std::string>());
  if (!IsZone(from) || !IsZone(to) || from == to) {
    return "from and to must be two zones";
  }
  LinkState state;
  const std::string mode = fault.at("mode").get<std::string>();
  if (mode == "cut") {
    state.cut = true;
  } else if (mode == "delay") {
    state.delay = Milliseconds(fault, "delay_ms");
  } else if (mode != "up") {
    return "mode must be up, cut or delay";
  }
  parts_.links->SetState(from, to, state);
  return "";
}

std::string AdminFrontEnd::LoseEngineAnswers(const json& fault) {
  const WorkerId worker(fault.at("worker").get<std::string>());
  const std::string calls = fault.value("calls", std::string("all"));
  const std::int64_t count = fault.value("count", std::int64_t{-1});
  if (calls != "all" && calls != "orders" && calls != "generate") {
    return "calls must be orders, generate or all";
  }
  const AccessResult access = parts_.fleet->InjectFault(worker, [](Engine&, absl::Time) {});
  if (access != AccessResult::kReached) {
    return "unknown worker";
  }
  if (calls != "generate") {
    parts_.engine_faults->LoseAnswers(worker, EngineCall::kOrder, count);
  }
  if (calls != "orders") {
    parts_.engine_faults->LoseAnswers(worker, EngineCall::kGenerate, count);
  }
  return "";
}

std::string AdminFrontEnd::InjectEngineFault(const std::string& name, const json& fault) {
  const WorkerId worker(fault.value("worker", std::string()));
  std::function<void(Engine&, absl::Time)> call;
  if (name == "engine_restart") {
    call = [](Engine& engine, absl::Time now) { engine.Restart(now); };
  } else if (name == "engine_freeze") {
    const bool frozen = fault.value("frozen", true);
    call = [frozen](Engine& engine, absl::Time now) { engine.SetFrozen(frozen, now); };
  } else if (name == "engine_break_streams") {
    call = [](Engine& engine, absl::Time) { engine.BreakStreams(); };
  } else if (name == "engine_fail_loads") {
    const int count = fault.value("count", 1);
    call = [count](Engine& engine, absl::Time) { engine.FailLoads(count); };
  } else if (name == "order_duplicates") {
    const bool enabled = fault.value("enabled", true);
    const absl::Duration delay = Milliseconds(fault, "delay_ms");
    call = [this, worker, enabled, delay](Engine&, absl::Time) {
      parts_.engine_faults->SetDuplicates(
          worker, enabled ? std::optional<absl::Duration>(delay) : std::nullopt);
    };
  } else {
    return "unknown fault";
  }
  const AccessResult access = parts_.fleet->InjectFault(worker, call);
  return access == AccessResult::kReached ? "" : "unknown worker";
}

bool AdminFrontEnd::IsZone(const ZoneId& zone) const {
  return std::find(parts_.zones.begin(), parts_.zones.end(), zone) != parts_.zones.end();
}

}  // namespace hingespan::emulator
