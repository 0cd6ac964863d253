// Test fixture with one worker's keeper, its engine, its records and one peer.
#ifndef HINGESPAN_TESTS_PLACEMENT_KEEPER_RIG_H_
#define HINGESPAN_TESTS_PLACEMENT_KEEPER_RIG_H_

#include <string>
#include <utility>
#include <vector>

#include "hingespan/placement/worker_keeper.h"
#include "tests/placement/test_engine.h"

namespace hingespan {

inline const WorkerId kWorker("w");
inline const NodeId kPeer("peer");
inline const NodeId kPermitHolder("permits");

inline KeeperOptions EagerOptions() {
  KeeperOptions options;
  options.keep_warm.mode = KeepWarmMode::kAlways;
  options.minimum_residence = absl::ZeroDuration();
  return options;
}

struct Rig {
  RecordStore store;
  TestEngine engine{100};
  absl::Time now = absl::UnixEpoch();
  WorkerKeeper keeper;
  Outbox outbox;
  std::vector<RecordChange> records;

  explicit Rig(KeeperOptions options = EagerOptions())
      : keeper(NodeId("n"), WorkerMachine{kWorker, ZoneId("z"), "http://e"}, options, &store) {}

  // Adds a row with a granted slot at the worker's first incarnation.
  void AddModel(const std::string& name, std::uint32_t memory_mib, const std::string& base = "",
                std::uint32_t min_replicas = 0) {
    ModelRow row;
    row.name = ModelName(name);
    row.memory_mib = memory_mib;
    row.min_replicas = min_replicas;
    if (!base.empty()) {
      row.kind = RowKind::kAdapter;
      row.base = ModelName(base);
    }
    GrantRecord grant;
    grant.model = row.name;
    grant.slots = {{kWorker, WorkerIncarnation(1), ZoneId("z"), GrantGeneration(5)}};
    const TableRevision next = store.revision().Next();
    store.Apply(store.revision(), next,
                {{RowKey(row.name), next, row}, {GrantKey(row.name), next, grant}});
  }
  void Tick(absl::Duration after = absl::Milliseconds(100)) {
    now += after;
    keeper.Tick({kPeer}, kPermitHolder, now, &outbox);
  }
  std::vector<EngineCall> TakeCalls() { return std::exchange(outbox.engine_calls, {}); }
  void Answer(const EngineCall& call, Result<EngineStatus> result) {
    keeper.HandleAnswer({call.call, kWorker, std::move(result)}, {kPeer}, now, &outbox);
  }
  // Runs with a reliable network. Loads and drains end after each round.
  void Run(int rounds = 3) {
    for (int round = 0; round < rounds; ++round) {
      Tick();
      for (std::vector<EngineCall> calls = TakeCalls(); !calls.empty(); calls = TakeCalls()) {
        for (const EngineCall& call : calls) {
          Answer(call, engine.Apply(call));
        }
      }
      const std::map<ModelName, EngineReplica> replicas = engine.replicas();
      for (const auto& [model, replica] : replicas) {
        engine.Progress(model);
      }
    }
  }
  LoadReply Load(const std::string& model, std::uint64_t generation = 5,
                 std::uint64_t incarnation = 1) {
    return keeper.HandleLoad({kWorker, WorkerIncarnation(incarnation), ModelName(model),
                              GrantGeneration(generation), 1, 5000},
                             now, &outbox);
  }
  bool Revoke(const std::string& model, std::uint64_t generation, std::uint64_t incarnation = 1) {
    return keeper
        .HandleRevoke({kWorker, WorkerIncarnation(incarnation), ModelName(model),
                       GrantGeneration(generation)},
                      now, &outbox)
        .confirmed;
  }
  // Returns the sent messages of type T and discards all others.
  template <typename T>
  std::vector<T> TakeSent() {
    std::vector<T> sent;
    for (const OutgoingMessage& outgoing : std::exchange(outbox.messages, {})) {
      if (const auto* message = std::get_if<T>(&outgoing.message)) {
        sent.push_back(*message);
      }
    }
    return sent;
  }
  std::vector<ReplicaUpdate> SentUpdates() const {
    std::vector<ReplicaUpdate> updates;
    for (const OutgoingMessage& outgoing : outbox.messages) {
      if (const auto* update = std::get_if<ReplicaUpdate>(&outgoing.message)) {
        updates.push_back(*update);
      }
    }
    return updates;
  }
};

template <typename T>
std::vector<EngineCall> Only(const std::vector<EngineCall>& calls) {
  std::vector<EngineCall> matching;
  for (const EngineCall& call : calls) {
    if (std::holds_alternative<T>(call.order)) {
      matching.push_back(call);
    }
  }
  return matching;
}

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_PLACEMENT_KEEPER_RIG_H_
