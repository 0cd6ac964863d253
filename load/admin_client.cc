#include "load/admin_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "load/http_call.h"

namespace hingespan::load {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration kCallTimeout = absl::Seconds(10);
constexpr int kStatusOk = 200;
constexpr int kStatusWaitExpired = 408;

// Returns the field if it has the expected type; otherwise `fallback`, since some entries contain
// null.
template <typename T>
T FieldOr(const Json& json, const char* name, T fallback) {
  const auto found = json.find(name);
  if (found == json.end()) {
    return fallback;
  }
  if constexpr (std::is_arithmetic_v<T>) {
    return found->is_number() ? found->get<T>() : fallback;
  } else {
    return found->is_string() ? found->get<T>() : fallback;
  }
}

LogEntry ParseEntry(const Json& json) {
  LogEntry entry;
  entry.sequence = FieldOr<std::uint64_t>(json, "sequence", 0);
  entry.at_ms = FieldOr<double>(json, "at_ms", 0);
  entry.event = FieldOr<std::string>(json, "event", "");
  entry.worker = FieldOr<std::string>(json, "worker", "");
  entry.model = FieldOr<std::string>(json, "model", "");
  entry.request = FieldOr<std::string>(json, "request", "");
  entry.key = FieldOr<std::string>(json, "key", "");
  entry.reason = FieldOr<std::string>(json, "reason", "");
  entry.outcome = FieldOr<std::string>(json, "outcome", "");
  entry.incarnation = FieldOr<std::uint64_t>(json, "incarnation", 0);
  entry.generation = FieldOr<std::uint64_t>(json, "generation", 0);
  entry.epoch = FieldOr<std::uint64_t>(json, "epoch", 0);
  entry.memory_used_mib = FieldOr<std::uint64_t>(json, "memory_used_mib", 0);
  entry.replicas_of_model = FieldOr<std::uint64_t>(json, "replicas_of_model", 0);
  return entry;
}

std::map<std::string, std::uint64_t> ParseCounts(const Json& json, const char* name) {
  std::map<std::string, std::uint64_t> counts;
  const Json object = json.value(name, Json::object());
  for (const auto& [key, count] : object.items()) {
    counts[key] = count.get<std::uint64_t>();
  }
  return counts;
}

const char* ModeName(PlatformMode mode) {
  switch (mode) {
    case PlatformMode::kUp:
      return "up";
    case PlatformMode::kDown:
      return "down";
    case PlatformMode::kSlow:
      return "slow";
    case PlatformMode::kLoseAnswers:
      return "lose_answers";
  }
  return "up";
}

const char* ModeName(LinkMode mode) {
  switch (mode) {
    case LinkMode::kUp:
      return "up";
    case LinkMode::kCut:
      return "cut";
    case LinkMode::kDelay:
      return "delay";
  }
  return "up";
}

Result<Json> ParseAnswer(const Result<HttpAnswer>& answer) {
  if (!answer) {
    return answer.error();
  }
  if (answer->status == kStatusWaitExpired) {
    return Error::kTimeout;
  }
  if (answer->status != kStatusOk) {
    return Error::kInternal;
  }
  Json json = Json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return Error::kMalformed;
  }
  return json;
}

}  // namespace

AdminClient::AdminClient(std::string address) : address_(std::move(address)) {}

Result<std::vector<LogEntry>> AdminClient::Log(std::uint64_t after) const {
  const Result<Json> json =
      ParseAnswer(HttpGet(address_, absl::StrCat("/log?after=", after), kCallTimeout));
  if (!json) {
    return json.error();
  }
  std::vector<LogEntry> entries;
  const Json list = json->value("entries", Json::array());
  for (const Json& entry : list) {
    entries.push_back(ParseEntry(entry));
  }
  return entries;
}

Result<LogEntry> AdminClient::WaitForEntry(const LogFilter& filter, absl::Duration timeout) const {
  std::string path =
      absl::StrCat("/log/wait?after=", filter.after, "&event=", EncodeQueryValue(filter.event),
                   "&timeout_ms=", absl::ToInt64Milliseconds(timeout));
  const auto append = [&](const char* name, const std::string& value) {
    if (!value.empty()) {
      absl::StrAppend(&path, "&", name, "=", EncodeQueryValue(value));
    }
  };
  append("worker", filter.worker);
  append("model", filter.model);
  append("request", filter.request);
  const Result<Json> json = ParseAnswer(HttpGet(address_, path, timeout + kCallTimeout));
  if (!json) {
    return json.error();
  }
  return ParseEntry(json->contains("entry") ? (*json)["entry"] : *json);
}

Result<Totals> AdminClient::ReadTotals() const {
  const Result<Json> json = ParseAnswer(HttpGet(address_, "/totals", kCallTimeout));
  if (!json) {
    return json.error();
  }
  Totals totals;
  totals.overcommits = FieldOr<std::uint64_t>(*json, "overcommits", 0);
  totals.loads_begun = FieldOr<std::uint64_t>(*json, "loads_begun", 0);
  totals.weight_store_peak_concurrency =
      FieldOr<std::uint64_t>(*json, "weight_store_peak_concurrency", 0);
  totals.idle_mib_seconds = FieldOr<double>(*json, "idle_mib_seconds", 0);
  totals.busy_mib_seconds = FieldOr<double>(*json, "busy_mib_seconds", 0);
  totals.maximum_replicas = ParseCounts(*json, "maximum_replicas");
  totals.runs = ParseCounts(*json, "runs");
  totals.runs_by_key = ParseCounts(*json, "runs_by_key");
  return totals;
}

std::error_code AdminClient::PostFault(const std::string& json) const {
  const Result<HttpAnswer> answer = HttpPostJson(address_, "/faults", json, kCallTimeout);
  if (!answer) {
    return answer.error();
  }
  if (answer->status != kStatusOk) {
    return Error::kInvalidArgument;
  }
  return {};
}

std::error_code AdminClient::SetPlatform(const PlatformFault& fault) const {
  const Json json{{"fault", "platform"},
                  {"mode", ModeName(fault.mode)},
                  {"delay_ms", absl::ToInt64Milliseconds(fault.delay)},
                  {"zone", fault.zone.value()},
                  {"probability", fault.probability},
                  {"count", fault.count}};
  return PostFault(json.dump());
}

std::error_code AdminClient::SlowWeightStore(double slowdown) const {
  return PostFault(Json{{"fault", "weight_store"}, {"slowdown", slowdown}}.dump());
}

std::error_code AdminClient::RestartEngine(const WorkerId& worker) const {
  return PostFault(Json{{"fault", "engine_restart"}, {"worker", worker.value()}}.dump());
}

std::error_code AdminClient::FreezeEngine(const WorkerId& worker, bool frozen) const {
  const Json json{{"fault", "engine_freeze"}, {"worker", worker.value()}, {"frozen", frozen}};
  return PostFault(json.dump());
}

std::error_code AdminClient::BreakStreams(const WorkerId& worker) const {
  return PostFault(Json{{"fault", "engine_break_streams"}, {"worker", worker.value()}}.dump());
}

std::error_code AdminClient::SetMachine(const WorkerId& worker, const std::string& state) const {
  const Json json{{"fault", "machine"}, {"worker", worker.value()}, {"state", state}};
  return PostFault(json.dump());
}

std::error_code AdminClient::SetLink(const ZoneId& from, const ZoneId& to, LinkMode mode,
                                     absl::Duration delay) const {
  const Json json{{"fault", "link"},
                  {"from", from.value()},
                  {"to", to.value()},
                  {"mode", ModeName(mode)},
                  {"delay_ms", absl::ToInt64Milliseconds(delay)}};
  return PostFault(json.dump());
}

std::error_code AdminClient::DuplicateOrders(const WorkerId& worker, absl::Duration delay) const {
  const Json json{{"fault", "order_duplicates"},
                  {"worker", worker.value()},
                  {"delay_ms", absl::ToInt64Milliseconds(delay)}};
  return PostFault(json.dump());
}

}  // namespace hingespan::load
