// A hingespan-gateway child process that is stopped, paused, killed and restarted by signals.
#ifndef TESTS_SOAK_GATEWAY_PROCESS_H_
#define TESTS_SOAK_GATEWAY_PROCESS_H_

#include <optional>
#include <string>

#include "absl/time/time.h"
#include "tests/soak/child_process.h"
#include "tests/soak/soak_records.h"

namespace hingespan::soak {

struct GatewayProcessOptions {
  std::string program;
  std::string name;
  std::string zone;
  std::string store_address;
  // Folder with the settings and the log of each incarnation.
  std::string folder;
  int stop_seconds = 6;
  bool workers_check_tokens = true;
  RepeatLimits repeats;
  // Callers' connections, and the machine's memory; the program's defaults if absent.
  std::optional<int> max_connections;
  std::optional<int> memory_mb;
};

// Not thread-safe. The destructor kills the process.
class GatewayProcess {
 public:
  explicit GatewayProcess(GatewayProcessOptions options);

  // Starts a new incarnation; it listens some time later.
  void Launch();
  // Returns whether the process accepts requests, according to its log.
  bool Listens();
  void Signal(int signal) { process_.Signal(signal); }
  // Returns true once, after the process has ended, and stores its status of waitpid in
  // `wait_status`.
  bool Reap(int* wait_status) { return process_.Reap(wait_status); }

  const std::string& name() const { return options_.name; }
  bool running() const { return process_.running(); }
  // -1 while no process runs.
  pid_t pid() const { return process_.pid(); }
  // True if the process runs and is known to listen.
  bool serving() const { return running() && !request_address_.empty(); }
  int incarnation() const { return incarnation_; }
  std::string request_address() const { return request_address_; }
  std::string log_file() const;

 private:
  void ReadAddress();

  GatewayProcessOptions options_;
  ChildProcess process_;
  int incarnation_ = 0;
  std::string request_address_;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_GATEWAY_PROCESS_H_
