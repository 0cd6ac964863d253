// Counters and histograms of a gateway, and their text form for a Prometheus server.
#ifndef HINGESPAN_SERVING_GATEWAY_METRICS_H_
#define HINGESPAN_SERVING_GATEWAY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "absl/time/time.h"
#include "hingespan/http/http_server.h"
#include "hingespan/serving/retry_budget.h"

namespace hingespan::gateway {

// Counts durations in fixed buckets.
class LatencyHistogram {
 public:
  // Upper bounds in seconds; one more bucket counts everything above the last bound.
  static constexpr std::array<double, 12> kBounds = {0.005, 0.01, 0.025, 0.05, 0.1,  0.25,
                                                     0.5,   1.0,  2.5,   5.0,  10.0, 25.0};
  void Record(absl::Duration duration);
  const std::array<std::uint64_t, kBounds.size() + 1>& counts() const { return counts_; }
  double sum_seconds() const { return sum_seconds_; }

 private:
  std::array<std::uint64_t, kBounds.size() + 1> counts_{};
  double sum_seconds_ = 0;
};

struct GatewayMetrics {
  // Requests by final status sent to the caller; 0 if the caller disconnected or the stream was
  // broken off.
  std::map<int, std::uint64_t> requests_by_status;
  // Refused requests by reason.
  std::map<std::string, std::uint64_t> refusals;
  std::uint64_t attempts = 0;
  std::uint64_t repeats = 0;
  std::uint64_t repeats_denied = 0;
  std::uint64_t streams_resumed = 0;
  std::uint64_t streams_broken = 0;
  // Streams that callers took up again, and those of them that went on. The others are counted in
  // `refusals`.
  std::uint64_t streams_taken_up = 0;
  std::uint64_t streams_gone_on = 0;
  // Datagrams about streams: records sent to holders, and questions for records.
  std::uint64_t stream_notices = 0;
  std::uint64_t stream_questions = 0;
  // Writes of streams' sources to the shared store.
  std::uint64_t stream_archive_writes = 0;
  // Workers that ended before they had begun to answer prompts of this node, quarantines that this
  // node has imposed, and datagrams about both.
  std::uint64_t worker_crashes = 0;
  std::uint64_t quarantines = 0;
  std::uint64_t quarantine_datagrams = 0;
  std::uint64_t quarantine_writes = 0;
  // Attempts that workers rejected for want of room.
  std::uint64_t worker_rejections = 0;
  // Datagrams about brittle workers and their slots.
  std::uint64_t slot_datagrams = 0;
  std::uint64_t callers_gone = 0;
  // Clients that were turned away before their request was passed on, or while they were answered,
  // by reason.
  std::map<std::string, std::uint64_t> clients_turned_away;
  // Attempts that were forwarded to another node, and those that it couldn't take.
  std::uint64_t forwards = 0;
  std::uint64_t forwards_declined = 0;
  // Number of times that this node lost its path to the workers.
  std::uint64_t path_losses = 0;
  std::uint64_t store_calls = 0;
  std::uint64_t store_failures = 0;
  std::uint64_t orders = 0;
  std::uint64_t orders_without_answer = 0;
  std::uint64_t lease_acquisitions = 0;
  std::uint64_t lease_losses = 0;
  // Probes of other nodes, and nodes whose rows were removed as they answered none.
  std::uint64_t node_probes = 0;
  std::uint64_t nodes_lost = 0;
  std::uint64_t log_lines_left_out = 0;
  LatencyHistogram queue_wait;
  LatencyHistogram first_byte;
  LatencyHistogram whole_request;
  // The following values are set when the metrics are rendered.
  std::uint64_t waiting_now = 0;
  // Bytes of answers that are not passed on yet.
  std::uint64_t kept_answer_bytes = 0;
  // Bytes that clients make this node hold.
  std::uint64_t client_bytes = 0;
  std::uint64_t configuration_version = 0;
  ServerActivity connections;
  bool holds_lease = false;
  // Retry counts by service.
  std::map<std::string, RetryCounts> retries;
  int retry_divisor = 0;
  bool in_first_retry_window = false;
};

// Renders the metrics in the Prometheus text exposition format.
std::string MetricsText(const GatewayMetrics& metrics);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_GATEWAY_METRICS_H_
