// What a state machine wants done. A step takes (state, event, now) and appends to an Outbox; the
// driver (daemon, hollow node or test) carries it out and feeds answers back as events.
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

// Send to a node of any zone by id (the driver knows its address), or to `address` when not empty.
struct OutgoingMessage {
  NodeId to;
  std::string address;
  Message message;
};

// Which state machine asked, so that the driver can hand the answer back.
// kClaims: ClaimOwner; kClaimant: Claimant. Each numbers its calls by itself.
enum class CallOwner { kKeeper, kGrants, kClaims, kClaimant, kRecords, kMachines };

struct FenceCall {
  KeeperEpoch epoch;
  WorkerIncarnation incarnation;
};
struct StatusCall {};
// A call to the engine of `worker`. Answered by EngineAnswer with the same `call`.
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
// A call to the platform. Answered by PlatformAnswer with the same `call` and `owner`.
struct PlatformCall {
  std::uint64_t call = 0;
  CallOwner owner = CallOwner::kGrants;
  std::variant<Transaction, ReadChangesCall, ReadMachinesCall, ReadCall> request;
};

struct PlatformAnswer {
  std::uint64_t call = 0;
  CallOwner owner = CallOwner::kGrants;
  // kOk with the alternative that fits the request, or the error.
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
