// A child process with its output in a file.
#ifndef TESTS_SOAK_CHILD_PROCESS_H_
#define TESTS_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace hingespan::soak {

// Not thread-safe. The destructor kills the process, also one that is paused.
class ChildProcess {
 public:
  ChildProcess() = default;
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Starts `program`, whose output is appended to `log_file`. No other process may be running.
  void Launch(const std::string& program, const std::vector<std::string>& arguments,
              const std::string& log_file);
  void Signal(int signal) const;
  // Returns true once, after the process has ended, and stores its status of waitpid in
  // `wait_status`.
  bool Reap(int* wait_status);

  bool running() const { return pid_ > 0; }
  // -1 while no process runs.
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_CHILD_PROCESS_H_
