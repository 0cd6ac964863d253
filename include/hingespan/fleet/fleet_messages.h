// Messages between nodes about demand and replicas, and their encoding.
#ifndef HINGESPAN_FLEET_FLEET_MESSAGES_H_
#define HINGESPAN_FLEET_FLEET_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"

namespace hingespan::gateway {

// Demand of one node's callers for one model or adapter.
struct ModelDemand {
  std::string service;
  std::string model;
  std::string adapter;
  // Requests queued at the node because no replica has a free slot.
  int waiting = 0;
  // Requests running at workers.
  int running = 0;
  // Requests that arrived since the node's last report, and the tokens of their prompts.
  int arrived = 0;
  int arrived_tokens = 0;
};

// Requests for one model, its adapters included, that run at a worker.
struct RunningModel {
  std::string model;
  int running = 0;
};

// Load of one node at one worker.
struct WorkerLoad {
  std::string worker_id;
  int running = 0;
  // Prompt tokens sent to the worker for which no answer has started.
  int unread_tokens = 0;
  // Set only in reports to the holder.
  std::vector<RunningModel> models;
};

// Report from a node to the holder of the placement lease.
struct DemandReport {
  std::string node;
  std::uint64_t incarnation = 0;
  // Sequence number; increases with each report of the process.
  std::uint64_t number = 0;
  std::vector<ModelDemand> demands;
  std::vector<WorkerLoad> loads;
  // Workers that this node could not reach recently, or whose address is now used by another
  // worker.
  std::vector<std::string> unreachable;
};

enum class ReplicaState { kReady, kLoading, kLeaving };

struct ReplicaUpdate {
  std::string worker_id;
  std::string model;
  std::string adapter;
  ReplicaState state = ReplicaState::kReady;
  // Milliseconds until a loading replica is expected to be ready.
  int expected_in_ms = 0;
};

// Update from the holder to all nodes. Carries replica changes before the workers' records show
// them, and the load of all nodes together at the workers.
struct PlacementUpdate {
  std::string holder;
  // Address at which the holder receives demand reports.
  std::string address;
  std::uint64_t token = 0;
  std::uint64_t number = 0;
  std::vector<ReplicaUpdate> replicas;
  // All workers with load; absent if this update carries no loads.
  std::optional<std::vector<WorkerLoad>> loads;
};

using FleetMessage = std::variant<DemandReport, PlacementUpdate>;

// Encodes the message as CBOR.
std::string EncodeFleetMessage(const FleetMessage& message);
// Returns std::nullopt if the bytes are not a valid message.
std::optional<FleetMessage> DecodeFleetMessage(absl::string_view bytes);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_FLEET_MESSAGES_H_
