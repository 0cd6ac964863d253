#include "hingespan/fleet/slot_lender.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hingespan::gateway {
namespace {

// Datagrams of a takeover, and how long the former lender passes requests on.
constexpr int kTakeoverRounds = 3;
constexpr absl::Duration kTakeoverInterval = absl::Milliseconds(60);
constexpr absl::Duration kPassOnTime = absl::Seconds(10);

}  // namespace

SlotLender::SlotLender(std::string node, SlotLenderParts parts)
    : node_(std::move(node)), parts_(std::move(parts)) {}

void SlotLender::SetNodes(const std::vector<StreamNode>& nodes) {
  const auto same_name = [](const StreamNode& left, const StreamNode& right) {
    return left.name == right.name;
  };
  if (!std::equal(nodes.begin(), nodes.end(), nodes_.begin(), nodes_.end(), same_name)) {
    former_nodes_ = std::move(nodes_);
  }
  nodes_ = nodes;
}

void SlotLender::OnRequest(const SlotRequest& request) {
  if (PassOn(request)) {
    return;
  }
  const bool begins = !ledger_.Lends(request.worker_id);
  const std::vector<LentSlot> lent =
      ledger_.Apply(request, ReportedLoad(request.worker_id), parts_.loop->Now());
  if (begins) {
    BeginToLend(request.worker_id);
  }
  const bool answered = std::any_of(lent.begin(), lent.end(), [&](const LentSlot& slot) {
    return slot.borrower.node == request.borrower.node;
  });
  if (request.wants_reply && !answered) {
    Reply(request.borrower, {request.worker_id, request.number, false});
  }
  SendLent(lent);
}

int SlotLender::ReportedLoad(const std::string& worker_id) const {
  const auto worker = parts_.workers->workers().find(worker_id);
  return worker == parts_.workers->workers().end()
             ? 0
             : worker->second.running + worker->second.peers_running;
}

bool SlotLender::PassOn(SlotRequest request) {
  const auto successor = successors_.find(request.worker_id);
  if (successor == successors_.end()) {
    return false;
  }
  if (request.passed_on || successor->second.until <= parts_.loop->Now()) {
    successors_.erase(successor);
    return false;
  }
  request.passed_on = true;
  Send(successor->second.address, request);
  return true;
}

void SlotLender::BeginToLend(const std::string& worker_id) {
  Takeover takeover{{}, kTakeoverRounds, parts_.loop->Now()};
  for (const std::vector<StreamNode>* const nodes : {&nodes_, &former_nodes_}) {
    for (const StreamNode& node : ChooseHolders(worker_id, *nodes, node_)) {
      takeover.addresses.insert(node.address);
    }
  }
  takeovers_[worker_id] = std::move(takeover);
  SendTakeovers(parts_.loop->Now());
}

void SlotLender::SendTakeovers(absl::Time now) {
  for (auto entry = takeovers_.begin(); entry != takeovers_.end();) {
    Takeover& takeover = entry->second;
    if (takeover.due > now) {
      ++entry;
      continue;
    }
    for (const std::string& address : takeover.addresses) {
      Send(address, SlotTakeover{entry->first, address_});
    }
    takeover.due = now + kTakeoverInterval;
    entry = --takeover.rounds_left > 0 ? std::next(entry) : takeovers_.erase(entry);
  }
}

void SlotLender::OnTakeover(const SlotTakeover& takeover) {
  if (takeover.address == address_) {
    return;
  }
  for (const SlotRequest& request : ledger_.HandOver(takeover.worker_id)) {
    Send(takeover.address, request);
  }
  takeovers_.erase(takeover.worker_id);
  successors_[takeover.worker_id] = {takeover.address, parts_.loop->Now() + kPassOnTime};
}

void SlotLender::OnTick() {
  const absl::Time now = parts_.loop->Now();
  std::erase_if(successors_, [now](const auto& entry) { return entry.second.until <= now; });
  SendTakeovers(now);
  SendLent(ledger_.LendDue(now));
}

void SlotLender::SendLent(const std::vector<LentSlot>& lent) {
  for (const LentSlot& slot : lent) {
    Reply(slot.borrower, {slot.worker_id, slot.number, true});
  }
}

void SlotLender::Reply(const SlotBorrower& borrower, const SlotReply& reply) {
  if (borrower.node == node_) {
    parts_.on_own_reply(reply);
  } else {
    Send(borrower.address, reply);
  }
}

void SlotLender::Send(const std::string& address, const FleetMessage& message) {
  ++parts_.metrics->slot_datagrams;
  parts_.send(address, EncodeFleetMessage(message));
}

}  // namespace hingespan::gateway
