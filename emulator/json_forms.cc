#include "emulator/json_forms.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "hingespan/backing/machine_state_name.h"
#include "hingespan/engine/replica_state_name.h"

namespace hingespan::emulator {
namespace {

using nlohmann::json;

json ValueOrNull(const std::optional<std::string>& value) {
  return value.has_value() ? json(*value) : json(nullptr);
}

std::string_view TierName(CacheTier tier) {
  switch (tier) {
    case CacheTier::kMemory:
      return "memory";
    case CacheTier::kDisk:
      return "disk";
    case CacheTier::kRemote:
      return "remote";
  }
  return "unknown";
}

json ToJson(const EngineReplica& replica) {
  return json{{"model", replica.model.value()},
              {"generation", replica.generation.value()},
              {"state", ReplicaStateName(replica.state)},
              {"memory_mib", replica.memory_mib},
              {"running", replica.running},
              {"idle_ms", replica.idle_ms}};
}

// Reads a value with `read`, which may throw exceptions of the JSON library.
template <typename T, typename Read>
Result<T> ReadJson(const std::string& text, Read read) {
  try {
    return read(json::parse(text));
  } catch (const json::exception&) {
    return Error::kMalformed;
  }
}

template <typename Id>
Id ReadCounter(const json& object, const char* key) {
  return Id(object.at(key).get<std::uint64_t>());
}

OrderFence ReadOrderFence(const json& order) {
  const json& fields = order.at("fence");
  OrderFence fence;
  fence.incarnation = ReadCounter<WorkerIncarnation>(fields, "incarnation");
  fence.epoch = ReadCounter<KeeperEpoch>(fields, "epoch");
  fence.sequence = ReadCounter<OrderSequence>(fields, "sequence");
  fence.generation = GrantGeneration(fields.value("generation", std::uint64_t{0}));
  return fence;
}

}  // namespace

json ToJson(const StoredValue& stored) {
  return json{{"key", stored.key},
              {"revision", stored.revision.value()},
              {"value", ValueOrNull(stored.value)}};
}

json ToJson(const std::vector<StoredValue>& values) {
  json list = json::array();
  for (const StoredValue& value : values) {
    list.push_back(ToJson(value));
  }
  return list;
}

json ToJson(const TransactionResult& result) {
  json answer{{"committed", result.committed}, {"revision", result.revision.value()}};
  if (!result.committed) {
    answer["conflicting"] = ToJson(result.conflicting);
  }
  return answer;
}

json ToJson(const ValueChangePage& page) {
  return json{{"changes", ToJson(page.changes)},
              {"through", page.through.value()},
              {"latest", page.latest.value()}};
}

json ToJson(const NodeMachine& node) {
  return json{{"node", node.node.value()},
              {"zone", node.zone.value()},
              {"http_address", node.http_address},
              {"control_address", node.control_address},
              {"state", MachineStateName(node.state)}};
}

json ToJson(const MachineListing& listing) {
  json nodes = json::array();
  for (const NodeMachine& node : listing.nodes) {
    nodes.push_back(ToJson(node));
  }
  json workers = json::array();
  for (const WorkerMachine& worker : listing.workers) {
    workers.push_back(json{{"worker", worker.worker.value()},
                           {"zone", worker.zone.value()},
                           {"base_url", worker.base_url},
                           {"state", MachineStateName(worker.state)}});
  }
  return json{{"nodes", std::move(nodes)}, {"workers", std::move(workers)}};
}

json ToJson(const EngineStatus& status) {
  json replicas = json::array();
  for (const EngineReplica& replica : status.replicas) {
    replicas.push_back(ToJson(replica));
  }
  json cached = json::array();
  for (const CachedCheckpoint& checkpoint : status.cached) {
    cached.push_back(
        json{{"checkpoint", checkpoint.checkpoint}, {"tier", TierName(checkpoint.tier)}});
  }
  return json{{"incarnation", status.incarnation.value()},
              {"epoch", status.epoch.value()},
              {"role", status.role},
              {"memory_mib", status.memory_mib},
              {"memory_used_mib", status.memory_used_mib},
              {"running", status.running},
              {"queued", status.queued},
              {"replicas", std::move(replicas)},
              {"cached", std::move(cached)}};
}

json ToJson(const GenerationChunk& chunk) {
  json line{{"sequence", chunk.sequence}, {"text", chunk.text}};
  if (chunk.last) {
    line["last"] = true;
    line["finish_reason"] = chunk.finish_reason;
    line["prompt_tokens"] = chunk.prompt_tokens;
    line["completion_tokens"] = chunk.completion_tokens;
  }
  return line;
}

json ToJson(const PrefixEvent& event) {
  return json{{"sequence", event.sequence},
              {"model", event.model.value()},
              {"prefix", event.prefix},
              {"action", event.action == PrefixAction::kStored ? "stored" : "removed"}};
}

json ToJson(const LogEntry& entry) {
  json line{{"sequence", entry.sequence},
            {"at_ms", absl::ToUnixMillis(entry.at)},
            {"worker", entry.worker.value()},
            {"incarnation", entry.incarnation.value()},
            {"event", EngineEventName(entry.event)},
            {"epoch", entry.epoch.value()},
            {"memory_used_mib", entry.memory_used_mib}};
  if (!entry.model.empty()) {
    line["model"] = entry.model.value();
    line["generation"] = entry.generation.value();
    line["replicas_of_model"] = entry.replicas_of_model;
  }
  if (!entry.request.empty()) {
    line["request"] = entry.request.value();
  }
  if (!entry.key.empty()) {
    line["key"] = entry.key.value();
  }
  if (!entry.reason.empty()) {
    line["reason"] = entry.reason;
  }
  if (!entry.outcome.empty()) {
    line["outcome"] = entry.outcome;
  }
  return line;
}

json ToJson(const LogTotals& log, const FleetTotals& fleet) {
  json maximum_replicas = json::object();
  for (const auto& [model, count] : log.maximum_replicas) {
    maximum_replicas[model.value()] = count;
  }
  json runs = json::object();
  for (const auto& [request, count] : log.runs) {
    runs[request.value()] = count;
  }
  json runs_by_key = json::object();
  for (const auto& [key, count] : log.runs_by_key) {
    runs_by_key[key.value()] = count;
  }
  return json{{"overcommits", log.overcommits},
              {"loads_begun", log.loads_begun},
              {"maximum_replicas", std::move(maximum_replicas)},
              {"runs", std::move(runs)},
              {"runs_by_key", std::move(runs_by_key)},
              {"idle_mib_seconds", fleet.memory_use.idle_mib_seconds},
              {"busy_mib_seconds", fleet.memory_use.busy_mib_seconds},
              {"loading_mib_seconds", fleet.memory_use.loading_mib_seconds},
              {"weight_store_peak_concurrency", fleet.weight_store_peak_concurrency}};
}

Result<Transaction> ReadTransaction(const std::string& text) {
  return ReadJson<Transaction>(text, [](const json& body) {
    Transaction transaction;
    for (const json& item : body.value("preconditions", json::array())) {
      transaction.preconditions.push_back(
          {item.at("key").get<std::string>(), ReadCounter<TableRevision>(item, "revision")});
    }
    for (const json& item : body.value("writes", json::array())) {
      Write write{item.at("key").get<std::string>(), std::nullopt};
      const json& value = item.at("value");
      if (!value.is_null()) {
        write.value = value.get<std::string>();
      }
      transaction.writes.push_back(std::move(write));
    }
    return transaction;
  });
}

Result<NodeMachine> ReadNodeMachine(const std::string& text) {
  return ReadJson<NodeMachine>(text, [](const json& body) {
    NodeMachine node;
    node.node = NodeId(body.at("node").get<std::string>());
    node.zone = ZoneId(body.at("zone").get<std::string>());
    node.http_address = body.at("http_address").get<std::string>();
    node.control_address = body.at("control_address").get<std::string>();
    node.state =
        ParseMachineState(body.value("state", std::string("live"))).value_or(MachineState::kLive);
    return node;
  });
}

Result<WorkerAnnouncement> ReadWorkerAnnouncement(const std::string& text) {
  std::optional<MachineState> state;
  Result<WorkerAnnouncement> announcement =
      ReadJson<WorkerAnnouncement>(text, [&state](const json& body) {
        state = ParseMachineState(body.at("state").get<std::string>());
        return WorkerAnnouncement{WorkerId(body.at("worker").get<std::string>()),
                                  state.value_or(MachineState::kLive)};
      });
  if (announcement.ok() && !state.has_value()) {
    return Error::kMalformed;
  }
  return announcement;
}

Result<OrderFence> ReadFence(const std::string& text) {
  return ReadJson<OrderFence>(text, [](const json& body) {
    OrderFence fence;
    fence.incarnation = ReadCounter<WorkerIncarnation>(body, "incarnation");
    fence.epoch = ReadCounter<KeeperEpoch>(body, "epoch");
    return fence;
  });
}

Result<LoadOrder> ReadLoadOrder(const std::string& text) {
  return ReadJson<LoadOrder>(text, [](const json& body) {
    LoadOrder order;
    order.fence = ReadOrderFence(body);
    order.model = ModelName(body.at("model").get<std::string>());
    order.base = ModelName(body.value("base", std::string()));
    order.checkpoint = body.value("checkpoint", std::string());
    order.memory_mib = body.at("memory_mib").get<std::uint32_t>();
    return order;
  });
}

Result<UnloadOrder> ReadUnloadOrder(const std::string& text) {
  return ReadJson<UnloadOrder>(text, [](const json& body) {
    UnloadOrder order;
    order.fence = ReadOrderFence(body);
    order.model = ModelName(body.at("model").get<std::string>());
    return order;
  });
}

Result<RoleOrder> ReadRoleOrder(const std::string& text) {
  return ReadJson<RoleOrder>(text, [](const json& body) {
    return RoleOrder{ReadOrderFence(body), body.at("role").get<std::string>()};
  });
}

Result<GenerationRequest> ReadGenerationRequest(const std::string& text) {
  return ReadJson<GenerationRequest>(text, [](const json& body) {
    GenerationRequest request;
    request.request = RequestId(body.at("request").get<std::string>());
    request.model = ModelName(body.at("model").get<std::string>());
    request.kind = body.value("kind", std::string());
    request.body = body.value("body", std::string());
    request.priority = body.value("priority", 0);
    request.incarnation = WorkerIncarnation(body.value("incarnation", std::uint64_t{0}));
    return request;
  });
}

std::optional<MachineState> ParseMachineState(const std::string& name) {
  for (const MachineState state :
       {MachineState::kLive, MachineState::kLeaving, MachineState::kGone}) {
    if (name == MachineStateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace hingespan::emulator
