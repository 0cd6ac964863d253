#include "load/child_process.h"

#include <doctest/doctest.h>
#include <signal.h>

#include "hingespan/common/error.h"

namespace hingespan::load {
namespace {

constexpr char kShell[] = "/bin/sh";
constexpr absl::Duration kBound = absl::Seconds(20);

std::unique_ptr<ChildProcess> StartShell(const std::string& script) {
  Result<std::unique_ptr<ChildProcess>> child = ChildProcess::Start({kShell, "-c", script});
  REQUIRE(child.ok());
  return std::move(*child);
}

TEST_CASE("the wanted event is found among other lines") {
  const auto child =
      StartShell(R"(echo 'no json'; echo '{"event":"first"}'; echo '{"event":"ready","port":7}')");
  const Result<std::string> line = child->WaitForEvent("ready", kBound);
  REQUIRE(line.ok());
  CHECK(*line == R"({"event":"ready","port":7})");
}

TEST_CASE("a process that ends without the event ends the wait") {
  const auto child = StartShell("echo trouble >&2; exit 3");
  CHECK(child->WaitForEvent("ready", kBound).error() == Error::kStopping);
  const Result<ExitStatus> exit = child->WaitForExit(kBound);
  REQUIRE(exit.ok());
  CHECK(exit->code == 3);
  CHECK(child->ErrorTail() == "trouble\n");
  CHECK_FALSE(child->running());
  CHECK(child->Signal(SIGTERM) == Error::kNotFound);
}

TEST_CASE("standard error that precedes an event is seen with the event") {
  const auto child = StartShell("echo before >&2; echo '{\"event\":\"up\"}'; exec sleep 60");
  REQUIRE(child->WaitForEvent("up", kBound).ok());
  CHECK(child->ErrorTail() == "before\n");
}

TEST_CASE("a killed process reports its signal") {
  const auto child = StartShell("exec sleep 60");
  REQUIRE_FALSE(child->Signal(SIGKILL));
  const Result<ExitStatus> exit = child->WaitForExit(kBound);
  REQUIRE(exit.ok());
  CHECK(exit->signal == SIGKILL);
  CHECK_FALSE(exit->clean());
}

TEST_CASE("a paused process ends when the object is destroyed") {
  auto child = StartShell("echo '{\"event\":\"up\"}'; exec sleep 60");
  REQUIRE(child->WaitForEvent("up", kBound).ok());
  REQUIRE_FALSE(child->Signal(SIGSTOP));
  const pid_t pid = child->pid();
  child.reset();
  CHECK(kill(pid, 0) != 0);
}

TEST_CASE("a missing program is an error") {
  CHECK(ChildProcess::Start({"/nonexistent/program"}).error() == Error::kNotFound);
}

}  // namespace
}  // namespace hingespan::load
