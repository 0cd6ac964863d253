// An emulated worker as a process of its own, so that it can be paused while its kernel goes on
// accepting what is sent to it.
#ifndef TESTS_SOAK_WORKER_PROCESS_H_
#define TESTS_SOAK_WORKER_PROCESS_H_

#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "emulator/platform_worker.h"
#include "hingespan/http/event_loop.h"
#include "tests/soak/child_process.h"

namespace hingespan::soak {

struct WorkerProcessOptions {
  std::string program;
  // Folder of the worker's log.
  std::string folder;
  std::string id;
  std::string service = "plain";
  // Time that a plain request takes, in milliseconds.
  int run_time_ms = 20;
  // Share of plain requests that are run and answered 500.
  double failing_share = 0;
  // Models that the worker holds.
  std::vector<std::string> models;
};

// Not thread-safe. The destructor kills the process.
class WorkerProcess {
 public:
  // Starts the process; it listens some time later.
  explicit WorkerProcess(WorkerProcessOptions options);

  // Returns whether the worker accepts requests, according to its log.
  bool Listens();
  void Pause() { process_.Signal(SIGSTOP); }
  void GoOn() { process_.Signal(SIGCONT); }
  // From now on no request is answered 500.
  void StopFailing() { process_.Signal(SIGUSR1); }
  // Returns the requests that the worker has read so far, in order.
  std::vector<emulator::PlatformWorker::Arrival> Arrivals() const;
  // Returns the worker's row in the platform's store.
  std::string Row() const;

  const std::string& id() const { return options_.id; }
  const std::string& service() const { return options_.service; }

 private:
  std::string LogFile() const;

  WorkerProcessOptions options_;
  std::string address_;
  ChildProcess process_;
};

// Waits until all workers listen. Returns false if they don't within `limit`.
bool AwaitListening(gateway::EventLoop* loop,
                    const std::vector<std::unique_ptr<WorkerProcess>>& workers,
                    absl::Duration limit);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_WORKER_PROCESS_H_
