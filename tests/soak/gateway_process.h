// One hingespan-gateway as a process of its own, stopped, paused, killed and restarted by signals.
#ifndef TESTS_SOAK_GATEWAY_PROCESS_H_
#define TESTS_SOAK_GATEWAY_PROCESS_H_

#include <sys/types.h>

#include <string>

#include "absl/time/time.h"
#include "tests/soak/soak_records.h"

namespace hingespan::soak {

struct GatewayProcessOptions {
  std::string program;
  std::string name;
  std::string zone;
  std::string store_address;
  // Holds the settings and the log of each life.
  std::string folder;
  int stop_seconds = 6;
  bool workers_check_tokens = true;
  RepeatLimits repeats;
};

// Not thread-safe. Destroying it kills the process by its id.
class GatewayProcess {
 public:
  explicit GatewayProcess(GatewayProcessOptions options);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Starts a life; it listens some time later.
  void Launch();
  // Whether it takes requests, as its log says.
  bool Listens();
  void Signal(int signal);
  // Takes note of an end. `exit_code` is of the wait status; true once, when it has ended.
  bool Reap(int* wait_status);

  const std::string& name() const { return options_.name; }
  bool running() const { return pid_ > 0; }
  // Running, and found to listen.
  bool serving() const { return running() && !request_address_.empty(); }
  int lives() const { return lives_; }
  std::string request_address() const { return request_address_; }
  std::string log_file() const;

 private:
  void ReadAddress();

  GatewayProcessOptions options_;
  pid_t pid_ = -1;
  int lives_ = 0;
  std::string request_address_;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_GATEWAY_PROCESS_H_
