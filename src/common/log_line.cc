#include "hingespan/common/log_line.h"

#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace hingespan {
namespace {

using Json = nlohmann::ordered_json;

std::string FormatUtc(absl::Time time) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", time, absl::UTCTimeZone());
}

std::string DumpJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool NeedsQuotes(std::string_view value) {
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (absl::ascii_isspace(byte) || absl::ascii_iscntrl(byte) || byte == '"' || byte == '=') {
      return true;
    }
  }
  return value.empty();
}

void AppendField(std::string_view name, std::string_view value, std::string* line) {
  line->append(" ").append(name).append("=");
  line->append(NeedsQuotes(value) ? DumpJson(std::string(value)) : std::string(value));
}

}  // namespace

std::string_view LogLevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

std::string FormatJsonLogLine(const LogLineHead& head, std::initializer_list<LogField> fields) {
  Json json;
  json["time"] = FormatUtc(head.time);
  json["level"] = LogLevelName(head.level);
  json["event"] = head.event;
  json["program"] = head.program;
  json["node"] = head.node;
  json["zone"] = head.zone;
  for (const LogField& field : fields) {
    json[std::string(field.name)] = field.value;
  }
  return DumpJson(json);
}

std::string FormatTextLogLine(const LogLineHead& head, std::initializer_list<LogField> fields) {
  std::string line = FormatUtc(head.time);
  line.append(" ").append(LogLevelName(head.level)).append(" ").append(head.event);
  AppendField("program", head.program, &line);
  AppendField("node", head.node, &line);
  AppendField("zone", head.zone, &line);
  for (const LogField& field : fields) {
    AppendField(field.name, field.value, &line);
  }
  return line;
}

std::string AbbreviateForLog(std::string_view text) {
  constexpr std::size_t kMaxBytes = 100;
  return text.size() <= kMaxBytes ? std::string(text)
                                  : absl::StrCat(std::string(text.substr(0, kMaxBytes)), "...");
}

}  // namespace hingespan
