// Tests of the exchange between nodes, with datagrams that a test may lose or delay.
#include "hingespan/fleet/quarantine_exchange.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"
#include "tests/fleet/memory_store.h"

namespace hingespan::gateway {
namespace {

using Kind = QuarantineVerdict::Kind;

constexpr const char* kService = "s";
constexpr absl::Duration kLimit = absl::Seconds(20);
// Crashes closer than this may be of one event.
constexpr absl::Duration kApart = absl::Milliseconds(60);
// No datagram for this long: all rounds are over.
constexpr absl::Duration kQuiet = absl::Milliseconds(600);

// Nodes on one event loop that deliver each other's datagrams.
struct Fleet {
  struct Node {
    std::string name;
    GatewayMetrics metrics;
    std::unique_ptr<QuarantineRecord> record;
    std::unique_ptr<QuarantineExchange> exchange;
    int taken_over = 0;
  };
  struct Datagram {
    std::string from;
    std::string to;
    FleetMessage message;
  };

  explicit Fleet(int count) {
    for (int number = 0; number < count; ++number) {
      Add();
    }
    Connect();
  }

  Node* Add() {
    auto node = std::make_unique<Node>();
    node->name = absl::StrCat("n", nodes.size());
    node->record = std::make_unique<QuarantineRecord>(
        QuarantineRecordSettings(),
        QuarantineRecordParts{&loop, &SystemClock(), &store, &log, &node->metrics});
    QuarantineExchangeParts parts;
    parts.loop = &loop;
    parts.log = &log;
    parts.metrics = &node->metrics;
    parts.record = node->record.get();
    parts.send = [this, from = node->name](const std::string& address, absl::string_view bytes) {
      Deliver(from, address, std::string(bytes));
    };
    parts.probe = [this](const std::string& address, std::function<void(bool)> callback) {
      ++probes;
      if (hold_probes) {
        return;
      }
      loop.Post([this, address, callback] { callback(address == sound_worker); });
    };
    parts.on_quarantine = [node = node.get()] { ++node->taken_over; };
    node->exchange = std::make_unique<QuarantineExchange>(node->name, std::move(parts));
    node->exchange->SetAddress(node->name);
    nodes.push_back(std::move(node));
    return nodes.back().get();
  }

  void Connect() {
    std::vector<StreamNode> all;
    for (const auto& node : nodes) {
      all.push_back({node->name, "z", node->name});
    }
    for (const auto& node : nodes) {
      node->exchange->SetNodes(all);
    }
  }

  void Deliver(const std::string& from, const std::string& to, const std::string& bytes) {
    const auto message = DecodeFleetMessage(bytes);
    REQUIRE(message.has_value());
    sent.push_back({from, to, *message});
    last_sent = loop.Now();
    if (lose && lose(sent.back())) {
      return;
    }
    loop.Post([this, to, message = *message] {
      for (const auto& node : nodes) {
        if (node->name == to) {
          Receive(node.get(), message);
        }
      }
    });
  }

  static void Receive(Node* node, const FleetMessage& message) {
    if (const auto* const crash = std::get_if<CrashNotice>(&message)) {
      node->exchange->OnCrash(*crash);
    } else if (const auto* const retraction = std::get_if<CrashRetraction>(&message)) {
      node->exchange->OnRetraction(*retraction);
    } else if (const auto* const served = std::get_if<ServedRequests>(&message)) {
      node->exchange->OnServed(*served);
    } else if (const auto* const notice = std::get_if<QuarantineNotice>(&message)) {
      node->exchange->OnQuarantine(*notice);
    } else if (const auto* const cleared = std::get_if<ClearedParts>(&message)) {
      node->exchange->OnCleared(*cleared);
    } else if (const auto* const question = std::get_if<QuarantineQuestion>(&message)) {
      node->exchange->OnQuestion(*question);
    }
  }

  void Wait(const std::function<bool()>& done) { REQUIRE(loop.RunUntil(done, kLimit)); }
  void Pause(absl::Duration time) {
    bool over = false;
    const auto timer = loop.MakeTimer();
    timer->Set(loop.Now() + time, [&] { over = true; });
    Wait([&] { return over; });
  }
  void WaitUntilQuiet() {
    do {
      Pause(kQuiet);
    } while (loop.Now() - last_sent < kQuiet);
  }

  // Workers crash one after the other that were to answer these parts for the node.
  void Crash(int node, const PromptPartIds& parts, int count) {
    for (int number = 0; number < count; ++number) {
      nodes[static_cast<std::size_t>(node)]->exchange->OnAttemptBroken(
          absl::StrCat("w", next_worker), "gone", kService, parts);
      ++next_worker;
      Pause(kApart);
    }
  }

  bool IsFree(int node, const PromptPartIds& parts) {
    return !nodes[static_cast<std::size_t>(node)]
                ->exchange->RetryAfter(kService, parts)
                .has_value();
  }
  bool AllRefuse(const PromptPartIds& parts) {
    for (std::size_t node = 0; node < nodes.size(); ++node) {
      if (IsFree(static_cast<int>(node), parts)) {
        return false;
      }
    }
    return true;
  }
  bool AllFree(const PromptPartIds& parts) {
    for (std::size_t node = 0; node < nodes.size(); ++node) {
      if (!IsFree(static_cast<int>(node), parts)) {
        return false;
      }
    }
    return true;
  }

  // Workers end one after the other under the request, which the node sent.
  void Interrupt(int node, RequestContent request, int count, const std::string& address = "gone") {
    for (int number = 0; number < count; ++number) {
      nodes[static_cast<std::size_t>(node)]->exchange->OnRequestInterrupted(
          request, absl::StrCat("w", next_worker++), address);
    }
  }
  bool AllRefuseRequest(RequestContent request) {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
      return node->exchange->RefusedFor(request) > absl::ZeroDuration();
    });
  }
  bool AllSendRequest(RequestContent request) {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
      return node->exchange->RefusedFor(request) == absl::ZeroDuration();
    });
  }

  // All nodes read the table, as they do at intervals.
  void ReadTable() {
    std::size_t left = nodes.size();
    for (const auto& node : nodes) {
      store.Read(QuarantineRecordSettings().table,
                 [&left, record = node->record.get()](const Result<StoreRows>& rows) {
                   record->OnTable(*rows);
                   --left;
                 });
    }
    Wait([&] { return left == 0; });
  }
  // All nodes end at the same time, and as many new ones start.
  void RestartAll() {
    const std::size_t count = nodes.size();
    nodes.clear();
    for (std::size_t number = 0; number < count; ++number) {
      Add();
    }
    Connect();
    ReadTable();
  }
  std::uint64_t Writes() const {
    std::uint64_t writes = 0;
    for (const auto& node : nodes) {
      writes += node->metrics.quarantine_writes;
    }
    return writes;
  }

  EventLoop loop;
  MemoryStore store{&loop};
  DecisionLog log{-1, &SystemClock(), DecisionLogLimits{}};
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Datagram> sent;
  absl::Time last_sent = absl::InfinitePast();
  // Returns whether the datagram is lost.
  std::function<bool(const Datagram&)> lose;
  std::string sound_worker = "sound";
  int probes = 0;
  // True if no probe is answered or fails.
  bool hold_probes = false;
  int next_worker = 0;
};

// Guards against nodes that go on sending such requests as the crashes were at different nodes.
TEST_CASE("crashes at different nodes add up, and all nodes refuse") {
  Fleet fleet(3);
  for (int node = 0; node < 3; ++node) {
    fleet.Crash(node, {"bad", absl::StrCat("own", node)}, 1);
  }
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
  CHECK(fleet.AllFree({"own0"}));
  CHECK(fleet.nodes[0]->taken_over >= 1);
  // All three may find it due at once.
  CHECK(fleet.nodes[0]->metrics.worker_crashes == 1);
}

// Guards against a quarantine that one lost datagram keeps from a node.
TEST_CASE("a round of datagrams that are all lost is made up for") {
  Fleet fleet(3);
  std::map<std::string, int> rounds;
  fleet.lose = [&](const Fleet::Datagram& datagram) {
    // The first copy of each message to each node.
    return ++rounds[absl::StrCat(datagram.to, EncodeFleetMessage(datagram.message))] == 1;
  };
  fleet.Crash(0, {"bad"}, 1);
  fleet.Crash(1, {"bad"}, 1);
  fleet.Crash(2, {"bad"}, 1);
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
}

// Guards against a restarted node that sends such requests again.
TEST_CASE("a node that starts later learns of the quarantine by its question") {
  Fleet fleet(3);
  fleet.Crash(0, {"bad"}, 3);
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
  fleet.WaitUntilQuiet();
  fleet.Add();
  CHECK(!fleet.AllRefuse({"bad"}));
  fleet.Connect();
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
  CHECK(fleet.nodes[3]->taken_over == 1);
}

// Guards against a question that is asked only once and lost.
TEST_CASE("a node that starts asks again") {
  Fleet fleet(3);
  fleet.Crash(0, {"bad"}, 3);
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
  fleet.WaitUntilQuiet();
  int questions = 0;
  fleet.lose = [&](const Fleet::Datagram& datagram) {
    return std::holds_alternative<QuarantineQuestion>(datagram.message) && ++questions <= 3;
  };
  fleet.Add();
  fleet.Connect();
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
}

// Guards against a node that was cut off and goes on sending such requests.
TEST_CASE("a node that tells of a crash that a quarantine explains is told of it") {
  Fleet fleet(3);
  fleet.lose = [](const Fleet::Datagram& datagram) { return datagram.to == "n2"; };
  fleet.Crash(0, {"bad"}, 3);
  fleet.Wait([&] { return !fleet.IsFree(0, {"bad"}) && !fleet.IsFree(1, {"bad"}); });
  fleet.WaitUntilQuiet();
  CHECK(fleet.IsFree(2, {"bad"}));
  fleet.lose = nullptr;
  fleet.Crash(2, {"bad", "other"}, 1);
  fleet.Wait([&] { return !fleet.IsFree(2, {"bad"}); });
  CHECK(fleet.AllFree({"other"}));
}

// Guards against refusing sound requests that other nodes' workers answer.
TEST_CASE("an objection narrows the quarantine at all nodes") {
  Fleet fleet(3);
  fleet.Crash(0, {"bad", "first"}, 1);
  fleet.nodes[1]->exchange->RecordAnswered(kService, {"first", "sound"});
  fleet.Crash(0, {"bad", "first"}, 2);
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
  fleet.WaitUntilQuiet();
  CHECK(fleet.AllRefuse({"bad"}));
  CHECK(fleet.AllFree({"first", "sound"}));
}

// Guards against a quarantine that stays at some nodes, or comes back, after it was lifted.
TEST_CASE("a lifted quarantine does not come back by late rounds of its notice") {
  Fleet fleet(4);
  // The replies to first questions would mend what is checked here.
  fleet.WaitUntilQuiet();
  fleet.Crash(0, {"first", "sound"}, 3);
  fleet.Wait([&] { return fleet.AllRefuse({"first", "sound"}); });
  // The second and third rounds are still to come.
  fleet.nodes[1]->exchange->RecordAnswered(kService, {"first", "sound"});
  SUBCASE("datagrams arrive") {}
  SUBCASE("the last round about its end is lost") {
    std::map<std::string, int> rounds;
    fleet.lose = [rounds](const Fleet::Datagram& datagram) mutable {
      const std::string bytes = EncodeFleetMessage(datagram.message);
      return datagram.from == "n1" && ++rounds[absl::StrCat(datagram.to, bytes)] >= 2;
    };
  }
  fleet.WaitUntilQuiet();
  CHECK(fleet.AllFree({"first", "sound"}));
}

// Guards against sound parts that are refused as a late round of the notice makes the quarantine
// seem younger than their answer (LOST).
TEST_CASE("a node objects to late rounds of a notice as it does to the first") {
  Fleet fleet(2);
  fleet.WaitUntilQuiet();
  int rounds = 0;
  fleet.lose = [&](const Fleet::Datagram& datagram) {
    return std::holds_alternative<QuarantineNotice>(datagram.message) && ++rounds <= 2;
  };
  fleet.Crash(0, {"first", "sound"}, 1);
  fleet.nodes[1]->exchange->RecordAnswered(kService, {"first", "sound"});
  fleet.Crash(0, {"first", "sound"}, 2);
  fleet.Wait([&] { return fleet.nodes[0]->metrics.quarantines == 1; });
  fleet.WaitUntilQuiet();
  CHECK(rounds == 3);
  CHECK(fleet.AllFree({"first", "sound"}));
}

// Guards against sound parts that one node alone refuses for long, as it missed that the quarantine
// was lifted and another node admits its trials (LOST).
TEST_CASE("a quarantine that one node has alone is lifted by those that know better") {
  Fleet fleet(3);
  fleet.WaitUntilQuiet();
  constexpr int kSinceMs = 6000;
  PromptPartIds parts;
  for (int number = 0; number < 6; ++number) {
    const std::string part = absl::StrCat("sound", number);
    parts.insert(part);
    fleet.nodes[1]->exchange->RecordAnswered(kService, {part});
    fleet.nodes[2]->exchange->RecordAnswered(kService, {part});
    fleet.nodes[0]->exchange->OnQuarantine({kService, {part}, {"w"}, kSinceMs, 60'000, "gone"});
    CHECK(!fleet.IsFree(0, {part}));
  }
  // This node records those whose trials it admits, the others remove them, and it reads that.
  for (int read = 0; read < 3; ++read) {
    fleet.ReadTable();
    fleet.WaitUntilQuiet();
  }
  for (const std::string& part : parts) {
    CAPTURE(part);
    CHECK(fleet.AllFree({part}));
  }
}

// Guards against a part that stays quarantined at a node that objected to another one.
TEST_CASE("objections of several nodes lift a quarantine of sound parts everywhere") {
  Fleet fleet(4);
  // The replies to first questions would mend what is checked here.
  fleet.WaitUntilQuiet();
  fleet.Crash(0, {"first", "sound"}, 1);
  fleet.nodes[1]->exchange->RecordAnswered(kService, {"first"});
  fleet.nodes[2]->exchange->RecordAnswered(kService, {"sound"});
  fleet.Crash(0, {"first", "sound"}, 2);
  fleet.Wait([&] { return fleet.nodes[0]->metrics.quarantines == 1; });
  fleet.WaitUntilQuiet();
  CHECK(fleet.AllFree({"first", "sound"}));
}

// Guards against taking resets and lost answers for crashes.
TEST_CASE("attempts broken by a worker that still answers are no crash") {
  Fleet fleet(2);
  for (int number = 0; number < 5; ++number) {
    fleet.nodes[0]->exchange->OnAttemptBroken("w", "sound", kService, {"first"});
    fleet.Pause(kApart);
  }
  CHECK(fleet.probes == 5);
  fleet.WaitUntilQuiet();
  CHECK(fleet.nodes[0]->metrics.worker_crashes == 0);
  CHECK(fleet.AllFree({"first"}));
  CHECK(fleet.nodes[0]->metrics.quarantine_datagrams == 0);
}

// Guards against trials at several nodes, each of which may crash a worker (BUDGET).
TEST_CASE("one node admits a trial, whichever nodes are asked") {
  Fleet fleet(4);
  constexpr int kFirstTrialMs = 30'000;
  constexpr int kLifetimeMs = 60'000;
  for (const auto& node : fleet.nodes) {
    node->exchange->OnQuarantine({kService, {"bad"}, {"w"}, kFirstTrialMs - 50, kLifetimeMs, "n0"});
  }
  fleet.Pause(absl::Milliseconds(80));
  int trials = 0;
  for (const auto& node : fleet.nodes) {
    const QuarantineVerdict verdict = node->exchange->Admit(kService, {"bad"});
    trials += verdict.kind == Kind::kTrial ? 1 : 0;
    CHECK(verdict.kind != Kind::kFree);
  }
  CHECK(trials == 1);
}

// Guards against a caller's next try that reaches another node which knows nothing (BUDGET).
TEST_CASE("ends under a request at different nodes add up, and all nodes refuse it") {
  Fleet fleet(3);
  fleet.Interrupt(0, 7, 2);
  fleet.WaitUntilQuiet();
  CHECK(fleet.AllSendRequest(7));
  fleet.Interrupt(1, 7, 1);
  fleet.Wait([&] { return fleet.AllRefuseRequest(7); });
  CHECK(fleet.AllSendRequest(8));
}

// Guards against a caller's next try that comes before the worker was checked (BUDGET).
TEST_CASE("ends under a request are told before their workers were checked") {
  Fleet fleet(3);
  fleet.hold_probes = true;
  SUBCASE("two at the first node") {
    fleet.Interrupt(0, 7, 2);
    fleet.WaitUntilQuiet();
    fleet.Interrupt(1, 7, 1);
  }
  SUBCASE("two at the second node") {
    fleet.Interrupt(0, 7, 1);
    fleet.nodes[0]->exchange->OnRequestFailed(7);
    fleet.WaitUntilQuiet();
    fleet.Interrupt(1, 7, 2);
  }
  fleet.Wait([&] { return fleet.AllRefuseRequest(7); });
}

TEST_CASE("one end under a request is told once the request has failed") {
  Fleet fleet(3);
  fleet.Interrupt(0, 7, 1);
  fleet.WaitUntilQuiet();
  CHECK(fleet.probes == 0);
  fleet.nodes[0]->exchange->OnRequestFailed(7);
  fleet.WaitUntilQuiet();
  CHECK(fleet.probes == 1);
  fleet.Interrupt(1, 7, 2);
  fleet.Wait([&] { return fleet.AllRefuseRequest(7); });
}

// Guards against a crash whose later requests no other node knows of, and against one notice for
// each of them (BUDGET).
TEST_CASE("requests that end after their worker's crash is known are told once they have failed") {
  Fleet fleet(2);
  fleet.nodes[0]->exchange->OnAttemptBroken("w", "gone", kService, {"part"});
  fleet.WaitUntilQuiet();
  const std::size_t before = fleet.sent.size();
  for (RequestContent request = 0; request < 20; ++request) {
    fleet.nodes[0]->exchange->OnRequestInterrupted(request, "w", "gone");
  }
  CHECK(fleet.sent.size() == before);
  fleet.nodes[0]->exchange->OnRequestFailed(7);
  fleet.nodes[0]->exchange->OnRequestFailed(7);
  fleet.WaitUntilQuiet();
  // Three rounds to the other node.
  CHECK(fleet.sent.size() == before + 3);
  CHECK(fleet.probes == 1);
  fleet.Interrupt(1, 7, 2);
  fleet.Wait([&] { return fleet.AllRefuseRequest(7); });
}

TEST_CASE("a node that starts is told of a bounded number of crashes") {
  Fleet fleet(1);
  fleet.Interrupt(0, 7, 200);
  fleet.WaitUntilQuiet();
  const std::size_t before = fleet.sent.size();
  fleet.nodes[0]->exchange->OnQuestion({"n9"});
  CHECK(fleet.sent.size() == before + 64);
}

// Guards against refusing requests whose connections were reset.
TEST_CASE("interruptions by workers that still answer are no ends, also if they were told") {
  Fleet fleet(3);
  fleet.Interrupt(0, 7, 3, "sound");
  CHECK(fleet.nodes[0]->exchange->RefusedFor(7) > absl::ZeroDuration());
  fleet.WaitUntilQuiet();
  CHECK(fleet.AllSendRequest(7));
}

// Guards against refusing callers whose requests look the same.
TEST_CASE("a node that has served such a request clears it at all nodes") {
  Fleet fleet(3);
  fleet.nodes[2]->exchange->RecordServed(7);
  fleet.Interrupt(0, 7, 3);
  fleet.WaitUntilQuiet();
  CHECK(fleet.AllSendRequest(7));
}

TEST_CASE("a node that starts learns under which requests workers have ended") {
  Fleet fleet(3);
  fleet.Interrupt(0, 7, 3);
  fleet.Wait([&] { return fleet.AllRefuseRequest(7); });
  fleet.WaitUntilQuiet();
  fleet.Add();
  fleet.Connect();
  fleet.Wait([&] { return fleet.AllRefuseRequest(7); });
}

// Guards against a check for a request that hides what a prompt's crash says about its parts.
TEST_CASE("a worker that is checked for a request is evidence against prompt parts, too") {
  Fleet fleet(3);
  for (int number = 0; number < 3; ++number) {
    const std::string worker = absl::StrCat("w", fleet.next_worker);
    fleet.Interrupt(0, static_cast<RequestContent>(number), 1);
    fleet.nodes[0]->exchange->OnRequestFailed(static_cast<RequestContent>(number));
    if (number == 2) {
      fleet.Pause(kApart);
    }
    fleet.nodes[0]->exchange->OnAttemptBroken(worker, "gone", kService, {"bad"});
    fleet.Pause(kApart);
  }
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
}

// Guards against one check and one notice for each of the requests that a crash ended.
TEST_CASE("a crashed worker is checked and told of once") {
  Fleet fleet(2);
  for (int number = 0; number < 20; ++number) {
    fleet.nodes[0]->exchange->OnAttemptBroken("w", "gone", kService, {"first"});
  }
  fleet.WaitUntilQuiet();
  CHECK(fleet.probes == 1);
  CHECK(fleet.nodes[0]->metrics.worker_crashes == 1);
  CHECK(fleet.AllFree({"first"}));
}

// Guards against peers' messages that refuse or free everything.
TEST_CASE("malformed notices change nothing") {
  Fleet fleet(2);
  fleet.Crash(0, {"bad"}, 3);
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
  constexpr int kMost = std::numeric_limits<int>::max();
  constexpr int kLeast = std::numeric_limits<int>::min();
  QuarantineExchange* const exchange = fleet.nodes[1]->exchange.get();
  for (const int lifetime : {kLeast, -1, 0, 1, 60'000, kMost}) {
    for (const int since : {kLeast, -1, 0, kMost}) {
      exchange->OnQuarantine({kService, {}, {}, since, lifetime, "n0"});
      exchange->OnQuarantine({"", {}, {}, since, lifetime, ""});
    }
  }
  exchange->OnCrash({"", kService, {}, ""});
  exchange->OnCleared({kService, {}, false});
  exchange->OnCleared({kService, {}, true});
  CHECK(fleet.AllRefuse({"bad"}));
  CHECK(fleet.AllFree({"sound"}));
  exchange->RecordAnswered(kService, {"sound"});
  exchange->OnQuarantine({kService, {"sound"}, {}, kLeast, kMost, "n0"});
  const auto left = exchange->RetryAfter(kService, {"sound"});
  CHECK(left.value_or(absl::ZeroDuration()) <= QuarantineSettings().first_trial);
}

// Guards against a crashing part that other nodes are not told of, as the prompts have many parts
// (BUDGET).
TEST_CASE("crashes on prompts with many parts at different nodes add up") {
  Fleet fleet(18);
  SUBCASE("datagrams arrive") {}
  SUBCASE("a round of datagrams that are all lost is made up for") {
    std::map<std::string, int> rounds;
    fleet.lose = [rounds](const Fleet::Datagram& datagram) mutable {
      const auto* const notice = std::get_if<QuarantineNotice>(&datagram.message);
      // Each round of such a notice tells the age that the quarantine has then.
      return ++rounds[absl::StrCat(
                 datagram.from, datagram.to,
                 notice == nullptr ? EncodeFleetMessage(datagram.message) : notice->id)] == 1;
    };
  }
  for (int node = 0; node < 3; ++node) {
    PromptPartIds prompt = {"zz-bad"};
    for (int number = 0; number < 400; ++number) {
      prompt.insert(absl::StrCat("document-", node, "-", number));
    }
    fleet.Crash(node, prompt, 1);
  }
  fleet.Wait([&] { return fleet.AllRefuse({"zz-bad"}); });
  CHECK(fleet.AllFree({"document-0-0", "document-1-0"}));
  for (const Fleet::Datagram& datagram : fleet.sent) {
    if (std::holds_alternative<CrashNotice>(datagram.message)) {
      CHECK(EncodeFleetMessage(datagram.message).size() <= 1400);
    }
  }
}

// Guards against a crashing part that is forgotten when all processes are killed (BUDGET).
TEST_CASE("a quarantine outlives all nodes") {
  Fleet fleet(6);
  fleet.Crash(0, {"bad"}, 3);
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
  fleet.WaitUntilQuiet();
  CHECK(fleet.Writes() == 1);
  fleet.RestartAll();
  CHECK(fleet.AllRefuse({"bad"}));
  CHECK(fleet.AllFree({"sound"}));
  // And it is lifted for good by an answer.
  fleet.nodes[2]->exchange->RecordAnswered(kService, {"bad", "sound"});
  fleet.WaitUntilQuiet();
  CHECK(fleet.AllFree({"bad"}));
  fleet.RestartAll();
  CHECK(fleet.AllFree({"bad"}));
}

// Guards against sound parts that are refused again after all processes were killed (LOST).
TEST_CASE("the record of a quarantine has the parts that answers have left") {
  Fleet fleet(4);
  fleet.Crash(0, {"bad", "first"}, 3);
  fleet.Wait([&] { return fleet.AllRefuse({"bad", "first"}); });
  SUBCASE("at once") {}
  SUBCASE("later") { fleet.WaitUntilQuiet(); }
  fleet.nodes[3]->exchange->RecordAnswered(kService, {"first"});
  fleet.WaitUntilQuiet();
  fleet.RestartAll();
  CHECK(fleet.AllRefuse({"bad"}));
  CHECK(fleet.AllFree({"first"}));
}

// Guards against a quarantine that is in no record, as the node that imposed it was killed before
// it could write.
TEST_CASE("another node records a quarantine that is not") {
  Fleet fleet(3);
  fleet.store.unanswered = 1;
  fleet.Crash(0, {"bad"}, 3);
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
  fleet.WaitUntilQuiet();
  fleet.nodes.erase(fleet.nodes.begin());
  fleet.Connect();
  bool recorded = false;
  for (int read = 0; read < 10 && !recorded; ++read) {
    fleet.ReadTable();
    fleet.Pause(absl::Seconds(1));
    recorded = fleet.Writes() > 0;
  }
  fleet.RestartAll();
  CHECK(fleet.AllRefuse({"bad"}));
}

// Guards against sound parts that are refused again as the write of their quarantine takes effect
// once they were cleared (LOST).
TEST_CASE("a late write of a quarantine that was lifted is undone") {
  Fleet fleet(3);
  fleet.WaitUntilQuiet();
  fleet.store.unanswered = 1;
  fleet.Crash(0, {"first", "sound"}, 3);
  fleet.Wait([&] { return fleet.AllRefuse({"first", "sound"}); });
  fleet.WaitUntilQuiet();
  fleet.nodes[1]->exchange->RecordAnswered(kService, {"first", "sound"});
  fleet.WaitUntilQuiet();
  fleet.ReadTable();
  REQUIRE(fleet.AllFree({"first", "sound"}));
  fleet.store.ApplyLate();
  for (int read = 0; read < 3; ++read) {
    fleet.ReadTable();
    fleet.WaitUntilQuiet();
  }
  CHECK(fleet.AllFree({"first", "sound"}));
  fleet.RestartAll();
  CHECK(fleet.AllFree({"first", "sound"}));
}

// Guards against a call to the store on a day without crashes.
TEST_CASE("answers without a quarantine call no store") {
  Fleet fleet(3);
  fleet.nodes[0]->exchange->RecordAnswered(kService, {"first"});
  fleet.Crash(0, {"rare"}, 1);
  fleet.WaitUntilQuiet();
  CHECK(fleet.store.reads + fleet.store.commits == 0);
}

// Guards against a message of a peer that makes nodes answer each other without end.
TEST_CASE("the datagrams of a quarantine come to an end") {
  Fleet fleet(9);
  for (int node = 0; node < 9; ++node) {
    fleet.nodes[static_cast<std::size_t>(node)]->exchange->RecordAnswered(kService, {"first"});
  }
  fleet.Crash(0, {"bad", "first"}, 1);
  for (int node = 1; node < 9; ++node) {
    fleet.nodes[static_cast<std::size_t>(node)]->exchange->RecordAnswered(kService, {"first"});
  }
  fleet.Crash(0, {"bad", "first"}, 4);
  fleet.Wait([&] { return fleet.AllRefuse({"bad"}); });
  fleet.WaitUntilQuiet();
  CHECK(fleet.AllFree({"first"}));
  MESSAGE("datagrams: " << fleet.sent.size());
}

}  // namespace
}  // namespace hingespan::gateway
