// Tests of the lending of slots, in virtual time.
#include "hingespan/serving/slot_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/rapidcheck_seed.h"

namespace hingespan::gateway {
namespace {

constexpr const char* kWorker = "w1";

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

// A node that tells the truth about what it holds.
struct Borrower {
  SlotRequest Request(bool wants_slot) {
    SlotRequest request;
    request.worker_id = kWorker;
    request.borrower = {name, 1, name};
    request.number = ++number;
    request.held = held;
    request.capacity = capacity;
    request.confirmed = confirmed;
    request.rejections = std::exchange(rejections, 0);
    request.wants_reply = wants_slot;
    request.wants_slot = wants_slot;
    request.wanted_tokens = tokens;
    return request;
  }
  void Receive(const LentSlot& slot) {
    if (slot.number > confirmed) {
      confirmed = slot.number;
      ++held.slots;
      ++held.starting;
      held.tokens += tokens;
    }
  }

  std::string name;
  WorkerCapacity capacity{2, 0, 3};
  HeldSlots held;
  std::uint64_t number = 0;
  std::uint64_t confirmed = 0;
  int rejections = 0;
  double tokens = 0;
};

// Asks for a slot and returns whether it was lent at once.
bool Ask(SlotLedger* ledger, Borrower* borrower, absl::Time now) {
  bool lent = false;
  for (const LentSlot& slot : ledger->Apply(borrower->Request(true), 0, now)) {
    if (slot.borrower.node == borrower->name) {
      borrower->Receive(slot);
      lent = true;
    }
  }
  return lent;
}

std::vector<LentSlot> GiveBack(SlotLedger* ledger, Borrower* borrower, absl::Time now) {
  --borrower->held.slots;
  borrower->held.starting = std::min(borrower->held.starting, borrower->held.slots);
  borrower->held.tokens -= borrower->tokens;
  return ledger->Apply(borrower->Request(false), 0, now);
}

TEST_CASE("all nodes together get as many slots as the worker has") {
  SlotLedger ledger;
  Borrower a{"a"};
  Borrower b{"b"};
  Borrower c{"c"};
  CHECK(Ask(&ledger, &a, At(0)));
  CHECK(Ask(&ledger, &b, At(0)));
  CHECK_FALSE(Ask(&ledger, &c, At(0)));
  const std::vector<LentSlot> lent = GiveBack(&ledger, &a, At(0.1));
  REQUIRE(lent.size() == 1);
  CHECK(lent.front().borrower.node == "c");
  CHECK(lent.front().number == c.number);
}

TEST_CASE("a node keeps its place in line when it asks again, and leaves it when it doesn't") {
  SlotLedger ledger;
  Borrower a{"a"};
  Borrower b{"b"};
  Borrower c{"c"};
  CHECK(Ask(&ledger, &a, At(0)));
  CHECK(Ask(&ledger, &a, At(0)));
  CHECK_FALSE(Ask(&ledger, &b, At(0)));
  CHECK_FALSE(Ask(&ledger, &c, At(0.1)));
  CHECK_FALSE(Ask(&ledger, &b, At(0.3)));
  CHECK(GiveBack(&ledger, &a, At(0.35)).front().borrower.node == "b");
  CHECK(GiveBack(&ledger, &a, At(0.9)).empty());
}

// Guards against lending a slot twice because the message that lent it was lost.
TEST_CASE("a node that asks again before it knows of its slot gets the same one") {
  SlotLedger ledger;
  Borrower a{"a"};
  Borrower b{"b"};
  const std::vector<LentSlot> lost = ledger.Apply(a.Request(true), 0, At(0));
  const std::vector<LentSlot> again = ledger.Apply(a.Request(true), 0, At(0.1));
  REQUIRE(again.size() == 1);
  CHECK(again.front().number == lost.front().number);
  CHECK(Ask(&ledger, &b, At(0.1)));
  CHECK_FALSE(Ask(&ledger, &b, At(0.1)));
  // Never confirmed, so it is lent to the next in line.
  CHECK(ledger.LendDue(At(0.45)).empty());
  CHECK_FALSE(Ask(&ledger, &b, At(1.45)));
  const std::vector<LentSlot> due = ledger.LendDue(At(1.55));
  REQUIRE(due.size() == 1);
  CHECK(due.front().borrower.node == "b");
}

TEST_CASE("the slots of a node that says nothing any more are free after a while") {
  SlotLedger ledger;
  Borrower a{"a"};
  Borrower b{"b"};
  CHECK(Ask(&ledger, &a, At(0)));
  CHECK(Ask(&ledger, &a, At(0)));
  ledger.Apply(a.Request(false), 0, At(0));
  CHECK_FALSE(Ask(&ledger, &b, At(3.9)));
  CHECK(Ask(&ledger, &b, At(4.1)));
}

TEST_CASE("the slots of a node's earlier process are free once it has restarted") {
  SlotLedger ledger;
  Borrower a{"a"};
  CHECK(Ask(&ledger, &a, At(0)));
  CHECK(Ask(&ledger, &a, At(0)));
  Borrower restarted{"a"};
  SlotRequest request = restarted.Request(true);
  request.borrower.incarnation = 2;
  CHECK(ledger.Apply(request, 0, At(0.1)).size() == 1);
}

TEST_CASE("an older message changes nothing") {
  SlotLedger ledger;
  Borrower a{"a"};
  Borrower b{"b"};
  const SlotRequest first = a.Request(false);
  CHECK(Ask(&ledger, &a, At(0)));
  CHECK(Ask(&ledger, &a, At(0)));
  ledger.Apply(a.Request(false), 0, At(0));
  ledger.Apply(first, 0, At(0));
  CHECK_FALSE(Ask(&ledger, &b, At(0)));
}

// Guards against a lender that takes over and lends what is in use already.
TEST_CASE("a new lender counts the reported load, less and less of it") {
  SlotLedger ledger;
  Borrower a{"a"};
  CHECK(ledger.Apply(a.Request(true), 2, At(0)).empty());
  CHECK(ledger.LendDue(At(0.35)).empty());
  CHECK(ledger.Apply(a.Request(true), 2, At(0.7)).empty());
  CHECK(ledger.Apply(a.Request(true), 2, At(0.8)).size() == 1);
}

TEST_CASE("the reported load is not counted twice") {
  SlotLedger ledger;
  Borrower a{"a"};
  a.held.slots = 1;
  CHECK(ledger.Apply(a.Request(true), 1, At(0)).size() == 1);
}

TEST_CASE("a rejection lowers what is lent, and nothing is lent for the rest of the second") {
  SlotLedger ledger;
  Borrower a{"a"};
  a.capacity.slots = 8;
  for (int slot = 0; slot < 4; ++slot) {
    CHECK(Ask(&ledger, &a, At(0)));
  }
  --a.held.slots;
  a.rejections = 1;
  CHECK(ledger.Apply(a.Request(true), 0, At(0.1)).empty());
  CHECK(ledger.LimitOf(kWorker) == 3);
  a.held.slots = 0;
  CHECK_FALSE(Ask(&ledger, &a, At(1.05)));
  CHECK(Ask(&ledger, &a, At(1.15)));
  CHECK(ledger.LimitOf(kWorker) == 4);
  ledger.LendDue(At(6));
  CHECK(ledger.LimitOf(kWorker) == 8);
}

TEST_CASE("workers that survive many rejections are lent on after one") {
  SlotLedger ledger;
  Borrower a{"a"};
  a.capacity = {4, 0, 30};
  CHECK(Ask(&ledger, &a, At(0)));
  a.rejections = 1;
  CHECK(ledger.Apply(a.Request(false), 0, At(0)).empty());
  a.held.slots = 0;
  CHECK(Ask(&ledger, &a, At(0)));
}

TEST_CASE("an engine's memory is lent by tokens, and few prompts wait to be read") {
  SlotLedger ledger;
  Borrower a{"a"};
  a.capacity = {16, 1000, 3};
  a.tokens = 400;
  CHECK(Ask(&ledger, &a, At(0)));
  CHECK(Ask(&ledger, &a, At(0)));
  CHECK_FALSE(Ask(&ledger, &a, At(0)));
  Borrower b{"b"};
  b.capacity = a.capacity;
  b.tokens = 10;
  SlotLedger other;
  for (int slot = 0; slot < 4; ++slot) {
    CHECK(Ask(&other, &b, At(0)));
  }
  CHECK_FALSE(Ask(&other, &b, At(0)));
  b.held.starting = 0;
  CHECK(Ask(&other, &b, At(0)));
}

TEST_CASE("a prompt larger than an engine's memory is lent a slot while nothing else runs") {
  SlotLedger ledger;
  Borrower a{"a"};
  a.capacity = {16, 1000, 3};
  a.tokens = 2000;
  CHECK(Ask(&ledger, &a, At(0)));
  CHECK_FALSE(Ask(&ledger, &a, At(0)));
}

// Nodes whose messages to the lender and back are lost, delayed and reordered.
struct LossyFleet {
  LossyFleet(std::uint64_t seed, double lost, double active)
      : random(seed), lost_part(lost), active_part(active) {
    for (int number = 0; number < 5; ++number) {
      borrowers.push_back({absl::StrCat("n", number)});
      borrowers.back().capacity.slots = kSlots;
    }
  }

  double Draw() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
  // Infinite if the message is lost.
  absl::Time Arrival(absl::Time now) {
    return Draw() < lost_part ? absl::InfiniteFuture() : now + absl::Milliseconds(1 + 60 * Draw());
  }

  void Step(absl::Time now) {
    for (auto entry = to_lender.begin(); entry != to_lender.end() && entry->first <= now;
         entry = to_lender.erase(entry)) {
      Reply(ledger.Apply(entry->second, 0, now), now);
    }
    Reply(ledger.LendDue(now), now);
    for (auto entry = to_nodes.begin(); entry != to_nodes.end() && entry->first <= now;
         entry = to_nodes.erase(entry)) {
      for (Borrower& borrower : borrowers) {
        if (borrower.name == entry->second.borrower.node) {
          borrower.Receive(entry->second);
        }
      }
    }
    for (Borrower& borrower : borrowers) {
      const double choice = Draw();
      absl::Time& told = told_at.try_emplace(borrower.name, now).first->second;
      if (choice < active_part) {
        Send(borrower.Request(true), now);
        told = now;
      } else if (now - told >= kRenewalInterval) {
        Send(borrower.Request(false), now);
        told = now;
      } else if (choice < 2 * active_part) {
        told = now;
        if (borrower.held.slots > 0) {
          --borrower.held.slots;
          borrower.held.starting = std::min(borrower.held.starting, borrower.held.slots);
        }
        Send(borrower.Request(false), now);
      }
    }
  }

  void Send(SlotRequest request, absl::Time now) {
    to_lender.emplace(Arrival(now), std::move(request));
  }
  void Reply(const std::vector<LentSlot>& lent, absl::Time now) {
    for (const LentSlot& slot : lent) {
      ++lent_count;
      to_nodes.emplace(Arrival(now), slot);
    }
  }
  int Held() const {
    int held = 0;
    for (const Borrower& borrower : borrowers) {
      held += borrower.held.slots;
    }
    return held;
  }

  static constexpr int kSlots = 3;
  // Nodes tell what they hold at least so often.
  static constexpr absl::Duration kRenewalInterval = absl::Seconds(1);
  std::map<std::string, absl::Time> told_at;
  std::mt19937_64 random;
  // Part of the messages that is lost, and of the steps in which a node asks, or gives back.
  double lost_part;
  double active_part;
  SlotLedger ledger;
  std::vector<Borrower> borrowers;
  std::multimap<absl::Time, SlotRequest> to_lender;
  std::multimap<absl::Time, LentSlot> to_nodes;
  int lent_count = 0;
};

// Guards against two nodes that use the same slot (LIMIT).
TEST_CASE("lost, late and reordered messages never make nodes hold more slots than there are") {
  CHECK(rc::check("held slots", [](std::uint64_t seed) {
    LossyFleet fleet(seed, 0.1, 0.2);
    for (int step = 0; step < 600; ++step) {
      fleet.Step(At(0.005 * step));
      RC_ASSERT(fleet.Held() <= LossyFleet::kSlots);
    }
    RC_ASSERT(fleet.lent_count > 20);
  }));
}

// Guards against lending a slot again whose borrower has nothing to say for a while (LIMIT).
TEST_CASE("nodes that seldom say anything never hold more slots than there are") {
  CHECK(rc::check("held slots, seldom told", [](std::uint64_t seed) {
    LossyFleet fleet(seed, 0.0, 0.004);
    for (int step = 0; step < 2000; ++step) {
      fleet.Step(At(0.005 * step));
      RC_ASSERT(fleet.Held() <= LossyFleet::kSlots);
    }
    RC_ASSERT(fleet.lent_count > 3);
  }));
}

}  // namespace
}  // namespace hingespan::gateway
