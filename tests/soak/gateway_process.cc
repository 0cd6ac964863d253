#include "tests/soak/gateway_process.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

using Json = nlohmann::json;

std::string OptionalSetting(const char* name, const std::optional<int>& value) {
  return value.has_value() ? absl::StrCat(name, " = ", *value, "\n") : std::string();
}

}  // namespace

GatewayProcess::GatewayProcess(GatewayProcessOptions options) : options_(std::move(options)) {}

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
  process_.Launch(options_.program, {"--settings", settings}, log_file());
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

}  // namespace hingespan::soak
