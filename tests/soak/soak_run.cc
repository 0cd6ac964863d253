#include "tests/soak/soak_run.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "tests/soak/brittle_workers.h"
#include "tests/soak/prompt_crashes.h"
#include "tests/soak/request_crashes.h"
#include "tests/soak/stream_versions.h"

namespace hingespan::soak {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration kStartLimit = absl::Seconds(10);
constexpr absl::Duration kSettleTime = absl::Seconds(3);
constexpr absl::Duration kRecoveryTime = absl::Seconds(12);
constexpr absl::Duration kFinalTraffic = absl::Seconds(3);
constexpr absl::Duration kDrainTime = absl::Seconds(11);
constexpr absl::Duration kRequestInterval = absl::Milliseconds(25);
constexpr absl::Duration kProbeInterval = absl::Milliseconds(400);
constexpr absl::Duration kChangeInterval = absl::Seconds(4);
constexpr absl::Duration kProcessPollInterval = absl::Milliseconds(50);
constexpr absl::Duration kDownTime = absl::Milliseconds(400);
constexpr absl::Duration kHeartbeat = absl::Milliseconds(1200);
constexpr double kModelMemoryMb = 100;
constexpr double kWorkerMemoryMb = 250;

// XORed into the seed for the draws of software versions.
constexpr std::uint64_t kVersionSeedMask = 0x7e7510;
// Time between two workers of an upgrade, and the fraction of the faults' time at which it begins.
constexpr absl::Duration kUpgradeInterval = absl::Milliseconds(1500);
constexpr double kUpgradeBegin = 0.35;
constexpr absl::Duration kTakeUpInterval = absl::Milliseconds(40);
// XORed into the seed for the draws of prompts.
constexpr std::uint64_t kPromptSeedMask = 0x9a0b75;
constexpr absl::Duration kPromptInterval = absl::Milliseconds(50);
constexpr absl::Duration kPromptTime = absl::Milliseconds(30);
// Mean time between faults beside prompts; most gateways must be in touch.
constexpr absl::Duration kPromptFaultGap = absl::Seconds(4);
constexpr int kPromptWorkers = 6;
constexpr absl::Duration kFirstKillBesidePauses = absl::Seconds(6);
constexpr absl::Duration kProcessInterval = absl::Milliseconds(20);
// XORed into the seed for the draws of what presses brittle workers.
constexpr std::uint64_t kPressSeedMask = 0xb2177;
constexpr absl::Duration kPressInterval = absl::Milliseconds(4);
constexpr absl::Duration kCrashingInterval = absl::Milliseconds(1500);
constexpr absl::Duration kBrittleBegin = absl::Seconds(2);
constexpr int kBrittleSlots = 4;
constexpr absl::Duration kBrittleRunTime = absl::Milliseconds(60);
constexpr double kExtraRepeatsPerGateway = 5;
// Gateways for each further worker of a service: larger fleets have more callers.
constexpr std::size_t kGatewaysPerExtraWorker = 4;
constexpr emulator::StreamShape kLargeStream{kLargeStreamEvents, absl::Milliseconds(2),
                                             kLargeStreamPadding};

Json RouteJson(const std::string& prefix, const std::string& kind, const std::string& service,
               int attempts, bool resumable) {
  return Json{{"name", prefix},         {"host", kHost},       {"path_prefix", prefix},
              {"kind", kind},           {"timeout_ms", 10000}, {"target_latency_ms", 600},
              {"priority", 1},          {"service", service},  {"max_attempts", attempts},
              {"resumable", resumable}, {"gap_target_ms", 300}};
}

}  // namespace

SoakRun::SoakRun(SoakOptions options)
    : options_(std::move(options)),
      random_(options_.seed ^ 0x50a150a1),
      store_(&loop_),
      client_(&loop_, gateway::ClientLimits{}),
      gateways_(options_.gateways),
      version_random_(options_.seed ^ kVersionSeedMask),
      prompt_random_(options_.seed ^ kPromptSeedMask),
      press_random_(options_.seed ^ kPressSeedMask) {
  FaultPlanOptions plan;
  plan.seed = options_.seed;
  plan.length = options_.length;
  if (options_.style == Style::kStreams) {
    plan_ = MakeStreamPlan(plan);
  } else if (options_.style == Style::kPaused) {
    plan_ = MakePausePlan(plan);
    plan.mean_gap = kPromptFaultGap;
    plan_ = MergePlans(std::move(plan_), MakePromptPlan(plan, kFirstKillBesidePauses));
    records_.repeats.extra = kExtraRepeatsPerGateway * static_cast<double>(options_.gateways);
  } else if (options_.style == Style::kPrompts || options_.style == Style::kBrittle ||
             options_.style == Style::kRequests) {
    plan.mean_gap = kPromptFaultGap;
    plan_ = MakePromptPlan(plan, kPromptsBegin);
  } else if (options_.style != Style::kPlanned) {
    plan_ = MakeFaultPlan(plan);
  }
  if (options_.style == Style::kMixed || options_.style == Style::kPlanned) {
    SeriesPlanOptions series;
    series.seed = options_.seed;
    series.length = options_.length;
    series.gateways = static_cast<std::uint32_t>(options_.gateways);
    series.unplanned = options_.style == Style::kMixed;
    plan_ = MergePlans(std::move(plan_), MakeSeriesPlan(series));
    plan_ = MergePlans(std::move(plan_), MakeSilencePlan(plan));
    records_.repeats.extra = kExtraRepeatsPerGateway * static_cast<double>(options_.gateways);
  }
  records_.planned_only = options_.style == Style::kPlanned;
  records_.grace = absl::Seconds(kStopSeconds);
}

SoakRun::~SoakRun() = default;

Style SoakRun::DefaultStyle(std::uint64_t seed) {
  static constexpr Style kStyles[] = {
      Style::kPlanned, Style::kMixed,   Style::kPlanned, Style::kMixed,    Style::kSingle,
      Style::kStreams, Style::kPrompts, Style::kBrittle, Style::kRequests, Style::kPaused};
  return kStyles[seed % std::size(kStyles)];
}

bool SoakRun::WorkersCheckTokens() const {
  // False for a quarter of the seeds, chosen so that the older seeds of kept_seeds.txt are not
  // among them.
  return options_.seed % 4 != 2;
}

void SoakRun::At(absl::Duration after, std::function<void()> task) {
  timers_.push_back(loop_.MakeTimer());
  timers_.back()->Set(loop_.Now() + after, std::move(task));
}

void SoakRun::Every(absl::Duration interval, std::function<void()> task) {
  At(interval, [this, interval, task = std::move(task)] {
    if (finished_) {
      return;
    }
    task();
    Every(interval, task);
  });
}

void SoakRun::RecordDisturbance(Disturbance::Component component, std::size_t target,
                                absl::Duration duration) {
  records_.disturbances.push_back({component, target, loop_.Now(), loop_.Now() + duration});
}

void SoakRun::AddWorker(const std::string& service, const std::string& model,
                        const std::string& software_version) {
  auto entry = std::make_unique<Worker>();
  entry->id = absl::StrCat(service, "-", ++next_worker_);
  entry->service = service;
  entry->software_version = software_version;
  records_.presences.push_back({entry->id, service, software_version, loop_.Now()});
  emulator::PlatformWorkerOptions options;
  options.id = entry->id;
  options.service = service;
  options.zone = absl::StrCat("zone-", next_worker_ % 2);
  options.slots = 16;
  options.events = kStreamEvents;
  options.event_interval = absl::Milliseconds(30);
  options.shapes[kLargeStreamTarget] = kLargeStream;
  options.shapes[kLargeOnceTarget] = kLargeStream;
  options.load_time = absl::Milliseconds(300);
  options.includes_request_id = true;
  options.software_version = software_version;
  options.includes_software_version = true;
  options.checks_tokens = WorkersCheckTokens();
  // A third of the workers' streams have no framing of their own.
  options.unframed_streams = next_worker_ % 3 == 0;
  options.heartbeat = kHeartbeat;
  options.writes_row_at_start = false;
  options.model_memory_mb = kModelMemoryMb;
  options.memory_mb = kWorkerMemoryMb;
  if (options_.style == Style::kPrompts && service == "models") {
    options.prompt_time = kPromptTime;
    options.crashing_part = kCrashingPart;
    options.on_crash = [this, worker = entry.get()] { CrashByPrompt(worker); };
  }
  if (options_.style == Style::kRequests) {
    options.crashing_body = kCrashingBody;
    // Some workers end before they answer, some inside a stream.
    options.events_before_crash = next_worker_ % 2 == 0 ? 0 : 3;
    options.on_crash = [this, worker = entry.get()] { CrashByRequest(worker); };
  }
  if (options_.style == Style::kBrittle) {
    options.slots = kBrittleSlots;
    options.queue = kQueue;
    options.run_time = kBrittleRunTime;
    options.on_crash = [this, worker = entry.get()] { FallOver(worker); };
  }
  if (!model.empty()) {
    options.models[model];
  }
  entry->worker = std::make_unique<emulator::PlatformWorker>(&loop_, &store_, std::move(options));
  entry->link = std::make_unique<FaultProxy>(&loop_, entry->worker->address());
  entry->worker->Announce(entry->link->address());
  SetRoom(entry.get());
  workers_.push_back(std::move(entry));
}

std::string SoakRun::NewVersion() { return absl::StrCat("v", ++newest_version_); }

std::string SoakRun::VersionOfReplacement(const std::string& software_version) {
  return version_random_() % 2 == 0 ? software_version : NewVersion();
}

void SoakRun::BeginUpgrade() { UpgradeNext(NewVersion()); }

void SoakRun::UpgradeNext(const std::string& software_version) {
  for (const auto& worker : workers_) {
    if (worker->present && worker->service == "models" &&
        worker->software_version != software_version) {
      AddWorker("models", "m1", software_version);
      RecordDisturbance(Disturbance::Component::kWorker, 0, absl::Seconds(2));
      RemoveWorker(worker.get(), true);
      At(kUpgradeInterval, [this, software_version] { UpgradeNext(software_version); });
      return;
    }
  }
}

void SoakRun::PutConfiguration() {
  ++version_;
  Json models = Json::array();
  for (int number = 1; number <= kModels; ++number) {
    models.push_back({{"name", absl::StrCat("m", number)},
                      {"weights_mb", kModelMemoryMb},
                      {"load_s", 0.3},
                      {"adapters", 2},
                      {"adapter_mb", 1.0}});
  }
  const Json engine{
      {"slots", 16},        {"kv_capacity_tokens", 100000}, {"weights_mb", kWorkerMemoryMb},
      {"adapter_slots", 4}, {"loads_per_s", 10.0},          {"models", models}};
  const Json configuration{
      {"version", version_},
      {"routes", Json::array({RouteJson("/act/", "non_idempotent", "plain", 1, false),
                              RouteJson("/read/", "idempotent", "plain", 2, false),
                              RouteJson("/resumable/", "streaming", "models", 2, true),
                              RouteJson("/once/", "streaming", "models", 1, false),
                              RouteJson("/process/", "idempotent", kProcessService, 2, false),
                              RouteJson(absl::StrCat("/v", version_, "/"), "idempotent", "plain", 2,
                                        false)})},
      {"services",
       Json::array({Json{{"name", "plain"}, {"max_connections", 100}},
                    Json{{"name", kProcessService}, {"max_connections", 100}},
                    Json{{"name", "models"}, {"max_connections", 100}, {"engine", engine}}})},
      {"limits", Json::object()}};
  store_.Put("op", "config", configuration.dump());
  records_.changes.push_back({version_, loop_.Now()});
}

void SoakRun::KeepGatewaysRunning() {
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    Gateway& gateway = gateways_[index];
    int status = 0;
    if (gateway.process->Reap(&status)) {
      const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
      const bool stopped = WIFEXITED(status) && WEXITSTATUS(status) == 0 && gateway.stopping;
      if (!killed && !stopped) {
        records_.process_failures.push_back(absl::StrCat(gateway.process->name(), " incarnation ",
                                                         gateway.process->incarnation(),
                                                         " wait status ", status));
      }
      gateway.stopping = false;
      gateway.paused = false;
      gateway.down_until = loop_.Now() + kDownTime;
    }
    if (!gateway.process->running() && !finished_ && loop_.Now() >= gateway.down_until) {
      gateway.process->Launch();
      gateway.listens_by = loop_.Now() + kStartLimit;
    }
    if (gateway.process->running() && !gateway.process->serving()) {
      AwaitStart(index);
    }
  }
}

void SoakRun::AwaitStart(std::size_t index) {
  Gateway& gateway = gateways_[index];
  if (!gateway.process->Listens()) {
    if (loop_.Now() > gateway.listens_by) {
      records_.process_failures.push_back(absl::StrCat(gateway.process->name(), " does not start"));
      gateway.process->Signal(SIGKILL);
      gateway.listens_by = absl::InfiniteFuture();
    }
    return;
  }
  if (std::exchange(gateway.stop_when_started, false)) {
    StopGateway(index);
  }
}

std::vector<BrokenPromise> SoakRun::Play() {
  for (int number = 0; number < 3; ++number) {
    AddWorker("plain", "", "v1");
  }
  for (int number = 1; number <= 3; ++number) {
    AddWorker("models", absl::StrCat("m", number), "v1");
  }
  for (std::size_t number = 0; number < options_.gateways / kGatewaysPerExtraWorker; ++number) {
    AddWorker("plain", "", "v1");
    AddWorker("models", absl::StrCat("m", 1 + number % kModels), "v1");
  }
  for (int number = 1; number <= 2; ++number) {
    AddWorker("models", absl::StrCat("m", number), "v2");
  }
  for (int number = 0; options_.style == Style::kPrompts && number < kPromptWorkers; ++number) {
    AddWorker("models", kPromptModel, "v1");
  }
  for (int number = 0; options_.style == Style::kRequests && number < kPromptWorkers; ++number) {
    AddWorker("models", kPromptModel, "v1");
    AddWorker("plain", "", "v1");
  }
  if (options_.style == Style::kPaused && !StartProcessWorkers()) {
    return {{"processes start", "not all workers listen"}};
  }
  PutConfiguration();
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    Gateway& gateway = gateways_[index];
    gateway.store_link = std::make_unique<FaultProxy>(&loop_, store_.address());
    gateway.process = std::make_unique<GatewayProcess>(GatewayProcessOptions{
        options_.program, absl::StrCat("gateway-", index), absl::StrCat("zone-", index % 2),
        gateway.store_link->address(), options_.folder, kStopSeconds, WorkersCheckTokens(),
        records_.repeats});
    gateway.process->Launch();
  }
  const bool all_started = loop_.RunUntil(
      [this] {
        return std::all_of(gateways_.begin(), gateways_.end(),
                           [](const Gateway& gateway) { return gateway.process->Listens(); });
      },
      kStartLimit);
  if (!all_started) {
    return {{"processes start", "not all listen"}};
  }
  At(kSettleTime, [this] {
    records_.traffic_began = loop_.Now();
    Every(kRequestInterval, [this] { SendRequest(); });
    Every(kProbeInterval, [this] { SendProbes(); });
    Every(kChangeInterval, [this] { PutConfiguration(); });
    Every(kTakeUpInterval, [this] { TakeUpStreams(); });
    if (options_.style == Style::kPrompts) {
      Every(kPromptInterval, [this] { SendPrompt(); });
    } else if (options_.style == Style::kPaused) {
      Every(kProcessInterval, [this] { SendToProcesses(); });
    } else if (options_.style == Style::kRequests) {
      Every(kCrashingInterval, [this] { SendCrashing(); });
      Every(kTakeUpInterval, [this] { RetryCrashing(); });
    } else if (options_.style == Style::kBrittle) {
      At(kBrittleBegin, [this] { BeginBrittle(); });
      Every(kPressInterval, [this] { Press(); });
    } else if (options_.style != Style::kPlanned) {
      At(options_.length * kUpgradeBegin, [this] { BeginUpgrade(); });
    }
    if (options_.style != Style::kSingle) {
      AddKeepAliveCallers();
    }
    for (const PlannedFault& fault : plan_) {
      At(fault.at, [this, fault] { InjectFault(fault); });
    }
  });
  Every(kProcessPollInterval, [this] { KeepGatewaysRunning(); });
  At(kSettleTime + options_.length, [this] {
    records_.faults_over = loop_.Now();
    for (const auto& worker : process_workers_) {
      worker->StopFailing();
    }
    EndBrittle();
  });
  At(kSettleTime + options_.length + kRecoveryTime,
     [this] { records_.recovery_began = loop_.Now(); });
  const absl::Duration traffic = kSettleTime + options_.length + kRecoveryTime + kFinalTraffic;
  At(traffic, [this] { sending_ = false; });
  At(traffic + kDrainTime, [this] {
    finished_ = true;
    loop_.Stop();
  });
  loop_.Run();
  for (const auto& worker : workers_) {
    views_.push_back({worker->id, worker->worker.get(), worker->service});
  }
  for (const auto& worker : process_workers_) {
    const auto arrivals = worker->Arrivals();
    records_.process_arrivals.insert(records_.process_arrivals.end(), arrivals.begin(),
                                     arrivals.end());
  }
  return CheckPromises(records_, views_);
}

const char* StyleName(Style style) {
  switch (style) {
    case Style::kSingle:
      return "single";
    case Style::kMixed:
      return "mixed";
    case Style::kPlanned:
      return "planned";
    case Style::kStreams:
      return "streams";
    case Style::kPrompts:
      return "prompts";
    case Style::kBrittle:
      return "brittle";
    case Style::kRequests:
      return "requests";
    case Style::kPaused:
      return "paused";
  }
  return "";
}

std::string SoakRun::Summary() const {
  std::map<std::string, int> counts;
  for (const auto& request : records_.requests) {
    if (request->kind != RequestKind::kProbe) {
      ++counts[request->cancelled() ? "cancelled" : absl::StrCat("status ", request->head.status)];
    }
  }
  std::string text = absl::StrCat(StyleName(options_.style), ", ", records_.requests.size(),
                                  " requests with probes, ", records_.signals.size(), " signals");
  const auto [fresh, taken_up] = CountStreams(records_);
  absl::StrAppend(&text, ", streams begun in touch ", fresh.served, " of ", fresh.all,
                  ", gone on in touch ", taken_up.served, " of ", taken_up.all);
  if (options_.style == Style::kPrompts) {
    const PromptCounts prompts = CountPrompts(records_, views_);
    absl::StrAppend(
        &text, ", crashes by prompts ", records_.prompt_crashes.size(), ", late arrivals in touch ",
        prompts.late_arrivals, ", sound prompts in touch before ", prompts.before.served, " of ",
        prompts.before.all, ", after ", prompts.after.served, " of ", prompts.after.all);
  }
  if (options_.style == Style::kRequests) {
    const CrashingRequestCounts crashing = CountCrashingRequests(records_, views_);
    absl::StrAppend(&text, ", ", crashing.ended_workers, " workers ended under ", crashing.requests,
                    " requests, late arrivals in touch ", crashing.late_arrivals);
  }
  for (const auto& [service, brittle] : CountBrittle(records_, views_)) {
    absl::StrAppend(&text, ", brittle ", service, ": falls ", brittle.falls, ", rejections ",
                    brittle.rejections, ", served in touch ", brittle.served, " of ", brittle.sent);
  }
  for (const auto& [name, count] : counts) {
    absl::StrAppend(&text, ", ", name, ": ", count);
  }
  return text;
}

}  // namespace hingespan::soak
