// Messages between nodes about demand, replicas, streams, crashes and slots, and their encoding.
#ifndef HINGESPAN_FLEET_FLEET_MESSAGES_H_
#define HINGESPAN_FLEET_FLEET_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "hingespan/serving/crashing_requests.h"
#include "hingespan/serving/slot_ledger.h"
#include "hingespan/serving/stream_source.h"

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

// Requests queued at one node that go on with a stream, and so need a replica at a worker of this
// software version. They are counted in ModelDemand::waiting too.
struct BoundDemand {
  std::string service;
  std::string software_version;
  std::string model;
  std::string adapter;
  int waiting = 0;
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
  std::vector<BoundDemand> bound;
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
  // Number of the report of each node that `loads` includes; absent from an earlier release.
  std::optional<std::map<std::string, std::uint64_t>> reports;
};

// Sent by the node that has begun a stream to the holders of its record.
struct StreamNotice {
  std::string stream_id;
  StreamSource source;
  // Milliseconds for which the record is kept.
  int lifetime_ms = 0;
};

// Asks a possible holder for the record of a stream.
struct StreamQuestion {
  std::string stream_id;
  // Service that the stream belongs to; empty if there may be several.
  std::string service;
  // Address to which the reply is sent.
  std::string reply_address;
  std::uint64_t number = 0;
};

struct StreamReply {
  // Stream and number of the question; both, as a process that has restarted counts anew.
  std::string stream_id;
  std::uint64_t number = 0;
  // Name of the replying node.
  std::string node;
  // Absent if the node has no record.
  std::optional<StreamSource> source;
  // Software versions of the service that the node knows of; empty if it has not heard of any.
  std::set<std::string> versions;
};

// Tells the other nodes that a worker has crashed while it ran requests of this node. A crash with
// many parts or requests is told in several pieces (CrashPieces).
struct CrashNotice {
  std::string worker_id;
  std::string service;
  // Shared parts of the prompts that it had not begun to answer.
  std::set<std::string> parts;
  std::string reply_address;
  // Requests that ended with it, and that their callers may send again.
  std::set<RequestContent> requests;
  // Number of this piece, and of all.
  int piece = 0;
  int pieces = 1;
};

// Tells the other nodes that a worker of an earlier CrashNotice has not crashed.
struct CrashRetraction {
  std::string worker_id;
};

// Tells the sender of a CrashNotice, or all nodes, that requests with this content were served.
struct ServedRequests {
  std::set<RequestContent> requests;
  // True if all nodes are told, so that the receiver tells none.
  bool to_all = false;
};

// Tells the other nodes which prompt parts are quarantined.
struct QuarantineNotice {
  std::string service;
  std::set<std::string> parts;
  std::set<std::string> workers;
  // Milliseconds since the first of the crashes.
  int since_ms = 0;
  // Milliseconds after which a node of an earlier release ends the quarantine.
  int lifetime_ms = 60'000;
  std::string reply_address;
  // True while the crashes may have had a common cause outside the prompts.
  bool provisional = false;
  // Names the quarantine in the fleet's record.
  std::string id;
};

// Tells the sender of a quarantine, or all nodes, that prompts with these parts were answered
// meanwhile.
struct ClearedParts {
  std::string service;
  std::set<std::string> parts;
  // True if all nodes are told, so that the receiver tells none.
  bool to_all = false;
};

// Sent by a node that has just started, to learn of the quarantines.
struct QuarantineQuestion {
  std::string reply_address;
};

// Answers a node's SlotRequest, and tells it later that a slot was lent to it.
struct SlotReply {
  std::string worker_id;
  // Number of the request.
  std::uint64_t number = 0;
  bool lent = false;
};

// Sent by a node that begins to lend a worker's slots to those that may have lent them before.
struct SlotTakeover {
  std::string worker_id;
  // Address of the new lender.
  std::string address;
};

// Tells the other nodes that the workers of a service are brittle.
struct BrittleNotice {
  std::string service;
  int survived_rejections = 0;
};

// Asks a node whether it lives.
struct NodeProbe {
  std::string reply_address;
};

struct NodeProbeReply {
  std::string node;
};

using FleetMessage =
    std::variant<DemandReport, PlacementUpdate, StreamNotice, StreamQuestion, StreamReply,
                 CrashNotice, QuarantineNotice, ClearedParts, QuarantineQuestion, SlotRequest,
                 SlotReply, SlotTakeover, CrashRetraction, ServedRequests, BrittleNotice, NodeProbe,
                 NodeProbeReply>;

// Encodes the message as CBOR.
std::string EncodeFleetMessage(const FleetMessage& message);
// Returns std::nullopt if the bytes are not a valid message.
std::optional<FleetMessage> DecodeFleetMessage(absl::string_view bytes);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_FLEET_MESSAGES_H_
