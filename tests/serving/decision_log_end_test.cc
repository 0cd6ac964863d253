// Tests of flushing the decision log before a process exits.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <thread>

#include "hingespan/serving/decision_log.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLong = absl::Seconds(20);

std::string ReadToEnd(int descriptor) {
  std::string text;
  char buffer[4096];
  ssize_t count = 0;
  while ((count = read(descriptor, buffer, sizeof(buffer))) > 0) {
    text.append(buffer, static_cast<std::size_t>(count));
  }
  return text;
}

struct LogPipe {
  LogPipe() {
    REQUIRE(pipe(ends) == 0);
    // The kernel rounds this up to its minimum, one page.
    REQUIRE(fcntl(ends[1], F_SETPIPE_SZ, 1) > 0);
  }
  ~LogPipe() {
    close(ends[0]);
    close(ends[1]);
  }
  int ends[2];
};

// Writes more than fits into the pipe while nobody reads.
void WriteMany(DecisionLog* log) {
  for (int line = 0; line < 1000; ++line) {
    log->Write(LogLevel::kInfo, "request", {{"line", std::to_string(line)}});
  }
  log->Write(LogLevel::kInfo, "stopped", {});
}

// Guards against losing the last lines of a process that exits while its reader lags behind.
TEST_CASE("a process that exits waits for the reader of its log") {
  LogPipe log_pipe;
  DecisionLog log(log_pipe.ends[1], &SystemClock(), {1e6, 1e6, 1 << 20});
  WriteMany(&log);
  std::string text;
  std::thread reader([&] { text = ReadToEnd(log_pipe.ends[0]); });
  log.FlushWithin(kLong);
  close(log_pipe.ends[1]);
  log_pipe.ends[1] = -1;
  reader.join();
  CHECK(log.left_out() == 0);
  CHECK(text.find("\"stopped\"") != std::string::npos);
}

TEST_CASE("a reader that has stopped reading does not keep the process from exiting") {
  LogPipe log_pipe;
  DecisionLog log(log_pipe.ends[1], &SystemClock(), {1e6, 1e6, 1 << 20});
  WriteMany(&log);
  SUBCASE("the reader has the pipe open") {}
  SUBCASE("the reader has closed the pipe") {
    signal(SIGPIPE, SIG_IGN);
    close(log_pipe.ends[0]);
    log_pipe.ends[0] = -1;
  }
  log.FlushWithin(absl::Milliseconds(10));
}

}  // namespace
}  // namespace hingespan::gateway
