#include "tests/quarantine/restarting_workers.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

std::string IdOf(std::size_t index) { return absl::StrCat("w", index); }

}  // namespace

RestartingWorkers::RestartingWorkers(GatewayFixture* fixture, absl::Duration restart_time,
                                     std::function<emulator::PlatformWorkerOptions()> options)
    : fixture_(fixture), restart_time_(restart_time), options_(std::move(options)) {}

emulator::PlatformWorker* RestartingWorkers::Start() {
  const std::size_t index = links_.size();
  emulator::PlatformWorkerOptions options = options_();
  options.id = IdOf(index);
  options.on_crash = [this, index] { Crash(index); };
  options.writes_row_at_start = false;
  emulator::PlatformWorker* const worker = fixture_->AddWorker(std::move(options));
  links_.push_back(std::make_unique<soak::FaultProxy>(&fixture_->loop, worker->address()));
  worker->Announce(links_.back()->address());
  return worker;
}

void RestartingWorkers::Crash(std::size_t index) {
  crashes_.push_back(fixture_->loop.Now());
  links_[index]->SetFault(crash_fault_);
  timers_.push_back(fixture_->loop.MakeTimer());
  timers_.back()->Set(fixture_->loop.Now() + restart_time_, [this, index] {
    fixture_->store.Remove("servers", IdOf(index));
    Start();
  });
}

}  // namespace hingespan::gateway
