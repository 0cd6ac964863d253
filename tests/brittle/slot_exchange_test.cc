// Tests of the exchange of slots between nodes, with datagrams that a test may lose, before one
// brittle worker.
#include "hingespan/fleet/slot_exchange.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"

namespace hingespan::gateway {
namespace {

constexpr const char* kService = "s";
constexpr const char* kWorker = "w1";
constexpr int kSlots = 4;
constexpr int kSurvived = 3;
constexpr absl::Duration kRunTime = absl::Milliseconds(30);
constexpr absl::Duration kDelay = absl::Milliseconds(2);
constexpr absl::Duration kPressInterval = absl::Milliseconds(3);
constexpr absl::Duration kLimit = absl::Seconds(30);

// Nodes on one event loop, and a worker that rejects what finds no slot.
struct SlotFleet {
  struct Node {
    std::string name;
    bool alive = true;
    int most_running = 0;
    GatewayMetrics metrics;
    WorkerDirectory workers{"n", "z"};
    std::unique_ptr<SlotExchange> exchange;
  };

  explicit SlotFleet(int count) {
    for (int number = 0; number < count; ++number) {
      Add();
    }
    Connect();
  }

  Node* Add() {
    auto node = std::make_unique<Node>();
    node->name = absl::StrCat("n", nodes.size());
    WorkerRecord record;
    record.id = kWorker;
    record.service = kService;
    record.slots = kSlots;
    node->workers.Update(record, 1, loop.Now());
    SlotExchangeParts parts;
    parts.loop = &loop;
    parts.log = &log;
    parts.metrics = &node->metrics;
    parts.workers = &node->workers;
    parts.send = [this](const std::string& address, absl::string_view bytes) {
      Deliver(address, std::string(bytes));
    };
    parts.token_capacity = [this](const std::string&) { return token_capacity; };
    parts.on_answer = [] {};
    node->exchange = std::make_unique<SlotExchange>(node->name, 1, std::move(parts));
    node->exchange->SetAddress(node->name);
    nodes.push_back(std::move(node));
    return nodes.back().get();
  }

  void Connect() { Connect(0); }
  // Tells all nodes but the first ones which nodes there are.
  void Connect(std::size_t first) {
    std::vector<StreamNode> all;
    for (const auto& node : nodes) {
      all.push_back({node->name, "z", node->name});
    }
    for (std::size_t index = first; index < nodes.size(); ++index) {
      nodes[index]->exchange->SetNodes(all);
    }
  }

  void After(absl::Duration delay, std::function<void()> task) {
    const std::shared_ptr<LoopTimer> timer = loop.MakeTimer();
    timer->Set(loop.Now() + delay, [timer, task = std::move(task)] { task(); });
  }

  void Deliver(const std::string& to, const std::string& bytes) {
    ++datagrams;
    if (lose && lose()) {
      return;
    }
    const auto message = DecodeFleetMessage(bytes);
    REQUIRE(message.has_value());
    After(kDelay, [this, to, message = *message] {
      for (const auto& node : nodes) {
        if (node->name == to && node->alive) {
          Receive(node.get(), message);
        }
      }
    });
  }

  static void Receive(Node* node, const FleetMessage& message) {
    if (const auto* const request = std::get_if<SlotRequest>(&message)) {
      node->exchange->OnRequest(*request);
    } else if (const auto* const reply = std::get_if<SlotReply>(&message)) {
      node->exchange->OnReply(*reply);
    } else if (const auto* const takeover = std::get_if<SlotTakeover>(&message)) {
      node->exchange->OnTakeover(*takeover);
    } else if (const auto* const notice = std::get_if<BrittleNotice>(&message)) {
      node->exchange->OnNotice(*notice);
    }
  }

  // Sends an attempt if the node gets a slot.
  void TrySend(Node* node) {
    if (!node->alive || node->exchange->Take(kWorker, 0) != SlotExchange::Outcome::kTaken) {
      return;
    }
    ++sent;
    node->most_running = std::max(node->most_running, node->workers.Find(kWorker)->running + 1);
    WorkerDemand demand;
    demand.service = kService;
    node->workers.AttemptStarted(node->workers.Find(kWorker), demand, loop.Now());
    After(kDelay, [this, node] { Arrive(node); });
  }

  void Arrive(Node* node) {
    if (running >= kSlots) {
      rejections.push_back(loop.Now());
      const auto recent = std::count_if(rejections.begin(), rejections.end(), [&](absl::Time at) {
        return at > loop.Now() - absl::Seconds(1);
      });
      most_rejections = std::max(most_rejections, static_cast<int>(recent));
      After(kDelay, [this, node] { End(node, AttemptOutcome::kFull, SlotEnd::kRejected); });
      return;
    }
    ++running;
    After(kRunTime, [this, node] {
      --running;
      ++served;
      After(kDelay, [this, node] { End(node, AttemptOutcome::kServed, SlotEnd::kFreed); });
    });
  }

  void End(Node* node, AttemptOutcome outcome, SlotEnd end) {
    if (!node->alive) {
      return;
    }
    node->workers.AttemptEnded(kWorker, "", 0, outcome, loop.Now());
    node->exchange->Return(kWorker, 0, false, end);
  }

  // All nodes try to send all the time.
  void Press(absl::Duration time) {
    const absl::Time end = loop.Now() + time;
    absl::Time next = loop.Now();
    REQUIRE(loop.RunUntil(
        [&] {
          if (loop.Now() >= next) {
            next = loop.Now() + kPressInterval;
            for (const auto& node : nodes) {
              TrySend(node.get());
            }
          }
          return loop.Now() >= end;
        },
        kLimit));
  }

  // Takes slots for attempts that go on, until the node has so many.
  void TakeSlots(Node* node, int count, double tokens = 0) {
    int taken = 0;
    REQUIRE(loop.RunUntil(
        [&] {
          if (taken < count &&
              node->exchange->Take(kWorker, tokens) == SlotExchange::Outcome::kTaken) {
            ++taken;
            WorkerDemand demand;
            demand.service = kService;
            node->workers.AttemptStarted(node->workers.Find(kWorker), demand, loop.Now());
          }
          return taken == count;
        },
        kLimit));
  }

  // Waits until the node is in line for a slot, and returns whether it got one instead.
  bool TakesInsteadOfWaiting(Node* node, double tokens = 0) {
    SlotExchange::Outcome outcome = SlotExchange::Outcome::kAsked;
    REQUIRE(loop.RunUntil(
        [&] {
          outcome = node->exchange->Take(kWorker, tokens);
          return outcome != SlotExchange::Outcome::kAsked;
        },
        kLimit));
    return outcome == SlotExchange::Outcome::kTaken;
  }

  void BeginBrittle() {
    nodes.front()->exchange->OnBrittleAnswer({kService, kSurvived});
    REQUIRE(loop.RunUntil(
        [&] {
          return std::all_of(nodes.begin(), nodes.end(),
                             [](const auto& node) { return node->exchange->IsBrittle(kService); });
        },
        kLimit));
  }

  Node* Lender() {
    std::vector<StreamNode> all;
    for (const auto& node : nodes) {
      all.push_back({node->name, "z", node->name});
    }
    const std::string name = ChooseHolders(kWorker, all, "").front().name;
    return std::find_if(nodes.begin(), nodes.end(),
                        [&](const auto& node) { return node->name == name; })
        ->get();
  }

  EventLoop loop;
  DecisionLog log{-1, &SystemClock(), DecisionLogLimits{}};
  std::vector<std::unique_ptr<Node>> nodes;
  std::function<bool()> lose;
  // Tokens in the worker's memory; 0 if it is no engine.
  double token_capacity = 0;
  int datagrams = 0;
  int running = 0;
  int sent = 0;
  int served = 0;
  int most_rejections = 0;
  std::vector<absl::Time> rejections;
};

// Guards against nodes that each have room for an attempt, where all have not (LIMIT).
TEST_CASE("nodes that press a brittle worker together make it reject nothing") {
  SlotFleet fleet(8);
  fleet.BeginBrittle();
  fleet.Press(absl::Seconds(2));
  CHECK(fleet.rejections.empty());
  CHECK(fleet.served >= 60);
}

TEST_CASE("with lost datagrams the worker survives, and is used") {
  SlotFleet fleet(8);
  fleet.BeginBrittle();
  int number = 0;
  fleet.lose = [&number] { return ++number % 7 == 0; };
  fleet.Press(absl::Seconds(3));
  CHECK(fleet.most_rejections <= kSurvived);
  CHECK(fleet.served >= 60);
}

// Guards against slots that are lent twice, or no more, when their lender is gone.
TEST_CASE("another node lends when the lender is gone, and the worker survives") {
  SlotFleet fleet(8);
  fleet.BeginBrittle();
  fleet.Press(absl::Seconds(1));
  fleet.Lender()->alive = false;
  const int served = fleet.served;
  fleet.Press(absl::Seconds(3));
  CHECK(fleet.most_rejections <= kSurvived);
  CHECK(fleet.served >= served + 60);
}

TEST_CASE("a lender that comes back lends no slot that is in use") {
  SlotFleet fleet(8);
  fleet.BeginBrittle();
  fleet.Press(absl::Seconds(1));
  SlotFleet::Node* const lender = fleet.Lender();
  lender->alive = false;
  fleet.Press(absl::Seconds(2));
  lender->alive = true;
  fleet.Press(absl::Seconds(3));
  CHECK(fleet.most_rejections <= kSurvived);
}

// Guards against nodes that reach no other node, each of which sends what it thinks there is room
// for (LIMIT).
TEST_CASE("nodes that reach no lender stay below what the worker survives, and use it") {
  SlotFleet fleet(8);
  fleet.BeginBrittle();
  fleet.lose = [] { return true; };
  fleet.Press(absl::Seconds(5));
  CHECK(fleet.most_rejections <= kSurvived);
  CHECK(fleet.served >= 30);
}

// Guards against two lenders of the same slots while nodes differ about which nodes there are.
TEST_CASE("a new node takes over from the lender, and the worker rejects next to nothing") {
  SlotFleet fleet(8);
  fleet.BeginBrittle();
  fleet.Press(absl::Seconds(1));
  for (int started = 0; started < 6; ++started) {
    SlotFleet::Node* const node = fleet.Add();
    node->exchange->OnNotice({kService, kSurvived});
    // Half of the nodes know the new one first.
    fleet.Connect(fleet.nodes.size() / 2);
    fleet.Press(absl::Milliseconds(400));
    fleet.Connect();
    fleet.Press(absl::Milliseconds(200));
  }
  MESSAGE("rejections: " << fleet.rejections.size());
  CHECK(fleet.most_rejections <= kSurvived);
  CHECK(fleet.served >= 60);
}

// Guards against a new lender that never learns what its predecessor has lent.
TEST_CASE("a lender that has taken over counts what its predecessor has lent") {
  SlotFleet fleet(6);
  fleet.BeginBrittle();
  SlotFleet::Node* const former = fleet.Lender();
  SlotFleet::Node* const borrower =
      fleet.nodes[0].get() == former ? fleet.nodes[1].get() : fleet.nodes[0].get();
  fleet.TakeSlots(borrower, kSlots - 1);
  while (fleet.Lender() == former) {
    fleet.Add()->exchange->OnNotice({kService, kSurvived});
  }
  // Only the new lender and one more node know of it.
  SlotFleet::Node* const asking = fleet.Add();
  asking->exchange->OnNotice({kService, kSurvived});
  fleet.Connect(fleet.nodes.size() - 2);
  REQUIRE(fleet.Lender() != former);
  fleet.TakeSlots(asking, 1);
  // All that the predecessor knew is there once this has been passed on.
  CHECK_FALSE(fleet.TakesInsteadOfWaiting(borrower));
  CHECK_FALSE(fleet.TakesInsteadOfWaiting(asking));
}

// Guards against a large prompt that is sent with a slot which was lent for a small one (LIMIT).
TEST_CASE("a slot is used only for an attempt of the tokens that it was lent for") {
  SlotFleet fleet(4);
  fleet.token_capacity = 1000;
  fleet.BeginBrittle();
  std::vector<SlotFleet::Node*> others;
  for (const auto& node : fleet.nodes) {
    if (node.get() != fleet.Lender()) {
      others.push_back(node.get());
    }
  }
  CHECK(others[0]->exchange->Take(kWorker, 100) == SlotExchange::Outcome::kAsked);
  // Before the reply has come.
  fleet.TakeSlots(others[0], 1, 800);
  CHECK_FALSE(fleet.TakesInsteadOfWaiting(others[1], 300));
}

// Guards against a slot that is lent while a worker goes on with an attempt that was abandoned.
TEST_CASE("the slot of an attempt that was abandoned is lent later") {
  SlotFleet fleet(3);
  fleet.BeginBrittle();
  SlotFleet::Node* const first = fleet.nodes[0].get();
  fleet.TakeSlots(first, kSlots);
  const absl::Time abandoned = fleet.loop.Now();
  first->workers.AttemptEnded(kWorker, "", 0, AttemptOutcome::kCancelled, fleet.loop.Now());
  first->exchange->Return(kWorker, 0, false, SlotEnd::kAbandoned);
  fleet.TakeSlots(fleet.nodes[1].get(), 1);
  CHECK(fleet.loop.Now() - abandoned >= absl::Milliseconds(500));
}

// Guards against two lenders that reach nobody, and lend the same slots each to itself (LIMIT).
TEST_CASE("the second lender lends to itself only what it lends to others as well") {
  SlotFleet fleet(2);
  fleet.BeginBrittle();
  fleet.lose = [] { return true; };
  fleet.Press(absl::Seconds(4));
  SlotFleet::Node* const first = fleet.Lender();
  for (const auto& node : fleet.nodes) {
    CHECK(node->most_running == (node.get() == first ? kSlots : 1));
  }
  CHECK(fleet.most_rejections <= kSurvived);
}

TEST_CASE("nothing is sent while no service is brittle") {
  SlotFleet fleet(3);
  CHECK_FALSE(fleet.nodes[0]->exchange->IsBrittle(kService));
  fleet.nodes[0]->exchange->Return(kWorker, 0, true, SlotEnd::kFreed);
  fleet.nodes[0]->exchange->OnAnswerStarted(kWorker);
  CHECK(fleet.datagrams == 0);
}

TEST_CASE("a node that asks learns which services are brittle") {
  SlotFleet fleet(2);
  fleet.BeginBrittle();
  SlotFleet::Node* const started = fleet.Add();
  CHECK_FALSE(started->exchange->IsBrittle(kService));
  fleet.nodes[0]->exchange->OnQuestion(started->name);
  REQUIRE(fleet.loop.RunUntil([&] { return started->exchange->IsBrittle(kService); }, kLimit));
}

}  // namespace
}  // namespace hingespan::gateway
