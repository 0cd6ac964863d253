// The log of a process that ends.
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
    // The least that the kernel gives: a page.
    REQUIRE(fcntl(ends[1], F_SETPIPE_SZ, 1) > 0);
  }
  ~LogPipe() {
    close(ends[0]);
    close(ends[1]);
  }
  int ends[2];
};

// More than the pipe takes while nobody reads.
void WriteMany(DecisionLog* log) {
  for (int line = 0; line < 1000; ++line) {
    log->Write(LogLevel::kInfo, "request", {{"line", std::to_string(line)}});
  }
  log->Write(LogLevel::kInfo, "stopped", {});
}

// Guards against: the last lines of a process that ends are lost, since its reader is behind.
TEST_CASE("a process that ends waits for the reader of its log") {
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

TEST_CASE("a reader that reads no more does not keep the process from ending") {
  LogPipe log_pipe;
  DecisionLog log(log_pipe.ends[1], &SystemClock(), {1e6, 1e6, 1 << 20});
  WriteMany(&log);
  SUBCASE("it is there") {}
  SUBCASE("it has gone") {
    signal(SIGPIPE, SIG_IGN);
    close(log_pipe.ends[0]);
    log_pipe.ends[0] = -1;
  }
  log.FlushWithin(absl::Milliseconds(10));
}

}  // namespace
}  // namespace hingespan::gateway
