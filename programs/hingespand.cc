// hingespand: a node of hingespan.
#include <malloc.h>
#include <pthread.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "hingespan/common/finding.h"
#include "hingespan/common/log.h"
#include "hingespan/node/answer_format.h"
#include "hingespan/node/daemon.h"
#include "hingespan/settings/node_settings.h"

namespace hingespan {
namespace {

// Each connection has a thread. With one malloc arena per thread, memory freed after a burst of
// connections would not be reused.
constexpr int kMemoryArenas = 2;
constexpr int kExitCutOff = 1;
constexpr int kExitSettings = 2;
constexpr int kExitListen = 3;

struct Flags {
  std::string settings_file;
  std::vector<std::string> sets;
  std::string node;
  std::string zone;
  std::string zones;
  std::string http_listen;
  std::string control_listen;
  std::string platform;
  std::vector<std::string> seeds;
  bool check = false;
};

void AddFlags(CLI::App* app, Flags* flags) {
  app->add_option("--settings", flags->settings_file, "Settings file (TOML)");
  app->add_option("--set", flags->sets, "KEY=VALUE; overrides the file; may be repeated");
  app->add_option("--node", flags->node, "Name of this node (node.name)");
  app->add_option("--zone", flags->zone, "Zone of this node (node.zone)");
  app->add_option("--zones", flags->zones, "All zones, separated by commas (node.zones)");
  app->add_option("--http-listen", flags->http_listen, "ip:port for callers (http.listen)");
  app->add_option("--control-listen", flags->control_listen,
                  "ip:port for other nodes (control.listen)");
  app->add_option("--platform", flags->platform, "ip:port of the platform (platform.address)");
  app->add_option("--seed", flags->seeds,
                  "Control address to join through (control.seeds); may be repeated");
  app->add_flag("--check", flags->check, "Check the settings and end");
}

void AddOverride(const char* key, const std::string& value,
                 std::vector<SettingOverride>* overrides) {
  if (!value.empty()) {
    overrides->push_back({key, value});
  }
}

std::vector<SettingOverride> Overrides(const Flags& flags) {
  std::vector<SettingOverride> overrides;
  for (const std::string& set : flags.sets) {
    const std::size_t equals = set.find('=');
    if (equals == std::string::npos) {
      overrides.push_back({set, std::string()});
      continue;
    }
    overrides.push_back({set.substr(0, equals), set.substr(equals + 1)});
  }
  AddOverride("node.name", flags.node, &overrides);
  AddOverride("node.zone", flags.zone, &overrides);
  AddOverride("node.zones", flags.zones, &overrides);
  AddOverride("http.listen", flags.http_listen, &overrides);
  AddOverride("control.listen", flags.control_listen, &overrides);
  AddOverride("platform.address", flags.platform, &overrides);
  AddOverride("control.seeds", absl::StrJoin(flags.seeds, ","), &overrides);
  return overrides;
}

void PrintListening(const NodeSettings& settings, const DaemonAddresses& addresses) {
  std::cout << absl::StrCat(
                   "{\"event\":\"listening\",\"node\":", JsonString(settings.core.node.value()),
                   ",\"zone\":", JsonString(settings.core.zone.value()),
                   ",\"http\":", JsonString(addresses.http),
                   ",\"control\":", JsonString(addresses.control), ",\"pid\":", getpid(), "}")
            << std::endl;
}

// Handles signals on a dedicated thread; all other threads block them.
class SignalWatcher {
 public:
  explicit SignalWatcher(Daemon* daemon) : thread_([this, daemon] { Watch(daemon); }) {}
  ~SignalWatcher() {
    ended_ = true;
    pthread_kill(thread_.native_handle(), SIGUSR1);
    thread_.join();
  }

  // Must be called before any thread is started, so that all threads inherit the signal mask.
  static sigset_t BlockSignals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
  }

 private:
  void Watch(Daemon* daemon) {
    const sigset_t signals = BlockSignals();
    bool stopping = false;
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && !ended_) {
      if (signal == SIGUSR1) {
        continue;
      }
      if (stopping) {
        daemon->StopNow();
      } else {
        stopping = true;
        daemon->BeginStop();
      }
    }
  }

  std::atomic<bool> ended_ = false;
  std::thread thread_;
};

int RunNode(const NodeSettings& settings) {
  StartLog(settings.log, "hingespand", settings.core.node.value(), settings.core.zone.value());
  Daemon daemon(settings);
  const Result<DaemonAddresses> addresses = daemon.Start();
  if (!addresses.ok()) {
    std::cerr << "can't listen: " << addresses.error().message() << std::endl;
    return kExitListen;
  }
  const SignalWatcher signals(&daemon);
  PrintListening(settings, *addresses);
  const bool complete = daemon.Run([] { std::cout << "{\"event\":\"ready\"}" << std::endl; });
  return complete ? 0 : kExitCutOff;
}

int Main(int argc, char** argv) {
  mallopt(M_ARENA_MAX, kMemoryArenas);
  SignalWatcher::BlockSignals();
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("One node of hingespan, a serving system for rarely used models");
  Flags flags;
  AddFlags(&app, &flags);
  CLI11_PARSE(app, argc, argv);
  const LoadedNodeSettings loaded = LoadNodeSettings(flags.settings_file, Overrides(flags));
  if (!loaded.findings.empty()) {
    std::cerr << FormatFindings(loaded.findings);
    return kExitSettings;
  }
  if (flags.check) {
    std::cout << "settings are good" << std::endl;
    return 0;
  }
  return RunNode(loaded.settings);
}

}  // namespace
}  // namespace hingespan

int main(int argc, char** argv) { return hingespan::Main(argc, argv); }
