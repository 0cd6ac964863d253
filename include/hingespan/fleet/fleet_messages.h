// Messages between nodes about demand and replicas, and their compact form.
#ifndef HINGESPAN_FLEET_FLEET_MESSAGES_H_
#define HINGESPAN_FLEET_FLEET_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"

namespace hingespan::gateway {

// What one node's callers ask of one model or adapter.
struct ModelDemand {
  std::string service;
  std::string model;
  std::string adapter;
  // Requests held at the node for want of a replica with room.
  int waiting = 0;
  // Requests running at workers.
  int running = 0;
  // Requests that came since the node's last report, and the tokens of their prompts.
  int arrived = 0;
  int arrived_tokens = 0;
};

// Requests for one model, its adapters included, that run at a worker.
struct RunningModel {
  std::string model;
  int running = 0;
};

// What one node runs at one worker.
struct WorkerLoad {
  std::string worker_id;
  int running = 0;
  // Prompt tokens sent there that have not begun to be answered.
  int unread_tokens = 0;
  // Only in reports to the holder.
  std::vector<RunningModel> models;
};

// From a node to the holder of the placement lease.
struct DemandReport {
  std::string node;
  std::uint64_t incarnation = 0;
  // Rises with each report of the process.
  std::uint64_t number = 0;
  std::vector<ModelDemand> demands;
  std::vector<WorkerLoad> loads;
  // Workers that this node could not reach lately, or whose address another worker has.
  std::vector<std::string> unreachable;
};

enum class ReplicaState { kReady, kLoading, kLeaving };

struct ReplicaNews {
  std::string worker_id;
  std::string model;
  std::string adapter;
  ReplicaState state = ReplicaState::kReady;
  // Of a loading replica: until it is expected to be ready.
  int expected_in_ms = 0;
};

// From the holder to all nodes: replicas, before the workers' own records tell of them, and what
// all nodes together run at the workers.
struct PlacementNews {
  std::string holder;
  // Where the holder takes demand reports.
  std::string address;
  std::uint64_t token = 0;
  std::uint64_t number = 0;
  std::vector<ReplicaNews> replicas;
  // All workers with load; absent: these news don't tell.
  std::optional<std::vector<WorkerLoad>> loads;
};

using FleetMessage = std::variant<DemandReport, PlacementNews>;

// CBOR.
std::string EncodeFleetMessage(const FleetMessage& message);
// Absent when the bytes are no such message.
std::optional<FleetMessage> DecodeFleetMessage(absl::string_view bytes);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_FLEET_MESSAGES_H_
