// Injection of the planned faults into gateways, store and workers.
#include <csignal>

#include "absl/strings/str_cat.h"
#include "tests/soak/soak_run.h"

namespace hingespan::soak {
namespace {

using emulator::StoreFault;
using emulator::WorkerFault;

// Time for which a leaving worker still serves after its row has announced the leave.
constexpr absl::Duration kServesAfterLeave = absl::Seconds(7);
// Time for which the row of a crashed worker stays in the store.
constexpr absl::Duration kRowAfterCrash = absl::Seconds(2);
// Time from a crash by a prompt to the worker's replacement.
constexpr absl::Duration kReplacedAfterCrash = absl::Seconds(3);
// Rejections within a second that a brittle worker survives.
constexpr int kSurvivedRejections = 3;
constexpr absl::Duration kLinkDelay = absl::Milliseconds(120);

WorkerFault WorkerFaultOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kWorkerFails:
      return WorkerFault::kFails;
    case FaultKind::kWorkerSheds:
    case FaultKind::kWorkersShed:
      return WorkerFault::kRejects;
    case FaultKind::kWorkerLosesAnswers:
    case FaultKind::kWorkersLoseAnswers:
      return WorkerFault::kLosesAnswer;
    case FaultKind::kWorkerMixesAnswers:
      return WorkerFault::kOtherRequest;
    case FaultKind::kWorkerBreaksStreams:
    case FaultKind::kWorkersBreakStreams:
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
      return StoreFault::kAppliesLate;
    default:
      return StoreFault::kNone;
  }
}

}  // namespace

void SoakRun::InjectFault(const PlannedFault& fault) {
  if (fault.kind <= FaultKind::kGatewayReload) {
    InjectGatewayFault(fault);
  } else if (fault.kind <= FaultKind::kStoreForgetsHistory) {
    InjectStoreFault(fault);
  } else if (fault.kind <= FaultKind::kWorkerSilent) {
    InjectWorkerFault(fault);
  } else {
    RunSeriesStep(fault);
  }
}

bool SoakRun::SignalAsOperator(std::size_t index, int signal) {
  GatewayProcess& process = *gateways_[index].process;
  if (!process.serving()) {
    return false;
  }
  records_.signals.push_back({signal, index, process.incarnation(), loop_.Now()});
  process.Signal(signal);
  return true;
}

void SoakRun::StopGateway(std::size_t index) {
  Gateway& gateway = gateways_[index];
  if (!gateway.process->serving() || gateway.stopping || gateway.paused) {
    return;
  }
  const bool undisturbed = !records_.Disturbed(Disturbance::Component::kGateway, index,
                                               loop_.Now() - absl::Seconds(3), loop_.Now());
  if (undisturbed) {
    records_.stops.push_back({index, gateway.process->incarnation(), loop_.Now()});
  }
  RecordDisturbance(Disturbance::Component::kGateway, index, absl::Seconds(kStopSeconds + 3));
  records_.disturbances.back().planned = true;
  gateway.stopping = true;
  (void)SignalAsOperator(index, SIGTERM);
  const int incarnation = gateway.process->incarnation();
  At(absl::Seconds(kStopSeconds + 1), [this, index, incarnation] {
    Gateway& late = gateways_[index];
    if (late.process->running() && late.process->incarnation() == incarnation && late.stopping) {
      records_.process_failures.push_back(absl::StrCat(late.process->name(), " incarnation ",
                                                       incarnation, " does not end in time"));
      late.process->Signal(SIGKILL);
    }
  });
}

void SoakRun::InjectGatewayFault(const PlannedFault& fault) {
  const std::size_t index = fault.target % gateways_.size();
  Gateway& gateway = gateways_[index];
  switch (fault.kind) {
    case FaultKind::kGatewayKill:
      RecordDisturbance(Disturbance::Component::kGateway, index, absl::Seconds(4));
      gateway.process->Signal(SIGKILL);
      return;
    case FaultKind::kGatewayKillAll:
      for (std::size_t each = 0; each < gateways_.size(); ++each) {
        RecordDisturbance(Disturbance::Component::kGateway, each, absl::Seconds(4));
        gateways_[each].process->Signal(SIGKILL);
      }
      return;
    case FaultKind::kGatewayPause: {
      if (gateway.paused || gateway.stopping || !gateway.process->serving()) {
        return;
      }
      gateway.paused = true;
      RecordDisturbance(Disturbance::Component::kGateway, index, fault.duration + absl::Seconds(1));
      gateway.process->Signal(SIGSTOP);
      const int incarnation = gateway.process->incarnation();
      At(fault.duration, [this, index, incarnation] {
        Gateway& paused = gateways_[index];
        if (paused.process->incarnation() == incarnation && paused.paused) {
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
      (void)SignalAsOperator(index, SIGHUP);
      return;
  }
}

void SoakRun::RunSeriesStep(const PlannedFault& fault) {
  const std::size_t index = fault.target % gateways_.size();
  switch (fault.kind) {
    case FaultKind::kGatewayStopAgain:
      if (gateways_[index].stopping) {
        (void)SignalAsOperator(index, SIGTERM);
      } else {
        StopGateway(index);
      }
      return;
    case FaultKind::kGatewayStopFresh:
      gateways_[index].stop_when_started = true;
      return;
    case FaultKind::kGatewayStopAll:
      for (std::size_t each = 0; each < gateways_.size(); ++each) {
        StopGateway(each);
      }
      return;
    case FaultKind::kConfigurationChange:
      PutConfiguration();
      return;
    case FaultKind::kWorkerFallsSilent: {
      // No disturbance is recorded: no promise is loosened for a sound worker's silence.
      const std::vector<Worker*> present = PresentWorkers();
      if (!present.empty()) {
        present[fault.target % present.size()]->worker->FallSilent(fault.duration);
      }
      return;
    }
    case FaultKind::kWorkerPause:
      PauseWorker(fault);
      return;
    default:
      InjectServiceFault(fault);
      return;
  }
}

void SoakRun::InjectServiceFault(const PlannedFault& fault) {
  const std::string service = fault.target % 2 == 0 ? "plain" : "models";
  RecordDisturbance(Disturbance::Component::kWorker, 0, fault.duration + absl::Seconds(2));
  for (const auto& each : workers_) {
    Worker* const worker = each.get();
    if (!worker->present || worker->service != service) {
      continue;
    }
    worker->worker->SetFault(WorkerFaultOf(fault.kind));
    At(fault.duration, [worker] { worker->worker->SetFault(WorkerFault::kNone); });
  }
}

void SoakRun::InjectStoreFault(const PlannedFault& fault) {
  if (fault.kind == FaultKind::kStoreForgetsHistory) {
    RecordDisturbance(Disturbance::Component::kStore, 0, absl::Seconds(1));
    store_.Compact();
    return;
  }
  const StoreFault store_fault = StoreFaultOf(fault.kind);
  if (store_fault != StoreFault::kNone) {
    RecordDisturbance(Disturbance::Component::kStore, 0, fault.duration + absl::Seconds(2));
    store_.SetFault(store_fault);
    At(fault.duration, [this] { store_.SetFault(StoreFault::kNone); });
    return;
  }
  const std::size_t index = fault.target % gateways_.size();
  RecordDisturbance(Disturbance::Component::kStoreLink, index, fault.duration);
  gateways_[index].store_link->SetFault(LinkFaultOf(fault.kind), kLinkDelay);
  At(fault.duration, [this, index] { gateways_[index].store_link->SetFault(LinkFault::kNone); });
}

void SoakRun::RemoveWorker(Worker* worker, bool announced) {
  worker->present = false;
  for (WorkerPresence& presence : records_.presences) {
    if (presence.worker_id == worker->id) {
      presence.until = loop_.Now();
    }
  }
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
}

std::vector<SoakRun::Worker*> SoakRun::PresentWorkers() {
  std::vector<Worker*> present;
  for (const auto& worker : workers_) {
    if (worker->present) {
      present.push_back(worker.get());
    }
  }
  return present;
}

void SoakRun::CrashByPrompt(Worker* worker) {
  if (!worker->present) {
    return;
  }
  records_.prompt_crashes.push_back(loop_.Now());
  RecordDisturbance(Disturbance::Component::kWorker, 0, kReplacedAfterCrash + absl::Seconds(2));
  RemoveWorker(worker, false);
  const std::string version = VersionOfReplacement(worker->software_version);
  At(kReplacedAfterCrash,
     [this, service = worker->service, version] { AddWorker(service, kPromptModel, version); });
}

void SoakRun::SetRoom(Worker* worker) {
  if (brittle_) {
    worker->worker->SetBrittle(kSurvivedRejections);
  }
  if (short_queues_) {
    worker->worker->SetQueue(0);
  }
}

void SoakRun::BeginBrittle() {
  brittle_ = true;
  records_.brittle.from = loop_.Now();
  for (Worker* const worker : PresentWorkers()) {
    ++records_.brittle.workers[worker->service];
    SetRoom(worker);
  }
  At(kContactTime, [this] {
    short_queues_ = true;
    records_.brittle.short_queues_from = loop_.Now();
    for (Worker* const worker : PresentWorkers()) {
      SetRoom(worker);
    }
  });
}

void SoakRun::EndBrittle() {
  brittle_ = false;
  short_queues_ = false;
  records_.brittle.until = loop_.Now();
  for (const auto& worker : workers_) {
    worker->worker->SetSturdy();
    worker->worker->SetQueue(kQueue);
  }
}

void SoakRun::FallOver(Worker* worker) {
  if (!worker->present) {
    return;
  }
  RecordDisturbance(Disturbance::Component::kWorker, 0, kReplacedAfterCrash + absl::Seconds(2));
  RemoveWorker(worker, false);
  const std::string model = worker->service == "models" ? kPromptModel : "";
  At(kReplacedAfterCrash,
     [this, service = worker->service, model, version = worker->software_version] {
       AddWorker(service, model, version);
     });
}

void SoakRun::CrashByRequest(Worker* worker) {
  if (!worker->present) {
    return;
  }
  for (const auto& request : records_.requests) {
    if (request->id == worker->worker->crashed_by()) {
      records_.request_crashes.push_back({request->crashing_name, loop_.Now()});
    }
  }
  RecordDisturbance(Disturbance::Component::kWorker, 0, kReplacedAfterCrash + absl::Seconds(2));
  RemoveWorker(worker, false);
  const std::string model = worker->service == "models" ? kPromptModel : "";
  At(kReplacedAfterCrash,
     [this, service = worker->service, model, version = worker->software_version] {
       AddWorker(service, model, version);
     });
}

void SoakRun::InjectWorkerFault(const PlannedFault& fault) {
  const std::vector<Worker*> present = PresentWorkers();
  if (present.empty()) {
    return;
  }
  Worker* const worker = present[fault.target % present.size()];
  RecordDisturbance(Disturbance::Component::kWorker, 0, fault.duration + absl::Seconds(2));
  const bool crash = fault.kind == FaultKind::kWorkerCrash;
  if (crash || fault.kind == FaultKind::kWorkerLeaves) {
    RemoveWorker(worker, !crash);
    const std::string version = VersionOfReplacement(worker->software_version);
    At(fault.duration,
       [this, service = worker->service, version] { AddWorker(service, "", version); });
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

}  // namespace hingespan::soak
