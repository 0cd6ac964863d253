#include "tests/simulation/simulated_permits.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace hingespan::simulation {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kDeadlineGrace = absl::Seconds(2);
constexpr int kPermille = 1000;

WorkerId WorkerOf(const NodeId& node) { return WorkerId(node.value()); }

std::size_t LoadOf(const ModelName& model) {
  std::uint64_t load = 0;
  return absl::SimpleAtoi(model.value(), &load) ? load : 0;
}

ModelName ModelOf(std::size_t load) { return ModelName(absl::StrCat(load)); }

}  // namespace

SimulatedPermits::SimulatedPermits(SimulatedPermitsOptions options)
    : options_(options), random_(options.seed) {
  for (int zone = 0; zone < options_.zones; ++zone) {
    for (int index = 0; index < options_.nodes_per_zone; ++index) {
      Node& node = nodes_[Id(zone, index)];
      node.zone = zone;
      node.offset = absl::Seconds(static_cast<std::int64_t>(random_.Below(kPermille)));
      node.rate = 1.0 + options_.drift * (2.0 * random_.Fraction() - 1.0);
    }
  }
  for (auto& [id, node] : nodes_) {
    for (const auto& [other_id, other] : nodes_) {
      if (other.zone != node.zone) {
        node.other_zones[ZoneId(absl::StrCat("z", other.zone))].push_back(other_id);
      } else if (other_id != id) {
        node.peers.push_back(other_id);
      }
    }
    MakePermits(id, &node);
  }
}

NodeId SimulatedPermits::Id(int zone, int node) {
  return NodeId(absl::StrCat("z", zone, "n", node));
}

absl::Time SimulatedPermits::ClockOf(const Node& node) const {
  return absl::UnixEpoch() + node.offset + (now_ - absl::UnixEpoch()) * node.rate;
}

void SimulatedPermits::MakePermits(const NodeId& id, Node* node) {
  std::vector<ZoneId> zones;
  for (int zone = 0; zone < options_.zones; ++zone) {
    zones.emplace_back(absl::StrCat("z", zone));
  }
  node->permits = std::make_unique<PermitHolder>(id, node->incarnation, zones[node->zone], zones,
                                                 options_.permits);
}

void SimulatedPermits::Step() {
  now_ += kStep;
  EndLoads();
  Deliver();
  for (auto& [id, node] : nodes_) {
    if (node.alive && !node.paused) {
      TickNode(id, &node);
    }
  }
}

void SimulatedPermits::Run(absl::Duration duration) {
  const absl::Time end = now_ + duration;
  while (now_ < end) {
    Step();
  }
}

std::size_t SimulatedPermits::AddLoad(int zone, int node, absl::Duration duration,
                                      absl::Duration time_left) {
  PermitLoad load;
  load.zone = zone;
  load.node = node;
  load.duration = duration;
  load.deadline = now_ + time_left;
  loads_.push_back(load);
  nodes_[Id(zone, node)].pending_loads[loads_.size() - 1] = PendingLoad();
  return loads_.size() - 1;
}

int SimulatedPermits::max_begun_per_second() const {
  std::vector<absl::Time> begins;
  for (const PermitLoad& load : loads_) {
    if (load.began != absl::InfiniteFuture()) {
      begins.push_back(load.began);
    }
  }
  std::sort(begins.begin(), begins.end());
  std::ptrdiff_t most = 0;
  for (auto first = begins.begin(); first != begins.end(); ++first) {
    const auto last = std::lower_bound(first, begins.end(), *first + absl::Seconds(1));
    most = std::max(most, last - first);
  }
  return static_cast<int>(most);
}

bool SimulatedPermits::AllEnded() const {
  return std::all_of(loads_.begin(), loads_.end(),
                     [this](const PermitLoad& load) { return load.ended <= now_; });
}

// Engines continue the loads of a killed node's keeper.
void SimulatedPermits::Kill(int zone, int node) {
  Node& killed = nodes_[Id(zone, node)];
  killed.alive = false;
  killed.paused = false;
  killed.pending_loads.clear();
}

void SimulatedPermits::Start(int zone, int node) {
  Node& started = nodes_[Id(zone, node)];
  if (!started.alive) {
    started.alive = true;
    started.incarnation = started.incarnation.Next();
    MakePermits(Id(zone, node), &started);
  }
}

void SimulatedPermits::SetPaused(int zone, int node, bool paused) {
  nodes_[Id(zone, node)].paused = paused;
}

void SimulatedPermits::SetCut(int zone, bool cut) {
  if (cut) {
    cut_.insert(zone);
  } else {
    cut_.erase(zone);
  }
}

void SimulatedPermits::SetHolder(int zone, int holder) {
  for (int node = 0; node < options_.nodes_per_zone; ++node) {
    SetHolder(zone, node, holder);
  }
}

void SimulatedPermits::SetHolder(int zone, int node, int holder) {
  nodes_[Id(zone, node)].known_holder = holder;
}

void SimulatedPermits::Deliver() {
  while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
    const MessageInFlight message_in_flight = std::move(in_flight_.begin()->second);
    in_flight_.erase(in_flight_.begin());
    Node& node = nodes_[message_in_flight.to];
    if (node.paused) {
      // Retried until the node resumes.
      in_flight_.emplace(now_ + kStep, message_in_flight);
    } else if (node.alive) {
      Receive(message_in_flight.to, &node, message_in_flight.envelope);
    }
  }
}

void SimulatedPermits::Receive(const NodeId& id, Node* node, const Envelope& envelope) {
  Outbox outbox;
  const absl::Time clock = ClockOf(*node);
  const bool is_holder = Id(node->zone, node->known_holder) == id;
  if (const auto* reply = std::get_if<PermitReply>(&envelope.message)) {
    OnReply(id, node, *reply);
  } else if (const auto* vote = std::get_if<PermitVoteRequest>(&envelope.message)) {
    node->permits->Handle(envelope, *vote, clock, &outbox);
  } else if (const auto* loan = std::get_if<PermitLoanRequest>(&envelope.message);
             loan && !is_holder) {
    ForwardLoanRequest(*node, *loan, &outbox);
  } else if (is_holder) {
    if (const auto* request = std::get_if<PermitRequest>(&envelope.message)) {
      node->permits->Handle(envelope, *request, clock, &outbox);
    } else if (const auto* answer = std::get_if<PermitVoteReply>(&envelope.message)) {
      node->permits->Handle(envelope, *answer, clock, &outbox);
    } else if (loan != nullptr) {
      node->permits->Handle(envelope, *loan, clock, &outbox);
    } else if (const auto* lent = std::get_if<PermitLoanReply>(&envelope.message)) {
      node->permits->Handle(envelope, *lent, clock, &outbox);
    }
  }
  Send(id, outbox);
}

void SimulatedPermits::ForwardLoanRequest(const Node& node, const PermitLoanRequest& request,
                                          Outbox* outbox) const {
  if (!request.passed_on) {
    PermitLoanRequest passed_on = request;
    passed_on.passed_on = true;
    outbox->Send(Id(node.zone, node.known_holder), passed_on);
  }
}

void SimulatedPermits::OnReply(const NodeId& id, Node* node, const PermitReply& reply) {
  if (!reply.granted) {
    return;
  }
  const std::size_t load = LoadOf(reply.model);
  const auto pending = node->pending_loads.find(load);
  if (pending == node->pending_loads.end()) {
    const auto number = numbers_.find(load);
    if (number == numbers_.end() || number->second != reply.number) {
      Return(id, *node, load, reply.number);
    }
    return;
  }
  const bool usable = pending->second.number == reply.number &&
                      ClockOf(*node) - pending->second.requested_at < options_.permit_use_within;
  if (!usable) {
    return;
  }
  numbers_[load] = reply.number;
  loads_[load].began = now_;
  ends_.emplace(now_ + loads_[load].duration, load);
  max_running_ = std::max(max_running_, ++running_);
  node->pending_loads.erase(pending);
}

void SimulatedPermits::TickNode(const NodeId& id, Node* node) {
  Outbox outbox;
  const PermitHolder::View view = {Id(node->zone, node->known_holder) == id, node->peers,
                                   node->other_zones};
  node->permits->Tick(view, ClockOf(*node), &outbox);
  Send(id, outbox);
  RequestPermits(id, node);
}

void SimulatedPermits::RequestPermits(const NodeId& id, Node* node) {
  const absl::Time clock = ClockOf(*node);
  Outbox outbox;
  AbandonExpiredLoads(id, node);
  for (auto& [load, pending] : node->pending_loads) {
    if (clock < pending.next_request_at) {
      continue;
    }
    pending.next_request_at = clock + options_.permit_retry;
    if (pending.number == 0 || clock - pending.requested_at >= options_.permit_use_within) {
      pending.number = (node->incarnation.value() << 32) + node->next_number++;
      pending.requested_at = clock;
    }
    PermitRequest request;
    request.worker = WorkerOf(id);
    request.model = ModelOf(load);
    request.number = pending.number;
    request.waiting = 1;
    const std::int64_t left = absl::ToInt64Milliseconds(loads_[load].deadline - now_);
    request.earliest_deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, left));
    outbox.Send(Id(node->zone, node->known_holder), request);
  }
  Send(id, outbox);
}

// Loads that no request waits for any more return the permit that they may have been granted.
void SimulatedPermits::AbandonExpiredLoads(const NodeId& id, Node* node) {
  for (auto pending = node->pending_loads.begin(); pending != node->pending_loads.end();) {
    const bool expired = now_ >= loads_[pending->first].deadline + kDeadlineGrace;
    if (expired && pending->second.number != 0) {
      Return(id, *node, pending->first, pending->second.number);
    }
    pending = expired ? node->pending_loads.erase(pending) : std::next(pending);
  }
}

void SimulatedPermits::EndLoads() {
  while (!ends_.empty() && ends_.begin()->first <= now_) {
    const std::size_t load = ends_.begin()->second;
    ends_.erase(ends_.begin());
    loads_[load].ended = now_;
    --running_;
    const NodeId id = Id(loads_[load].zone, loads_[load].node);
    const Node& node = nodes_[id];
    // A dead or paused keeper returns no permit.
    if (node.alive && !node.paused) {
      Return(id, node, load, numbers_[load]);
    }
    numbers_.erase(load);
  }
}

void SimulatedPermits::Return(const NodeId& id, const Node& node, std::size_t load,
                              std::uint64_t number) {
  PermitRequest request;
  request.worker = WorkerOf(id);
  request.model = ModelOf(load);
  request.number = number;
  request.release = true;
  SendMessage(id, {Id(node.zone, node.known_holder), std::string(), request});
}

void SimulatedPermits::Send(const NodeId& from, const Outbox& outbox) {
  for (const OutgoingMessage& outgoing : outbox.messages) {
    SendMessage(from, outgoing);
  }
}

void SimulatedPermits::SendMessage(const NodeId& from, const OutgoingMessage& outgoing) {
  const Node& sender = nodes_[from];
  MessageInFlight message_in_flight;
  message_in_flight.to = outgoing.to;
  message_in_flight.envelope.from = from;
  message_in_flight.envelope.from_incarnation = sender.incarnation;
  message_in_flight.envelope.from_zone = ZoneId(absl::StrCat("z", sender.zone));
  message_in_flight.envelope.message = outgoing.message;
  if (outgoing.to == from) {
    // A node's messages to itself are never lost, but pass through the queue too.
    in_flight_.emplace(now_, std::move(message_in_flight));
    return;
  }
  if (!Passes(sender, nodes_[outgoing.to])) {
    return;
  }
  const int copies = (random_.Fraction() >= options_.loss ? 1 : 0) +
                     (random_.Fraction() < options_.duplication ? 1 : 0);
  const absl::Duration range = options_.max_delay - options_.min_delay;
  for (int copy = 0; copy < copies; ++copy) {
    const bool late = random_.Fraction() < options_.late_share;
    const absl::Duration lateness =
        late ? options_.max_lateness * random_.Fraction() : absl::ZeroDuration();
    in_flight_.emplace(now_ + options_.min_delay + range * random_.Fraction() + lateness,
                       message_in_flight);
  }
}

bool SimulatedPermits::Passes(const Node& from, const Node& to) const {
  return from.zone == to.zone || (!cut_.contains(from.zone) && !cut_.contains(to.zone));
}

}  // namespace hingespan::simulation
