#include "hingespan/serving/gateway.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"

namespace hingespan::gateway {
namespace {

// Time after the request to stop during which new requests are still accepted: the platform checks
// readiness twice, one second apart, before it sends requests to other nodes.
constexpr absl::Duration kAcceptAfterStop = absl::Milliseconds(2500);
constexpr absl::Duration kMinStopTime = absl::Milliseconds(3000);
// Time between the end of a stop and the moment at which the process would be killed.
constexpr absl::Duration kStopMargin = absl::Milliseconds(250);
// Requests in flight are answered this long before the end of a stop.
constexpr absl::Duration kFinalAnswerMargin = absl::Milliseconds(150);
constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(50);
// Interval at which waiting requests are tried again even if nothing is known to have changed.
constexpr absl::Duration kDispatchInterval = absl::Milliseconds(60);

// Workers write often; the pause lets one read return several changes.
constexpr absl::Duration kWorkerChangesPause = absl::Milliseconds(120);

std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(absl::ToUnixMicros(SystemClock().WallTime()));
}

FleetCoordinatorSettings FleetSettings(const GatewaySettings& settings) {
  FleetCoordinatorSettings fleet;
  fleet.node = settings.node;
  fleet.incarnation = NewIncarnation();
  fleet.zone = settings.zone;
  fleet.link_mbps = settings.link_mbps;
  fleet.address = settings.peer_listen;
  fleet.lease.node = settings.node;
  fleet.lease.incarnation = fleet.incarnation;
  fleet.lease.address = settings.peer_listen;
  fleet.lease.duration = settings.lease;
  fleet.lease.workers_check_tokens = settings.workers_check_tokens;
  fleet.placer.policy = settings.placement;
  fleet.placer.weight_store = settings.weight_store;
  fleet.placer.requests_for_each_replica = settings.requests_for_each_replica;
  fleet.placer.fresh_replica_time = settings.fresh_replica;
  return fleet;
}

ChoicePolicy MakeChoicePolicy(const ServingPolicy& serving) {
  return {serving.prefer_kept_prompts, serving.prefer_own_zone, serving.judge_workers};
}

SharedReadingSettings ReadingSettings(const GatewaySettings& settings) {
  SharedReadingSettings reading;
  reading.node = settings.node;
  reading.zone = settings.zone;
  reading.bound = std::min(settings.apply_time, settings.drain_time);
  return reading;
}

// The store counts a value's bytes in base64, which is a third longer.
std::size_t MaxValueBytes(const GatewaySettings& settings) {
  return static_cast<std::size_t>(settings.store_row_bytes) * 3 / 4;
}

StreamArchiveSettings ArchiveSettings(const GatewaySettings& settings) {
  StreamArchiveSettings archive;
  archive.node = settings.node;
  archive.row_bytes = MaxValueBytes(settings);
  return archive;
}

QuarantineRecordSettings RecordSettings(const GatewaySettings& settings) {
  QuarantineRecordSettings record;
  record.table = FleetCoordinatorSettings().table;
  record.row_bytes = MaxValueBytes(settings);
  return record;
}

HeaderFields RetryAfter(std::string seconds) { return {{"Retry-After", std::move(seconds)}}; }

}  // namespace

Gateway::Gateway(GatewaySettings settings, GatewayParts parts)
    : settings_(std::move(settings)),
      parts_(std::move(parts)),
      memory_plan_(
          PlanMemory(settings_.memory_mb, static_cast<std::size_t>(settings_.max_connections))),
      answer_memory_(memory_plan_.answers),
      client_memory_(
          std::make_shared<ClientMemory>(parts_.loop, memory_plan_.clients, parts_.release_heap)),
      workers_(settings_.node, settings_.zone, MakeChoicePolicy(settings_.serving)),
      peer_directory_(settings_.node, settings_.zone),
      budget_({settings_.retry_ratio, settings_.retry_extra, settings_.retry_window},
              FleetShare(settings_.node), parts_.loop->Now()),
      requests_(
          parts_.loop,
          [this](const std::shared_ptr<ServerExchange>& exchange) { OnRequest(exchange); },
          client_memory_),
      forwarded_(
          parts_.loop,
          [this](const std::shared_ptr<ServerExchange>& exchange) { OnForwarded(exchange); },
          client_memory_),
      status_(
          parts_.loop,
          [this](const std::shared_ptr<ServerExchange>& exchange) { OnStatusRequest(exchange); },
          client_memory_),
      metrics_(
          parts_.loop,
          [this](const std::shared_ptr<ServerExchange>& exchange) { OnMetricsRequest(exchange); },
          client_memory_),
      peers_(parts_.loop, [this](absl::string_view bytes) { OnDatagram(bytes); }),
      archive_(ArchiveSettings(settings_),
               {parts_.loop, &SystemClock(), parts_.store, parts_.log, parts_.metrics}),
      streams_(settings_.node,
               {parts_.loop, parts_.metrics,
                [this](const std::string& address, absl::string_view bytes) {
                  peers_.Send(address, bytes);
                },
                [this](const std::string& id, const StreamSource& source, absl::Duration lifetime) {
                  archive_.Add(id, source, lifetime);
                },
                [this](const std::string& id, StreamArchive::Callback done) {
                  archive_.Find(id, std::move(done));
                },
                [this](const std::string& service) {
                  ObserveVersions();
                  return versions_.OnlyVersion(service, parts_.loop->Now());
                },
                [this](std::function<void(bool)> done) { RefreshWorkers(std::move(done)); },
                [this](const std::string& service) {
                  ObserveVersions();
                  return versions_.KnownVersions(service, parts_.loop->Now());
                }}),
      quarantine_record_(RecordSettings(settings_),
                         {parts_.loop, &SystemClock(), parts_.store, parts_.log, parts_.metrics}),
      quarantine_(settings_.node,
                  {parts_.loop, parts_.log, parts_.metrics, &quarantine_record_,
                   [this](const std::string& address, absl::string_view bytes) {
                     peers_.Send(address, bytes);
                   },
                   [this](const std::string& address, std::function<void(bool)> callback) {
                     parts_.control->Probe(address, std::move(callback));
                   },
                   [this] { OnQuarantine(); }}),
      slots_(settings_.node, NewIncarnation(),
             {parts_.loop, parts_.log, parts_.metrics, &workers_,
              [this](const std::string& address, absl::string_view bytes) {
                peers_.Send(address, bytes);
              },
              [this](const std::string& service) { return TokenCapacity(service); },
              [this] { ScheduleDispatch(); }}),
      reading_(parts_.loop, parts_.store, parts_.client, parts_.log, ReadingSettings(settings_)),
      stop_timer_(parts_.loop->MakeTimer()),
      dispatch_timer_(parts_.loop->MakeTimer()),
      silence_timer_(parts_.loop->MakeTimer()) {
  context_.loop = parts_.loop;
  context_.dialect = parts_.dialect;
  context_.client = parts_.client;
  context_.workers = &workers_;
  context_.peers = &peer_directory_;
  context_.budget = &budget_;
  context_.quarantine = &quarantine_;
  context_.slots = &slots_;
  context_.log = parts_.log;
  context_.metrics = parts_.metrics;
  context_.host = this;
  context_.answer_memory = &answer_memory_;
  context_.return_when_late = settings_.serving.return_when_late;
  workers_.SetUnreadAttempts(budget_.unread());
}

Gateway::~Gateway() { *alive_ = false; }

std::error_code Gateway::Start() {
  if (const std::error_code error = peers_.Listen(settings_.peer_listen)) {
    return error;
  }
  if (const std::error_code error = status_.Listen(settings_.status_listen)) {
    return error;
  }
  if (!settings_.metrics_listen.empty()) {
    // The gateway serves callers even if metrics are unavailable.
    if (const std::error_code error = metrics_.Listen(settings_.metrics_listen)) {
      parts_.log->Write(LogLevel::kWarning, "metrics_unavailable",
                        {{"address", settings_.metrics_listen}, {"error", error.message()}});
    }
  }
  SetRequestLimits({});
  ProbeSilentWorkers();
  for (HttpServer* const server : {&requests_, &forwarded_, &status_, &metrics_}) {
    server->OnTurnedAway([this](const TurnedAwayClient& client) { OnTurnedAway(client); });
  }
  if (const std::error_code error = requests_.Listen(settings_.request_listen)) {
    return error;
  }
  if (!settings_.forward_listen.empty()) {
    if (const std::error_code error = forwarded_.Listen(settings_.forward_listen)) {
      return error;
    }
  }
  // Both listeners use the same port number unless the kernel chooses the ports.
  if (const std::error_code error = reading_.Listen(settings_.peer_listen)) {
    return error;
  }
  settings_.peer_listen = peers_.address();
  streams_.SetAddress(peers_.address());
  quarantine_.SetAddress(peers_.address());
  slots_.SetAddress(peers_.address());
  reading_.Share(parts_.reader->configuration_table(), nullptr);
  reading_.Share(parts_.reader->worker_table(),
                 [this](const StoreRow& left, const StoreRow& right) {
                   const Result<WorkerRecord> before = parts_.reader->ReadWorker(left);
                   const Result<WorkerRecord> after = parts_.reader->ReadWorker(right);
                   return before.ok() && after.ok() && *before == *after;
                 });
  FleetCoordinatorSettings fleet = FleetSettings(settings_);
  fleet.copies_address = reading_.address();
  fleet.forward_address = forwarded_.address();
  reading_.Share(fleet.table, nullptr);
  FleetCoordinatorParts fleet_parts;
  fleet_parts.loop = parts_.loop;
  fleet_parts.store = &reading_;
  fleet_parts.control = parts_.control;
  fleet_parts.workers = &workers_;
  fleet_parts.versions = &versions_;
  fleet_parts.log = parts_.log;
  fleet_parts.metrics = parts_.metrics;
  fleet_parts.send = [this](const std::string& address, absl::string_view bytes) {
    peers_.Send(address, bytes);
  };
  fleet_parts.fill_report = [this](DemandReport* report) { FillReport(report); };
  fleet_parts.on_update = [this] {
    for (const std::shared_ptr<RequestRelay>& request : queue_.InOrder()) {
      request->OnExpectedReadyChanged();
    }
    ScheduleDispatch();
  };
  fleet_parts.reads_store = [this] { return reading_.reads_itself(); };
  fleet_parts.reads_for_others = [this] { return reading_.reads_for_others(); };
  fleet_parts.on_table = [this](const StoreRows& rows) { quarantine_record_.OnTable(rows); };
  fleet_parts.on_nodes = [this](const std::vector<FleetNode>& nodes, absl::Time read_started) {
    reading_.SetNodes(nodes);
    std::vector<std::string> names;
    std::vector<Peer> peers;
    std::vector<StreamNode> stream_nodes;
    names.reserve(nodes.size());
    peers.reserve(nodes.size());
    stream_nodes.reserve(nodes.size());
    for (const FleetNode& node : nodes) {
      names.push_back(node.name);
      peers.push_back({node.name, node.zone, node.forward_address});
      stream_nodes.push_back({node.name, node.zone, node.datagram_address, node.incarnation});
    }
    archive_.SetFleetSize(nodes.size());
    peer_directory_.SetPeers(peers);
    quarantine_.SetNodes(stream_nodes);
    slots_.SetNodes(stream_nodes);
    streams_.SetNodes(std::move(stream_nodes));
    UpdateMixedServices();
    budget_.SetNodes(names, read_started, parts_.loop->Now());
  };
  const std::uint64_t seed = fleet.incarnation;
  fleet_ = std::make_unique<FleetCoordinator>(std::move(fleet), std::move(fleet_parts));
  const auto log_connection_change = [this](const char* table) {
    return [this, table](bool connected) {
      parts_.log->Write(connected ? LogLevel::kInfo : LogLevel::kWarning,
                        connected ? "store_regained" : "store_lost", {{"table", table}});
    };
  };
  TableFollower::Callbacks configuration;
  configuration.on_snapshot = [this](const StoreRows& rows) {
    for (const StoreRow& row : rows.rows) {
      ApplyConfiguration(row);
    }
  };
  configuration.on_changes = configuration.on_snapshot;
  configuration.on_connection_change = log_connection_change("configuration");
  configuration_follower_ = std::make_unique<TableFollower>(
      parts_.loop, &reading_, TableFollowerSettings{parts_.reader->configuration_table()}, seed,
      std::move(configuration));
  TableFollowerSettings worker_settings{parts_.reader->worker_table()};
  worker_settings.pause = kWorkerChangesPause;
  TableFollower::Callbacks workers;
  workers.on_snapshot = [this](const StoreRows& rows) { ApplyWorkerSnapshot(rows); };
  workers.on_changes = [this](const StoreRows& rows) {
    ObserveVersions();
    for (const StoreRow& row : rows.rows) {
      ApplyWorkerRow(row);
    }
    UpdateMixedServices();
    fleet_->WorkersChanged();
    ScheduleDispatch();
  };
  workers.on_connection_change = [this, log = log_connection_change("workers")](bool connected) {
    log(connected);
    UpdateMixedServices();
  };
  worker_follower_ = std::make_unique<TableFollower>(parts_.loop, &reading_, worker_settings,
                                                     seed + 1, std::move(workers));
  configuration_follower_->Start();
  worker_follower_->Start();
  fleet_->Start();
  return {};
}

int Gateway::fleet_size() { return budget_.share().CountedNodes(parts_.loop->Now()); }

bool Gateway::ready() const { return routes_ != nullptr && workers_known_ && !stopping_; }

void Gateway::RefuseAtOnce(ServerExchange* exchange, int status, const char* why,
                           const HeaderFields& fields) {
  const std::uint64_t version = routes_ == nullptr ? 0 : routes_->configuration().version;
  parts_.log->Write(LogLevel::kInfo, "request_refused",
                    {{"request", parts_.dialect->ReadRequest(exchange->head()).id},
                     {"target", exchange->head().target},
                     {"status", absl::StrCat(status)},
                     {"why", why},
                     {"configuration", absl::StrCat(version)}});
  ++parts_.metrics->requests_by_status[status];
  ++parts_.metrics->refusals[why];
  exchange->Answer(status, ReasonPhrase(status), fields, {});
}

const char* Gateway::RefusalReason() const {
  if (routes_ == nullptr || !workers_known_) {
    return "no_configuration_yet";
  }
  return stopping_ && parts_.loop->Now() - stop_began_ > kAcceptAfterStop ? "stopping" : nullptr;
}

const Route* Gateway::FindRoute(const RequestHead& head) const {
  const std::string* const host = FindField(head.fields, "Host");
  return routes_->Find(host == nullptr ? absl::string_view() : absl::string_view(*host),
                       head.target);
}

void Gateway::StartRequest(const std::shared_ptr<ServerExchange>& exchange, RequestOrigin origin,
                           const Route* route) {
  auto relay = std::make_shared<RequestRelay>(&context_, exchange,
                                              parts_.dialect->ReadRequest(exchange->head()),
                                              std::move(origin), routes_, route, ++next_number_);
  relay->Start();
}

void Gateway::OnRequest(const std::shared_ptr<ServerExchange>& exchange) {
  if (const char* const why = RefusalReason()) {
    RefuseAtOnce(exchange.get(), 503, why, RetryAfter("0.1"));
    return;
  }
  const Route* const route = FindRoute(exchange->head());
  if (route == nullptr) {
    RefuseAtOnce(exchange.get(), 404, "no_route", {});
    return;
  }
  StartRequest(exchange, {}, route);
}

void Gateway::OnStatusRequest(const std::shared_ptr<ServerExchange>& exchange) {
  const std::string& target = exchange->head().target;
  if (target == settings_.readiness_path) {
    const int status = ready() ? 200 : 503;
    exchange->Answer(status, ReasonPhrase(status), {}, {});
    return;
  }
  OnMetricsRequest(exchange);
}

void Gateway::OnMetricsRequest(const std::shared_ptr<ServerExchange>& exchange) {
  if (exchange->head().target == settings_.metrics_path) {
    parts_.metrics->waiting_now = queue_.size();
    parts_.metrics->kept_answer_bytes = answer_memory_.used();
    parts_.metrics->client_bytes = client_memory_->budget()->used();
    parts_.metrics->holds_lease = fleet_->holds_lease();
    parts_.metrics->connections = Activity();
    parts_.metrics->log_lines_left_out = parts_.log->left_out();
    parts_.metrics->retries = budget_.AllCounts(parts_.loop->Now());
    parts_.metrics->retry_divisor = budget_.share().Divisor(parts_.loop->Now());
    parts_.metrics->in_first_retry_window = budget_.InFirstWindow(parts_.loop->Now());
    exchange->Answer(200, ReasonPhrase(200), {{"Content-Type", "text/plain; version=0.0.4"}},
                     MetricsText(*parts_.metrics));
    return;
  }
  exchange->Answer(404, ReasonPhrase(404), {}, {});
}

void Gateway::Enqueue(const QueuePlace& place, std::shared_ptr<RequestRelay> request) {
  if (request->first_attempt()) {
    DemandCounts& counts = demand_[{request->service(), request->model()}];
    ++counts.arrived;
    counts.arrived_tokens += request->prompt_tokens();
  }
  const absl::Time now = parts_.loop->Now();
  // Dispatch at once if no other request waits that might take precedence.
  const bool queue_was_empty = queue_.empty();
  queue_.Add(place, request);
  if (queue_was_empty && request->TryDispatch(now)) {
    return;
  }
  if (!request->model().model.empty()) {
    fleet_->DemandWaits();
  }
  ScheduleDispatch();
}

void Gateway::Dequeue(const QueuePlace& place) { queue_.Remove(place); }

void Gateway::ScheduleDispatch() {
  if (dispatch_scheduled_ || queue_.empty()) {
    return;
  }
  dispatch_scheduled_ = true;
  parts_.loop->Post([this] {
    dispatch_scheduled_ = false;
    DispatchWaiting();
  });
}

void Gateway::DispatchWaiting() {
  const absl::Time now = parts_.loop->Now();
  // First attempts for the same model wait for the same workers, so one choice decides for all.
  std::map<std::tuple<std::string, ModelKey, std::string>, ChoiceProblem> blocked;
  for (const std::shared_ptr<RequestRelay>& request : queue_.InOrder()) {
    if (!request->waiting()) {
      continue;
    }
    const std::tuple key{request->service(), request->model(), request->software_version()};
    const auto known = request->first_attempt() ? blocked.find(key) : blocked.end();
    if (known != blocked.end()) {
      request->NoteProblem(known->second);
      continue;
    }
    if (!request->TryDispatch(now) && request->first_attempt()) {
      blocked.emplace(key, request->problem());
    }
  }
  if (!queue_.empty()) {
    dispatch_timer_->Set(now + kDispatchInterval, [this] { ScheduleDispatch(); });
  }
}

void Gateway::RunningChanged(const std::string& service, const ModelKey& model, int change) {
  if (model.model.empty()) {
    return;
  }
  demand_[{service, model}].running += change;
  fleet_->DemandChanged();
}

absl::Time Gateway::ExpectedReady(const ModelKey& model,
                                  const std::string& software_version) const {
  return model.model.empty() ? absl::InfiniteFuture()
                             : fleet_->ExpectedReady(model, software_version);
}

double Gateway::TokenCapacity(const std::string& service) const {
  const Service* const found =
      routes_ == nullptr ? nullptr : routes_->configuration().FindService(service);
  return found == nullptr || !found->engine.has_value()
             ? 0
             : static_cast<double>(found->engine->token_capacity);
}

absl::Time Gateway::StopLimit() const {
  if (!stopping_) {
    return absl::InfiniteFuture();
  }
  return stop_began_ + settings_.stop_time - kStopMargin - kFinalAnswerMargin;
}

void Gateway::OnRequestStarted(std::shared_ptr<RequestRelay> request) {
  const std::uint64_t number = request->number();
  open_requests_[number] = std::move(request);
}

void Gateway::OnRequestEnded(std::uint64_t number) { open_requests_.erase(number); }

void Gateway::Stop(std::function<void()> done) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_began_ = parts_.loop->Now();
  on_stopped_ = std::move(done);
  requests_.AskToClose();
  forwarded_.AskToClose();
  fleet_->Stop();
  for (const auto& [number, request] : open_requests_) {
    request->OnStopping();
  }
  LogStop("stopping", "asked");
  CheckStopped();
}

void Gateway::CheckStopped() {
  const absl::Time now = parts_.loop->Now();
  if (now >= StopLimit()) {
    // After a delay, this check may run before timers that are due. Iterates over a copy, as
    // answering a request removes it.
    const auto open_requests = open_requests_;
    for (const auto& [number, request] : open_requests) {
      request->OnStopLimit();
    }
    RefuseUnfinished();
  }
  const bool idle =
      now - stop_began_ >= kMinStopTime && Activity().unfinished() == 0 && RefuseUnfinished() == 0;
  if (idle || now - stop_began_ >= settings_.stop_time - kStopMargin) {
    LogStop("stopped", idle ? "idle" : "limit");
    on_stopped_();
    return;
  }
  stop_timer_->Set(now + kStopCheckInterval, [this] { CheckStopped(); });
}

std::size_t Gateway::RefuseUnfinished() {
  return requests_.RefuseUnfinished() + forwarded_.RefuseUnfinished();
}

void Gateway::LogStop(absl::string_view event, std::string why) {
  const ServerActivity activity = Activity();
  parts_.log->Write(LogLevel::kInfo, event,
                    {{"why", std::move(why)},
                     {"open_requests", absl::StrCat(activity.answering + activity.sending)},
                     {"sending", absl::StrCat(activity.sending)},
                     {"unsent_bytes", absl::StrCat(activity.unsent_bytes)},
                     {"closing", absl::StrCat(activity.closing)},
                     {"idle", absl::StrCat(activity.idle)},
                     {"unread_bytes", absl::StrCat(activity.unread_bytes)}});
}

}  // namespace hingespan::gateway
