#include "hingespan/node/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "absl/synchronization/mutex.h"

namespace hingespan {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;
using prometheus::Registry;

// Bucket boundaries in seconds.
const Histogram::BucketBoundaries kLatencyBuckets = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                     0.25,  0.42,   1.0,   2.5,  5.0,   10.0, 30.0};

// Sets a gauge to a value read from a part of the node.
void SetGauge(Registry* registry, const char* name, const char* help, double value) {
  BuildGauge().Name(name).Help(help).Register(*registry).Add({}).Set(value);
}

// Raises a counter to the total that a part of the node maintains.
void RaiseCounter(Registry* registry, const char* name, const char* help, std::uint64_t total) {
  Counter& counter = BuildCounter().Name(name).Help(help).Register(*registry).Add({});
  const double rise = static_cast<double>(total) - counter.Value();
  if (rise > 0) {
    counter.Increment(rise);
  }
}

void ReadTransport(const UdpTransportCounters& counters, Registry* registry) {
  RaiseCounter(registry, "hingespan_control_messages_sent_total", "Control datagrams sent.",
               counters.messages_sent);
  RaiseCounter(registry, "hingespan_control_bytes_sent_total", "Bytes of control datagrams sent.",
               counters.bytes_sent);
  RaiseCounter(registry, "hingespan_control_messages_received_total", "Control datagrams received.",
               counters.messages_received);
  RaiseCounter(registry, "hingespan_control_bytes_received_total",
               "Bytes of control datagrams received.", counters.bytes_received);
  RaiseCounter(registry, "hingespan_control_unsigned_dropped_total",
               "Control datagrams dropped for want of a valid signature.",
               counters.unsigned_dropped);
  RaiseCounter(registry, "hingespan_control_malformed_dropped_total",
               "Control datagrams dropped as unreadable.", counters.malformed_dropped);
  RaiseCounter(registry, "hingespan_control_send_failures_total", "Control datagrams not sent.",
               counters.send_failures);
  RaiseCounter(registry, "hingespan_control_too_long_total",
               "Control messages too long to be sent at all.", counters.too_long);
  RaiseCounter(registry, "hingespan_control_incomplete_dropped_total",
               "Control messages in fragments of which some did not come in time.",
               counters.incomplete_dropped);
}

void ReadServer(const HttpServerCounters& counters, Registry* registry) {
  RaiseCounter(registry, "hingespan_http_connections_total", "Connections accepted.",
               counters.connections);
  RaiseCounter(registry, "hingespan_http_connections_refused_total",
               "Connections answered 503, since too many were open.", counters.refused);
  RaiseCounter(registry, "hingespan_http_connections_closed_total",
               "Connections closed unanswered, since too many were being refused.",
               counters.closed);
  RaiseCounter(registry, "hingespan_http_receive_timeouts_total",
               "Requests that did not arrive whole in time.", counters.receive_timeouts);
  SetGauge(registry, "hingespan_http_connections_open", "Connections open now.",
           static_cast<double>(counters.open));
}

void ReadDriver(const CoreDriverCounters& counters, Registry* registry) {
  RaiseCounter(registry, "hingespan_engine_calls_total", "Orders and status calls to engines.",
               counters.engine_calls);
  RaiseCounter(registry, "hingespan_engine_call_failures_total", "Those that failed.",
               counters.engine_call_failures);
  RaiseCounter(registry, "hingespan_platform_calls_total", "Calls to the platform.",
               counters.platform_calls);
  RaiseCounter(registry, "hingespan_platform_call_failures_total", "Those that failed.",
               counters.platform_call_failures);
  RaiseCounter(registry, "hingespan_calls_rejected_total",
               "Calls to engines or platform not made, since too many waited.",
               counters.calls_rejected);
}

void ReadRouter(const RouterCounters& counters, Registry* registry) {
  RaiseCounter(registry, "hingespan_router_submitted_total", "Requests taken by the router.",
               counters.submitted);
  RaiseCounter(registry, "hingespan_router_dispatched_total", "Attempts sent to an engine.",
               counters.dispatched);
  RaiseCounter(registry, "hingespan_router_forwarded_total", "Attempts sent to another zone.",
               counters.forwarded);
  RaiseCounter(registry, "hingespan_router_retried_total", "Attempts after the first.",
               counters.retried);
  RaiseCounter(registry, "hingespan_router_cold_total", "Requests that found no ready replica.",
               counters.cold);
}

std::size_t CountReady(const ReplicaDirectory& directory) {
  std::size_t ready = 0;
  for (const auto& [id, worker] : directory.workers()) {
    for (const auto& [model, replica] : worker.replicas) {
      ready += replica.state == ReplicaState::kReady ? 1 : 0;
    }
  }
  return ready;
}

void ReadPermits(const NodeCore& core, absl::Time now, Registry* registry) {
  const PermitHolder& permits = core.permits();
  SetGauge(registry, "hingespan_permit_holder",
           "1 when this node hands out the zone's load permits.", core.is_permit_holder() ? 1 : 0);
  SetGauge(registry, "hingespan_permits_granted", "Permits for loads that run now.",
           static_cast<double>(permits.granted_count()));
  SetGauge(registry, "hingespan_permits_waiting", "Loads that wait for a permit.",
           static_cast<double>(permits.waiting_count()));
  SetGauge(registry, "hingespan_permit_slots",
           "Loads that may run at once, by this node's permits.", permits.slots(now));
  SetGauge(registry, "hingespan_permit_slots_lent", "Slots lent to other zones.",
           permits.lent(now));
  SetGauge(registry, "hingespan_permit_slots_borrowed", "Slots borrowed of other zones.",
           permits.borrowed(now));
  RaiseCounter(registry, "hingespan_permits_granted_total", "Permits granted.",
               permits.counters().granted);
  RaiseCounter(registry, "hingespan_permits_timed_out_total", "Permits that were never returned.",
               permits.counters().timed_out);
}

void ReadCore(const NodeCore& core, absl::Time now, Registry* registry) {
  ReadRouter(core.router().counters(), registry);
  SetGauge(registry, "hingespan_ready", "1 when callers may be sent here.", core.Ready() ? 1 : 0);
  SetGauge(registry, "hingespan_requests_waiting", "Requests waiting for a replica.",
           static_cast<double>(core.router().waiting()));
  SetGauge(registry, "hingespan_requests_active", "Requests waiting or running.",
           static_cast<double>(core.router().active()));
  SetGauge(registry, "hingespan_members", "Members of the zone, with this node.",
           static_cast<double>(core.membership().peers().size() + 1));
  SetGauge(registry, "hingespan_workers_known", "Workers that keepers have reported.",
           static_cast<double>(core.directory().workers().size()));
  SetGauge(registry, "hingespan_workers_kept", "Workers that this node keeps.",
           static_cast<double>(core.kept_workers().size()));
  SetGauge(registry, "hingespan_replicas_ready", "Ready replicas known in this zone.",
           static_cast<double>(CountReady(core.directory())));
  SetGauge(registry, "hingespan_table_revision", "Revision of the table that this node holds.",
           static_cast<double>(core.store().revision().value()));
  SetGauge(registry, "hingespan_rows", "Rows of the table that this node holds.",
           static_cast<double>(core.store().row_count()));
  RaiseCounter(registry, "hingespan_records_not_decoded_total",
               "Changes of the table passed over, since their records could not be read.",
               core.undecoded_records());
  SetGauge(registry, "hingespan_claims", "Claims on idempotency keys remembered here.",
           static_cast<double>(core.claim_owner().claim_count()));
  ReadPermits(core, now, registry);
}

}  // namespace

struct NodeMetrics::State {
  // Serializes scrapes, because raising a counter reads its value first.
  absl::Mutex scrape_mutex;
  Registry registry;
  Family<Counter>& requests = BuildCounter()
                                  .Name("hingespan_requests_total")
                                  .Help("Requests of callers, by how they ended.")
                                  .Register(registry);
  Counter& tokens = BuildCounter()
                        .Name("hingespan_chunks_total")
                        .Help("Chunks of answers received from engines.")
                        .Register(registry)
                        .Add({});
  Histogram& first_token = BuildHistogram()
                               .Name("hingespan_first_token_seconds")
                               .Help("Time from arrival until the first chunk.")
                               .Register(registry)
                               .Add({}, kLatencyBuckets);
  Histogram& wait = BuildHistogram()
                        .Name("hingespan_wait_seconds")
                        .Help("Time from arrival until the router's first decision.")
                        .Register(registry)
                        .Add({}, kLatencyBuckets);
};

NodeMetrics::NodeMetrics() : state_(std::make_unique<State>()) {}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::CountRequest(std::string_view outcome) {
  state_->requests.Add({{"outcome", std::string(outcome)}}).Increment();
}

void NodeMetrics::ObserveFirstToken(absl::Duration duration) {
  state_->first_token.Observe(absl::ToDoubleSeconds(duration));
}

void NodeMetrics::ObserveWait(absl::Duration duration) {
  state_->wait.Observe(absl::ToDoubleSeconds(duration));
}

void NodeMetrics::CountTokens(std::uint64_t tokens) {
  state_->tokens.Increment(static_cast<double>(tokens));
}

std::string NodeMetrics::Text(const NodeMetricsSources& sources) {
  absl::MutexLock lock(&state_->scrape_mutex);
  Registry* const registry = &state_->registry;
  ReadTransport(sources.transport->counters(), registry);
  ReadServer(sources.server->counters(), registry);
  ReadDriver(sources.driver->counters(), registry);
  sources.driver->Inspect(
      [registry](const NodeCore& core, absl::Time now) { ReadCore(core, now, registry); });
  return prometheus::TextSerializer().Serialize(registry->Collect());
}

}  // namespace hingespan
