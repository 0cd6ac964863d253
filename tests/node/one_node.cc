#include "tests/node/one_node.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hingespan/common/clock.h"
#include "hingespan/node/answer_format.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

constexpr std::uint32_t kMemoryMib = 1000;
constexpr absl::Duration kPoll = absl::Milliseconds(5);

CoreOptions MakeCoreOptions(const OneNodeOptions& options, const std::string& control_address,
                            const std::string& http_address) {
  CoreOptions core;
  core.node = NodeId("n1");
  core.incarnation = NodeIncarnation(1);
  core.zone = ZoneId("z1");
  core.zones = {ZoneId("z1")};
  if (!options.other_zone.empty()) {
    core.zones.push_back(ZoneId("z2"));
  }
  core.control_address = control_address;
  core.http_address = http_address;
  core.machine_list_interval = absl::Milliseconds(50);
  return core;
}

HttpServerOptions MakeServerOptions() {
  HttpServerOptions options;
  options.maximum_body_bytes = 10000;
  options.error_body = HttpErrorBody;
  return options;
}

RequestForwarderOptions MakeForwarderOptions(const OneNodeOptions& options) {
  RequestForwarderOptions forwarder;
  forwarder.cluster_key = options.cluster_key;
  return forwarder;
}

std::vector<NodeMachine> MakeOtherNodes(const OneNodeOptions& options,
                                        const std::string& control_address) {
  std::vector<NodeMachine> nodes;
  for (const std::string& address : options.other_zone) {
    NodeMachine node;
    node.node = NodeId(absl::StrCat("n", nodes.size() + 2));
    node.zone = ZoneId("z2");
    node.http_address = address;
    node.control_address = control_address;
    nodes.push_back(std::move(node));
  }
  return nodes;
}

}  // namespace

void MemoryTable::PutRow(const ModelRow& row) {
  absl::MutexLock lock(&mutex_);
  latest_ = latest_.Next();
  values_[RowKey(row.name)] = {RowKey(row.name), latest_, EncodeRecord(row)};
}

StoredValue MemoryTable::Find(const std::string& key) const {
  const auto found = values_.find(key);
  return found == values_.end() ? StoredValue{key, TableRevision(), std::nullopt} : found->second;
}

Result<TransactionResult> MemoryTable::Commit(const Transaction& transaction, absl::Duration) {
  absl::MutexLock lock(&mutex_);
  TransactionResult result;
  for (const Precondition& precondition : transaction.preconditions) {
    const StoredValue present = Find(precondition.key);
    const TableRevision revision = present.value ? present.revision : TableRevision();
    if (revision != precondition.revision) {
      result.conflicting.push_back(present);
    }
  }
  if (!result.conflicting.empty()) {
    return result;
  }
  latest_ = latest_.Next();
  for (const Write& write : transaction.writes) {
    values_[write.key] = {write.key, latest_, write.value};
  }
  result.committed = true;
  result.revision = latest_;
  return result;
}

Result<StoredValue> MemoryTable::Read(const std::string& key, absl::Duration) {
  absl::MutexLock lock(&mutex_);
  return Find(key);
}

Result<ValueChangePage> MemoryTable::ReadChanges(TableRevision after, int, absl::Duration) {
  absl::MutexLock lock(&mutex_);
  ValueChangePage page;
  for (const auto& [key, value] : values_) {
    const bool replicated = key.rfind(kKeyPrefix, 0) != 0;
    if (replicated && value.revision > after) {
      page.changes.push_back(value);
    }
  }
  const auto older = [](const StoredValue& left, const StoredValue& right) {
    return left.revision < right.revision;
  };
  std::stable_sort(page.changes.begin(), page.changes.end(), older);
  page.through = latest_;
  page.latest = latest_;
  return page;
}

Result<std::vector<StoredValue>> MemoryTable::ReadHistory(const std::string&, int, absl::Duration) {
  return std::vector<StoredValue>();
}

Result<MachineListing> SingleWorkerMachineList::Read(const ZoneId& zone, absl::Duration) {
  absl::MutexLock lock(&mutex_);
  MachineListing listing;
  listing.nodes = other_nodes;
  listing.workers.push_back({WorkerId("w1"), zone, "http://w1", worker_state_});
  return listing;
}

Result<bool> SingleWorkerMachineList::Announce(const NodeMachine&, absl::Duration) { return true; }

Result<bool> SingleWorkerMachineList::AnnounceWorker(const WorkerId& worker, MachineState state,
                                                     absl::Duration) {
  if (announce_error != Error::kOk) {
    return announce_error;
  }
  if (worker != WorkerId("w1")) {
    return Error::kNotFound;
  }
  absl::MutexLock lock(&mutex_);
  worker_state_ = state;
  return true;
}

void TestEngine::SetGenerate(GenerateFunction generate) {
  absl::MutexLock lock(&mutex_);
  generate_ = std::move(generate);
}

Result<EngineStatus> TestEngine::Fence(const std::string&, WorkerIncarnation, KeeperEpoch epoch,
                                       absl::Duration) {
  absl::MutexLock lock(&mutex_);
  status_.incarnation = WorkerIncarnation(1);
  status_.epoch = epoch;
  status_.role = "both";
  status_.memory_mib = kMemoryMib;
  return status_;
}

Result<EngineStatus> TestEngine::Status(const std::string&, absl::Duration) {
  absl::MutexLock lock(&mutex_);
  return status_;
}

Result<EngineStatus> TestEngine::Load(const std::string&, const LoadOrder& order, absl::Duration) {
  absl::MutexLock lock(&mutex_);
  EngineReplica replica;
  replica.model = order.model;
  replica.generation = order.fence.generation;
  replica.state = ReplicaState::kReady;
  replica.memory_mib = order.memory_mib;
  status_.replicas = {replica};
  status_.memory_used_mib = order.memory_mib;
  return status_;
}

Result<EngineStatus> TestEngine::Unload(const std::string&, const UnloadOrder&, absl::Duration) {
  absl::MutexLock lock(&mutex_);
  status_.replicas.clear();
  status_.memory_used_mib = 0;
  return status_;
}

GenerationResult TestEngine::Generate(const std::string&, const GenerationRequest& request,
                                      absl::Time deadline, const ChunkSink& sink) {
  GenerateFunction generate;
  {
    absl::MutexLock lock(&mutex_);
    generate = generate_;
  }
  return generate(request, deadline, sink);
}

GenerationResult TestEngine::AnswerTwoTokens(const GenerationRequest&, absl::Time,
                                             const ChunkSink& sink) {
  GenerationChunk last;
  last.sequence = 3;
  last.last = true;
  last.finish_reason = "stop";
  last.prompt_tokens = 5;
  last.completion_tokens = 2;
  const bool taken = sink({1, "one "}) && sink({2, "two"}) && sink(last);
  const auto outcome = taken ? GenerationOutcome::kComplete : GenerationOutcome::kCancelled;
  return {outcome, {}, 3};
}

OneNode::OneNode(const OneNodeOptions& options)
    : transport_(UdpTransportOptions()),
      silent_transport_(UdpTransportOptions()),
      server_(MakeServerOptions()),
      forwarder_(MakeForwarderOptions(options)) {
  ModelRow row;
  row.name = ModelName("m");
  row.memory_mib = kMemoryMib / 2;
  row.max_wait_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(options.row_wait));
  if (!options.other_zone.empty()) {
    row.weights = {{ZoneId("z2"), 1}};
  }
  table_.PutRow(row);
  machines_.other_nodes = MakeOtherNodes(options, *silent_transport_.Bind());
  const std::string control_address = *transport_.Bind();
  address_ = *server_.Bind("127.0.0.1:0");
  driver_ = std::make_unique<CoreDriver>(
      MakeCoreOptions(options, control_address, address_), CoreDriverOptions(),
      CoreDriverParts{&engine_, &table_, &machines_, &transport_});
  CallerFrontEndOptions caller_options;
  caller_options.node = NodeId("n1");
  caller_options.incarnation = NodeIncarnation(1);
  caller_options.caller_key = options.caller_key;
  caller_options.cluster_key = options.cluster_key;
  caller_options.maximum_body_bytes = 10000;
  callers_ = std::make_unique<CallerFrontEnd>(
      caller_options, SessionParts{driver_.get(), &engine_, &forwarder_, &metrics_},
      NodeMetricsSources{driver_.get(), &transport_, &server_});
  AdminFrontEndOptions admin_options;
  admin_options.operator_key = options.operator_key;
  admin_options.begin_stop = [this] { ++stops_begun; };
  admin_options.machines = &machines_;
  admin_ = std::make_unique<AdminFrontEnd>(admin_options, driver_.get());
  callers_->AddRoutes(&server_.routes());
  admin_->AddRoutes(&server_.routes());
  driver_->Start();
  server_.Start();
  WaitUntil([this](const NodeCore& core) {
    const auto grant = core.store().FindGrant(ModelName("m"));
    const bool granted = grant != nullptr && !grant->slots.empty();
    return core.Ready() && (granted || KnowsOtherNodes(core));
  });
}

bool OneNode::KnowsOtherNodes(const NodeCore& core) const {
  const std::vector<NodeMachine>& others = machines_.other_nodes;
  const auto known = [&core](const NodeMachine& node) {
    return !core.AddressOf(node.node).empty();
  };
  return !others.empty() && std::all_of(others.begin(), others.end(), known);
}

OneNode::~OneNode() {
  server_.Stop(absl::ZeroDuration());
  driver_->Stop();
}

bool OneNode::WaitUntil(const std::function<bool(const NodeCore&)>& holds) {
  const absl::Time until = SystemClock().Now() + kTestLimit;
  while (SystemClock().Now() < until) {
    bool held = false;
    driver_->Inspect([&](const NodeCore& core, absl::Time) { held = holds(core); });
    if (held) {
      return true;
    }
    absl::SleepFor(kPoll);
  }
  return false;
}

}  // namespace hingespan
