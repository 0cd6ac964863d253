// Settings of the log.
#ifndef HINGESPAN_SETTINGS_LOG_SETTINGS_H_
#define HINGESPAN_SETTINGS_LOG_SETTINGS_H_

namespace hingespan {

enum class LogLevel { kDebug, kInfo, kWarning, kError };
enum class LogFormat { kJson, kText };

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kJson;
};

}  // namespace hingespan

#endif  // HINGESPAN_SETTINGS_LOG_SETTINGS_H_
