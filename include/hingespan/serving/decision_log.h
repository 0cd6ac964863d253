// Structured log lines on standard output: one for each decision. Never blocks: what a slow reader
// does not take, and what exceeds a rate, is left out and counted.
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
  // Lines of one event a second, and how many may come at once.
  double lines_per_second = 50;
  double burst = 200;
  // Bytes that may wait for the reader.
  std::size_t max_buffered = 256 * 1024;
};

// Not thread-safe; one for each process.
class DecisionLog {
 public:
  // Writes to `descriptor`, which is set to non-blocking; -1: nowhere.
  DecisionLog(int descriptor, Clock* clock, const DecisionLogLimits& limits);

  void SetSource(std::string program, std::string node, std::string zone);
  void SetLevel(LogLevel level) { level_ = level; }
  void Write(LogLevel level, absl::string_view event, std::initializer_list<LogField> fields);
  // Writes what waits, as far as the reader takes it.
  void Flush();
  // Waits for the reader for so long at most: for a process that ends.
  void FlushWithin(absl::Duration limit);
  // Lines left out since the start.
  std::uint64_t left_out() const { return left_out_; }

 private:
  struct Bucket {
    double tokens = 0;
    absl::Time filled;
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
