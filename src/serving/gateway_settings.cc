#include "hingespan/serving/gateway_settings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "hingespan/net/socket_address.h"
#include "hingespan/settings/toml_document.h"

namespace hingespan::gateway {
namespace {

// Checks and stores the value of one setting. Returns an empty string, or the allowed values if the
// value is not allowed.
using Setter = std::function<std::string(const TomlValue&)>;

Setter Text(std::string* target) {
  return [target](const TomlValue& value) -> std::string {
    const auto* const text = std::get_if<std::string>(&value);
    if (text == nullptr || text->empty()) {
      return "a text that is not empty";
    }
    *target = *text;
    return {};
  };
}

Setter Address(std::string* target) {
  return [target](const TomlValue& value) -> std::string {
    const auto* const text = std::get_if<std::string>(&value);
    if (text == nullptr || !ParseHostPort(*text).ok()) {
      return "\"ip:port\"";
    }
    *target = *text;
    return {};
  };
}

bool ReadNumber(const TomlValue& value, double* number) {
  if (const auto* const whole = std::get_if<std::int64_t>(&value)) {
    *number = static_cast<double>(*whole);
    return true;
  }
  if (const auto* const fraction = std::get_if<double>(&value)) {
    *number = *fraction;
    return true;
  }
  return false;
}

Setter Number(double minimum, double maximum, const std::function<void(double)>& store) {
  return [=](const TomlValue& value) -> std::string {
    double number = 0;
    if (!ReadNumber(value, &number) || number < minimum || number > maximum) {
      return absl::StrCat("a number from ", minimum, " to ", maximum);
    }
    store(number);
    return {};
  };
}

Setter Flag(bool* target) {
  return [target](const TomlValue& value) -> std::string {
    const bool* const flag = std::get_if<bool>(&value);
    if (flag == nullptr) {
      return "true or false";
    }
    *target = *flag;
    return {};
  };
}

Setter Level(LogLevel* target) {
  return [target](const TomlValue& value) -> std::string {
    static const std::map<std::string, LogLevel> levels = {{"debug", LogLevel::kDebug},
                                                           {"info", LogLevel::kInfo},
                                                           {"warning", LogLevel::kWarning},
                                                           {"error", LogLevel::kError}};
    const auto* const text = std::get_if<std::string>(&value);
    const auto entry = text == nullptr ? levels.end() : levels.find(*text);
    if (entry == levels.end()) {
      return "\"debug\", \"info\", \"warning\" or \"error\"";
    }
    *target = entry->second;
    return {};
  };
}

Setter Amount(double maximum, double* target) {
  return Number(0, maximum, [target](double value) { *target = value; });
}

// Setters for the decision policies in [policy].
std::map<std::string, Setter> PolicySetters(GatewaySettings* settings) {
  ServingPolicy& serving = settings->serving;
  PlacementPolicy& placement = settings->placement;
  return {
      {"policy.return_when_late", Flag(&serving.return_when_late)},
      {"policy.count_returning", Flag(&serving.count_returning)},
      {"policy.prefer_kept_prompts", Flag(&serving.prefer_kept_prompts)},
      {"policy.prefer_own_zone", Flag(&serving.prefer_own_zone)},
      {"policy.judge_workers", Flag(&serving.judge_workers)},
      {"policy.learn_loads_at_once", Flag(&settings->weight_store.enabled)},
      {"policy.first_loads_at_once",
       Number(1, 1e4, [settings](double value) { settings->weight_store.first_limit = value; })},
      {"policy.requests_for_each_replica",
       Number(0.1, 1e6, [settings](double value) { settings->requests_for_each_replica = value; })},
      {"policy.fresh_replica_ms",
       Number(0, 1e6,
              [settings](double value) { settings->fresh_replica = absl::Milliseconds(value); })},
      {"policy.fresh_replica_value", Amount(1e6, &placement.fresh_replica_value)},
      {"policy.blocked_adapter_cost", Amount(1e6, &placement.blocked_adapter_cost)},
      {"policy.drain_seconds", Amount(1e6, &placement.drain_seconds)},
      {"policy.prefer_copies", Flag(&placement.prefer_copies)},
      {"policy.yield_to_copies", Flag(&placement.yield_to_copies)},
      {"policy.tell_expected_loads", Flag(&placement.tell_expected_loads)},
  };
}

std::map<std::string, Setter> Setters(GatewaySettings* settings) {
  std::map<std::string, Setter> setters = {
      {"node.name", Text(&settings->node)},
      {"node.zone", Text(&settings->zone)},
      {"node.link_mbps", Number(0, 1e7, [settings](double value) { settings->link_mbps = value; })},
      {"node.memory_mb",
       Number(16, 1e8, [settings](double value) { settings->memory_mb = value; })},
      {"listen.requests", Address(&settings->request_listen)},
      {"listen.status", Address(&settings->status_listen)},
      {"listen.readiness_path", Text(&settings->readiness_path)},
      {"listen.metrics", Address(&settings->metrics_listen)},
      {"listen.metrics_path", Text(&settings->metrics_path)},
      {"listen.peers", Address(&settings->peer_listen)},
      {"listen.forwarded", Address(&settings->forward_listen)},
      {"listen.max_connections",
       Number(1, 1e6,
              [settings](double value) { settings->max_connections = static_cast<int>(value); })},
      {"store.address", Address(&settings->store_address)},
      {"store.row_bytes",
       Number(1024, 1e9,
              [settings](double value) { settings->store_row_bytes = static_cast<int>(value); })},
      {"store.apply_ms",
       Number(100, 1e6,
              [settings](double value) { settings->apply_time = absl::Milliseconds(value); })},
      {"store.drain_ms",
       Number(100, 1e6,
              [settings](double value) { settings->drain_time = absl::Milliseconds(value); })},
      {"placement.lease_ms",
       Number(100, 1e6, [settings](double value) { settings->lease = absl::Milliseconds(value); })},
      {"placement.workers_check_tokens", Flag(&settings->workers_check_tokens)},
      {"stop.time_s",
       Number(0.1, 3600, [settings](double value) { settings->stop_time = absl::Seconds(value); })},
      {"retries.ratio", Number(0, 10, [settings](double value) { settings->retry_ratio = value; })},
      {"retries.extra",
       Number(0, 1e6, [settings](double value) { settings->retry_extra = value; })},
      {"retries.window_s",
       Number(1, 3600,
              [settings](double value) { settings->retry_window = absl::Seconds(value); })},
      {"log.level", Level(&settings->log_level)},
  };
  setters.merge(PolicySetters(settings));
  return setters;
}

constexpr const char* kRequired[] = {"node.name",     "node.zone",    "listen.requests",
                                     "listen.status", "listen.peers", "store.address"};

}  // namespace

GatewaySettings ReadGatewaySettings(absl::string_view text, const std::string& file,
                                    Findings* findings) {
  GatewaySettings settings;
  const TomlDocument document = ParseToml(std::string_view(text.data(), text.size()), file);
  findings->insert(findings->end(), document.findings.begin(), document.findings.end());
  if (!document.findings.empty()) {
    return settings;
  }
  const std::map<std::string, Setter> setters = Setters(&settings);
  std::set<std::string> given;
  for (const TomlEntry& entry : document.entries) {
    const std::string key = absl::StrJoin(entry.path, ".");
    const auto setter = setters.find(key);
    if (setter == setters.end()) {
      continue;
    }
    given.insert(key);
    const std::string allowed = setter->second(entry.value);
    if (!allowed.empty()) {
      findings->push_back({entry.place, key, "the value is not allowed", allowed});
    }
  }
  for (const char* const key : kRequired) {
    if (!given.contains(key)) {
      findings->push_back({{file, 0, 0}, key, "missing", "a value"});
    }
  }
  return settings;
}

}  // namespace hingespan::gateway
