#include "emulator/emulator_settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "emulator/toml_table_reader.h"

namespace hingespan::emulator {
namespace {

constexpr double kHourMilliseconds = 3600e3;
constexpr double kMaximumRate = 1e6;
constexpr std::int64_t kMaximumMib = 1 << 30;
constexpr std::int64_t kMaximumThreads = 10000;
constexpr std::int64_t kMaximumPort = 65535;
constexpr double kDaySeconds = 86400;

class SettingsParser {
 public:
  SettingsParser(const toml::table& root, std::string file) : root_(root), file_(std::move(file)) {}

  LoadedEmulatorSettings Parse() {
    TomlTableReader reader(&root_, "", file_, &loaded_.findings);
    ReadGeneral(&reader);
    ReadPlatform(reader.ReadTable("platform"));
    ReadWeightStore(reader.ReadTable("weight_store"));
    EngineOptions engine;
    ReadEngineTable(reader.ReadTable("engine"), &engine);
    ReadZones(&reader);
    ReadWorkers(&reader, engine);
    reader.ReportUnknownKeys();
    return std::move(loaded_);
  }

 private:
  void ReadGeneral(TomlTableReader* reader) {
    EmulatorSettings& settings = loaded_.settings;
    reader->ReadText("host", &settings.host);
    reader->ReadInteger("platform_port", 0, kMaximumPort, &settings.platform_port);
    reader->ReadInteger("engine_port", 0, kMaximumPort, &settings.engine_port);
    reader->ReadInteger("admin_port", 0, kMaximumPort, &settings.admin_port);
    double lifetime_seconds = absl::ToDoubleSeconds(settings.lifetime);
    reader->ReadNumber("lifetime_seconds", 1, kDaySeconds, &lifetime_seconds);
    settings.lifetime = absl::Seconds(lifetime_seconds);
    reader->ReadInteger("seed", 0, INT64_MAX, &settings.seed);
    reader->ReadNumber("time_compression", 0.01, 1000, &settings.time_compression);
    reader->ReadBool("abort_on_overcommit", &settings.abort_on_overcommit);
    reader->ReadInteger("log_entries", 1, 10000000, &settings.log_entries);
    reader->ReadInteger("engine_threads", 1, kMaximumThreads, &settings.engine_threads);
    reader->ReadMilliseconds("link_delay_ms", kHourMilliseconds, &settings.link_delay);
  }

  void ReadPlatform(const toml::table* table) {
    PlatformSettings& platform = loaded_.settings.platform;
    TomlTableReader reader(table, "platform", file_, &loaded_.findings);
    reader.ReadNumber("table_calls_per_second", 0, kMaximumRate, &platform.table_calls_per_second);
    reader.ReadNumber("object_calls_per_second", 0, kMaximumRate,
                      &platform.object_calls_per_second);
    reader.ReadNumber("machine_list_calls_per_second", 0, kMaximumRate,
                      &platform.machine_list_calls_per_second);
    reader.ReadNumber("burst", 1, kMaximumRate, &platform.burst);
    reader.ReadMilliseconds("latency_ms", kHourMilliseconds, &platform.latency);
    reader.ReadMilliseconds("machine_list_lag_ms", kHourMilliseconds, &platform.machine_list_lag);
    reader.ReadInteger("threads", 1, kMaximumThreads, &platform.threads);
    reader.ReportUnknownKeys();
  }

  void ReadWeightStore(const toml::table* table) {
    WeightStoreOptions& store = loaded_.settings.weight_store;
    TomlTableReader reader(table, "weight_store", file_, &loaded_.findings);
    reader.ReadNumber("loads_per_second", 0.001, kMaximumRate, &store.begins_per_second);
    reader.ReadInteger("full_speed_loads", 1, 1000000, &store.full_speed_concurrency);
    reader.ReportUnknownKeys();
  }

  void ReadEngineTable(const toml::table* table, EngineOptions* engine) {
    TomlTableReader reader(table, "engine", file_, &loaded_.findings);
    ReadEngineKeys(&reader, engine);
    reader.ReportUnknownKeys();
  }

  // Keys that are allowed in [engine], for all workers, and in [[workers]], for one.
  void ReadEngineKeys(TomlTableReader* reader, EngineOptions* engine) {
    reader->ReadInteger("memory_mib", 1, kMaximumMib, &engine->memory_mib);
    reader->ReadMilliseconds("token_interval_ms", kHourMilliseconds, &engine->token_interval);
    if (engine->token_interval < absl::Microseconds(100)) {
      reader->Report("token_interval_ms", "too short", "0.1 or more");
    }
    reader->ReadNumber("slowdown_per_stream", 0, 100, &engine->slowdown_per_stream);
    reader->ReadMilliseconds("prefill_ms_per_1k_tokens", kHourMilliseconds,
                             &engine->prefill_per_1k_tokens);
    reader->ReadMilliseconds("memory_load_ms_per_gib", kHourMilliseconds,
                             &engine->memory_load_per_gib);
    reader->ReadMilliseconds("disk_load_ms_per_gib", kHourMilliseconds, &engine->disk_load_per_gib);
    reader->ReadMilliseconds("remote_load_ms_per_gib", kHourMilliseconds,
                             &engine->remote_load_per_gib);
    reader->ReadInteger("maximum_running", 1, 100000, &engine->maximum_running);
    reader->ReadInteger("maximum_queued", 1, 100000, &engine->maximum_queued);
    reader->ReadMilliseconds("status_lag_ms", kHourMilliseconds, &engine->status_lag);
    reader->ReadMilliseconds("stream_retention_ms", kHourMilliseconds, &engine->stream_retention);
    reader->ReadInteger("memory_cache_mib", 0, kMaximumMib, &engine->memory_cache_mib);
    reader->ReadInteger("disk_cache_mib", 0, kMaximumMib, &engine->disk_cache_mib);
    reader->ReadInteger("prefix_cache_blocks", 0, 100000000, &engine->prefix_cache.block_limit);
    reader->ReadMilliseconds("event_lag_ms", kHourMilliseconds, &engine->prefix_cache.event_lag);
    reader->ReadNumber("event_gap_probability", 0, 1, &engine->prefix_cache.event_gap_probability);
    reader->ReadBool("test_only_disable_fence", &engine->disable_fence_for_test);
  }

  void ReadZones(TomlTableReader* reader) {
    std::set<ZoneId> seen;
    int index = 0;
    for (const toml::table* table : reader->ReadTables("zones")) {
      TomlTableReader zone(table, absl::StrCat("zones[", index++, "]"), file_, &loaded_.findings);
      const ZoneId name(zone.ReadRequiredText("name"));
      zone.ReportUnknownKeys();
      if (!seen.insert(name).second) {
        zone.Report("name", "given twice", "a name of its own");
      }
      loaded_.settings.zones.push_back(name);
    }
    if (index == 0) {
      reader->Report("zones", "missing", "at least one [[zones]]");
    }
  }

  void ReadWorkers(TomlTableReader* reader, const EngineOptions& engine) {
    std::set<WorkerId> seen;
    int index = 0;
    for (const toml::table* table : reader->ReadTables("workers")) {
      TomlTableReader keys(table, absl::StrCat("workers[", index++, "]"), file_, &loaded_.findings);
      EmulatorWorker worker;
      worker.options = engine;
      worker.worker = WorkerId(keys.ReadRequiredText("name"));
      worker.zone = ZoneId(keys.ReadRequiredText("zone"));
      ReadEngineKeys(&keys, &worker.options);
      ReadPreloads(&keys, absl::StrCat("workers[", index - 1, "].preloads"), &worker);
      keys.ReportUnknownKeys();
      if (!seen.insert(worker.worker).second) {
        keys.Report("name", "given twice", "a name of its own");
      }
      CheckZone(worker.zone, &keys);
      loaded_.settings.workers.push_back(std::move(worker));
    }
  }

  void CheckZone(const ZoneId& zone, TomlTableReader* keys) {
    const std::vector<ZoneId>& zones = loaded_.settings.zones;
    if (zone.empty() || std::find(zones.begin(), zones.end(), zone) != zones.end()) {
      return;
    }
    const auto append_name = [](std::string* text, const ZoneId& known) {
      absl::StrAppend(text, known.value());
    };
    keys->Report("zone", "not among the zones", absl::StrJoin(zones, ", ", append_name));
  }

  void ReadPreloads(TomlTableReader* worker_keys, const std::string& prefix,
                    EmulatorWorker* worker) {
    for (const toml::table* table : worker_keys->ReadTables("preloads")) {
      TomlTableReader keys(table, prefix, file_, &loaded_.findings);
      CheckpointPreload preload;
      preload.checkpoint = keys.ReadRequiredText("checkpoint");
      keys.ReadInteger("size_mib", 1, kMaximumMib, &preload.size_mib);
      const std::string tier = keys.ReadRequiredText("tier");
      if (tier == "memory") {
        preload.tier = CacheTier::kMemory;
      } else if (tier != "disk") {
        keys.Report("tier", "unknown tier", "memory, disk");
      }
      keys.ReportUnknownKeys();
      worker->preloads.push_back(std::move(preload));
    }
  }

  const toml::table& root_;
  const std::string file_;
  LoadedEmulatorSettings loaded_;
};

Finding ParseFinding(const toml::parse_error& error, const std::string& file) {
  Finding finding;
  finding.place.file = file;
  finding.place.line = static_cast<int>(error.source().begin.line);
  finding.place.column = static_cast<int>(error.source().begin.column);
  finding.problem = std::string(error.description());
  finding.allowed = "TOML";
  return finding;
}

// Returns the table that holds the last part of a dotted key; null if an earlier part is not a
// table.
toml::table* DescendTo(const std::vector<std::string>& parts, toml::table* root) {
  toml::table* table = root;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    toml::node& node = table->insert(parts[i], toml::table()).first->second;
    table = node.as_table();
    if (table == nullptr) {
      return nullptr;
    }
  }
  return table;
}

// A value that is not valid TOML is read as a string.
toml::table ParseOverrideValue(const std::string& value) {
  try {
    return toml::parse(absl::StrCat("value = ", value));
  } catch (const toml::parse_error&) {
    toml::table table;
    table.insert_or_assign("value", value);
    return table;
  }
}

void ApplyOverride(const EmulatorOverride& setting, toml::table* root, Findings* findings) {
  const std::vector<std::string> parts = absl::StrSplit(setting.key, '.');
  toml::table* table = DescendTo(parts, root);
  if (table == nullptr) {
    findings->push_back({{"--set"}, setting.key, "not a key of a table", "table.key=value"});
    return;
  }
  const toml::table parsed = ParseOverrideValue(setting.value);
  table->insert_or_assign(parts.back(), *parsed.get("value"));
}

}  // namespace

LoadedEmulatorSettings ParseEmulatorSettings(const std::string& text, const std::string& name,
                                             const std::vector<EmulatorOverride>& overrides) {
  LoadedEmulatorSettings failed;
  try {
    toml::table root = toml::parse(text, name);
    for (const EmulatorOverride& setting : overrides) {
      ApplyOverride(setting, &root, &failed.findings);
    }
    LoadedEmulatorSettings loaded = SettingsParser(root, name).Parse();
    loaded.findings.insert(loaded.findings.begin(), failed.findings.begin(), failed.findings.end());
    return loaded;
  } catch (const toml::parse_error& error) {
    failed.findings.push_back(ParseFinding(error, name));
    return failed;
  }
}

LoadedEmulatorSettings LoadEmulatorSettings(const std::string& file,
                                            const std::vector<EmulatorOverride>& overrides) {
  std::ifstream stream(file);
  if (!stream) {
    LoadedEmulatorSettings failed;
    failed.findings.push_back({{file}, "", "can't be read", "a readable file"});
    return failed;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseEmulatorSettings(text.str(), file, overrides);
}

}  // namespace hingespan::emulator
