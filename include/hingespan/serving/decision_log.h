// Structured log with one line for each decision, on standard output. Writing never blocks: lines
// that a slow reader doesn't take or that exceed the rate limit are dropped and counted.
#ifndef HINGESPAN_SERVING_DECISION_LOG_H_
#define HINGESPAN_SERVING_DECISION_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/common/clock.h"
#include "hingespan/common/log.h"

namespace hingespan::gateway {

struct DecisionLogLimits {
  // Token bucket for the lines of each event: refill rate and capacity.
  double lines_per_second = 50;
  double burst = 200;
  // Maximum number of bytes buffered for a slow reader.
  std::size_t max_buffered = 256 * 1024;
};

// Not thread-safe; each process has one instance.
class DecisionLog {
 public:
  // Writes to `descriptor`, which is set to non-blocking mode; -1 discards all lines.
  DecisionLog(int descriptor, Clock* clock, const DecisionLogLimits& limits);

  void SetSource(std::string program, std::string node, std::string zone);
  void SetLevel(LogLevel level) { level_ = level; }
  void Write(LogLevel level, absl::string_view event, std::initializer_list<LogField> fields);
  // Writes buffered bytes without blocking, as far as the reader accepts them.
  void Flush();
  // Waits up to `limit` for the reader to accept the buffered bytes; for use before the process
  // exits.
  void FlushWithin(absl::Duration limit);
  // Number of lines dropped since the start.
  std::uint64_t left_out() const { return left_out_; }

 private:
  struct Bucket {
    double tokens = 0;
    absl::Time last_refill;
    std::uint64_t left_out = 0;
  };
  bool Admit(absl::string_view event, std::uint64_t* left_out_before);

  int descriptor_;
  Clock* clock_;
  DecisionLogLimits limits_;
  LogLevel level_ = LogLevel::kInfo;
  std::string program_;
  std::string node_;
  std::string zone_;
  absl::flat_hash_map<std::string, Bucket> buckets_;
  std::string buffer_;
  std::uint64_t left_out_ = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_DECISION_LOG_H_
