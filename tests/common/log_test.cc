#include "hingespan/common/log.h"

#include <doctest/doctest.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "hingespan/common/log_line.h"

namespace hingespan {
namespace {

// Captures output to std::cerr during its lifetime.
class CapturedStandardError {
 public:
  CapturedStandardError() : original_(std::cerr.rdbuf(stream_.rdbuf())) {}
  ~CapturedStandardError() { std::cerr.rdbuf(original_); }
  std::string text() const { return stream_.str(); }

 private:
  std::ostringstream stream_;
  std::streambuf* original_;
};

LogLineHead Head() {
  return {absl::UnixEpoch() + absl::Milliseconds(1500),
          LogLevel::kWarning,
          "worker_fenced",
          "hingespand",
          "n1",
          "z1"};
}

TEST_CASE("a JSON line has the fixed fields in order, then the given ones") {
  CHECK(FormatJsonLogLine(Head(), {{"worker", "w\"1\"\n"}}) ==
        R"({"time":"1970-01-01T00:00:01.500Z","level":"warning","event":"worker_fenced",)"
        R"("program":"hingespand","node":"n1","zone":"z1","worker":"w\"1\"\n"})");
}

TEST_CASE("a text line quotes values with spaces") {
  CHECK(FormatTextLogLine(Head(), {{"worker", "w 1"}, {"epoch", "4"}}) ==
        "1970-01-01T00:00:01.500Z warning worker_fenced program=hingespand node=n1 zone=z1 "
        "worker=\"w 1\" epoch=4");
}

TEST_CASE("a field with invalid UTF-8 still gives valid JSON") {
  const std::string line = FormatJsonLogLine(Head(), {{"worker", "\xff"}});
  CHECK(nlohmann::json::accept(line));
}

TEST_CASE("events below the level are dropped; others go to standard error, one per line") {
  const CapturedStandardError captured;
  StartLog({LogLevel::kWarning, LogFormat::kJson}, "program", "n1", "z1");
  Log(LogLevel::kInfo, "left_out");
  Log(LogLevel::kError, "first", {{"count", "1"}});
  Log(LogLevel::kWarning, "second");
  std::istringstream lines(captured.text());
  std::string line;
  REQUIRE(std::getline(lines, line));
  CHECK(nlohmann::json::parse(line)["event"] == "first");
  REQUIRE(std::getline(lines, line));
  CHECK(nlohmann::json::parse(line)["event"] == "second");
  CHECK_FALSE(std::getline(lines, line));
}

}  // namespace
}  // namespace hingespan
