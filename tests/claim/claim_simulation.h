// Simulation of owners, claimants and a platform under a schedule of steps. Messages and platform
// answers are lost, duplicated and late; nodes pause, stop, and crash without stored state; record
// stores lag behind; clocks jump.
#ifndef HINGESPAN_TESTS_CLAIM_CLAIM_SIMULATION_H_
#define HINGESPAN_TESTS_CLAIM_CLAIM_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/claim/claim_owner.h"
#include "hingespan/claim/claimant.h"
#include "hingespan/claim/key_time.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {

// In-memory table service of the platform.
class FakePlatform {
 public:
  TransactionResult Commit(const Transaction& transaction) {
    TransactionResult result;
    for (const Precondition& precondition : transaction.preconditions) {
      const StoredValue stored = Read(precondition.key);
      if (stored.revision != precondition.revision) {
        result.conflicting.push_back(stored);
      }
    }
    if (!result.conflicting.empty()) {
      return result;
    }
    revision_ = revision_.Next();
    for (const Write& write : transaction.writes) {
      values_[write.key] = {write.key, revision_, write.value};
    }
    result.committed = true;
    result.revision = revision_;
    return result;
  }

  StoredValue Read(const std::string& key) const {
    const auto found = values_.find(key);
    const bool present = found != values_.end() && found->second.value.has_value();
    return present ? found->second : StoredValue{key};
  }

  // Applies up to `limit` changes to a record store, as one page.
  void Sync(std::size_t limit, RecordStore* store) const {
    std::map<TableRevision, const StoredValue*> ordered;
    for (const auto& [key, stored] : values_) {
      if (stored.revision > store->revision() && key.starts_with(kClaimPrefix)) {
        ordered[stored.revision] = &stored;
      }
    }
    std::vector<RecordChange> changes;
    for (const auto& [revision, stored] : ordered) {
      if (changes.size() == limit) {
        break;
      }
      changes.push_back({stored->key, revision, DecodeRecord(stored->key, *stored->value).value()});
    }
    const TableRevision through = changes.size() == limit ? changes.back().revision : revision_;
    store->Apply(store->revision(), through, changes);
  }

 private:
  TableRevision revision_;
  std::map<std::string, StoredValue> values_;
};

class ClaimSimulation {
 public:
  static constexpr int kNodes = 3;

  explicit ClaimSimulation(bool disable_claims) {
    options_.range_count = 2;
    options_.interval = absl::Seconds(1);
    options_.ahead = absl::Seconds(8);
    options_.remember = absl::Seconds(20);
    options_.future_skew = absl::Seconds(3);
    options_.disable_claims_for_test = disable_claims;
    for (int index = 0; index < kNodes; ++index) {
      nodes_.emplace_back();
      Restart(index);
    }
    keys_.push_back(MakeKey(wall_, &random_));
  }

  // Runs one step. The low bits of `choice` select its kind, the other bits are its argument.
  void Step(std::uint32_t choice) {
    constexpr std::uint32_t kKinds = 16;
    const std::uint32_t argument = choice / kKinds;
    switch (choice % kKinds) {
      case 0:
      case 1:
        Advance(absl::Milliseconds(50 + argument % 1000));
        break;
      case 2:
      case 3:
      case 4:
        DeliverMessage(argument);
        break;
      case 5:
        Take(&messages_, argument);
        break;
      case 6:
      case 7:
        AnswerCall(argument, CallOutcome::kAnswered);
        break;
      case 8:
        AnswerCall(argument, argument % 2 == 0 ? CallOutcome::kAnswerLost : CallOutcome::kLate);
        break;
      case 9:
      case 10:
        platform_.Sync(1 + argument % 3, &NodeAt(argument).store);
        break;
      case 11:
        BeginClaim(argument);
        BeginClaim(argument + 1);
        break;
      case 12:
        CreateKey(argument);
        break;
      case 13:
        ReleaseOne(argument);
        break;
      case 14:
        InjectNodeFault(argument);
        break;
      default:
        Settle();
    }
    CollectDecisions();
  }

  // Largest number of attempts that ever held one key at the same time.
  std::size_t maximum_holders() const { return maximum_holders_; }
  int granted() const { return granted_; }
  int granted_after_release() const { return granted_after_release_; }

 private:
  enum class CallOutcome { kAnswered, kAnswerLost, kLate };

  struct Node {
    NodeId id;
    NodeIncarnation incarnation;
    RecordStore store;
    std::unique_ptr<ClaimOwner> owner;
    std::unique_ptr<Claimant> claimant;
    absl::Duration clock_error;
    bool paused = false;
    int next_attempt = 0;
    std::map<RequestId, IdempotencyKey> attempts;
  };
  struct InFlight {
    Envelope envelope;
    NodeId to;
  };
  struct Call {
    int node = 0;
    NodeIncarnation incarnation;
    PlatformCall call;
    // The caller has already received a timeout.
    bool timed_out = false;
  };
  struct Grant {
    int node = 0;
    NodeIncarnation incarnation;
    RequestId attempt;
    IdempotencyKey key;
  };

  Node& NodeAt(std::uint32_t argument) { return *nodes_[argument / 3 % kNodes]; }

  void Restart(int index) {
    auto node = std::make_unique<Node>();
    node->id = NodeId("n" + std::to_string(index));
    node->incarnation = NodeIncarnation(++incarnations_);
    node->owner = std::make_unique<ClaimOwner>(node->id, node->incarnation, ZoneId("z1"), options_,
                                               &node->store, incarnations_);
    node->claimant = std::make_unique<Claimant>(node->id, node->incarnation, options_, &node->store,
                                                node->owner.get());
    nodes_[index] = std::move(node);
  }

  template <typename T>
  static std::vector<T> Take(std::vector<T>* from, std::uint32_t argument) {
    if (from->empty()) {
      return {};
    }
    const std::size_t index = argument % from->size();
    std::vector<T> taken = {std::move((*from)[index])};
    from->erase(from->begin() + static_cast<std::ptrdiff_t>(index));
    return taken;
  }

  void CollectOutbox(int index, Outbox* outbox) {
    Node& node = *nodes_[index];
    for (OutgoingMessage& message : outbox->messages) {
      messages_.push_back(
          {{node.id, node.incarnation, ZoneId("z1"), "", std::move(message.message)}, message.to});
    }
    for (PlatformCall& call : outbox->platform_calls) {
      calls_.push_back({index, node.incarnation, std::move(call)});
    }
  }

  absl::Time WallTimeOf(const Node& node) const { return wall_ + node.clock_error; }

  // Any node may extend any range: a duty that moves or is held by two nodes must be harmless.
  void TickNode(int index) {
    Node& node = *nodes_[index];
    if (node.paused) {
      return;
    }
    Outbox outbox;
    node.owner->Tick({KeyRangeId(0), KeyRangeId(1)}, WallTimeOf(node), now_, &outbox);
    node.claimant->Tick(now_, WallTimeOf(node), &outbox);
    CollectOutbox(index, &outbox);
  }

  void Advance(absl::Duration duration) {
    now_ += duration;
    wall_ += duration;
    for (int index = 0; index < kNodes; ++index) {
      TickNode(index);
    }
  }

  void DeliverMessage(std::uint32_t argument) {
    for (const InFlight& message : Take(&messages_, argument)) {
      if (argument % 3 == 0) {
        messages_.push_back(message);
      }
      for (int index = 0; index < kNodes; ++index) {
        if (nodes_[index]->id == message.to && !nodes_[index]->paused) {
          Handle(index, message.envelope);
        }
      }
    }
  }

  void Handle(int index, const Envelope& envelope) {
    Node& node = *nodes_[index];
    Outbox outbox;
    if (const auto* request = std::get_if<ClaimRequest>(&envelope.message)) {
      const ClaimOutcome outcome = node.owner->Claim(*request, WallTimeOf(node));
      outbox.Send(envelope.from, ClaimReply{request->key, request->attempt, outcome});
    } else if (const auto* reply = std::get_if<ClaimReply>(&envelope.message)) {
      node.claimant->HandleReply(*reply);
    } else if (const auto* release = std::get_if<ClaimRelease>(&envelope.message)) {
      node.owner->Release(*release);
    }
    CollectOutbox(index, &outbox);
  }

  void AnswerCall(std::uint32_t argument, CallOutcome call_outcome) {
    for (Call& call : Take(&calls_, argument)) {
      PlatformAnswer answer{call.call.call, call.call.owner};
      if (call_outcome == CallOutcome::kLate) {
        answer.error = Error::kTimeout;
      } else {
        answer.value = Execute(call.call);
        answer.error = call_outcome == CallOutcome::kAnswerLost
                           ? make_error_code(Error::kAnswerLost)
                           : std::error_code();
      }
      const bool answered = call.timed_out;
      if (call_outcome == CallOutcome::kLate) {
        call.timed_out = true;
        calls_.push_back(call);
      }
      if (!answered) {
        GiveAnswer(call, answer);
      }
    }
  }

  std::variant<std::monostate, TransactionResult, ValueChangePage, MachineListing, StoredValue>
  Execute(const PlatformCall& call) {
    if (const auto* transaction = std::get_if<Transaction>(&call.request)) {
      return platform_.Commit(*transaction);
    }
    return platform_.Read(std::get<ReadCall>(call.request).key);
  }

  void GiveAnswer(const Call& call, const PlatformAnswer& answer) {
    Node& node = *nodes_[call.node];
    if (node.incarnation != call.incarnation) {
      return;
    }
    Outbox outbox;
    if (answer.owner == CallOwner::kClaims) {
      node.owner->HandleAnswer(answer, now_);
    } else {
      node.claimant->HandleAnswer(answer, now_, &outbox);
    }
    CollectOutbox(call.node, &outbox);
  }

  void BeginClaim(std::uint32_t argument) {
    const int index = static_cast<int>(argument % kNodes);
    Node& node = *nodes_[index];
    if (node.paused) {
      return;
    }
    const IdempotencyKey key = keys_[argument / 7 % keys_.size()];
    // Request ids start again in each incarnation of a node.
    const RequestId attempt("r" + std::to_string(node.next_attempt++));
    node.attempts[attempt] = key;
    Outbox outbox;
    node.claimant->Begin(attempt, key, now_ + absl::Seconds(2), WallTimeOf(node), now_, &outbox);
    CollectOutbox(index, &outbox);
  }

  // Keys are up to two seconds early or late, or carry no time. Only a few are in use at one time.
  void CreateKey(std::uint32_t argument) {
    constexpr std::size_t kKeysInUse = 3;
    const absl::Duration offset = absl::Milliseconds(static_cast<int>(argument / 5 % 4000) - 2000);
    keys_.push_back(argument % 5 == 0 ? IdempotencyKey("plain" + std::to_string(argument % 50))
                                      : MakeKey(wall_ + offset, &random_));
    if (keys_.size() > kKeysInUse) {
      keys_.erase(keys_.begin());
    }
  }

  void ReleaseOne(std::uint32_t argument) {
    std::vector<Grant> chosen = Take(&held_grants_, argument);
    for (const Grant& grant : chosen) {
      Node& node = *nodes_[grant.node];
      if (node.incarnation != grant.incarnation || node.paused) {
        held_grants_.push_back(grant);
        continue;
      }
      Outbox outbox;
      node.claimant->Release(grant.attempt, grant.key, &outbox);
      CollectOutbox(grant.node, &outbox);
      released_keys_.insert(grant.key);
    }
  }

  void InjectNodeFault(std::uint32_t argument) {
    const int index = static_cast<int>(argument / 8 % kNodes);
    Node& node = *nodes_[index];
    switch (argument % 8) {
      case 0:
        Restart(index);
        break;
      case 1:
      case 2:
      case 3:
        node.paused = !node.paused;
        break;
      case 4:
        node.clock_error = absl::Milliseconds(static_cast<int>(argument / 24 % 60000) - 30000);
        break;
      case 5:
        node.clock_error = absl::ZeroDuration();
        break;
      default:
        Stop(index);
    }
  }

  void Stop(int index) {
    Node& node = *nodes_[index];
    if (node.paused) {
      return;
    }
    Outbox outbox;
    node.owner->GiveBack(WallTimeOf(node), now_, &outbox);
    CollectOutbox(index, &outbox);
  }

  // Completes all pending calls and messages.
  void Settle() {
    constexpr int kRounds = 3;
    // Argument of DeliverMessage that does not duplicate the message.
    constexpr std::uint32_t kOnce = 1;
    for (int round = 0; round < kRounds; ++round) {
      for (std::size_t calls = calls_.size(); calls > 0; --calls) {
        AnswerCall(0, CallOutcome::kAnswered);
      }
      for (const auto& node : nodes_) {
        platform_.Sync(100, &node->store);
      }
      for (std::size_t messages = messages_.size(); messages > 0; --messages) {
        DeliverMessage(kOnce);
      }
      Advance(absl::Milliseconds(120));
    }
  }

  void CollectDecisions() {
    for (int index = 0; index < kNodes; ++index) {
      Node& node = *nodes_[index];
      for (const ClaimDecision& decision : node.claimant->TakeDecisions()) {
        if (decision.verdict == ClaimVerdict::kGranted) {
          RecordGrant({index, node.incarnation, decision.attempt, node.attempts[decision.attempt]});
        }
      }
    }
  }

  void RecordGrant(const Grant& grant) {
    ++granted_;
    granted_after_release_ += released_keys_.contains(grant.key) ? 1 : 0;
    held_grants_.push_back(grant);
    std::size_t holders = 0;
    for (const Grant& held : held_grants_) {
      holders += held.key == grant.key ? 1 : 0;
    }
    maximum_holders_ = std::max(maximum_holders_, holders);
  }

  ClaimOptions options_;
  FakePlatform platform_;
  Random random_{1};
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time wall_ = absl::FromUnixSeconds(1800000000);
  std::uint64_t incarnations_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<InFlight> messages_;
  std::vector<Call> calls_;
  std::vector<IdempotencyKey> keys_;
  // Grants that were not released, including those of crashed nodes: they may have run.
  std::vector<Grant> held_grants_;
  std::set<IdempotencyKey> released_keys_;
  std::size_t maximum_holders_ = 0;
  int granted_ = 0;
  int granted_after_release_ = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_CLAIM_CLAIM_SIMULATION_H_
