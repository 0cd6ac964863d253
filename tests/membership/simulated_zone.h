// Deterministic simulation of a zone for tests: membership and record sync over a simulated network
// that loses, delays and duplicates datagrams and can be partitioned, with a simulated platform.
#ifndef HINGESPAN_TESTS_MEMBERSHIP_SIMULATED_ZONE_H_
#define HINGESPAN_TESTS_MEMBERSHIP_SIMULATED_ZONE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/membership/duties.h"
#include "hingespan/membership/membership.h"
#include "hingespan/membership/record_sync.h"
#include "hingespan/table/record_codec.h"
#include "hingespan/transport/message_codec.h"

namespace hingespan {

class SimulatedZone {
 public:
  static constexpr absl::Duration kStep = absl::Milliseconds(50);

  struct Node {
    MemberUpdate self;
    RecordStore store;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<RecordSync> sync;
    bool running = true;
    bool paused = false;
    // True if this node ever considered another one dead.
    bool ever_dead = false;
  };

  explicit SimulatedZone(std::uint64_t seed) : random_(seed) {}

  // Starts a node, or restarts it with a larger incarnation and an empty store.
  Node& Start(const std::string& name) {
    auto node = std::make_unique<Node>();
    node->self.node = NodeId(name);
    node->self.incarnation = NodeIncarnation(++incarnations_);
    node->self.control_address = name;
    node->self.http_address = name + ":http";
    node->membership =
        std::make_unique<Membership>(node->self, MembershipOptions(), random_.Next());
    node->sync = std::make_unique<RecordSync>(&node->store, RecordSyncOptions(), random_.Next());
    Outbox outbox;
    node->membership->Join(seeds, now, &outbox);
    nodes[name] = std::move(node);
    Dispatch(name, &outbox);
    return *nodes[name];
  }

  void StartAll(int count) {
    for (int index = 0; index < count; ++index) {
      seeds.push_back("n" + std::to_string(index));
    }
    for (const std::string& seed : seeds) {
      Start(seed);
    }
  }

  Node& At(const std::string& name) { return *nodes.at(name); }

  void SetSelfState(const std::string& name, MemberState state) {
    Outbox outbox;
    At(name).membership->SetSelfState(state, now, &outbox);
    Dispatch(name, &outbox);
  }

  void Commit(const std::string& row, std::uint32_t memory_mib) {
    ModelRow value;
    value.name = ModelName(row);
    value.memory_mib = memory_mib;
    ++platform_revision;
    platform_rows[RowKey(value.name)] = {RowKey(value.name), TableRevision(platform_revision),
                                         EncodeRecord(Record(value))};
  }

  void Run(absl::Duration duration) {
    for (const absl::Time end = now + duration; now < end;) {
      Step();
    }
  }

  // Returns true as soon as `condition` holds, and false if it does not within `limit`.
  bool RunUntil(absl::Duration limit, const std::function<bool()>& condition) {
    for (const absl::Time end = now + limit; now < end;) {
      if (condition()) {
        return true;
      }
      Step();
    }
    return condition();
  }

  // Returns true if each running node sees exactly these duty holders.
  bool AllSee(std::vector<NodeId> expected) {
    for (const auto& [name, node] : nodes) {
      if (node->running && !node->paused && node->membership->duty_holders() != expected) {
        return false;
      }
    }
    return true;
  }

  bool AllHold(const std::string& row, std::uint32_t memory_mib) {
    for (const auto& [name, node] : nodes) {
      const auto held = node->store.FindRow(ModelName(row));
      if (node->running && (held == nullptr || held->memory_mib != memory_mib)) {
        return false;
      }
    }
    return true;
  }

  static std::vector<NodeId> Names(const std::vector<std::string>& names) {
    std::vector<NodeId> ids;
    for (const std::string& name : names) {
      ids.emplace_back(name);
    }
    return ids;
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  double loss = 0;
  double duplication = 0;
  int maximum_delay_steps = 1;
  // Partition of each node. Nodes of different groups can't reach each other; all start in group 0.
  std::map<std::string, int> groups;
  std::set<std::string> platform_down_for;
  std::vector<std::string> seeds;
  // Nodes of other zones known to each node.
  std::map<std::string, std::vector<NodeId>> other_zones;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::uint64_t platform_revision = 0;
  std::map<std::string, StoredValue> platform_rows;
  std::size_t largest_datagram = 0;

 private:
  struct Datagram {
    std::string to;
    Envelope envelope;
  };

  void Step() {
    now += kStep;
    Deliver();
    for (const auto& [name, node] : nodes) {
      if (node->running && !node->paused) {
        TickNode(name, *node);
      }
    }
  }

  void TickNode(const std::string& name, Node& node) {
    Outbox outbox;
    node.membership->SetTableRevision(node.store.revision());
    node.membership->Tick(now, &outbox);
    const bool is_reader =
        DutyHolder(Duty::kPlatformReader, "", node.membership->duty_holders()) == node.self.node;
    node.sync->Tick(is_reader, node.membership->peers(), other_zones[name], now, &outbox);
    for (const auto& [other, unused] : nodes) {
      const MemberUpdate* member = node.membership->Find(NodeId(other));
      node.ever_dead |= member != nullptr && member->state == MemberState::kDead;
    }
    Dispatch(name, &outbox);
  }

  // Delivers the messages and platform calls of a node.
  void Dispatch(const std::string& from, Outbox* outbox) {
    Node& node = At(from);
    for (OutgoingMessage& message : outbox->messages) {
      const std::string to = message.address.empty() ? message.to.value() : message.address;
      Envelope envelope{node.self.node, node.self.incarnation, ZoneId("z1"), from,
                        std::move(message.message)};
      largest_datagram = std::max(largest_datagram, EncodeEnvelope(envelope).size());
      Post(to, envelope);
      if (random_.Fraction() < duplication) {
        Post(to, envelope);
      }
    }
    for (const PlatformCall& call : outbox->platform_calls) {
      Outbox more;
      node.sync->HandleAnswer(Answer(from, call), node.membership->peers(), now, &more);
      Dispatch(from, &more);
    }
  }

  void Post(const std::string& to, const Envelope& envelope) {
    if (random_.Fraction() < loss) {
      return;
    }
    const auto delay = static_cast<int>(random_.Below(maximum_delay_steps)) + 1;
    in_flight_.emplace(now + delay * kStep, Datagram{to, envelope});
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
      const Datagram datagram = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      const auto found = nodes.find(datagram.to);
      const bool reachable = groups[datagram.to] == groups[datagram.envelope.from.value()];
      if (found == nodes.end() || !reachable || !found->second->running || found->second->paused) {
        continue;
      }
      Outbox outbox;
      found->second->membership->Handle(datagram.envelope, now, &outbox);
      found->second->sync->Handle(datagram.envelope, now, &outbox);
      Dispatch(datagram.to, &outbox);
    }
  }

  PlatformAnswer Answer(const std::string& node, const PlatformCall& call) {
    PlatformAnswer answer{call.call, call.owner};
    if (platform_down_for.contains(node)) {
      answer.error = Error::kUnavailable;
      return answer;
    }
    const TableRevision after = std::get<ReadChangesCall>(call.request).after;
    std::map<TableRevision, StoredValue> ordered;
    for (const auto& [key, stored] : platform_rows) {
      if (stored.revision > after) {
        ordered[stored.revision] = stored;
      }
    }
    constexpr std::size_t kPageSize = 5;
    ValueChangePage page;
    page.latest = TableRevision(platform_revision);
    page.through = page.latest;
    for (const auto& [revision, stored] : ordered) {
      if (page.changes.size() == kPageSize) {
        page.through = page.changes.back().revision;
        break;
      }
      page.changes.push_back(stored);
    }
    answer.value = page;
    return answer;
  }

  Random random_;
  std::uint64_t incarnations_ = 0;
  std::multimap<absl::Time, Datagram> in_flight_;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_MEMBERSHIP_SIMULATED_ZONE_H_
