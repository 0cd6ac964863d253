// Structured logging to stderr with Boost.Log, as JSON lines or text.
#ifndef HINGESPAN_COMMON_LOG_H_
#define HINGESPAN_COMMON_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "hingespan/settings/log_settings.h"

namespace hingespan {

// Named value of a log line. Values must not contain secrets.
struct LogField {
  std::string_view name;
  std::string value;
};

// Configures the log. Must be called once, before the first line; all lines carry the names given.
void StartLog(const LogSettings& settings, std::string_view program, std::string_view node,
              std::string_view zone);

// Writes a log line. `event` is a short stable name, e.g. "worker_fenced". Thread-safe.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_LOG_H_
