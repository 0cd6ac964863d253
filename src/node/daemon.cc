#include "hingespan/node/daemon.h"

#include <utility>

#include "absl/synchronization/mutex.h"
#include "hingespan/backing/http_machine_list.h"
#include "hingespan/backing/http_table_service.h"
#include "hingespan/common/clock.h"
#include "hingespan/common/log.h"
#include "hingespan/engine/http_engine_client.h"
#include "hingespan/net/http_server.h"
#include "hingespan/net/socket_address.h"
#include "hingespan/node/admin_front_end.h"
#include "hingespan/node/answer_format.h"
#include "hingespan/node/caller_front_end.h"
#include "hingespan/node/core_driver.h"
#include "hingespan/node/machine_announcer.h"
#include "hingespan/node/node_metrics.h"
#include "hingespan/node/request_forwarder.h"
#include "hingespan/transport/udp_transport.h"

namespace hingespan {
namespace {

// Interval at which Run checks whether the node is ready or has stopped.
constexpr absl::Duration kWatchInterval = absl::Milliseconds(20);
// Added to the send timeout, because connections poll for a stop and linger after an answer.
constexpr absl::Duration kStopSlack = absl::Seconds(1);
constexpr absl::Duration kLeaveAnnouncement = absl::Seconds(1);

HttpServerOptions ServerOptions(const HttpSettings& settings) {
  HttpServerOptions options;
  options.maximum_connections = static_cast<std::size_t>(settings.maximum_connections);
  options.maximum_refusals = static_cast<std::size_t>(settings.maximum_refusals);
  options.maximum_body_bytes = settings.maximum_body_bytes;
  options.receive_timeout = settings.receive_timeout;
  options.keep_alive_timeout = settings.keep_alive_timeout;
  options.send_timeout = settings.send_timeout;
  options.certificate_file = settings.tls.certificate_file;
  options.key_file = settings.tls.key_file;
  options.client_ca_file = settings.tls.client_ca_file;
  options.error_body = HttpErrorBody;
  options.stopping_body = HttpStoppingBody;
  return options;
}

RequestForwarderOptions ForwarderOptions(const NodeSettings& settings) {
  RequestForwarderOptions options;
  options.cluster_key = settings.cluster_key;
  options.caller_key = settings.caller_key;
  options.http.tls = settings.http.tls.enabled();
  const TlsSettings& tls = settings.http.tls;
  options.http.ca_file = tls.node_ca_file.empty() ? tls.client_ca_file : tls.node_ca_file;
  if (!settings.http.tls.client_ca_file.empty()) {
    options.http.certificate_file = settings.http.tls.certificate_file;
    options.http.key_file = settings.http.tls.key_file;
  }
  return options;
}

UdpTransportOptions TransportOptions(const NodeSettings& settings) {
  UdpTransportOptions options;
  options.listen = settings.control_listen;
  options.cluster_key = settings.cluster_key;
  return options;
}

CoreDriverOptions DriverOptions(const NodeSettings& settings) {
  CoreDriverOptions options;
  options.engine_timeout = settings.engine_timeout;
  options.platform_timeout = settings.platform_timeout;
  return options;
}

CallerFrontEndOptions CallerOptions(const NodeSettings& settings) {
  CallerFrontEndOptions options;
  options.node = settings.core.node;
  options.incarnation = settings.core.incarnation;
  options.caller_key = settings.caller_key;
  options.cluster_key = settings.cluster_key;
  options.maximum_body_bytes = settings.http.maximum_body_bytes;
  return options;
}

// Requests of callers, orders of operators and control messages must not cross a network
// unencrypted.
bool MayListen(const NodeSettings& settings) {
  const bool safe = settings.http.tls.enabled() && !settings.cluster_key.empty();
  const bool local = IsLoopback(settings.http.listen) && IsLoopback(settings.control_listen);
  return safe || local || settings.allow_insecure;
}

}  // namespace

// Members are created in this order and destroyed in reverse.
struct Daemon::Parts {
  explicit Parts(const NodeSettings& settings)
      : table(settings.platform_address),
        machines(settings.platform_address),
        engines(HttpEngineClientOptions()),
        transport(TransportOptions(settings)),
        server(ServerOptions(settings.http)),
        forwarder(ForwarderOptions(settings)) {}

  HttpTableService table;
  HttpMachineList machines;
  HttpEngineClient engines;
  UdpTransport transport;
  HttpServer server;
  RequestForwarder forwarder;
  NodeMetrics metrics;
  std::unique_ptr<CoreDriver> driver;
  std::unique_ptr<CallerFrontEnd> callers;
  std::unique_ptr<AdminFrontEnd> admin;
  std::unique_ptr<MachineAnnouncer> announcer;
  absl::Mutex mutex;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  bool stop_now ABSL_GUARDED_BY(mutex) = false;
};

Daemon::Daemon(NodeSettings settings) : settings_(std::move(settings)) {
  settings_.core.incarnation =
      NodeIncarnation(static_cast<std::uint64_t>(absl::ToUnixMicros(SystemClock().WallTime())));
  settings_.core.random_seed ^= settings_.core.incarnation.value();
  parts_ = std::make_unique<Parts>(settings_);
}

Daemon::~Daemon() {
  if (parts_->driver == nullptr) {
    return;
  }
  parts_->server.Stop(absl::ZeroDuration());
  parts_->announcer.reset();
  parts_->driver->Stop();
}

Result<DaemonAddresses> Daemon::Bind() {
  if (!MayListen(settings_)) {
    return Error::kPermissionDenied;
  }
  const Result<std::string> control = parts_->transport.Bind();
  if (!control.ok()) {
    return control.error();
  }
  const Result<std::string> http = parts_->server.Bind(settings_.http.listen);
  if (!http.ok()) {
    return http.error();
  }
  settings_.core.control_address = *control;
  settings_.core.http_address = *http;
  return DaemonAddresses{*http, *control};
}

Result<DaemonAddresses> Daemon::Start() {
  Result<DaemonAddresses> addresses = Bind();
  if (!addresses.ok()) {
    return addresses;
  }
  Parts& parts = *parts_;
  const CoreDriverParts driver_parts{&parts.engines, &parts.table, &parts.machines,
                                     &parts.transport};
  parts.driver =
      std::make_unique<CoreDriver>(settings_.core, DriverOptions(settings_), driver_parts);
  const SessionParts session_parts{parts.driver.get(), &parts.engines, &parts.forwarder,
                                   &parts.metrics};
  const NodeMetricsSources sources{parts.driver.get(), &parts.transport, &parts.server};
  parts.callers =
      std::make_unique<CallerFrontEnd>(CallerOptions(settings_), session_parts, sources);
  AdminFrontEndOptions admin_options;
  admin_options.operator_key = settings_.operator_key;
  admin_options.begin_stop = [this] { BeginStop(); };
  admin_options.machines = &parts.machines;
  parts.admin = std::make_unique<AdminFrontEnd>(std::move(admin_options), parts.driver.get());
  parts.callers->AddRoutes(&parts.server.routes());
  parts.admin->AddRoutes(&parts.server.routes());
  parts.driver->Start();
  parts.server.Start();
  parts.announcer = std::make_unique<MachineAnnouncer>(MachineAnnouncerOptions(), &parts.machines);
  Announce(false);
  Log(LogLevel::kInfo, "listening", {{"http", addresses->http}, {"control", addresses->control}});
  return addresses;
}

void Daemon::Announce(bool leaving) {
  NodeMachine machine;
  machine.node = settings_.core.node;
  machine.zone = settings_.core.zone;
  machine.http_address = settings_.core.http_address;
  machine.control_address = settings_.core.control_address;
  machine.state = leaving ? MachineState::kLeaving : MachineState::kLive;
  parts_->announcer->Set(machine);
}

void Daemon::BeginStop() {
  {
    absl::MutexLock lock(&parts_->mutex);
    if (parts_->stopping) {
      return;
    }
    parts_->stopping = true;
  }
  Log(LogLevel::kInfo, "stop_begun");
  parts_->callers->SetStopping();
  parts_->driver->BeginStop();
  parts_->server.BeginDrain();
  Announce(true);
}

void Daemon::StopNow() {
  absl::MutexLock lock(&parts_->mutex);
  parts_->stop_now = true;
}

bool Daemon::Run(const std::function<void()>& on_ready) {
  bool was_ready = false;
  while (true) {
    if (!was_ready && parts_->driver->Ready()) {
      was_ready = true;
      Log(LogLevel::kInfo, "ready");
      on_ready();
    }
    absl::MutexLock lock(&parts_->mutex);
    Parts* const parts = parts_.get();
    const auto stop_requested = [parts]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
      return parts->stopping || parts->stop_now;
    };
    const absl::Duration wait = was_ready ? absl::InfiniteDuration() : kWatchInterval;
    if (parts_->mutex.AwaitWithTimeout(absl::Condition(&stop_requested), wait)) {
      break;
    }
  }
  const bool ended = WaitForStop();
  // When the last request has ended its answer may still be being written, for up to the send
  // timeout.
  const absl::Duration last_writes = settings_.http.send_timeout + kStopSlack;
  const bool whole = parts_->server.Stop(ended ? last_writes : absl::ZeroDuration()) && ended;
  parts_->announcer->WaitAccepted(ended ? kLeaveAnnouncement : absl::ZeroDuration());
  parts_->announcer->Stop();
  parts_->driver->Stop();
  Log(LogLevel::kInfo, "stopped", {{"whole", whole ? "true" : "false"}});
  return whole;
}

bool Daemon::WaitForStop() {
  if (settings_.disable_drain_for_test) {
    return false;
  }
  const absl::Time until = SystemClock().Now() + settings_.stop_timeout;
  while (SystemClock().Now() < until) {
    if (parts_->driver->StopComplete()) {
      return true;
    }
    absl::MutexLock lock(&parts_->mutex);
    const bool* const stop_now = &parts_->stop_now;
    if (parts_->mutex.AwaitWithTimeout(absl::Condition(stop_now), kWatchInterval)) {
      return false;
    }
  }
  return false;
}

}  // namespace hingespan
