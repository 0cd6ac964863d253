// hingespan-emulator: emulates all systems that hingespan depends on; see docs/EMULATOR.md.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "emulator/emulator.h"
#include "emulator/emulator_settings.h"

namespace {

using hingespan::emulator::Emulator;
using hingespan::emulator::EmulatorOverride;
using hingespan::emulator::EmulatorSettings;
using hingespan::emulator::LoadedEmulatorSettings;
using hingespan::emulator::LogEntry;

constexpr int kExitSettings = 2;
constexpr int kExitListen = 3;

// Splits "key=value" pairs. A text without "=" gets an empty value, which the settings reject.
std::vector<EmulatorOverride> SplitOverrides(const std::vector<std::string>& texts) {
  std::vector<EmulatorOverride> overrides;
  for (const std::string& text : texts) {
    const std::size_t equals = text.find('=');
    const std::string value = equals == std::string::npos ? "" : text.substr(equals + 1);
    overrides.push_back({text.substr(0, equals), value});
  }
  return overrides;
}

// Blocks the signals that end the program in all threads, and returns them for WaitForEnd.
sigset_t BlockEndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void WaitForEnd(const sigset_t& signals, absl::Duration lifetime) {
  const absl::Time end = absl::Now() + lifetime;
  while (absl::Now() < end) {
    const timespec left = absl::ToTimespec(end - absl::Now());
    if (sigtimedwait(&signals, nullptr, &left) > 0) {
      return;
    }
  }
}

void ReportOvercommit(const LogEntry& entry, bool abort) {
  std::cerr << "overcommit on " << entry.worker.value() << " by " << entry.model.value() << ": "
            << entry.reason << std::endl;
  if (abort) {
    std::abort();
  }
}

int Run(const EmulatorSettings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  // The distribution's Abseil detects lock cycles by default, which slows down every lock.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  const sigset_t signals = BlockEndSignals();
  const bool abort = settings.abort_on_overcommit;
  Emulator emulator(settings, [abort](const LogEntry& entry) { ReportOvercommit(entry, abort); });
  const std::error_code error = emulator.Start();
  if (error) {
    std::cerr << "can't listen on " << settings.host << ": " << error.message() << std::endl;
    return kExitListen;
  }
  std::cout << ListeningLine(emulator.addresses()) << std::endl;
  WaitForEnd(signals, settings.lifetime);
  emulator.Stop();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Emulates engines, weight store, table service, object store, machine list and "
      "links between zones.");
  std::string file;
  std::vector<std::string> sets;
  bool check_only = false;
  app.add_option("--settings", file, "Settings file (TOML)")->required();
  app.add_option("--set", sets, "Overrides a key of the file, e.g. weight_store.loads_per_second=5")
      ->expected(1)
      ->take_all();
  app.add_flag("--check", check_only, "Checks the settings and ends");
  CLI11_PARSE(app, argc, argv);

  const LoadedEmulatorSettings loaded = LoadEmulatorSettings(file, SplitOverrides(sets));
  if (!loaded.findings.empty()) {
    std::cerr << hingespan::FormatFindings(loaded.findings);
    return kExitSettings;
  }
  return check_only ? EXIT_SUCCESS : Run(loaded.settings);
}
