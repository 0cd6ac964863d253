#include "hingespan/common/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <memory>

#include "absl/base/call_once.h"
#include "absl/synchronization/mutex.h"
#include "hingespan/common/clock.h"
#include "hingespan/common/log_line.h"

namespace hingespan {
namespace {

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::synchronous_sink<Backend>;
using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

// Arguments of StartLog.
struct LogContext {
  LogSettings settings;
  std::string program;
  std::string node;
  std::string zone;
};

absl::Mutex context_mutex;

// The current context is immutable and is replaced as a whole, so readers can keep their copy.
std::shared_ptr<const LogContext>& SharedContext() {
  static auto* const context =
      new std::shared_ptr<const LogContext>(std::make_shared<LogContext>());
  return *context;
}

std::shared_ptr<const LogContext> CurrentContext() {
  absl::ReaderMutexLock lock(&context_mutex);
  return SharedContext();
}

void AddStandardErrorSink() {
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(sink);
}

// Adds the sink once. Needed before any line, since Boost.Log would print it to standard output by
// default.
void EnsureSink() {
  static absl::once_flag once;
  absl::call_once(once, AddStandardErrorSink);
}

Logger& SharedLogger() {
  static Logger* const logger = new Logger;
  return *logger;
}

std::string FormatLine(const LogContext& context, LogLevel level, std::string_view event,
                       std::initializer_list<LogField> fields) {
  const LogLineHead head{SystemClock().WallTime(), level,        event,
                         context.program,          context.node, context.zone};
  if (context.settings.format == LogFormat::kJson) {
    return FormatJsonLogLine(head, fields);
  }
  return FormatTextLogLine(head, fields);
}

}  // namespace

void StartLog(const LogSettings& settings, std::string_view program, std::string_view node,
              std::string_view zone) {
  EnsureSink();
  auto context = std::make_shared<const LogContext>(
      LogContext{settings, std::string(program), std::string(node), std::string(zone)});
  absl::MutexLock lock(&context_mutex);
  SharedContext() = std::move(context);
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const std::shared_ptr<const LogContext> context = CurrentContext();
  if (level < context->settings.level) {
    return;
  }
  EnsureSink();
  BOOST_LOG_SEV(SharedLogger(), level) << FormatLine(*context, level, event, fields);
}

}  // namespace hingespan
