// Formatting of log lines, independent of the sink.
#ifndef HINGESPAN_COMMON_LOG_LINE_H_
#define HINGESPAN_COMMON_LOG_LINE_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "hingespan/common/log.h"

namespace hingespan {

struct LogLineHead {
  absl::Time time;
  LogLevel level = LogLevel::kInfo;
  std::string_view event;
  std::string_view program;
  std::string_view node;
  std::string_view zone;
};

// Returns "debug", "info", "warning" or "error".
std::string_view LogLevelName(LogLevel level);

// Formats a JSON object on one line: time, level, event, program, node, zone, then `fields`.
std::string FormatJsonLogLine(const LogLineHead& head, std::initializer_list<LogField> fields);

// Formats "time level event program= node= zone= name=value ...". Empty values and values with
// white space, quotes, "=" or control characters are quoted.
std::string FormatTextLogLine(const LogLineHead& head, std::initializer_list<LogField> fields);

// Returns the start of a text that another program chose, so that it doesn't fill the log.
std::string AbbreviateForLog(std::string_view text);

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_LOG_LINE_H_
