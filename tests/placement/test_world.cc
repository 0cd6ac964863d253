#include "tests/placement/test_world.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/grant/quota.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

const char* const kModels[] = {"m1", "m2", "m3"};
const char* const kWorkers[] = {"w1", "w2", "w3"};
constexpr std::size_t kWorkersOfZone1 = 2;
constexpr std::size_t kNodes = 3;
constexpr std::size_t kNodeOfZone2 = 2;
// Two of these replicas fit on a worker.
constexpr std::uint32_t kReplicaMib = 45;
constexpr int kSettleRounds = 600;

const std::vector<ZoneId> kZones = {ZoneId("z1"), ZoneId("z2")};

ModelRow MakeRow(const std::string& name, std::uint32_t max_replicas) {
  ModelRow row;
  row.name = ModelName(name);
  row.memory_mib = kReplicaMib;
  row.max_replicas = max_replicas;
  return row;
}

// Removes and returns one element, or returns a copy of it if it is to be delivered again later.
template <typename T>
T Pick(std::vector<T>* items, std::uint32_t choice, bool keep_copy) {
  const std::size_t index = choice % items->size();
  T item = (*items)[index];
  if (!keep_copy) {
    items->erase(items->begin() + static_cast<std::ptrdiff_t>(index));
  }
  return item;
}

}  // namespace

TransactionResult TestPlatform::Commit(const Transaction& transaction) {
  for (const Precondition& precondition : transaction.preconditions) {
    if (store_.RevisionOf(precondition.key) != precondition.revision) {
      return {};
    }
  }
  std::vector<RecordChange> changes;
  for (const Write& write : transaction.writes) {
    changes.push_back({write.key, {}, *DecodeRecord(write.key, *write.value)});
  }
  Apply(std::move(changes));
  return {true, revision_, {}};
}

void TestPlatform::Put(const Record& record, const std::string& key) { Apply({{key, {}, record}}); }

void TestPlatform::Delete(const std::string& key) { Apply({{key, {}, std::nullopt}}); }

void TestPlatform::Apply(std::vector<RecordChange> changes) {
  const TableRevision before = revision_;
  revision_ = revision_.Next();
  for (RecordChange& change : changes) {
    change.revision = revision_;
    log_.push_back(change);
  }
  store_.Apply(before, revision_, changes);
}

void TestPlatform::CopyTo(RecordStore* store) const {
  std::vector<RecordChange> changes;
  for (const RecordChange& change : log_) {
    if (change.revision > store->revision()) {
      changes.push_back(change);
    }
  }
  store->Apply(store->revision(), revision_, changes);
}

TestCluster::TestCluster(TestClusterOptions options) : options_(options), nodes_(kNodes) {
  for (const char* worker : kWorkers) {
    engines.emplace(worker, TestEngine());
  }
  std::uint32_t limit = 1;
  for (const char* model : kModels) {
    platform.Put(MakeRow(model, limit++), RowKey(ModelName(model)));
  }
  for (std::size_t index = 0; index < kNodes; ++index) {
    StartNode(index);
  }
  UpdateReplicaLimits();
}

void TestCluster::StartNode(std::size_t index) {
  Node& node = nodes_[index];
  node.id = NodeId(absl::StrCat("n", index));
  node.zone = kZones[index == kNodeOfZone2 ? 1 : 0];
  node.instance = next_instance_++;
  node.store = std::make_unique<RecordStore>();
  node.grants =
      std::make_unique<GrantManager>(node.id, node.zone, kZones, options_.grant, node.store.get());
  GrantManager* grants = node.grants.get();
  node.store->SetListener([grants](const std::string& key) {
    grants->MarkDirty(ModelName(key.substr(key.find('/') + 1)));
  });
  node.keepers.clear();
  for (std::size_t worker = 0; worker < std::size(kWorkers); ++worker) {
    const bool in_zone1 = worker < kWorkersOfZone1;
    if (in_zone1 == (index != kNodeOfZone2)) {
      WorkerMachine machine;
      machine.worker = WorkerId(kWorkers[worker]);
      machine.zone = node.zone;
      machine.base_url = "http://engine";
      node.keepers[kWorkers[worker]] =
          std::make_unique<WorkerKeeper>(node.id, machine, options_.keeper, node.store.get());
    }
  }
  platform.CopyTo(node.store.get());
}

// Nodes learn incarnations from their own keepers, which may be outdated.
std::vector<GrantTarget> TestCluster::TargetsOf(const Node& node) const {
  std::vector<GrantTarget> targets;
  for (const auto& [worker, keeper] : node.keepers) {
    const WorkerReport report = keeper->Report();
    GrantTarget target;
    target.worker = WorkerId(worker);
    target.incarnation = report.incarnation;
    target.memory_mib = report.memory_mib;
    const auto leaving = leaving_.find(worker);
    target.leaving = leaving != leaving_.end() && leaving->second;
    targets.push_back(target);
  }
  return targets;
}

std::size_t TestCluster::KeeperNode(const WorkerId& worker, std::uint32_t choice) const {
  if (worker == WorkerId("w3")) {
    return kNodeOfZone2;
  }
  return settling_ ? 0 : choice % kNodeOfZone2;
}

void TestCluster::TickNode(std::size_t index) {
  Node& node = nodes_[index];
  Outbox outbox;
  for (auto& [worker, keeper] : node.keepers) {
    keeper->Tick({}, NodeId(), now_, &outbox);
  }
  const bool is_placer = node.is_placer;
  const auto tick = static_cast<std::uint32_t>(absl::ToUnixMillis(now_));
  node.grants->Tick(
      TargetsOf(node), [is_placer](const ModelName&) { return is_placer; },
      [&](const WorkerId& worker) { return nodes_[KeeperNode(worker, tick)].id; }, now_, &outbox);
  Collect(index, &outbox);
}

void TestCluster::Collect(std::size_t index, Outbox* outbox) {
  const std::uint64_t instance = nodes_[index].instance;
  for (OutgoingMessage& outgoing : outbox->messages) {
    const std::size_t to = static_cast<std::size_t>(outgoing.to.value()[1] - '0');
    messages_.push_back({to, index, std::move(outgoing.message)});
  }
  for (EngineCall& call : outbox->engine_calls) {
    engine_calls_.push_back({index, instance, std::move(call)});
  }
  for (PlatformCall& call : outbox->platform_calls) {
    platform_calls_.push_back({index, instance, std::move(call)});
  }
}

void TestCluster::Deliver(const InFlightMessage& message) {
  Node& node = nodes_[message.to];
  Outbox outbox;
  if (const auto* load = std::get_if<LoadRequest>(&message.message)) {
    const auto keeper = node.keepers.find(load->worker.value());
    if (keeper != node.keepers.end()) {
      keeper->second->HandleLoad(*load, now_, &outbox);
    }
  } else if (const auto* revoke = std::get_if<RevokeRequest>(&message.message)) {
    const auto keeper = node.keepers.find(revoke->worker.value());
    if (keeper != node.keepers.end()) {
      outbox.Send(nodes_[message.from].id, keeper->second->HandleRevoke(*revoke, now_, &outbox));
    }
  } else if (const auto* reply = std::get_if<RevokeReply>(&message.message)) {
    node.grants->HandleRevokeReply(*reply, now_);
  }
  Collect(message.to, &outbox);
}

void TestCluster::ApplyEngineCall(const InFlightCall<EngineCall>& call, bool answer) {
  EngineAnswer result{call.call.call, call.call.worker,
                      engines.at(call.call.worker.value()).Apply(call.call)};
  loads_applied += std::holds_alternative<LoadOrder>(call.call.order) && result.result.ok();
  if (answer) {
    engine_answers_.push_back({call.node, call.instance, std::move(result)});
  } else {
    result.result = Error::kAnswerLost;
    engine_answers_.push_back({call.node, call.instance, std::move(result)});
  }
}

void TestCluster::ApplyPlatformCall(const InFlightCall<PlatformCall>& call, bool answer) {
  PlatformAnswer result;
  result.call = call.call.call;
  result.owner = call.call.owner;
  result.value = platform.Commit(std::get<Transaction>(call.call.request));
  if (!answer) {
    result.error = Error::kAnswerLost;
    result.value = std::monostate();
  }
  platform_answers_.push_back({call.node, call.instance, std::move(result)});
  UpdateReplicaLimits();
}

void TestCluster::DeliverAnswer(const InFlightCall<EngineAnswer>& answer) {
  Node& node = nodes_[answer.node];
  const auto keeper = node.keepers.find(answer.call.worker.value());
  if (answer.instance != node.instance || keeper == node.keepers.end()) {
    return;
  }
  Outbox outbox;
  keeper->second->HandleAnswer(answer.call, {}, now_, &outbox);
  Collect(answer.node, &outbox);
}

void TestCluster::DeliverAnswer(const InFlightCall<PlatformAnswer>& answer) {
  Node& node = nodes_[answer.node];
  if (answer.instance == node.instance) {
    node.grants->HandleAnswer(answer.call, now_);
  }
}

void TestCluster::EditRow(std::uint32_t choice) {
  const std::string model = kModels[choice % std::size(kModels)];
  const std::string key = RowKey(ModelName(model));
  const std::uint32_t limit = (choice / 3) % 4;
  if (limit == 0 && platform.Row(model) != nullptr) {
    platform.Delete(key);
  } else {
    ModelRow row = MakeRow(model, limit);
    if ((choice / 12) % 2 == 0) {
      row.weights = {{kZones[0], (choice / 24) % 3}, {kZones[1], (choice / 72) % 3}};
    }
    platform.Put(row, key);
  }
  UpdateReplicaLimits();
}

void TestCluster::RequestLoad(std::uint32_t choice) {
  const Node& node = nodes_[choice % kNodes];
  const ModelName model(kModels[(choice / 3) % std::size(kModels)]);
  const auto record = node.store->FindGrant(model);
  if (record == nullptr || record->slots.empty()) {
    return;
  }
  const GrantSlot& slot = record->slots[(choice / 9) % record->slots.size()];
  if (slot.state == SlotState::kGranted) {
    const LoadRequest request{slot.worker, slot.incarnation, model, slot.generation, 1, 5000};
    messages_.push_back({KeeperNode(slot.worker, choice / 27), choice % kNodes, request});
  }
}

void TestCluster::ToggleRunning(std::uint32_t choice) {
  TestEngine& engine = engines.at(kWorkers[choice % std::size(kWorkers)]);
  if (EngineReplica* replica = engine.Find(kModels[(choice / 3) % std::size(kModels)])) {
    replica->running = 1 - replica->running;
    replica->idle_ms = replica->running > 0 ? 0 : choice % 100000;
  }
}

void TestCluster::Step(std::uint32_t choice) {
  const std::uint32_t action = choice % 64;
  const std::uint32_t detail = choice / 64;
  const bool faulty = options_.faults && (detail >> 16) % 5 == 0;
  if (action < 14) {
    now_ += absl::Milliseconds(detail % 120);
    TickNode(detail % kNodes);
  } else if (action < 22 && !messages_.empty()) {
    Deliver(Pick(&messages_, detail, faulty));
  } else if (action < 34 && !engine_calls_.empty()) {
    ApplyEngineCall(Pick(&engine_calls_, detail, faulty), (detail >> 20) % 5 != 0);
  } else if (action < 44 && !engine_answers_.empty()) {
    DeliverAnswer(Pick(&engine_answers_, detail, faulty));
  } else if (action < 48 && !platform_calls_.empty()) {
    ApplyPlatformCall(Pick(&platform_calls_, detail, faulty), (detail >> 20) % 5 != 0);
  } else if (action < 51 && !platform_answers_.empty()) {
    DeliverAnswer(Pick(&platform_answers_, detail, faulty));
  } else if (action < 54) {
    platform.CopyTo(nodes_[detail % kNodes].store.get());
  } else if (action < 57) {
    engines.at(kWorkers[detail % std::size(kWorkers)])
        .Progress(ModelName(kModels[(detail / 3) % std::size(kModels)]));
  } else if (action < 61) {
    RequestLoad(detail);
  } else if (action == 61) {
    ToggleRunning(detail);
  } else if (action == 62) {
    EditRow(detail);
  } else if (action == 63 && faulty) {
    switch ((detail / 3) % 3) {
      case 0:
        engines.at(kWorkers[detail % std::size(kWorkers)]).Restart();
        break;
      case 1:
        StartNode(detail % kNodes);
        break;
      default:
        leaving_[kWorkers[detail % std::size(kWorkers)]] = (detail / 9) % 2 == 0;
    }
  }
}

void TestCluster::Settle() {
  settling_ = true;
  leaving_.clear();
  nodes_[1].keepers.clear();
  nodes_[1].is_placer = false;
  for (int round = 0; round < kSettleRounds; ++round) {
    now_ += absl::Milliseconds(100);
    for (std::size_t index = 0; index < kNodes; ++index) {
      platform.CopyTo(nodes_[index].store.get());
      TickNode(index);
    }
    while (!messages_.empty()) {
      Deliver(Pick(&messages_, 0, false));
    }
    while (!engine_calls_.empty()) {
      ApplyEngineCall(Pick(&engine_calls_, 0, false), true);
    }
    while (!platform_calls_.empty()) {
      ApplyPlatformCall(Pick(&platform_calls_, 0, false), true);
    }
    while (!engine_answers_.empty()) {
      DeliverAnswer(Pick(&engine_answers_, 0, false));
    }
    while (!platform_answers_.empty()) {
      DeliverAnswer(Pick(&platform_answers_, 0, false));
    }
    for (auto& [worker, engine] : engines) {
      for (const char* model : kModels) {
        engine.Progress(ModelName(model));
      }
    }
  }
}

std::string TestCluster::Unsettled() const {
  for (const Node& node : nodes_) {
    for (const auto& [worker, keeper] : node.keepers) {
      if (keeper->state() != KeeperState::kHolding) {
        return absl::StrCat(node.id.value(), " does not hold ", worker);
      }
      if (keeper->ledger().charged_mib() != engines.at(worker).used_mib()) {
        return absl::StrCat(worker, " is charged ", keeper->ledger().charged_mib(), " MiB, uses ",
                            engines.at(worker).used_mib());
      }
    }
  }
  for (const char* model : kModels) {
    const auto row = platform.Row(model);
    const auto record = platform.Grant(model);
    std::map<ZoneId, std::uint32_t> slots;
    for (const GrantSlot& slot : record == nullptr ? std::vector<GrantSlot>() : record->slots) {
      if (slot.state == SlotState::kRevoking) {
        return absl::StrCat("a slot of ", model, " is still being revoked");
      }
      ++slots[slot.zone];
    }
    const std::uint32_t limit = row == nullptr ? 0 : row->max_replicas;
    std::map<ZoneId, std::uint32_t> quotas;
    if (row != nullptr) {
      quotas = DivideByWeight(*row, limit, kZones);
    }
    const std::uint32_t wanted1 = std::min<std::uint32_t>(quotas[kZones[0]], kWorkersOfZone1);
    const std::uint32_t wanted2 = std::min<std::uint32_t>(quotas[kZones[1]], 1);
    if (slots[kZones[0]] != wanted1 || slots[kZones[1]] != wanted2) {
      return absl::StrCat(model, " has ", slots[kZones[0]], " and ", slots[kZones[1]],
                          " slots, not ", wanted1, " and ", wanted2);
    }
  }
  return "";
}

std::uint32_t TestCluster::LoadedReplicas(const std::string& model) const {
  std::uint32_t count = 0;
  for (const auto& [worker, engine] : engines) {
    count += static_cast<std::uint32_t>(engine.replicas().count(ModelName(model)));
  }
  return count;
}

void TestCluster::UpdateReplicaLimits() {
  for (const char* model : kModels) {
    const auto row = platform.Row(model);
    const auto record = platform.Grant(model);
    const std::uint32_t limit = row == nullptr ? 0 : row->max_replicas;
    const std::uint32_t slots =
        record == nullptr ? 0 : static_cast<std::uint32_t>(record->slots.size());
    replica_limits_[model] = std::max(limit, std::min(replica_limits_[model], slots));
  }
}

std::string TestCluster::Violation() {
  for (const char* model : kModels) {
    if (LoadedReplicas(model) > replica_limits_[model]) {
      return absl::StrCat("I1: ", LoadedReplicas(model), " replicas of ", model, ", allowed ",
                          replica_limits_[model]);
    }
    if (const auto record = platform.Grant(model)) {
      if (options_.check_records && record->slots.size() > replica_limits_[model]) {
        return absl::StrCat("I1: ", record->slots.size(), " slots of ", model, ", allowed ",
                            replica_limits_[model]);
      }
      if (record->next_generation < generations_[model]) {
        return absl::StrCat("the generation of ", model, " went back");
      }
      generations_[model] = record->next_generation;
    }
  }
  for (const auto& [worker, engine] : engines) {
    if (engine.overcommits() > 0) {
      return absl::StrCat("I2: ", worker, " was asked for more memory than it has");
    }
    for (const Node& node : nodes_) {
      const auto keeper = node.keepers.find(worker);
      if (keeper == node.keepers.end() || keeper->second->state() != KeeperState::kHolding) {
        continue;
      }
      const WorkerReport report = keeper->second->Report();
      const EngineStatus status = engine.Status();
      const bool current = report.incarnation == status.incarnation && report.epoch == status.epoch;
      if (options_.check_records && current &&
          engine.used_mib() > keeper->second->ledger().charged_mib()) {
        return absl::StrCat("I2: ", worker, " uses ", engine.used_mib(), " MiB, charged ",
                            keeper->second->ledger().charged_mib());
      }
    }
  }
  return "";
}

}  // namespace hingespan
