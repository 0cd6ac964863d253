#include <vector>

#include "setting_sections.h"

namespace hingespan {

namespace {

using setting_sections::kDay;
using setting_sections::kHour;
using setting_sections::kLargestInteger;
using setting_sections::kMinute;
using setting_sections::kTenMinutes;
using setting_sections::PlacerSection;
using setting_sections::Plain;
using setting_sections::Ranged;
using setting_sections::S;
using setting_sections::Settings;
using setting_sections::Text;

// Settings of the node itself.
Settings NodeSection() {
  return {
      Text(
          "node.name", [](S& s) -> NodeId& { return s.core.node; }, TextRule::kName,
          "This node's name, unique among all nodes, kept over restarts. Required."),
      Text(
          "node.zone", [](S& s) -> ZoneId& { return s.core.zone; }, TextRule::kName,
          "The zone that the node stands in, one of node.zones. Required."),
      Text(
          "node.zones", [](S& s) -> std::vector<ZoneId>& { return s.core.zones; }, TextRule::kName,
          "All zones of the deployment, the same at every node. Required."),
      Ranged(
          "node.random_seed", [](S& s) -> std::uint64_t& { return s.core.random_seed; },
          {0, kLargestInteger}, "Seed of random choices, such as the order of probes."),
      Ranged(
          "node.stop_timeout_ms", [](S& s) -> absl::Duration& { return s.stop_timeout; },
          {0, kHour}, "Longest time that a planned stop waits for requests in progress."),
      Plain(
          "node.allow_insecure", [](S& s) -> bool& { return s.allow_insecure; },
          "Allow addresses other than loopback without TLS or without a cluster key."),
  };
}

// Connections of callers and operators.
Settings HttpSection() {
  return {
      Text(
          "http.listen", [](S& s) -> std::string& { return s.http.listen; },
          TextRule::kListenAddress, "Address of the server for callers and operators."),
      Ranged(
          "http.maximum_connections", [](S& s) -> int& { return s.http.maximum_connections; },
          {1, 65'536}, "Connections served at once; each takes a thread."),
      Ranged(
          "http.maximum_refusals", [](S& s) -> int& { return s.http.maximum_refusals; }, {1, 1'024},
          "Connections beyond those that are answered 503 at once, in parallel."),
      Ranged(
          "http.maximum_body_bytes",
          [](S& s) -> std::uint64_t& { return s.http.maximum_body_bytes; }, {1'024, 1'073'741'824},
          "Largest body of a request."),
      Ranged(
          "http.receive_timeout_ms", [](S& s) -> absl::Duration& { return s.http.receive_timeout; },
          {10, kHour}, "The whole request must have arrived within this time."),
      Ranged(
          "http.keep_alive_timeout_ms",
          [](S& s) -> absl::Duration& { return s.http.keep_alive_timeout; }, {1, kHour},
          "An idle connection is closed after this long."),
      Ranged(
          "http.send_timeout_ms", [](S& s) -> absl::Duration& { return s.http.send_timeout; },
          {10, kHour}, "A write that the caller does not take for this long ends the connection."),
      Plain(
          "http.tls.certificate_file",
          [](S& s) -> std::string& { return s.http.tls.certificate_file; },
          "PEM file of the server's certificate chain. Empty: plain HTTP."),
      Plain(
          "http.tls.key_file", [](S& s) -> std::string& { return s.http.tls.key_file; },
          "PEM file of the certificate's private key."),
      Plain(
          "http.tls.client_ca_file", [](S& s) -> std::string& { return s.http.tls.client_ca_file; },
          "Callers and operators must show a certificate that this PEM file's authority signed. "
          "Empty: none is asked."),
      Plain(
          "http.tls.node_ca_file", [](S& s) -> std::string& { return s.http.tls.node_ca_file; },
          "Requests are forwarded only to nodes whose certificate this PEM file's authority "
          "signed. "
          "Empty: http.tls.client_ca_file; without that too, no node's certificate is checked."),
  };
}

// Messages between nodes.
Settings ControlSection() {
  return {
      Text(
          "control.listen", [](S& s) -> std::string& { return s.control_listen; },
          TextRule::kListenAddress, "Address of the datagrams between nodes."),
      Text(
          "control.seeds", [](S& s) -> std::vector<std::string>& { return s.core.seeds; },
          TextRule::kAddress,
          "Control addresses of nodes of the zone to join through, besides those in the machine "
          "list."),
  };
}

// Access to the platform.
Settings PlatformSection() {
  return {
      Text(
          "platform.address", [](S& s) -> std::string& { return s.platform_address; },
          TextRule::kAddress, "Address of the platform's services. Required."),
      Ranged(
          "platform.timeout_ms", [](S& s) -> absl::Duration& { return s.platform_timeout; },
          {10, kMinute}, "Time limit of a call to the platform."),
      Ranged(
          "platform.machine_list_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.machine_list_interval; }, {10, kHour},
          "How often the zone's reader reads the machine list."),
  };
}

// Calls to engines.
Settings EngineSection() {
  return {
      Ranged(
          "engine.timeout_ms", [](S& s) -> absl::Duration& { return s.engine_timeout; },
          {10, kMinute}, "Time limit of an order to an engine. Requests have their own limit."),
  };
}

// Secrets. Each key names a file that contains the secret.
Settings SecretsSection() {
  return {
      Plain(
          "secrets.caller_key_file",
          [](S& s) -> std::string& { return s.secret_files.caller_key_file; },
          "Key that callers send as a bearer token. Empty: none is asked."),
      Plain(
          "secrets.operator_key_file",
          [](S& s) -> std::string& { return s.secret_files.operator_key_file; },
          "Key that operators send as a bearer token. Empty: none is asked."),
      Plain(
          "secrets.cluster_key_file",
          [](S& s) -> std::string& { return s.secret_files.cluster_key_file; },
          "Key that signs messages between nodes; the same at every node. Empty: they are not "
          "signed."),
  };
}

// Membership protocol of a zone.
Settings MembershipSection() {
  return {
      Ranged(
          "membership.probe_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.membership.probe_interval; }, {1, kHour},
          "Time between two probes of other nodes."),
      Ranged(
          "membership.probe_timeout_ms",
          [](S& s) -> absl::Duration& { return s.core.membership.probe_timeout; }, {1, kHour},
          "Without an answer for this long, others are asked to probe."),
      Ranged(
          "membership.indirect_probes",
          [](S& s) -> int& { return s.core.membership.indirect_probes; }, {0, 16},
          "How many others are asked."),
      Ranged(
          "membership.suspicion_timeout_ms",
          [](S& s) -> absl::Duration& { return s.core.membership.suspicion_timeout; }, {1, kHour},
          "A suspect that does not refute for this long is dead."),
      Ranged(
          "membership.forget_after_ms",
          [](S& s) -> absl::Duration& { return s.core.membership.forget_after; }, {1, kDay},
          "A dead or left member is forgotten after this long."),
      Ranged(
          "membership.updates_per_message",
          [](S& s) -> int& { return s.core.membership.updates_per_message; }, {1, 32},
          "Updates carried by one probe or answer at most."),
      Ranged(
          "membership.exchange_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.membership.exchange_interval; }, {10, kHour},
          "How often a joined node exchanges all states with one seed."),
      Ranged(
          "membership.join_alone_after_ms",
          [](S& s) -> absl::Duration& { return s.core.membership.join_alone_after; }, {0, kHour},
          "A node that no seed answers for this long counts as joined: it may be the first of its "
          "zone."),
  };
}

// Replication of records.
Settings RecordsSection() {
  return {
      Ranged(
          "records.read_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.record_sync.read_interval; }, {1, kHour},
          "How often the zone's reader asks the platform for changes."),
      Ranged(
          "records.cross_zone_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.record_sync.cross_zone_interval; },
          {1, kHour}, "How often the reader compares revisions with a node of another zone."),
      Ranged(
          "records.fetch_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.record_sync.fetch_interval; }, {1, kHour},
          "How often a node that is behind asks again."),
      Ranged(
          "records.error_backoff_ms",
          [](S& s) -> absl::Duration& { return s.core.record_sync.error_backoff; }, {1, kHour},
          "First wait after an error; doubles up to ten times as long."),
      Ranged(
          "records.answer_timeout_ms",
          [](S& s) -> absl::Duration& { return s.core.record_sync.answer_timeout; }, {1, kHour},
          "A read of the platform without an answer for this long is given up."),
  };
}

// Claims on requests that must not be executed twice.
Settings ClaimsSection() {
  return {
      Ranged(
          "claims.range_count", [](S& s) -> std::uint32_t& { return s.core.claim.range_count; },
          {1, 4'096}, "Key ranges; the same at every node, and never changed."),
      Ranged(
          "claims.interval_ms", [](S& s) -> absl::Duration& { return s.core.claim.interval; },
          {100, kHour}, "Key time is given out in intervals of this length."),
      Ranged(
          "claims.ahead_ms", [](S& s) -> absl::Duration& { return s.core.claim.ahead; },
          {100, kDay},
          "Ownership is given this long ahead. Longer bears longer outages of the platform; a dead "
          "owner's keys of that time are refused."),
      Ranged(
          "claims.remember_ms", [](S& s) -> absl::Duration& { return s.core.claim.remember; },
          {1'000, kDay}, "Keys older than this are refused."),
      Ranged(
          "claims.future_skew_ms", [](S& s) -> absl::Duration& { return s.core.claim.future_skew; },
          {0, kHour}, "Keys issued further in the future than this are refused."),
  };
}

// Grants, which decide which worker may hold a replica.
Settings GrantsSection() {
  return {
      Ranged(
          "grants.maximum_outstanding",
          [](S& s) -> int& { return s.core.grant.maximum_outstanding; }, {1, 64},
          "Transactions of one node in flight at once."),
      Ranged(
          "grants.minimum_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.grant.minimum_interval; }, {0, kMinute},
          "Least time between two transactions of one node."),
      Ranged(
          "grants.retry_after_ms", [](S& s) -> absl::Duration& { return s.core.grant.retry_after; },
          {1, kMinute}, "Wait after a conflict or an error; doubles up to ten times as long."),
      Ranged(
          "grants.revoke_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.grant.revoke_interval; }, {1, kMinute},
          "A revocation is asked of the keeper again after this long."),
  };
}

// Keepers, which load and unload models at a worker.
Settings KeeperSection() {
  return {
      Ranged(
          "keeper.report_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.report_interval; }, {1, kMinute},
          "Least time between two reports of a worker's load or memory to the zone."),
      Ranged(
          "keeper.heartbeat_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.heartbeat_interval; }, {1, kMinute},
          "Time between two heartbeats of a node for the workers that it keeps."),
      Ranged(
          "keeper.status_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.status_interval; }, {1, kMinute},
          "Time between two status calls to an engine."),
      Ranged(
          "keeper.busy_status_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.busy_status_interval; }, {1, kMinute},
          "The same while a load or unload is under way."),
      Ranged(
          "keeper.fence_retry_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.fence_retry; }, {1, kMinute},
          "First wait before taking a worker over again; doubles."),
      Ranged(
          "keeper.call_timeout_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.call_timeout; }, {1, kTenMinutes},
          "An engine call without an answer for this long counts as lost."),
      Ranged(
          "keeper.order_retry_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.order_retry; }, {1, kMinute},
          "A lost order is repeated after this long."),
      Ranged(
          "keeper.minimum_residence_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.minimum_residence; }, {0, kHour},
          "A replica is not unloaded for idleness sooner than this after it got ready."),
      Ranged(
          "keeper.permit_retry_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.permit_retry; }, {1, kMinute},
          "A permit to load is asked for again after this long."),
      Plain(
          "keeper.use_permits", [](S& s) -> bool& { return s.core.keeper.use_permits; },
          "Loads wait for a permit of the zone's permit holder."),
      Ranged(
          "keeper.permit_use_within_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.permit_use_within; }, {100, kMinute},
          "A permit that was not used this long after it was asked for is returned."),
      Ranged(
          "keeper.estimator.memory_per_gib_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.estimator.memory_per_gib; },
          {0, kHour}, "First guess of a load's time per GiB from memory."),
      Ranged(
          "keeper.estimator.disk_per_gib_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.estimator.disk_per_gib; }, {0, kHour},
          "First guess per GiB from disk."),
      Ranged(
          "keeper.estimator.remote_per_gib_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.estimator.remote_per_gib; },
          {0, kHour}, "First guess per GiB from the weight store."),
      Ranged(
          "keeper.estimator.fixed_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.estimator.fixed; }, {0, kHour},
          "First guess of the part that does not depend on size."),
      Ranged(
          "keeper.estimator.smoothing",
          [](S& s) -> double& { return s.core.keeper.estimator.smoothing; }, {0.01, 1},
          "Weight of the newest observation in the moving average."),
  };
}

// Unloading of idle replicas.
Settings KeepWarmSection() {
  return {
      Plain(
          "keep_warm.mode", [](S& s) -> KeepWarmMode& { return s.core.keeper.keep_warm.mode; },
          "weighted weighs the two costs; the others are baselines for experiments."),
      Ranged(
          "keep_warm.cold_start_cost_per_second",
          [](S& s) -> double& { return s.core.keeper.keep_warm.cold_start_cost_per_second; },
          {0, 1000000000.0}, "Cost of one second that a caller waits for a load, in any unit."),
      Ranged(
          "keep_warm.idle_cost_per_gib_second",
          [](S& s) -> double& { return s.core.keeper.keep_warm.idle_cost_per_gib_second; },
          {0, 1000000000.0}, "Cost of one GiB held idle for one second, in the same unit."),
      Ranged(
          "keep_warm.fixed_timeout_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.keep_warm.fixed_timeout; }, {0, kDay},
          "Idle time before unloading in mode fixed_timeout."),
      Ranged(
          "keep_warm.shortest_idle_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.keep_warm.shortest_idle; }, {0, kDay},
          "Lower bound of what weighted decides."),
      Ranged(
          "keep_warm.longest_idle_ms",
          [](S& s) -> absl::Duration& { return s.core.keeper.keep_warm.longest_idle; }, {0, kDay},
          "Upper bound of what weighted decides."),
  };
}

// Permits for the weight store, which are required if keeper.use_permits is set.
Settings PermitsSection() {
  return {
      Ranged(
          "permits.rate_per_second", [](S& s) -> double& { return s.core.permits.rate_per_second; },
          {0.01, 10'000},
          "Loads that the whole deployment may begin in a second; the same at every node."),
      Ranged(
          "permits.concurrency", [](S& s) -> std::uint32_t& { return s.core.permits.concurrency; },
          {1, 10'000},
          "Loads of the whole deployment at once; the same at every node. Each zone's part is an "
          "equal one."),
      Plain(
          "permits.lend", [](S& s) -> bool& { return s.core.permits.lend; },
          "Idle parts are lent to zones whose loads wait; false: each zone has its part only."),
      Ranged(
          "permits.zone_nodes", [](S& s) -> std::uint32_t& { return s.core.permits.zone_nodes; },
          {1, 10'000},
          "No zone has more nodes than this. More than half of them must vote for the zone's "
          "permit "
          "holder; with 1 the membership alone decides, and holders may overlap."),
      Ranged(
          "permits.lease_ms", [](S& s) -> absl::Duration& { return s.core.permits.lease; },
          {100, kTenMinutes}, "A vote or a loan that is not renewed for this long ends."),
      Ranged(
          "permits.renew_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.permits.renew_interval; }, {10, kMinute},
          "Loans that are needed are renewed this often."),
      Ranged(
          "permits.permit_timeout_ms",
          [](S& s) -> absl::Duration& { return s.core.permits.permit_timeout; }, {100, kHour},
          "A permit that is not returned for this long has ended for certain. Longer than the "
          "longest "
          "load; a new permit holder waits this long before it uses the zone's part."),
      Ranged(
          "permits.request_timeout_ms",
          [](S& s) -> absl::Duration& { return s.core.permits.request_timeout; }, {1, kHour},
          "A request for a permit that is not repeated for this long is forgotten."),
  };
}

// Directory of the zone's workers.
Settings DirectorySection() {
  return {
      Ranged(
          "directory.report_timeout_ms",
          [](S& s) -> absl::Duration& { return s.core.directory.report_timeout; }, {1, kHour},
          "A worker neither reported nor confirmed for this long gets no new work."),
      Ranged(
          "directory.list_request_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.directory.list_request_interval; },
          {1, kMinute}, "How often a missing list of replicas is asked for."),
      Ranged(
          "directory.forget_after_ms",
          [](S& s) -> absl::Duration& { return s.core.directory.forget_after; }, {1, kDay},
          "A worker not reported for this long is forgotten."),
  };
}

// Routing of requests.
Settings RouterSection() {
  return {
      Ranged(
          "router.wake_interval_ms",
          [](S& s) -> absl::Duration& { return s.core.router.wake_interval; }, {1, kMinute},
          "A wake request is repeated this often while requests wait."),
      Ranged(
          "router.long_queue", [](S& s) -> std::uint32_t& { return s.core.router.long_queue; },
          {1, 65'536}, "With a ready replica, more are asked for once this many requests wait."),
      Ranged(
          "router.hopeless_margin", [](S& s) -> double& { return s.core.router.hopeless_margin; },
          {1, 100},
          "A request is refused at once when the expected wait is more than this many times the "
          "time left."),
      Ranged(
          "router.maximum_requests",
          [](S& s) -> std::uint32_t& { return s.core.router.maximum_requests; }, {1, 1'048'576},
          "Requests at this node at most, waiting and running."),
      Ranged(
          "router.affinity_slack",
          [](S& s) -> std::uint32_t& { return s.core.router.affinity_slack; }, {0, 1'024},
          "How many more requests a replica may have and still get prompts whose prefix it may "
          "hold."),
      Ranged(
          "router.maximum_attempts", [](S& s) -> int& { return s.core.router.maximum_attempts; },
          {1, 16}, "Attempts for one request at most."),
      Ranged(
          "router.claim_time_ms", [](S& s) -> absl::Duration& { return s.core.router.claim_time; },
          {1, kMinute}, "Longest time given to a claim."),
      Ranged(
          "router.retry_budget.retries_per_request",
          [](S& s) -> double& { return s.core.router.retry_budget.retries_per_request; }, {0, 1},
          "Retries that each request adds to the budget."),
      Ranged(
          "router.retry_budget.maximum_saved",
          [](S& s) -> double& { return s.core.router.retry_budget.maximum_saved; }, {0, 1'000},
          "Retries that can be saved up."),
      Ranged(
          "router.circuit_breaker.failure_threshold",
          [](S& s) -> int& { return s.core.router.circuit_breaker.failure_threshold; }, {1, 1'000},
          "Failures in a row that stop requests to a worker."),
      Ranged(
          "router.circuit_breaker.open_for_ms",
          [](S& s) -> absl::Duration& { return s.core.router.circuit_breaker.open_for; },
          {1, kHour},
          "Time until one request is let through again; doubles up to ten times as long."),
  };
}

// Log output.
Settings LogSection() {
  return {
      Plain(
          "log.level", [](S& s) -> LogLevel& { return s.log.level; },
          "Lines below this level are left out."),
      Plain(
          "log.format", [](S& s) -> LogFormat& { return s.log.format; },
          "Form of the lines on standard error."),
  };
}

// Fault injection for tests. Never for use in production, as each setting breaks a guarantee.
Settings TestOnlySection() {
  return {
      Plain(
          "test_only.disable_claims",
          [](S& s) -> bool& { return s.core.claim.disable_claims_for_test; },
          "TEST ONLY, never in production: claims are granted without looking at earlier ones."),
      Plain(
          "test_only.disable_limit",
          [](S& s) -> bool& { return s.core.grant.disable_limit_for_test; },
          "TEST ONLY, never in production: the rows' limits of replicas are ignored."),
      Plain(
          "test_only.disable_ledger",
          [](S& s) -> bool& { return s.core.keeper.disable_ledger_for_test; },
          "TEST ONLY, never in production: loads are ordered without reserving memory."),
      Plain(
          "test_only.disable_fence",
          [](S& s) -> bool& { return s.core.keeper.disable_fence_for_test; },
          "TEST ONLY, never in production: orders are never refused as outdated."),
      Plain(
          "test_only.disable_coalescing",
          [](S& s) -> bool& { return s.core.placer.disable_coalescing_for_test; },
          "TEST ONLY, never in production: every wake request loads everywhere."),
      Plain(
          "test_only.disable_leaving",
          [](S& s) -> bool& { return s.core.directory.disable_leaving_for_test; },
          "TEST ONLY, never in production: leaving workers get new work."),
      Plain(
          "test_only.disable_repeat_protection",
          [](S& s) -> bool& { return s.core.router.disable_repeat_protection_for_test; },
          "TEST ONLY, never in production: requests that must not run twice are retried."),
      Plain(
          "test_only.disable_early_refusal",
          [](S& s) -> bool& { return s.core.router.disable_early_refusal_for_test; },
          "TEST ONLY, never in production: hopeless waits are not refused."),
      Plain(
          "test_only.disable_drain", [](S& s) -> bool& { return s.disable_drain_for_test; },
          "TEST ONLY, never in production: a planned stop cuts requests in progress."),
  };
}

Settings JoinSections() {
  Settings all;
  for (const auto& section :
       {NodeSection(), HttpSection(), ControlSection(), PlatformSection(), EngineSection(),
        SecretsSection(), MembershipSection(), RecordsSection(), ClaimsSection(), GrantsSection(),
        KeeperSection(), KeepWarmSection(), PlacerSection(), PermitsSection(), DirectorySection(),
        RouterSection(), LogSection(), TestOnlySection()}) {
    all.insert(all.end(), section.begin(), section.end());
  }
  return all;
}

}  // namespace

const std::vector<SettingDescriptor>& AllSettings() {
  static const Settings* const settings = new Settings(JoinSections());
  return *settings;
}

}  // namespace hingespan
