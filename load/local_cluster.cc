#include "load/local_cluster.h"

#include <signal.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace hingespan::load {
namespace {

using Json = nlohmann::json;

constexpr char kAnyPort[] = "127.0.0.1:0";
constexpr std::size_t kMaximumSeeds = 3;
constexpr std::size_t kDetailBytes = 4096;
constexpr absl::Duration kKillTimeout = absl::Seconds(10);

std::string Tail(const std::string& text) {
  return text.size() > kDetailBytes ? text.substr(text.size() - kDetailBytes) : text;
}

ClusterStatus Failed(std::error_code error, const std::string& what, const ChildProcess* process) {
  std::string detail = absl::StrCat(what, ": ", error.message());
  if (process != nullptr) {
    absl::StrAppend(&detail, "\n", Tail(process->ErrorTail()));
  }
  return ClusterStatus{error, std::move(detail)};
}

void AppendOverrides(const std::vector<SettingOverride>& overrides,
                     std::vector<std::string>* arguments) {
  for (const SettingOverride& setting : overrides) {
    arguments->push_back("--set");
    arguments->push_back(absl::StrCat(setting.key, "=", setting.value));
  }
}

void AppendSettingsFile(const std::string& file, std::vector<std::string>* arguments) {
  if (!file.empty()) {
    arguments->push_back("--settings");
    arguments->push_back(file);
  }
}

}  // namespace

struct LocalCluster::NodeProcess {
  RunningNode node;
  std::unique_ptr<ChildProcess> process;
};

struct LocalCluster::ZoneAddress {
  ZoneId zone;
  std::string address;
};

LocalCluster::LocalCluster(LocalClusterOptions options) : options_(std::move(options)) {}

// Stops the nodes before the emulator, so that they do not report its loss.
LocalCluster::~LocalCluster() {
  nodes_.clear();
  emulator_.reset();
}

ClusterStatus LocalCluster::Start() {
  const ClusterStatus status = StartEmulator();
  return status.ok() ? StartNodes() : status;
}

ClusterStatus LocalCluster::StartNodes() {
  ClusterStatus status;
  for (const ZoneNodes& zone : options_.zones) {
    for (int number = 1; number <= zone.nodes; ++number) {
      status = StartNode(NodeId(absl::StrCat(zone.zone.value(), "-n", number)), zone.zone);
      if (!status.ok()) {
        return status;
      }
    }
  }
  for (const std::unique_ptr<NodeProcess>& node : nodes_) {
    status = WaitUntilReady(node->node.node, options_.ready_timeout);
    if (!status.ok()) {
      return status;
    }
  }
  return {};
}

ClusterStatus LocalCluster::StartEmulator() {
  std::vector<std::string> arguments{
      absl::StrCat(options_.program_directory, "/hingespan-emulator")};
  AppendSettingsFile(options_.emulator_settings, &arguments);
  AppendOverrides(options_.emulator_overrides, &arguments);
  Result<std::unique_ptr<ChildProcess>> started = ChildProcess::Start(arguments);
  if (!started) {
    return Failed(started.error(), arguments[0], nullptr);
  }
  emulator_ = std::move(*started);
  const Result<std::string> line = emulator_->WaitForEvent("listening", options_.start_timeout);
  if (!line) {
    return Failed(line.error(), "the emulator does not listen", emulator_.get());
  }
  const Json json = Json::parse(*line);
  admin_address_ = json.value("admin", "");
  platform_address_ = json.value("platform", "");
  const Json by_zone = json.value("platform_by_zone", Json::object());
  for (const auto& [zone, address] : by_zone.items()) {
    platform_by_zone_.push_back(ZoneAddress{ZoneId(zone), address.get<std::string>()});
  }
  return {};
}

std::vector<std::string> LocalCluster::NodeArguments(const NodeId& node, const ZoneId& zone) const {
  std::vector<std::string> arguments{absl::StrCat(options_.program_directory, "/hingespand")};
  AppendSettingsFile(options_.node_settings, &arguments);
  const std::vector<std::string> identity{
      "--node",        node.value(), "--zone",           zone.value(),
      "--zones",       ZoneNames(),  "--platform",       PlatformAddress(zone),
      "--http-listen", kAnyPort,     "--control-listen", kAnyPort};
  arguments.insert(arguments.end(), identity.begin(), identity.end());
  std::size_t seeds = 0;
  for (const RunningNode& other : Nodes()) {
    if (other.zone == zone && other.node != node && seeds < kMaximumSeeds) {
      arguments.push_back("--seed");
      arguments.push_back(other.control_address);
      ++seeds;
    }
  }
  AppendOverrides(options_.node_overrides, &arguments);
  return arguments;
}

std::string LocalCluster::ZoneNames() const {
  return absl::StrJoin(options_.zones, ",", [](std::string* text, const ZoneNodes& zone) {
    absl::StrAppend(text, zone.zone.value());
  });
}

ClusterStatus LocalCluster::StartNode(const NodeId& node, const ZoneId& zone) {
  NodeProcess* entry = Find(node);
  if (entry != nullptr && entry->process->running()) {
    return Failed(Error::kInvalidArgument, absl::StrCat(node.value(), " is already running"),
                  nullptr);
  }
  Result<std::unique_ptr<ChildProcess>> started = ChildProcess::Start(NodeArguments(node, zone));
  if (!started) {
    return Failed(started.error(), absl::StrCat("starting ", node.value()), nullptr);
  }
  if (entry == nullptr) {
    nodes_.push_back(std::make_unique<NodeProcess>());
    entry = nodes_.back().get();
  }
  entry->process = std::move(*started);
  entry->node = RunningNode{node, zone, "", "", entry->process->pid()};
  const Result<std::string> line =
      entry->process->WaitForEvent("listening", options_.start_timeout);
  if (!line) {
    return Failed(line.error(), absl::StrCat(node.value(), " does not listen"),
                  entry->process.get());
  }
  const Json json = Json::parse(*line);
  entry->node.http_address = json.value("http", "");
  entry->node.control_address = json.value("control", "");
  return {};
}

ClusterStatus LocalCluster::WaitUntilReady(const NodeId& node, absl::Duration timeout) {
  NodeProcess* entry = Find(node);
  if (entry == nullptr) {
    return Failed(Error::kNotFound, node.value(), nullptr);
  }
  const Result<std::string> line = entry->process->WaitForEvent("ready", timeout);
  if (!line) {
    return Failed(line.error(), absl::StrCat(node.value(), " is not ready"), entry->process.get());
  }
  return {};
}

ClusterStatus LocalCluster::Send(const NodeId& node, int signal) {
  NodeProcess* entry = Find(node);
  if (entry == nullptr) {
    return Failed(Error::kNotFound, node.value(), nullptr);
  }
  const std::error_code error = entry->process->Signal(signal);
  if (error) {
    return Failed(error, absl::StrCat("sending a signal to ", node.value()), entry->process.get());
  }
  return {};
}

ClusterStatus LocalCluster::Kill(const NodeId& node) {
  ClusterStatus status = Send(node, SIGKILL);
  if (!status.ok()) {
    return status;
  }
  return WaitForExit(node, kKillTimeout, nullptr);
}

ClusterStatus LocalCluster::Stop(const NodeId& node, absl::Duration timeout, ExitStatus* exit) {
  ClusterStatus status = BeginStop(node);
  if (!status.ok()) {
    return status;
  }
  return WaitForExit(node, timeout, exit);
}

ClusterStatus LocalCluster::BeginStop(const NodeId& node) { return Send(node, SIGTERM); }

ClusterStatus LocalCluster::WaitForExit(const NodeId& node, absl::Duration timeout,
                                        ExitStatus* exit) {
  NodeProcess* entry = Find(node);
  if (entry == nullptr) {
    return Failed(Error::kNotFound, node.value(), nullptr);
  }
  const Result<ExitStatus> ended = entry->process->WaitForExit(timeout);
  if (!ended) {
    return Failed(ended.error(), absl::StrCat("waiting for the end of ", node.value()),
                  entry->process.get());
  }
  if (exit != nullptr) {
    *exit = *ended;
  }
  return {};
}

ClusterStatus LocalCluster::Pause(const NodeId& node) { return Send(node, SIGSTOP); }

ClusterStatus LocalCluster::Continue(const NodeId& node) { return Send(node, SIGCONT); }

ClusterStatus LocalCluster::RestartNode(const NodeId& node) {
  NodeProcess* entry = Find(node);
  if (entry == nullptr) {
    return Failed(Error::kNotFound, node.value(), nullptr);
  }
  ClusterStatus status;
  if (entry->process->running()) {
    status = Kill(node);
  }
  if (status.ok()) {
    status = StartNode(node, ZoneId(entry->node.zone));
  }
  if (status.ok()) {
    status = WaitUntilReady(node, options_.ready_timeout);
  }
  return status;
}

std::vector<RunningNode> LocalCluster::Nodes() const {
  std::vector<RunningNode> running;
  for (const std::unique_ptr<NodeProcess>& entry : nodes_) {
    if (entry->process->running()) {
      running.push_back(entry->node);
    }
  }
  return running;
}

Result<RunningNode> LocalCluster::Node(const NodeId& node) const {
  const NodeProcess* entry = Find(node);
  if (entry == nullptr || !entry->process->running()) {
    return Error::kNotFound;
  }
  return entry->node;
}

std::vector<std::string> LocalCluster::HttpAddresses() const {
  std::vector<std::string> addresses;
  for (const RunningNode& node : Nodes()) {
    addresses.push_back(node.http_address);
  }
  return addresses;
}

std::string LocalCluster::PlatformAddress(const ZoneId& zone) const {
  for (const ZoneAddress& entry : platform_by_zone_) {
    if (entry.zone == zone) {
      return entry.address;
    }
  }
  return platform_address_;
}

pid_t LocalCluster::emulator_pid() const { return emulator_ == nullptr ? 0 : emulator_->pid(); }

std::string LocalCluster::ErrorTail(const NodeId& node) const {
  if (node.empty()) {
    return emulator_ == nullptr ? "" : emulator_->ErrorTail();
  }
  const NodeProcess* entry = Find(node);
  return entry == nullptr ? "" : entry->process->ErrorTail();
}

LocalCluster::NodeProcess* LocalCluster::Find(const NodeId& node) {
  return const_cast<NodeProcess*>(std::as_const(*this).Find(node));
}

const LocalCluster::NodeProcess* LocalCluster::Find(const NodeId& node) const {
  for (const std::unique_ptr<NodeProcess>& entry : nodes_) {
    if (entry->node.node == node) {
      return entry.get();
    }
  }
  return nullptr;
}

}  // namespace hingespan::load
