// Actions that a state machine requests. A step takes (state, event, now) and appends to an Outbox.
// The driver (daemon, hollow node or test) carries the actions out and returns the answers as
// events.
#ifndef HINGESPAN_TRANSPORT_OUTBOX_H_
#define HINGESPAN_TRANSPORT_OUTBOX_H_

#include <string>
#include <variant>
#include <vector>

#include "hingespan/backing/table_service.h"
#include "hingespan/common/ids.h"
#include "hingespan/engine/engine_client.h"
#include "hingespan/transport/message.h"

namespace hingespan {

// Message to a node of any zone by id, whose address the driver knows, or to `address` if that is
// not empty.
struct OutgoingMessage {
  NodeId to;
  std::string address;
  Message message;
};

// State machine that issued a call, so that the driver can return the answer to it. kClaims is
// ClaimOwner, kClaimant is Claimant. Each numbers its calls independently.
enum class CallOwner { kKeeper, kGrants, kClaims, kClaimant, kRecords, kMachines };

struct FenceCall {
  KeeperEpoch epoch;
  WorkerIncarnation incarnation;
};
struct StatusCall {};
// Call to the engine of `worker`. Answered by EngineAnswer with the same `call`.
struct EngineCall {
  std::uint64_t call = 0;
  WorkerId worker;
  std::string base_url;
  std::variant<FenceCall, StatusCall, LoadOrder, UnloadOrder> order;
};

struct EngineAnswer {
  std::uint64_t call = 0;
  WorkerId worker;
  Result<EngineStatus> result = Error::kInternal;
};

struct ReadChangesCall {
  TableRevision after;
};
struct ReadMachinesCall {};
struct ReadCall {
  std::string key;
};
// Call to the platform. Answered by PlatformAnswer with the same `call` and `owner`.
struct PlatformCall {
  std::uint64_t call = 0;
  CallOwner owner = CallOwner::kGrants;
  std::variant<Transaction, ReadChangesCall, ReadMachinesCall, ReadCall> request;
};

struct PlatformAnswer {
  std::uint64_t call = 0;
  CallOwner owner = CallOwner::kGrants;
  // The error; or kOk, with the alternative of `value` that matches the request.
  std::error_code error;
  std::variant<std::monostate, TransactionResult, ValueChangePage, MachineListing, StoredValue>
      value;
};

struct Outbox {
  std::vector<OutgoingMessage> messages;
  std::vector<EngineCall> engine_calls;
  std::vector<PlatformCall> platform_calls;

  void Send(NodeId to, Message message) {
    messages.push_back({std::move(to), std::string(), std::move(message)});
  }
  void SendToAddress(std::string address, Message message) {
    messages.push_back({NodeId(), std::move(address), std::move(message)});
  }
};

}  // namespace hingespan

#endif  // HINGESPAN_TRANSPORT_OUTBOX_H_
