#include "tests/soak/gateway_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

using Json = nlohmann::json;

constexpr int kNotStarted = 127;

std::string OptionalSetting(const char* name, const std::optional<int>& value) {
  return value.has_value() ? absl::StrCat(name, " = ", *value, "\n") : std::string();
}

}  // namespace

GatewayProcess::GatewayProcess(GatewayProcessOptions options) : options_(std::move(options)) {}

GatewayProcess::~GatewayProcess() {
  if (pid_ <= 0) {
    return;
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

std::string GatewayProcess::log_file() const {
  return absl::StrCat(options_.folder, "/", options_.name, "-", incarnation_, ".log");
}

void GatewayProcess::Launch() {
  ++incarnation_;
  request_address_.clear();
  const std::string settings = absl::StrCat(options_.folder, "/", options_.name, ".toml");
  std::ofstream(settings) << "[node]\nname = \"" << options_.name << "\"\nzone = \""
                          << options_.zone << "\"\n"
                          << OptionalSetting("memory_mb", options_.memory_mb) << "[listen]\n"
                          << OptionalSetting("max_connections", options_.max_connections)
                          << "requests = \"127.0.0.1:0\"\n"
                          << "status = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n"
                          << "forwarded = \"127.0.0.1:0\"\n[store]\n"
                          << "address = \"" << options_.store_address << "\"\n[stop]\n"
                          << "time_s = " << options_.stop_seconds << "\n[placement]\n"
                          << "workers_check_tokens = "
                          << (options_.workers_check_tokens ? "true" : "false")
                          << "\n[retries]\nratio = " << options_.repeats.ratio
                          << "\nextra = " << options_.repeats.extra
                          << "\nwindow_s = " << absl::ToInt64Seconds(options_.repeats.window)
                          << "\n";
  const std::string log = log_file();
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    if (getppid() != parent || output < 0) {
      _exit(kNotStarted);
    }
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // Sockets that the child inherited would stay open after this process closed them.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl(options_.program.c_str(), options_.program.c_str(), "--settings", settings.c_str(),
          nullptr);
    _exit(kNotStarted);
  }
  pid_ = child;
}

bool GatewayProcess::Listens() {
  if (running() && request_address_.empty()) {
    ReadAddress();
  }
  return serving();
}

void GatewayProcess::ReadAddress() {
  std::ifstream log(log_file());
  for (std::string line; std::getline(log, line);) {
    if (!absl::StrContains(line, "\"event\":\"started\"")) {
      continue;
    }
    const Json json = Json::parse(line, nullptr, false);
    if (json.is_object()) {
      request_address_ = json.value("requests", "");
    }
  }
}

void GatewayProcess::Signal(int signal) {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool GatewayProcess::Reap(int* wait_status) {
  if (pid_ <= 0 || waitpid(pid_, wait_status, WNOHANG) != pid_) {
    return false;
  }
  pid_ = -1;
  return true;
}

}  // namespace hingespan::soak
