#include "load/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "emulator/toml_table_reader.h"

namespace hingespan::load {
namespace {

using emulator::TomlTableReader;

constexpr double kMaximumMilliseconds = 3'600'000;
constexpr int kMaximumRequests = 100'000;
constexpr int kMaximumThreads = 2048;
constexpr int kMaximumSeries = 100'000;
constexpr double kSmallestWeight = 1e-9;
constexpr double kLargestWeight = 1e9;
constexpr std::array<std::string_view, 8> kFaultNames = {
    "platform", "weight_store",         "engine_restart", "engine_freeze",
    "machine",  "engine_break_streams", "link",           "order_duplicates"};

std::string FaultNames() {
  return absl::StrJoin(kFaultNames, ", ", [](std::string* text, std::string_view name) {
    text->append(name.data(), name.size());
  });
}

std::string ElementKey(const std::string& array, std::size_t index) {
  return absl::StrCat(array, "[", index, "]");
}

// Reads one model, or a numbered series of models if `first` and `last` are set.
void ReadModels(const toml::table& table, const std::string& key, const std::string& file,
                Findings* findings, std::vector<WeightedModel>* models) {
  TomlTableReader reader(&table, key, file, findings);
  const std::string name = reader.ReadRequiredText("name");
  double weight = 1.0;
  int first = 0;
  int last = -1;
  int digits = 0;
  reader.ReadNumber("weight", kSmallestWeight, kLargestWeight, &weight);
  reader.ReadInteger("first", 0, kMaximumSeries, &first);
  reader.ReadInteger("last", 0, kMaximumSeries, &last);
  reader.ReadInteger("digits", 0, 9, &digits);
  reader.ReportUnknownKeys();
  if (last < 0) {
    models->push_back(WeightedModel{name, weight});
    return;
  }
  if (last < first) {
    reader.Report("last", "below first", absl::StrCat("a whole number from ", first));
  }
  for (int number = first; number <= last; ++number) {
    models->push_back(WeightedModel{name + absl::StrFormat("%0*d", digits, number), weight});
  }
}

Burst ReadBurst(const toml::table& table, const std::string& key, const std::string& file,
                Findings* findings) {
  TomlTableReader reader(&table, key, file, findings);
  Burst burst;
  reader.ReadMilliseconds("at_ms", kMaximumMilliseconds, &burst.at);
  reader.ReadInteger("requests", 1, kMaximumRequests, &burst.requests);
  reader.ReadMilliseconds("spread_ms", kMaximumMilliseconds, &burst.spread);
  reader.ReadInteger("distinct_models", 0, kMaximumSeries, &burst.distinct_models);
  reader.ReportUnknownKeys();
  return burst;
}

RequestClass ReadClass(const toml::table& table, const std::string& key, const std::string& file,
                       Findings* findings) {
  TomlTableReader reader(&table, key, file, findings);
  RequestClass request_class;
  request_class.name = reader.ReadRequiredText("name");
  reader.ReadNumber("rate_per_second", 0, 10'000, &request_class.rate_per_second);
  reader.ReadBool("repeatable", &request_class.repeatable);
  reader.ReadMilliseconds("time_limit_ms", kMaximumMilliseconds, &request_class.time_limit);
  reader.ReadInteger("priority", -100, 100, &request_class.priority);
  reader.ReadBool("stream", &request_class.stream);
  reader.ReadInteger("max_tokens", 1, 100'000, &request_class.max_tokens);
  reader.ReadInteger("copies", 1, 64, &request_class.copies);
  const std::vector<const toml::table*> models = reader.ReadTables("models");
  for (std::size_t index = 0; index < models.size(); ++index) {
    ReadModels(*models[index], ElementKey(key + ".models", index), file, findings,
               &request_class.models);
  }
  const std::vector<const toml::table*> bursts = reader.ReadTables("bursts");
  for (std::size_t index = 0; index < bursts.size(); ++index) {
    request_class.bursts.push_back(
        ReadBurst(*bursts[index], ElementKey(key + ".bursts", index), file, findings));
  }
  reader.ReportUnknownKeys();
  if (models.empty()) {
    reader.Report("models", "missing", "at least one model");
  }
  if (bursts.empty() && request_class.rate_per_second <= 0) {
    reader.Report("rate_per_second", "no arrivals", "a rate above 0, or bursts");
  }
  if (request_class.repeatable && request_class.copies > 1) {
    reader.Report("copies", "copies of a repeatable request", "1, or repeatable = false");
  }
  return request_class;
}

// Keys other than `at_ms` and `fault` are validated by the emulator.
TimedFault ReadFault(const toml::table& table, const std::string& key, const std::string& file,
                     Findings* findings) {
  TomlTableReader reader(&table, key, file, findings);
  TimedFault fault;
  reader.ReadMilliseconds("at_ms", kMaximumMilliseconds, &fault.at);
  const std::string name = reader.ReadRequiredText("fault");
  if (!name.empty() &&
      std::find(kFaultNames.begin(), kFaultNames.end(), name) == kFaultNames.end()) {
    reader.Report("fault", "unknown fault", FaultNames());
  }
  toml::table posted = table;
  posted.erase("at_ms");
  std::ostringstream json;
  json << toml::json_formatter{posted};
  fault.json = json.str();
  return fault;
}

void ReadZones(TomlTableReader* reader, const std::string& file, Findings* findings,
               std::vector<std::string>* zones) {
  const std::vector<const toml::table*> tables = reader->ReadTables("zones");
  for (std::size_t index = 0; index < tables.size(); ++index) {
    TomlTableReader zone(tables[index], ElementKey("zones", index), file, findings);
    zones->push_back(zone.ReadRequiredText("name"));
    zone.ReportUnknownKeys();
  }
}

// Keys and values are validated by hingespand.
void ReadNodeSettings(TomlTableReader* reader, const std::string& file, Findings* findings,
                      std::vector<SettingOverride>* settings) {
  const std::vector<const toml::table*> tables = reader->ReadTables("node_settings");
  for (std::size_t index = 0; index < tables.size(); ++index) {
    TomlTableReader setting(tables[index], ElementKey("node_settings", index), file, findings);
    SettingOverride override;
    override.key = setting.ReadRequiredText("key");
    override.value = setting.ReadRequiredText("value");
    setting.ReportUnknownKeys();
    settings->push_back(std::move(override));
  }
}

void ReportRepeatedNames(const Scenario& scenario, TomlTableReader* reader) {
  std::set<std::string> names;
  for (const RequestClass& request_class : scenario.classes) {
    if (!names.insert(request_class.name).second) {
      reader->Report("classes", absl::StrCat("the name ", request_class.name, " stands twice"),
                     "different names");
    }
  }
}

Scenario ReadScenario(const toml::table& root, const std::string& file, Findings* findings) {
  TomlTableReader reader(&root, "", file, findings);
  Scenario scenario;
  scenario.name = reader.ReadRequiredText("name");
  reader.ReadInteger("seed", 0, std::numeric_limits<std::int64_t>::max(), &scenario.seed);
  reader.ReadMilliseconds("duration_ms", kMaximumMilliseconds, &scenario.duration);
  reader.ReadNumber("time_compression", 0.001, 100'000, &scenario.time_compression);
  reader.ReadNumber("accelerator_mib", 1, 10'000'000, &scenario.accelerator_mib);
  reader.ReadInteger("maximum_in_flight", 1, kMaximumThreads, &scenario.maximum_in_flight);
  ReadZones(&reader, file, findings, &scenario.zones);
  ReadNodeSettings(&reader, file, findings, &scenario.node_settings);
  const std::vector<const toml::table*> classes = reader.ReadTables("classes");
  for (std::size_t index = 0; index < classes.size(); ++index) {
    scenario.classes.push_back(
        ReadClass(*classes[index], ElementKey("classes", index), file, findings));
  }
  const std::vector<const toml::table*> faults = reader.ReadTables("faults");
  for (std::size_t index = 0; index < faults.size(); ++index) {
    scenario.faults.push_back(
        ReadFault(*faults[index], ElementKey("faults", index), file, findings));
  }
  reader.ReportUnknownKeys();
  if (classes.empty()) {
    reader.Report("classes", "missing", "at least one class of requests");
  }
  ReportRepeatedNames(scenario, &reader);
  return scenario;
}

}  // namespace

LoadedScenario ParseScenario(const std::string& text, const std::string& name) {
  LoadedScenario loaded;
  try {
    const toml::table root = toml::parse(text, name);
    loaded.scenario = ReadScenario(root, name, &loaded.findings);
  } catch (const toml::parse_error& error) {
    const toml::source_position& at = error.source().begin;
    loaded.findings.push_back(
        Finding{Place{name, static_cast<int>(at.line), static_cast<int>(at.column)}, "",
                std::string(error.description()), "TOML"});
  }
  return loaded;
}

LoadedScenario LoadScenario(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    LoadedScenario loaded;
    loaded.findings.push_back(Finding{Place{file}, "", "can't be read", "a readable file"});
    return loaded;
  }
  std::stringstream text;
  text << stream.rdbuf();
  return ParseScenario(text.str(), file);
}

}  // namespace hingespan::load
