#include "tests/soak/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace hingespan::soak {
namespace {

constexpr int kNotStarted = 127;

}  // namespace

ChildProcess::~ChildProcess() {
  if (pid_ <= 0) {
    return;
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::Launch(const std::string& program, const std::vector<std::string>& arguments,
                          const std::string& log_file) {
  std::vector<char*> words = {const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) {
    words.push_back(const_cast<char*>(argument.c_str()));
  }
  words.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log_file.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    if (getppid() != parent || output < 0) {
      _exit(kNotStarted);
    }
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // Sockets that the child inherited would stay open after this process closed them.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(program.c_str(), words.data());
    _exit(kNotStarted);
  }
  pid_ = child;
}

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool ChildProcess::Reap(int* wait_status) {
  if (pid_ <= 0 || waitpid(pid_, wait_status, WNOHANG) != pid_) {
    return false;
  }
  pid_ = -1;
  return true;
}

}  // namespace hingespan::soak
