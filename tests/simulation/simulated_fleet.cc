#include "tests/simulation/simulated_fleet.h"

#include <ctime>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/table/record_codec.h"
#include "hingespan/transport/message_codec.h"
#include "hingespan/transport/reply_address.h"

namespace hingespan::simulation {
namespace {

constexpr std::uint64_t kDatagramHeaderBytes = 28;
constexpr int kChangesPerRead = 500;
// Wall-clock time at the start of the simulation: 2026-12-02, an arbitrary fixed instant.
constexpr std::int64_t kEpochSeconds = 1796169600;

absl::Duration ProcessorTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return absl::DurationFromTimespec(used);
}

std::string ZoneName(int zone) { return absl::StrCat("zone-", zone + 1); }

std::string ControlAddress(const NodeId& node) { return absl::StrCat(node.value(), ":control"); }
std::string HttpAddress(const NodeId& node) { return absl::StrCat(node.value(), ":http"); }

std::uint64_t BytesRead(const PlatformAnswer& answer) {
  std::uint64_t bytes = 0;
  if (const auto* page = std::get_if<ValueChangePage>(&answer.value)) {
    for (const StoredValue& stored : page->changes) {
      bytes += stored.key.size() + (stored.value ? stored.value->size() : 0);
    }
  }
  return bytes;
}

}  // namespace

bool SimulatedFleet::LaterEvent::operator()(const Event& left, const Event& right) const {
  return left.at != right.at ? left.at > right.at : left.order > right.order;
}

SimulatedFleet::SimulatedFleet(SimulatedFleetOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      now_(absl::UnixEpoch() + absl::Hours(1)),
      weight_store_(options_.weight_store) {
  zones_ = options_.zone_names;
  if (zones_.empty()) {
    for (int zone = 0; zone < options_.zones; ++zone) {
      zones_.emplace_back(ZoneName(zone));
    }
  }
  BuildEngines();
  for (const ZoneId& zone : zones_) {
    for (int number = 1; number <= options_.nodes_per_zone; ++number) {
      const NodeId id(absl::StrCat(zone.value(), "-n", number));
      Node& node = nodes_[id];
      node.id = id;
      node.zone = zone;
      nodes_by_address_[ControlAddress(id)] = id;
    }
  }
  for (auto& [id, node] : nodes_) {
    StartNode(&node);
  }
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::BuildEngines() {
  for (const SimulatedWorker& worker : options_.workers) {
    AddEngine(worker);
  }
  if (!options_.workers.empty()) {
    return;
  }
  for (const ZoneId& zone : zones_) {
    for (int number = 1; number <= options_.workers_per_zone; ++number) {
      AddEngine({WorkerId(absl::StrCat(zone.value(), "-w", number)), zone, options_.engine});
    }
  }
}

void SimulatedFleet::AddEngine(const SimulatedWorker& added) {
  const WorkerId& worker = added.worker;
  engines_[worker] =
      std::make_unique<emulator::Engine>(worker, added.engine, random_.Next(), &weight_store_,
                                         static_cast<emulator::EngineObserver*>(this));
  workers_[worker] = {worker, added.zone, worker.value(), MachineState::kLive};
}

void SimulatedFleet::StartNode(Node* node) {
  CoreOptions core = options_.core;
  core.node = node->id;
  core.incarnation = NodeIncarnation(next_incarnation_++);
  core.zone = node->zone;
  core.zones = zones_;
  core.control_address = ControlAddress(node->id);
  core.http_address = HttpAddress(node->id);
  core.random_seed = random_.Next();
  for (const auto& [id, other] : nodes_) {
    if (other.zone == node->zone && id != node->id && core.seeds.size() < 3) {
      core.seeds.push_back(ControlAddress(id));
    }
  }
  node->incarnation = core.incarnation;
  node->paused = false;
  node->deferred.clear();
  node->core = std::make_unique<NodeCore>(std::move(core));
}

absl::Time SimulatedFleet::WallTime() const { return now_ + absl::Seconds(kEpochSeconds); }

void SimulatedFleet::At(absl::Time when, std::function<void()> run) {
  events_.push({when, next_event_++, std::move(run)});
}

void SimulatedFleet::RunEventsUntil(absl::Time until) {
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.run();
  }
  now_ = until;
}

void SimulatedFleet::RunFor(absl::Duration duration) {
  RunUntil([] { return false; }, duration);
}

bool SimulatedFleet::RunUntil(const std::function<bool()>& condition, absl::Duration bound) {
  const absl::Time end = now_ + bound;
  while (now_ < end) {
    if (condition()) {
      return true;
    }
    TickAll();
  }
  return condition();
}

// Ticks of nodes are spread over the interval, as those of real nodes are.
void SimulatedFleet::TickAll() {
  const absl::Time end = now_ + options_.tick_interval;
  const absl::Duration spread = options_.tick_interval / static_cast<double>(nodes_.size() + 1);
  absl::Time at = now_;
  for (auto& [id, node] : nodes_) {
    at += spread;
    Node* const target = &node;
    At(at, [this, target] {
      if (target->core != nullptr && !target->paused) {
        Step(target,
             [this](NodeCore* core, Outbox* outbox) { core->Tick(now_, WallTime(), outbox); });
      }
    });
  }
  const absl::Duration step = options_.engine_step;
  const bool steps_between = step > absl::ZeroDuration();
  for (at = now_ + step; steps_between && at < end; at += step) {
    At(at, [this] { AdvanceEngines(); });
  }
  RunEventsUntil(end);
  AdvanceEngines();
}

void SimulatedFleet::AdvanceEngines() {
  weight_store_.Advance(now_);
  for (const emulator::TransferId transfer : weight_store_.TakeFinished()) {
    for (auto& [worker, engine] : engines_) {
      engine->OnTransferDone(transfer, now_);
    }
  }
  for (auto& [worker, engine] : engines_) {
    if (engine->NextEvent() <= now_) {
      engine->Advance(now_);
    }
  }
}

void SimulatedFleet::Step(Node* node, const std::function<void(NodeCore*, Outbox*)>& step) {
  Outbox outbox;
  const absl::Duration before = ProcessorTime();
  step(node->core.get(), &outbox);
  node->usage.processor_time += ProcessorTime() - before;
  ExecuteOutbox(node, std::move(outbox));
  TakeDecisions(node);
}

void SimulatedFleet::ExecuteOutbox(Node* node, Outbox outbox) {
  for (const OutgoingMessage& message : outbox.messages) {
    SendMessage(node, message);
  }
  for (const EngineCall& call : outbox.engine_calls) {
    CallEngine(node, call);
  }
  for (const PlatformCall& call : outbox.platform_calls) {
    CallPlatform(node, call);
  }
}

SimulatedFleet::Node* SimulatedFleet::NodeAt(const std::string& control_address) {
  const auto id = nodes_by_address_.find(control_address);
  return id == nodes_by_address_.end() ? nullptr : &nodes_.at(id->second);
}

bool SimulatedFleet::Separated(const ZoneId& left, const ZoneId& right) const {
  return left != right && (cut_zones_.contains(left) || cut_zones_.contains(right));
}

void SimulatedFleet::SendMessage(Node* node, const OutgoingMessage& outgoing) {
  const std::string address =
      outgoing.address.empty() ? node->core->AddressOf(outgoing.to) : outgoing.address;
  Node* const target = NodeAt(address);
  if (target == nullptr) {
    return;
  }
  Envelope envelope{node->id, node->incarnation, node->zone, "", outgoing.message};
  if (NeedsReplyAddress(envelope.message)) {
    envelope.reply_address = ControlAddress(node->id);
  }
  const absl::Duration before = ProcessorTime();
  const std::string bytes = EncodeEnvelope(envelope);
  node->usage.processor_time += ProcessorTime() - before;
  node->usage.messages_sent += 1;
  node->usage.bytes_sent += bytes.size() + kDatagramHeaderBytes;
  if (Separated(node->zone, target->zone) || random_.Fraction() < options_.loss) {
    return;
  }
  const absl::Duration delay =
      node->zone == target->zone ? options_.delay_in_zone : options_.delay_between_zones;
  const int copies = random_.Fraction() < options_.duplication ? 2 : 1;
  for (int copy = 1; copy <= copies; ++copy) {
    At(now_ + delay * copy, [this, target, bytes] { DeliverBytes(target, bytes); });
  }
}

void SimulatedFleet::DeliverBytes(Node* target, const std::string& bytes) {
  if (target->core == nullptr) {
    return;
  }
  if (target->paused) {
    target->deferred.push_back([this, target, bytes] { DeliverBytes(target, bytes); });
    return;
  }
  target->usage.messages_received += 1;
  target->usage.bytes_received += bytes.size() + kDatagramHeaderBytes;
  Step(target, [&](NodeCore* core, Outbox* outbox) {
    const Result<Envelope> envelope = DecodeEnvelope(bytes);
    if (envelope.ok()) {
      core->HandleMessage(*envelope, now_, WallTime(), outbox);
    }
  });
}

void SimulatedFleet::CallEngine(Node* node, const EngineCall& call) {
  node->usage.engine_calls += 1;
  const NodeIncarnation incarnation = node->incarnation;
  At(now_ + options_.engine_delay, [this, node, incarnation, call] {
    const EngineAnswer answer{call.call, call.worker, ApplyOrder(call)};
    At(now_ + options_.engine_delay, [this, node, incarnation, answer] {
      if (node->core == nullptr || node->incarnation != incarnation) {
        return;
      }
      const auto deliver = [this, node, answer] {
        Step(node, [&](NodeCore* core, Outbox* outbox) {
          core->HandleEngineAnswer(answer, now_, WallTime(), outbox);
        });
      };
      if (node->paused) {
        node->deferred.emplace_back(deliver);
      } else {
        deliver();
      }
    });
  });
}

Result<EngineStatus> SimulatedFleet::ApplyOrder(const EngineCall& call) {
  const auto found = engines_.find(call.worker);
  if (found == engines_.end() || found->second->ended()) {
    return Error::kUnavailable;
  }
  emulator::Engine& engine = *found->second;
  emulator::OrderResult result = emulator::OrderResult::kAccepted;
  if (const auto* fence = std::get_if<FenceCall>(&call.order)) {
    result = engine.Fence(fence->incarnation, fence->epoch, now_);
  } else if (const auto* load = std::get_if<LoadOrder>(&call.order)) {
    result = engine.Load(*load, now_);
  } else if (const auto* unload = std::get_if<UnloadOrder>(&call.order)) {
    result = engine.Unload(*unload, now_);
  }
  switch (result) {
    case emulator::OrderResult::kAccepted:
      return engine.Status(now_);
    case emulator::OrderResult::kFenced:
      return Error::kFenced;
    case emulator::OrderResult::kOutOfMemory:
      return Error::kOutOfMemory;
    case emulator::OrderResult::kBaseNotLoaded:
      return Error::kNotLoaded;
  }
  return Error::kInternal;
}

void SimulatedFleet::CallPlatform(Node* node, const PlatformCall& call) {
  node->usage.platform_calls += 1;
  const NodeIncarnation incarnation = node->incarnation;
  At(now_ + options_.platform_delay, [this, node, incarnation, call] {
    const PlatformAnswer answer = ApplyPlatformCall(*node, call);
    node->usage.table_bytes_read += BytesRead(answer);
    if (node->core == nullptr || node->incarnation != incarnation) {
      return;
    }
    const auto deliver = [this, node, answer] {
      Step(node, [&](NodeCore* core, Outbox* outbox) {
        core->HandlePlatformAnswer(answer, now_, WallTime(), outbox);
      });
    };
    if (node->paused) {
      node->deferred.emplace_back(deliver);
    } else {
      deliver();
    }
  });
}

PlatformAnswer SimulatedFleet::ApplyPlatformCall(const Node& node, const PlatformCall& call) {
  PlatformAnswer answer;
  answer.call = call.call;
  answer.owner = call.owner;
  if (platform_state_ == PlatformState::kDown || cut_zones_.contains(node.zone)) {
    answer.error = Error::kUnavailable;
    return answer;
  }
  if (const auto* transaction = std::get_if<Transaction>(&call.request)) {
    answer.value = table_.Commit(*transaction);
  } else if (const auto* changes = std::get_if<ReadChangesCall>(&call.request)) {
    answer.value = table_.ReadChanges(changes->after, kChangesPerRead);
  } else if (const auto* read = std::get_if<ReadCall>(&call.request)) {
    answer.value = table_.Read(read->key);
  } else {
    answer.value = Machines();
  }
  if (platform_state_ == PlatformState::kLosesAnswers && random_.Fraction() < 0.5) {
    answer.error = Error::kAnswerLost;
    answer.value = std::monostate{};
  }
  return answer;
}

MachineListing SimulatedFleet::Machines() const {
  MachineListing listing;
  for (const auto& [id, node] : nodes_) {
    if (node.core != nullptr) {
      listing.nodes.push_back(
          {id, node.zone, HttpAddress(id), ControlAddress(id), MachineState::kLive});
    }
  }
  for (const auto& [worker, machine] : workers_) {
    listing.workers.push_back(machine);
  }
  return listing;
}

void SimulatedFleet::WriteRows(const std::vector<ModelRow>& rows, int rows_per_transaction) {
  Transaction transaction;
  for (const ModelRow& row : rows) {
    transaction.writes.push_back({RowKey(row.name), EncodeRecord(row)});
    if (static_cast<int>(transaction.writes.size()) >= rows_per_transaction) {
      table_.Commit(transaction);
      transaction.writes.clear();
    }
  }
  if (!transaction.writes.empty()) {
    table_.Commit(transaction);
  }
}

void SimulatedFleet::Kill(const NodeId& id) {
  Node& node = nodes_.at(id);
  node.core.reset();
  node.deferred.clear();
  std::vector<RequestId> broken;
  for (const auto& [request, open] : open_) {
    if (open.node == id) {
      broken.push_back(request);
    }
  }
  for (const RequestId& request : broken) {
    EndRequest(request, AttemptOutcome::kFailedBeforeOutput, nullptr);
  }
}

void SimulatedFleet::Restart(const NodeId& node) { StartNode(&nodes_.at(node)); }

void SimulatedFleet::Pause(const NodeId& node) { nodes_.at(node).paused = true; }

void SimulatedFleet::Continue(const NodeId& id) {
  Node& node = nodes_.at(id);
  node.paused = false;
  std::vector<std::function<void()>> deferred;
  deferred.swap(node.deferred);
  for (const auto& run : deferred) {
    run();
  }
}

void SimulatedFleet::CutZone(const ZoneId& zone, bool cut) {
  if (cut) {
    cut_zones_.insert(zone);
  } else {
    cut_zones_.erase(zone);
  }
}

void SimulatedFleet::RestartEngine(const WorkerId& worker) { engines_.at(worker)->Restart(now_); }

void SimulatedFleet::SetWorkerState(const WorkerId& worker, MachineState state) {
  workers_.at(worker).state = state;
  if (state == MachineState::kGone) {
    engines_.at(worker)->End(now_);
  }
}

std::vector<NodeId> SimulatedFleet::nodes() const {
  std::vector<NodeId> ids;
  for (const auto& [id, node] : nodes_) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<WorkerId> SimulatedFleet::workers() const {
  std::vector<WorkerId> ids;
  for (const auto& [id, machine] : workers_) {
    ids.push_back(id);
  }
  return ids;
}

const NodeCore* SimulatedFleet::core(const NodeId& node) const {
  return nodes_.at(node).core.get();
}

const NodeUsage& SimulatedFleet::usage(const NodeId& node) const { return nodes_.at(node).usage; }

bool SimulatedFleet::Converged() const {
  for (const auto& [id, node] : nodes_) {
    if (node.core != nullptr && node.core->store().revision() != table_.revision()) {
      return false;
    }
  }
  return true;
}

bool SimulatedFleet::AllReady() const {
  for (const auto& [id, node] : nodes_) {
    if (node.core != nullptr && !node.core->Ready()) {
      return false;
    }
  }
  return true;
}

std::uint64_t SimulatedFleet::ready_replicas() const {
  std::uint64_t count = 0;
  for (const auto& [model, replicas] : replicas_) {
    count += static_cast<std::uint64_t>(replicas);
  }
  return count;
}

emulator::MemoryUse SimulatedFleet::memory_use() {
  emulator::MemoryUse sum;
  for (const auto& [worker, engine] : engines_) {
    const emulator::MemoryUse use = engine->memory_use(now_);
    sum.idle_mib_seconds += use.idle_mib_seconds;
    sum.busy_mib_seconds += use.busy_mib_seconds;
    sum.loading_mib_seconds += use.loading_mib_seconds;
  }
  return sum;
}

void SimulatedFleet::OnEvent(emulator::LogEntry entry) {
  if (entry.event == emulator::EngineEvent::kOvercommit) {
    overcommits_ += 1;
  }
  if (entry.event == emulator::EngineEvent::kLoadBegin) {
    loads_begun_ += 1;
  }
  if (entry.event == emulator::EngineEvent::kGenerateBegin) {
    OnGenerationBegun(entry);
  }
  if (entry.event == emulator::EngineEvent::kGenerateEnd && options_.engines_pace_requests) {
    OnGenerationEnded(entry);
  }
  if (observer_ != nullptr) {
    entry.replicas_of_model = static_cast<std::uint32_t>(replicas_[entry.model]);
    observer_->OnEngineEvent(entry, *engines_.at(entry.worker), now_);
  }
}

void SimulatedFleet::OnReplicaCount(const ModelName& model, int difference) {
  const int count = replicas_[model] += difference;
  int& maximum = maximum_replicas_[model];
  maximum = std::max(maximum, count);
}

}  // namespace hingespan::simulation
