#include "hingespan/serving/gateway_metrics.h"

#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <utility>
#include <vector>

namespace hingespan::gateway {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily Family(const char* name, const char* help, MetricType type) {
  MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = type;
  return family;
}

ClientMetric CounterValue(double value) {
  ClientMetric metric;
  metric.counter.value = value;
  return metric;
}

MetricFamily Counter(const char* name, const char* help, std::uint64_t value) {
  MetricFamily family = Family(name, help, MetricType::Counter);
  family.metric.push_back(CounterValue(static_cast<double>(value)));
  return family;
}

MetricFamily Gauge(const char* name, const char* help, std::uint64_t value) {
  MetricFamily family = Family(name, help, MetricType::Gauge);
  ClientMetric metric;
  metric.gauge.value = static_cast<double>(value);
  family.metric.push_back(metric);
  return family;
}

MetricFamily ConnectionGauges(const ServerActivity& activity) {
  MetricFamily family = Family("hingespan_connections", "Callers' connections, by what they are at",
                               MetricType::Gauge);
  const auto add = [&](const char* state, std::size_t count) {
    ClientMetric metric;
    metric.gauge.value = static_cast<double>(count);
    metric.label.push_back({"state", state});
    family.metric.push_back(std::move(metric));
  };
  add("answering", activity.answering);
  add("sending", activity.sending);
  add("closing", activity.closing);
  add("idle", activity.idle);
  return family;
}

template <typename Key>
MetricFamily CountersByLabel(const char* name, const char* help, const char* label,
                             const std::map<Key, std::uint64_t>& counts,
                             std::string (*text)(const Key&)) {
  MetricFamily family = Family(name, help, MetricType::Counter);
  for (const auto& [key, count] : counts) {
    ClientMetric metric = CounterValue(static_cast<double>(count));
    metric.label.push_back({label, text(key)});
    family.metric.push_back(std::move(metric));
  }
  return family;
}

template <typename Value>
MetricFamily ByService(const char* name, const char* help, MetricType type,
                       const std::map<std::string, RetryCounts>& retries, Value value) {
  MetricFamily family = Family(name, help, type);
  for (const auto& [service, counts] : retries) {
    ClientMetric metric;
    const double number = static_cast<double>(value(counts));
    (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = number;
    metric.label.push_back({"service", service});
    family.metric.push_back(std::move(metric));
  }
  return family;
}

void AddRetryFamilies(const GatewayMetrics& metrics, std::vector<MetricFamily>* families) {
  families->push_back(ByService("hingespan_retries_total", "Repeats sent", MetricType::Counter,
                                metrics.retries,
                                [](const RetryCounts& counts) { return counts.sent; }));
  families->push_back(ByService(
      "hingespan_retries_denied_total", "Repeats not sent for want of budget", MetricType::Counter,
      metrics.retries, [](const RetryCounts& counts) { return counts.denied; }));
  families->push_back(ByService(
      "hingespan_retries_available", "Repeats that this node may send now", MetricType::Gauge,
      metrics.retries, [](const RetryCounts& counts) { return counts.available; }));
  families->push_back(ByService(
      "hingespan_unread_attempts", "Attempts that silent workers and nodes may still read",
      MetricType::Gauge, metrics.retries, [](const RetryCounts& counts) { return counts.unread; }));
  families->push_back(Gauge("hingespan_retry_divisor",
                            "Nodes among which the fixed part of the budget is divided",
                            static_cast<std::uint64_t>(metrics.retry_divisor)));
  families->push_back(Gauge("hingespan_in_first_retry_window",
                            "1 until the process is one window of the budget old",
                            metrics.in_first_retry_window ? 1 : 0));
}

MetricFamily Histogram(const char* name, const char* help, const LatencyHistogram& histogram) {
  MetricFamily family = Family(name, help, MetricType::Histogram);
  ClientMetric metric;
  std::uint64_t cumulative = 0;
  for (std::size_t index = 0; index < histogram.counts().size(); ++index) {
    cumulative += histogram.counts()[index];
    ClientMetric::Bucket bucket;
    bucket.cumulative_count = cumulative;
    bucket.upper_bound = index < LatencyHistogram::kBounds.size()
                             ? LatencyHistogram::kBounds[index]
                             : std::numeric_limits<double>::infinity();
    metric.histogram.bucket.push_back(bucket);
  }
  metric.histogram.sample_count = cumulative;
  metric.histogram.sample_sum = histogram.sum_seconds();
  family.metric.push_back(std::move(metric));
  return family;
}

}  // namespace

void LatencyHistogram::Record(absl::Duration duration) {
  const double seconds = absl::ToDoubleSeconds(duration);
  std::size_t index = 0;
  while (index < kBounds.size() && seconds > kBounds[index]) {
    ++index;
  }
  ++counts_[index];
  sum_seconds_ += seconds;
}

std::string MetricsText(const GatewayMetrics& metrics) {
  std::vector<MetricFamily> families;
  families.push_back(CountersByLabel<int>(
      "hingespan_requests_total", "Requests ended, by status (0: caller left or stream broken off)",
      "status", metrics.requests_by_status,
      [](const int& status) { return std::to_string(status); }));
  families.push_back(CountersByLabel<std::string>(
      "hingespan_refusals_total", "Requests refused before they ran, by reason", "reason",
      metrics.refusals, [](const std::string& reason) { return reason; }));
  families.push_back(CountersByLabel<std::string>(
      "hingespan_clients_turned_away_total",
      "Clients refused or disconnected by their behaviour or for want of room, by reason", "reason",
      metrics.clients_turned_away, [](const std::string& reason) { return reason; }));
  const auto count = [&](const char* name, const char* help, std::uint64_t value) {
    families.push_back(Counter(name, help, value));
  };
  count("hingespan_attempts_total", "Requests sent to workers", metrics.attempts);
  count("hingespan_repeats_total", "Of them, sent to a further worker", metrics.repeats);
  count("hingespan_repeats_denied_total", "Repeats not sent for want of budget",
        metrics.repeats_denied);
  count("hingespan_streams_resumed_total", "Streams continued at another worker",
        metrics.streams_resumed);
  count("hingespan_streams_broken_total", "Streams broken off", metrics.streams_broken);
  count("hingespan_streams_taken_up_total", "Streams that callers took up again",
        metrics.streams_taken_up);
  count("hingespan_streams_gone_on_total", "Of them, those that went on", metrics.streams_gone_on);
  count("hingespan_worker_crashes_total", "Workers that crashed with unanswered prompts",
        metrics.worker_crashes);
  count("hingespan_worker_rejections_total", "Attempts that workers rejected for want of room",
        metrics.worker_rejections);
  count("hingespan_slot_datagrams_total", "Datagrams about the slots of brittle workers",
        metrics.slot_datagrams);
  count("hingespan_quarantines_total", "Quarantines of prompt parts imposed by this node",
        metrics.quarantines);
  count("hingespan_quarantine_datagrams_total", "Datagrams about crashes and quarantines",
        metrics.quarantine_datagrams);
  count("hingespan_quarantine_writes_total", "Writes to the fleet's record of quarantines",
        metrics.quarantine_writes);
  count("hingespan_stream_notices_total", "Records of streams sent to their holders",
        metrics.stream_notices);
  count("hingespan_stream_questions_total", "Questions to other nodes for records of streams",
        metrics.stream_questions);
  count("hingespan_stream_archive_writes_total", "Writes of records of streams to the shared store",
        metrics.stream_archive_writes);
  count("hingespan_callers_gone_total", "Callers that left before their answer",
        metrics.callers_gone);
  count("hingespan_forwards_total", "Attempts forwarded to another node", metrics.forwards);
  count("hingespan_forwards_declined_total", "Forwarded attempts that the other node couldn't take",
        metrics.forwards_declined);
  count("hingespan_path_losses_total", "Times that this node lost its path to the workers",
        metrics.path_losses);
  count("hingespan_store_calls_total", "Calls to the shared store", metrics.store_calls);
  count("hingespan_store_failures_total", "Calls to the shared store that failed",
        metrics.store_failures);
  count("hingespan_orders_total", "Orders sent to workers", metrics.orders);
  count("hingespan_orders_unanswered_total", "Orders without an answer",
        metrics.orders_without_answer);
  count("hingespan_lease_acquisitions_total", "Times this node acquired the placement lease",
        metrics.lease_acquisitions);
  count("hingespan_lease_losses_total", "Times this node lost the placement lease",
        metrics.lease_losses);
  count("hingespan_node_probes_total", "Probes of nodes that this node has not heard from",
        metrics.node_probes);
  count("hingespan_nodes_lost_total", "Nodes whose rows this node removed as they are lost",
        metrics.nodes_lost);
  count("hingespan_log_lines_left_out_total", "Log lines left out by rate or a slow reader",
        metrics.log_lines_left_out);
  families.push_back(Histogram("hingespan_queue_wait_seconds",
                               "From a request's arrival to its first attempt",
                               metrics.queue_wait));
  families.push_back(Histogram("hingespan_first_byte_seconds",
                               "From a request's arrival to the first byte of its answer",
                               metrics.first_byte));
  families.push_back(Histogram("hingespan_request_seconds",
                               "From a request's arrival to the end of its answer",
                               metrics.whole_request));
  families.push_back(
      Gauge("hingespan_requests_waiting", "Requests waiting for a worker", metrics.waiting_now));
  families.push_back(Gauge("hingespan_kept_answer_bytes",
                           "Bytes of workers' answers that are not passed on yet",
                           metrics.kept_answer_bytes));
  families.push_back(Gauge("hingespan_client_bytes",
                           "Bytes of requests and unread answers that clients make this node hold",
                           metrics.client_bytes));
  families.push_back(ConnectionGauges(metrics.connections));
  families.push_back(Gauge("hingespan_unsent_bytes",
                           "Bytes of answers that have not left this process",
                           metrics.connections.unsent_bytes));
  families.push_back(Gauge("hingespan_configuration_version",
                           "Version of the configuration in force", metrics.configuration_version));
  families.push_back(Gauge("hingespan_holds_placement_lease", "1 while this node holds the lease",
                           metrics.holds_lease ? 1 : 0));
  AddRetryFamilies(metrics, &families);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace hingespan::gateway
