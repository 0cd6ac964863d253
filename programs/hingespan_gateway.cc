// hingespan-gateway: a node of hingespan on the users' platform, run by a single event loop.
#include <malloc.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"
#include "hingespan/serving/gateway.h"
#include "hingespan/settings/toml_document.h"
#include "platform/deployment_rows.h"
#include "platform/request_fields.h"
#include "platform/store_rows.h"
#include "platform/worker_orders.h"

namespace hingespan::gateway {
namespace {

constexpr int kExitListen = 3;
constexpr int kExitSettings = 2;
// Larger blocks of memory go back to the system as soon as they are freed.
constexpr int kMinMappedBytes = 128 * 1024;
// Time limit for flushing the log at exit; must be below the time that a stop reserves for it.
constexpr absl::Duration kLogFlushTimeout = absl::Milliseconds(100);
constexpr const char* kSettingsVariable = "HINGESPAN_SETTINGS";

struct Flags {
  std::string settings_file;
  bool check = false;
};

GatewaySettings ReadSettings(const std::string& file, Findings* findings) {
  const Result<std::string> text = ReadTextFile(file);
  if (!text.ok()) {
    findings->push_back({{file, 0, 0}, "", "the file can't be read", "a readable file"});
    return {};
  }
  return ReadGatewaySettings(*text, file, findings);
}

// Runs until a signal stops it. Returns the exit code.
int RunGateway(const GatewaySettings& settings, const std::string& settings_file) {
  EventLoop loop;
  DecisionLog log(STDOUT_FILENO, &SystemClock(), DecisionLogLimits{});
  log.SetSource("hingespan-gateway", settings.node, settings.zone);
  log.SetLevel(settings.log_level);
  GatewayMetrics metrics;
  HttpClient client(&loop, ClientLimits{});
  const platform::RequestFields dialect;
  const platform::DeploymentRows reader;
  platform::StoreRowsClient store(&loop, &client, settings.store_address, &metrics, &log);
  platform::WorkerOrders control(&loop, &client);
  Gateway gateway(settings, {&loop, &dialect, &reader, &store, &control, &client, &log, &metrics,
                             [] { malloc_trim(0); }});
  if (const std::error_code error = gateway.Start()) {
    log.Write(LogLevel::kError, "start_failed", {{"error", error.message()}});
    return kExitListen;
  }
  log.Write(LogLevel::kInfo, "started",
            {{"requests", gateway.request_address()},
             {"status", gateway.status_address()},
             {"metrics", gateway.metrics_address()},
             {"pid", absl::StrCat(getpid())}});
  const auto stop = [&] { gateway.Stop([&loop] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  loop.OnSignal(SIGHUP, [&] {
    Findings findings;
    const GatewaySettings changed = ReadSettings(settings_file, &findings);
    if (findings.empty()) {
      log.SetLevel(changed.log_level);
    }
    log.Write(findings.empty() ? LogLevel::kInfo : LogLevel::kWarning, "reloaded",
              {{"findings", FormatFindings(findings)}});
  });
  loop.Run();
  log.FlushWithin(kLogFlushTimeout);
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("hingespan-gateway: a node of hingespan on the users' platform");
  Flags flags;
  app.add_option("--settings", flags.settings_file,
                 absl::StrCat("Settings file (TOML); else named by ", kSettingsVariable));
  app.add_flag("--check", flags.check, "Check the settings and end");
  CLI11_PARSE(app, argc, argv);
  if (flags.settings_file.empty()) {
    const char* const named = std::getenv(kSettingsVariable);
    flags.settings_file = named == nullptr ? "" : named;
  }
  Findings findings;
  const GatewaySettings settings = ReadSettings(flags.settings_file, &findings);
  if (!findings.empty()) {
    std::cerr << FormatFindings(findings);
    return kExitSettings;
  }
  if (flags.check) {
    std::cout << "settings: no findings\n";
    return 0;
  }
  signal(SIGPIPE, SIG_IGN);
  mallopt(M_ARENA_MAX, 1);
  // A fixed value keeps the allocator from raising it when large blocks are freed.
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  return RunGateway(settings, flags.settings_file);
}

}  // namespace
}  // namespace hingespan::gateway

int main(int argc, char** argv) { return hingespan::gateway::Main(argc, argv); }
