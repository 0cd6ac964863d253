// Child process whose standard output is read as JSON lines. For tools and tests only; the products
// start no processes.
#ifndef HINGESPAN_LOAD_CHILD_PROCESS_H_
#define HINGESPAN_LOAD_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/result.h"

namespace hingespan::load {

// End of a process: by exit with a code, or by a signal, in which case `signal` is not 0.
struct ExitStatus {
  int code = 0;
  int signal = 0;
  bool clean() const { return code == 0 && signal == 0; }
};

// Thread-safe. The child gets SIGKILL when this process dies or the object is destroyed.
class ChildProcess {
 public:
  // Starts `arguments[0]`, which is a path and is not searched for. Returns kNotFound if it can't
  // be executed.
  static Result<std::unique_ptr<ChildProcess>> Start(const std::vector<std::string>& arguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const;
  // Sends a signal by pid; returns kNotFound if the process has ended.
  std::error_code Signal(int signal);
  // Returns the first JSON line of standard output with this "event"; kTimeout, or kStopping if the
  // process ended without it.
  Result<std::string> WaitForEvent(const std::string& event, absl::Duration timeout);
  // Returns kTimeout if the process still runs after `timeout`.
  Result<ExitStatus> WaitForExit(absl::Duration timeout);
  bool running() const;
  // Returns the last part of standard error (64 KiB or slightly more) for diagnosis. Contains
  // everything written before an event or exit that was waited for.
  std::string ErrorTail() const;

 private:
  struct State;
  explicit ChildProcess(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_CHILD_PROCESS_H_
