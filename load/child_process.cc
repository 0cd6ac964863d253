#include "load/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"

namespace hingespan::load {
namespace {

constexpr std::size_t kErrorTailBytes = 64 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr int kExecFailedCode = 127;

// PR_SET_PDEATHSIG takes effect when the forking thread ends. Therefore a single thread that runs
// as long as the process forks every child.
class Launcher {
 public:
  static Launcher& Instance() {
    static Launcher* const launcher = new Launcher;
    return *launcher;
  }

  void Run(const std::function<void()>& task) {
    absl::Notification done;
    {
      absl::MutexLock lock(&mutex_);
      tasks_.push_back([&] {
        task();
        done.Notify();
      });
    }
    done.WaitForNotification();
  }

 private:
  Launcher() {
    std::thread([this] { Loop(); }).detach();
  }

  void Loop() {
    while (true) {
      std::vector<std::function<void()>> tasks;
      {
        absl::MutexLock lock(&mutex_);
        mutex_.Await(absl::Condition(
            +[](std::vector<std::function<void()>>* waiting) { return !waiting->empty(); },
            &tasks_));
        tasks.swap(tasks_);
      }
      for (const std::function<void()>& task : tasks) {
        task();
      }
    }
  }

  absl::Mutex mutex_;
  std::vector<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
};

struct Pipe {
  int read_end = -1;
  int write_end = -1;
};

Result<Pipe> OpenPipe() {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    return std::error_code(errno, std::generic_category());
  }
  return Pipe{ends[0], ends[1]};
}

// Runs between fork and exec, where only async-signal-safe calls are allowed.
[[noreturn]] void RunChild(pid_t parent, int output, int error, char* const* arguments) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kExecFailedCode);
  }
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  dup2(output, STDOUT_FILENO);
  dup2(error, STDERR_FILENO);
  execv(arguments[0], arguments);
  _exit(kExecFailedCode);
}

pid_t Fork(const std::vector<std::string>& arguments, int output, int error) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    RunChild(parent, output, error, pointers.data());
  }
  return child;
}

bool HasEvent(const std::string& line, const std::string& event) {
  const nlohmann::json json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  return json.is_object() && json.value("event", "") == event;
}

}  // namespace

struct ChildProcess::State {
  pid_t pid = -1;
  int output = -1;
  int error = -1;
  std::thread reader;
  mutable absl::Mutex mutex;
  std::vector<std::string> lines ABSL_GUARDED_BY(mutex);
  std::string partial_line ABSL_GUARDED_BY(mutex);
  std::string error_tail ABSL_GUARDED_BY(mutex);
  std::optional<ExitStatus> exit_status ABSL_GUARDED_BY(mutex);

  void AppendOutput(const char* bytes, std::size_t size) {
    absl::MutexLock lock(&mutex);
    partial_line.append(bytes, size);
    std::size_t end = 0;
    while ((end = partial_line.find('\n')) != std::string::npos) {
      lines.push_back(partial_line.substr(0, end));
      partial_line.erase(0, end + 1);
    }
  }

  void AppendError(const char* bytes, std::size_t size) {
    absl::MutexLock lock(&mutex);
    error_tail.append(bytes, size);
    if (error_tail.size() > 2 * kErrorTailBytes) {
      error_tail.erase(0, error_tail.size() - kErrorTailBytes);
    }
  }

  // Returns false at the end of the stream.
  bool ReadSome(int descriptor, bool is_output) {
    std::array<char, kReadBytes> buffer;
    const ssize_t size = read(descriptor, buffer.data(), buffer.size());
    if (size < 0) {
      return errno == EINTR;
    }
    if (size == 0) {
      return false;
    }
    if (is_output) {
      AppendOutput(buffer.data(), static_cast<std::size_t>(size));
    } else {
      AppendError(buffer.data(), static_cast<std::size_t>(size));
    }
    return true;
  }

  void ReadUntilEnd() {
    // Polls standard error first, so that output written to it before an event is visible before
    // the event.
    std::array<pollfd, 2> polled{pollfd{error, POLLIN, 0}, pollfd{output, POLLIN, 0}};
    int open = 2;
    while (open > 0) {
      if (poll(polled.data(), polled.size(), -1) < 0) {
        continue;
      }
      for (pollfd& entry : polled) {
        if (entry.fd < 0 || entry.revents == 0) {
          continue;
        }
        if (!ReadSome(entry.fd, entry.fd == output)) {
          entry.fd = -1;
          --open;
        }
      }
    }
    Reap();
  }

  // Reaps under the lock: the pid can't be reused until then, so no signal reaches another process.
  void Reap() {
    siginfo_t info;
    while (waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOWAIT) != 0 && errno == EINTR) {
    }
    absl::MutexLock lock(&mutex);
    int status = 0;
    waitpid(pid, &status, 0);
    ExitStatus ended;
    if (WIFSIGNALED(status)) {
      ended.signal = WTERMSIG(status);
    } else {
      ended.code = WEXITSTATUS(status);
    }
    exit_status = ended;
  }

  std::optional<std::string> FindEvent(const std::string& event) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    for (const std::string& line : lines) {
      if (HasEvent(line, event)) {
        return line;
      }
    }
    return std::nullopt;
  }
};

ChildProcess::ChildProcess(std::unique_ptr<State> state) : state_(std::move(state)) {
  state_->reader = std::thread([state = state_.get()] { state->ReadUntilEnd(); });
}

Result<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    return Error::kInvalidArgument;
  }
  if (access(arguments[0].c_str(), X_OK) != 0) {
    return Error::kNotFound;
  }
  const Result<Pipe> output = OpenPipe();
  if (!output) {
    return output.error();
  }
  const Result<Pipe> error = OpenPipe();
  if (!error) {
    close(output->read_end);
    close(output->write_end);
    return error.error();
  }
  pid_t pid = -1;
  Launcher::Instance().Run([&] { pid = Fork(arguments, output->write_end, error->write_end); });
  close(output->write_end);
  close(error->write_end);
  if (pid < 0) {
    close(output->read_end);
    close(error->read_end);
    return Error::kUnavailable;
  }
  auto state = std::make_unique<State>();
  state->pid = pid;
  state->output = output->read_end;
  state->error = error->read_end;
  return std::unique_ptr<ChildProcess>(new ChildProcess(std::move(state)));
}

ChildProcess::~ChildProcess() {
  Signal(SIGKILL);
  state_->reader.join();
  close(state_->output);
  close(state_->error);
}

pid_t ChildProcess::pid() const { return state_->pid; }

std::error_code ChildProcess::Signal(int signal) {
  absl::MutexLock lock(&state_->mutex);
  if (state_->exit_status.has_value()) {
    return Error::kNotFound;
  }
  if (kill(state_->pid, signal) != 0) {
    return std::error_code(errno, std::generic_category());
  }
  return {};
}

Result<std::string> ChildProcess::WaitForEvent(const std::string& event, absl::Duration timeout) {
  absl::MutexLock lock(&state_->mutex);
  std::optional<std::string> found;
  const auto arrived = [&] {
    state_->mutex.AssertHeld();
    found = state_->FindEvent(event);
    return found.has_value() || state_->exit_status.has_value();
  };
  state_->mutex.AwaitWithTimeout(absl::Condition(&arrived), timeout);
  if (found.has_value()) {
    return *found;
  }
  return state_->exit_status.has_value() ? Error::kStopping : Error::kTimeout;
}

Result<ExitStatus> ChildProcess::WaitForExit(absl::Duration timeout) {
  absl::MutexLock lock(&state_->mutex);
  const auto ended = [&] {
    state_->mutex.AssertHeld();
    return state_->exit_status.has_value();
  };
  if (!state_->mutex.AwaitWithTimeout(absl::Condition(&ended), timeout)) {
    return Error::kTimeout;
  }
  return *state_->exit_status;
}

bool ChildProcess::running() const {
  absl::MutexLock lock(&state_->mutex);
  return !state_->exit_status.has_value();
}

std::string ChildProcess::ErrorTail() const {
  absl::MutexLock lock(&state_->mutex);
  return state_->error_tail;
}

}  // namespace hingespan::load
