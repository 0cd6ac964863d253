// Workers of a soak run that are processes of their own, and their pauses.
#include "absl/strings/str_cat.h"
#include "tests/soak/soak_run.h"

namespace hingespan::soak {
namespace {

constexpr int kProcessWorkers = 6;
constexpr double kFailingShare = 0.3;
constexpr absl::Duration kStartLimit = absl::Seconds(10);

}  // namespace

bool SoakRun::StartProcessWorkers() {
  for (int number = 1; number <= kProcessWorkers; ++number) {
    WorkerProcessOptions options;
    options.program = options_.worker_program;
    options.folder = options_.folder;
    options.id = absl::StrCat(kProcessService, "-", number);
    options.service = kProcessService;
    options.failing_share = kFailingShare;
    process_workers_.push_back(std::make_unique<WorkerProcess>(std::move(options)));
  }
  open_pauses_.resize(process_workers_.size());
  const bool all_listen = AwaitListening(&loop_, process_workers_, kStartLimit);
  for (const auto& worker : process_workers_) {
    store_.Put("servers", worker->id(), worker->Row());
  }
  return all_listen;
}

void SoakRun::SendToProcesses() {
  const std::size_t index = press_random_() % gateways_.size();
  const Gateway& gateway = gateways_[index];
  if (!sending_ || !gateway.process->serving()) {
    return;
  }
  RequestRecord* const record = AddRecord(index, RequestKind::kRead);
  record->target = kProcessTarget;
  record->deadline = absl::Seconds(3);
  record->exchange = client_.Send(gateway.process->request_address(),
                                  RequestBytes(record, &press_random_), record);
}

void SoakRun::PauseWorker(const PlannedFault& fault) {
  const std::size_t index = fault.target % process_workers_.size();
  RecordDisturbance(Disturbance::Component::kWorker, 0, fault.duration + absl::Seconds(2));
  if (open_pauses_[index]++ == 0) {
    process_workers_[index]->Pause();
  }
  At(fault.duration, [this, index] {
    if (--open_pauses_[index] == 0) {
      process_workers_[index]->GoOn();
    }
  });
}

}  // namespace hingespan::soak
