#include "tests/soak/soak_run.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

using emulator::StoreFault;
using emulator::WorkerFault;
using Json = nlohmann::json;

constexpr absl::Duration kStartLimit = absl::Seconds(10);
constexpr absl::Duration kSettleTime = absl::Seconds(3);
constexpr absl::Duration kRecoveryTime = absl::Seconds(12);
constexpr absl::Duration kFinalTraffic = absl::Seconds(3);
constexpr absl::Duration kDrainTime = absl::Seconds(11);
constexpr absl::Duration kRequestInterval = absl::Milliseconds(25);
constexpr absl::Duration kProbeInterval = absl::Milliseconds(400);
constexpr absl::Duration kChangeInterval = absl::Seconds(4);
constexpr absl::Duration kLookInterval = absl::Milliseconds(50);
constexpr absl::Duration kDownTime = absl::Milliseconds(400);
constexpr absl::Duration kCancelAfter = absl::Milliseconds(150);
// After its row said so, until it answers nobody.
constexpr absl::Duration kServesAfterLeave = absl::Seconds(7);
// A crashed worker's row stays for so long.
constexpr absl::Duration kRowAfterCrash = absl::Seconds(2);
constexpr absl::Duration kHeartbeat = absl::Milliseconds(1200);
constexpr double kCancelledPart = 0.04;
constexpr int kModels = 4;
constexpr double kModelMemoryMb = 100;
constexpr double kWorkerMemoryMb = 250;
constexpr int kEvents = 12;
constexpr int kStopSeconds = 6;
constexpr const char* kHost = "soak.example";

Json RouteJson(const std::string& prefix, const std::string& kind, const std::string& service,
               int attempts, bool resumable) {
  return Json{{"name", prefix},         {"host", kHost},       {"path_prefix", prefix},
              {"kind", kind},           {"timeout_ms", 10000}, {"target_latency_ms", 600},
              {"priority", 1},          {"service", service},  {"max_attempts", attempts},
              {"resumable", resumable}, {"gap_target_ms", 300}};
}

WorkerFault WorkerFaultOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kWorkerFails:
      return WorkerFault::kFails;
    case FaultKind::kWorkerSheds:
      return WorkerFault::kSheds;
    case FaultKind::kWorkerLosesAnswers:
      return WorkerFault::kLosesAnswer;
    case FaultKind::kWorkerMixesAnswers:
      return WorkerFault::kOtherRequest;
    case FaultKind::kWorkerBreaksStreams:
      return WorkerFault::kBreaksStream;
    case FaultKind::kWorkerSilent:
      return WorkerFault::kSilent;
    default:
      return WorkerFault::kNone;
  }
}

LinkFault LinkFaultOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kStoreLinkDelay:
    case FaultKind::kWorkerLinkDelay:
      return LinkFault::kDelay;
    case FaultKind::kStoreLinkReset:
    case FaultKind::kWorkerLinkReset:
      return LinkFault::kReset;
    case FaultKind::kStoreLinkCutTowards:
      return LinkFault::kCutTowardsTarget;
    case FaultKind::kStoreLinkCutFrom:
      return LinkFault::kCutFromTarget;
    case FaultKind::kStoreLinkSilent:
    case FaultKind::kWorkerLinkSilent:
      return LinkFault::kSilent;
    default:
      return LinkFault::kNone;
  }
}

StoreFault StoreFaultOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kStoreUnavailable:
      return StoreFault::kUnavailable;
    case FaultKind::kStoreSilent:
      return StoreFault::kSilent;
    case FaultKind::kStoreLosesAnswers:
      return StoreFault::kLoseAnswers;
    case FaultKind::kStoreActsLate:
      return StoreFault::kActsLate;
    default:
      return StoreFault::kNone;
  }
}

constexpr absl::Duration kLinkDelay = absl::Milliseconds(120);

}  // namespace

SoakRun::SoakRun(SoakOptions options)
    : options_(std::move(options)),
      random_(options_.seed ^ 0x50a150a1),
      store_(&loop_),
      client_(&loop_, gateway::ClientLimits{}),
      gateways_(options_.gateways) {
  FaultPlanOptions plan;
  plan.seed = options_.seed;
  plan.length = options_.length;
  plan_ = MakeFaultPlan(plan);
}

SoakRun::~SoakRun() = default;

bool SoakRun::WorkersCheckTokens() const {
  // A quarter of the seeds; the seeds that were kept before this was played are none of them.
  return options_.seed % 4 != 2;
}

double SoakRun::Fraction() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

void SoakRun::At(absl::Duration after, std::function<void()> task) {
  timers_.push_back(loop_.MakeTimer());
  timers_.back()->Set(loop_.Now() + after, std::move(task));
}

void SoakRun::Every(absl::Duration interval, std::function<void()> task) {
  At(interval, [this, interval, task = std::move(task)] {
    if (over_) {
      return;
    }
    task();
    Every(interval, task);
  });
}

void SoakRun::Note(Disturbance::Of of, std::size_t target, absl::Duration duration) {
  records_.disturbances.push_back({of, target, loop_.Now(), loop_.Now() + duration});
}

void SoakRun::AddWorker(const std::string& service, const std::string& model) {
  auto entry = std::make_unique<Worker>();
  entry->id = absl::StrCat(service, "-", ++next_worker_);
  entry->service = service;
  emulator::PlatformWorkerOptions options;
  options.id = entry->id;
  options.service = service;
  options.zone = absl::StrCat("zone-", next_worker_ % 2);
  options.slots = 16;
  options.events = kEvents;
  options.event_interval = absl::Milliseconds(30);
  options.load_time = absl::Milliseconds(300);
  options.names_request = true;
  options.checks_tokens = WorkersCheckTokens();
  options.heartbeat = kHeartbeat;
  options.announces_itself = false;
  options.model_memory_mb = kModelMemoryMb;
  options.memory_mb = kWorkerMemoryMb;
  if (!model.empty()) {
    options.models[model];
  }
  entry->worker = std::make_unique<emulator::PlatformWorker>(&loop_, &store_, std::move(options));
  entry->link = std::make_unique<FaultProxy>(&loop_, entry->worker->address());
  entry->worker->Announce(entry->link->address());
  workers_.push_back(std::move(entry));
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
                              RouteJson(absl::StrCat("/v", version_, "/"), "idempotent", "plain", 2,
                                        false)})},
      {"services",
       Json::array({Json{{"name", "plain"}, {"max_connections", 100}},
                    Json{{"name", "models"}, {"max_connections", 100}, {"engine", engine}}})},
      {"limits", Json::object()}};
  store_.Put("op", "config", configuration.dump());
  records_.changes.push_back({version_, loop_.Now()});
}

void SoakRun::Send(std::size_t index, RequestKind kind, const std::string& target) {
  const Gateway& gateway = gateways_[index];
  if (!gateway.process->running()) {
    return;
  }
  auto record = std::make_unique<RequestRecord>();
  record->loop = &loop_;
  record->id = absl::StrCat("s", options_.seed, "-", ++next_request_);
  record->kind = kind;
  record->gateway = index;
  record->life = gateway.process->lives();
  record->sent = loop_.Now();
  record->deadline = record->IsStream() ? absl::Seconds(8) : absl::Milliseconds(1500);
  gateway::HeaderFields fields = {
      {"Attempt-Id", record->id},
      {"Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(record->deadline))}};
  if (record->IsStream()) {
    const double choice = Fraction();
    const int model = 1 + static_cast<int>(choice * choice * kModels);
    const bool with_adapter = Fraction() < 0.15;
    fields.push_back({"Model", absl::StrCat("m", model, with_adapter ? "/a1" : "")});
    fields.push_back({"Token-Count", "200,24"});
  }
  record->exchange =
      client_.Send(gateway.process->request_address(),
                   gateway::RequestText("POST", target, kHost, fields, "body"), record.get());
  RequestRecord* const sent = record.get();
  records_.requests.push_back(std::move(record));
  if (kind != RequestKind::kProbe && Fraction() < kCancelledPart) {
    At(kCancelAfter, [this, sent] {
      if (!sent->ended()) {
        sent->cancelled_at = loop_.Now();
        sent->ended_at = loop_.Now();
        sent->exchange.reset();
      }
    });
  }
}

void SoakRun::SendRequest() {
  static constexpr std::pair<RequestKind, const char*> kKinds[] = {
      {RequestKind::kAct, "/act/x"},
      {RequestKind::kRead, "/read/x"},
      {RequestKind::kResumableStream, "/resumable/x"},
      {RequestKind::kStream, "/once/x"}};
  if (!sending_) {
    return;
  }
  const auto& [kind, target] = kKinds[random_() % std::size(kKinds)];
  Send(random_() % gateways_.size(), kind, target);
}

void SoakRun::SendProbes() {
  for (std::size_t index = 0; sending_ && index < gateways_.size(); ++index) {
    for (const int version : {version_, version_ - 1}) {
      if (version < 1) {
        continue;
      }
      const std::size_t before = records_.requests.size();
      Send(index, RequestKind::kProbe, absl::StrCat("/v", version, "/x"));
      if (records_.requests.size() > before) {
        records_.requests.back()->probed_version = version;
      }
    }
  }
}

void SoakRun::KeepGatewaysRunning() {
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    Gateway& gateway = gateways_[index];
    int status = 0;
    if (gateway.process->Reap(&status)) {
      const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
      const bool stopped = WIFEXITED(status) && WEXITSTATUS(status) == 0 && gateway.stopping;
      if (!killed && !stopped) {
        records_.odd_ends.push_back(absl::StrCat(
            gateway.process->name(), " life ", gateway.process->lives(), " wait status ", status));
      }
      gateway.stopping = false;
      gateway.paused = false;
      gateway.down_until = loop_.Now() + kDownTime;
    }
    if (!gateway.process->running() && !over_ && loop_.Now() >= gateway.down_until &&
        !gateway.process->Start(kStartLimit)) {
      records_.odd_ends.push_back(absl::StrCat(gateway.process->name(), " does not start"));
      gateway.down_until = loop_.Now() + kStartLimit;
    }
  }
}

void SoakRun::Begin(const PlannedFault& fault) {
  if (fault.kind <= FaultKind::kGatewayReload) {
    HarmGateway(fault);
  } else if (fault.kind <= FaultKind::kStoreForgetsHistory) {
    HarmStore(fault);
  } else {
    HarmWorker(fault);
  }
}

void SoakRun::StopGateway(std::size_t index) {
  Gateway& gateway = gateways_[index];
  if (!gateway.process->running() || gateway.stopping || gateway.paused) {
    return;
  }
  const bool undisturbed = !records_.Disturbed(Disturbance::Of::kGateway, index,
                                               loop_.Now() - absl::Seconds(3), loop_.Now());
  if (undisturbed) {
    records_.stops.push_back({index, gateway.process->lives(), loop_.Now()});
  }
  Note(Disturbance::Of::kGateway, index, absl::Seconds(kStopSeconds + 3));
  gateway.stopping = true;
  gateway.process->Signal(SIGTERM);
  const int life = gateway.process->lives();
  At(absl::Seconds(kStopSeconds + 1), [this, index, life] {
    Gateway& late = gateways_[index];
    if (late.process->running() && late.process->lives() == life && late.stopping) {
      records_.odd_ends.push_back(
          absl::StrCat(late.process->name(), " life ", life, " does not end in time"));
      late.process->Signal(SIGKILL);
    }
  });
}

void SoakRun::HarmGateway(const PlannedFault& fault) {
  const std::size_t index = fault.target % gateways_.size();
  Gateway& gateway = gateways_[index];
  switch (fault.kind) {
    case FaultKind::kGatewayKill:
      Note(Disturbance::Of::kGateway, index, absl::Seconds(4));
      gateway.process->Signal(SIGKILL);
      return;
    case FaultKind::kGatewayKillAll:
      for (std::size_t each = 0; each < gateways_.size(); ++each) {
        Note(Disturbance::Of::kGateway, each, absl::Seconds(4));
        gateways_[each].process->Signal(SIGKILL);
      }
      return;
    case FaultKind::kGatewayPause: {
      if (gateway.paused || gateway.stopping || !gateway.process->running()) {
        return;
      }
      gateway.paused = true;
      Note(Disturbance::Of::kGateway, index, fault.duration + absl::Seconds(1));
      gateway.process->Signal(SIGSTOP);
      const int life = gateway.process->lives();
      At(fault.duration, [this, index, life] {
        Gateway& paused = gateways_[index];
        if (paused.process->lives() == life && paused.paused) {
          paused.paused = false;
          paused.process->Signal(SIGCONT);
        }
      });
      return;
    }
    case FaultKind::kGatewayStop:
      StopGateway(index);
      return;
    default:
      gateway.process->Signal(SIGHUP);
      return;
  }
}

void SoakRun::HarmStore(const PlannedFault& fault) {
  if (fault.kind == FaultKind::kStoreForgetsHistory) {
    Note(Disturbance::Of::kStore, 0, absl::Seconds(1));
    store_.Compact();
    return;
  }
  const StoreFault store_fault = StoreFaultOf(fault.kind);
  if (store_fault != StoreFault::kNone) {
    Note(Disturbance::Of::kStore, 0, fault.duration + absl::Seconds(2));
    store_.SetFault(store_fault);
    At(fault.duration, [this] { store_.SetFault(StoreFault::kNone); });
    return;
  }
  const std::size_t index = fault.target % gateways_.size();
  Note(Disturbance::Of::kStoreLink, index, fault.duration);
  gateways_[index].store_link->SetFault(LinkFaultOf(fault.kind), kLinkDelay);
  At(fault.duration, [this, index] { gateways_[index].store_link->SetFault(LinkFault::kNone); });
}

void SoakRun::TakeWorkerAway(Worker* worker, bool announced, absl::Duration duration) {
  worker->present = false;
  if (announced) {
    worker->worker->SetDraining();
    records_.leaves.push_back({worker->id, loop_.Now()});
  } else {
    worker->link->SetFault(LinkFault::kReset);
  }
  At(announced ? kServesAfterLeave : kRowAfterCrash, [this, worker] {
    store_.Remove("servers", worker->id);
    worker->link->SetFault(LinkFault::kReset);
  });
  // Another one comes in its place.
  At(duration, [this, service = worker->service] { AddWorker(service, ""); });
}

void SoakRun::HarmWorker(const PlannedFault& fault) {
  std::vector<Worker*> present;
  for (const auto& worker : workers_) {
    if (worker->present) {
      present.push_back(worker.get());
    }
  }
  if (present.empty()) {
    return;
  }
  Worker* const worker = present[fault.target % present.size()];
  Note(Disturbance::Of::kWorker, 0, fault.duration + absl::Seconds(2));
  const bool crash = fault.kind == FaultKind::kWorkerCrash;
  if (crash || fault.kind == FaultKind::kWorkerLeaves) {
    TakeWorkerAway(worker, !crash, fault.duration);
    return;
  }
  const WorkerFault worker_fault = WorkerFaultOf(fault.kind);
  if (worker_fault != WorkerFault::kNone) {
    worker->worker->SetFault(worker_fault);
    At(fault.duration, [worker] { worker->worker->SetFault(WorkerFault::kNone); });
    return;
  }
  worker->link->SetFault(LinkFaultOf(fault.kind), kLinkDelay);
  At(fault.duration, [worker] {
    if (worker->present) {
      worker->link->SetFault(LinkFault::kNone);
    }
  });
}

std::vector<BrokenPromise> SoakRun::Play() {
  for (int number = 0; number < 3; ++number) {
    AddWorker("plain", "");
  }
  for (int number = 1; number <= 3; ++number) {
    AddWorker("models", absl::StrCat("m", number));
  }
  PutConfiguration();
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    Gateway& gateway = gateways_[index];
    gateway.store_link = std::make_unique<FaultProxy>(&loop_, store_.address());
    gateway.process = std::make_unique<GatewayProcess>(GatewayProcessOptions{
        options_.program, absl::StrCat("gateway-", index), absl::StrCat("zone-", index % 2),
        gateway.store_link->address(), options_.folder, kStopSeconds, WorkersCheckTokens()});
    if (!gateway.process->Start(kStartLimit)) {
      return {{"processes start", gateway.process->name()}};
    }
  }
  At(kSettleTime, [this] {
    records_.traffic_began = loop_.Now();
    Every(kRequestInterval, [this] { SendRequest(); });
    Every(kProbeInterval, [this] { SendProbes(); });
    Every(kChangeInterval, [this] { PutConfiguration(); });
    for (const PlannedFault& fault : plan_) {
      At(fault.at, [this, fault] { Begin(fault); });
    }
  });
  Every(kLookInterval, [this] { KeepGatewaysRunning(); });
  At(kSettleTime + options_.length, [this] { records_.faults_over = loop_.Now(); });
  At(kSettleTime + options_.length + kRecoveryTime,
     [this] { records_.recovery_began = loop_.Now(); });
  const absl::Duration traffic = kSettleTime + options_.length + kRecoveryTime + kFinalTraffic;
  At(traffic, [this] { sending_ = false; });
  At(traffic + kDrainTime, [this] {
    over_ = true;
    loop_.Stop();
  });
  loop_.Run();
  std::vector<SoakWorkerView> views;
  for (const auto& worker : workers_) {
    views.push_back({worker->id, worker->worker.get()});
  }
  return CheckPromises(records_, views);
}

std::string SoakRun::Summary() const {
  std::map<std::string, int> counts;
  for (const auto& request : records_.requests) {
    if (request->kind != RequestKind::kProbe) {
      ++counts[request->cancelled() ? "cancelled" : absl::StrCat("status ", request->head.status)];
    }
  }
  std::string text = absl::StrCat(records_.requests.size(), " requests with probes, ",
                                  records_.stops.size(), " planned stops");
  for (const auto& [name, count] : counts) {
    absl::StrAppend(&text, ", ", name, ": ", count);
  }
  return text;
}

}  // namespace hingespan::soak
