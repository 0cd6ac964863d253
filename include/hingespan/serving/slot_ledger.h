// Lends the slots of brittle workers to the nodes, so that all of them together send a worker no
// more than it has room for.
//
// Each worker has one lender. A node tells it how many of its attempts run there, and asks for a
// slot before it sends another. A node that finds no free slot waits in line; the slot that is
// returned next is lent to it. What is not known of a worker's room is learnt from rejections: each
// one lowers the number of slots that are lent, which then grows again.
//
// A lender that is new to a worker, e.g. because its predecessor was killed, doesn't know yet all
// that runs there. For a while it also counts what the nodes have reported otherwise, less and less
// of it.
#ifndef HINGESPAN_SERVING_SLOT_LEDGER_H_
#define HINGESPAN_SERVING_SLOT_LEDGER_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::gateway {

struct SlotLedgerSettings {
  // A node's slots are free this long after its last message.
  absl::Duration lease = absl::Seconds(4);
  // A node leaves the line this long after it last asked.
  absl::Duration wait = absl::Milliseconds(400);
  // Time for which a new lender counts the reported load, and the pause in a worker's messages
  // after which its lender is new again.
  absl::Duration settling_time = absl::Milliseconds(1500);
  // Time after which a lent slot that its borrower has not confirmed is lent to others. Longer than
  // the interval at which borrowers tell what they hold.
  absl::Duration confirm_time = absl::Milliseconds(1500);
  absl::Duration rejection_window = absl::Seconds(1);
  // Part of the rejections that a worker survives after which nothing is lent for the rest of the
  // window.
  double tolerated_rejections = 1.0 / 3;
  // Time without rejections after which more slots are lent, and how many more.
  absl::Duration growth_interval = absl::Seconds(1);
  double growth = 0.25;
  // Number of attempts at an engine that wait for their first event at the same time.
  int max_starting = 4;
  absl::Duration starting_growth_interval = absl::Seconds(5);
  // Part of an engine's memory that is lent.
  double usable_tokens = 0.9;
};

// What a worker has room for.
struct WorkerCapacity {
  int slots = 0;
  // Tokens in the memory of an engine; 0 for a worker that is none.
  double tokens = 0;
  // Number of rejections within a second that the worker survives.
  int survived_rejections = 0;
};

// A node's attempts at a worker, with what it has borrowed and not used yet.
struct HeldSlots {
  int slots = 0;
  // Attempts among them that have not begun to answer.
  int starting = 0;
  // Tokens of their prompts and answers.
  double tokens = 0;
};

// Identifies a process of a node.
struct SlotBorrower {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string address;
};

struct SlotRequest {
  std::string worker_id;
  SlotBorrower borrower;
  // Increases with each request of the process.
  std::uint64_t number = 0;
  HeldSlots held;
  WorkerCapacity capacity;
  // Number of the newest request that was answered with a slot of this worker; 0 if none was.
  std::uint64_t confirmed = 0;
  // Rejections by the worker that the node has not told of before.
  int rejections = 0;
  bool wants_reply = false;
  // True if another lender has passed the request on.
  bool passed_on = false;
  // True if the node asks for a slot for an attempt of so many tokens.
  bool wants_slot = false;
  double wanted_tokens = 0;
};

// A slot that is lent to a node.
struct LentSlot {
  SlotBorrower borrower;
  // Number of the borrower's request.
  std::uint64_t number = 0;
  std::string worker_id;
};

// Does no I/O and reads no clock; not thread-safe.
class SlotLedger {
 public:
  explicit SlotLedger(const SlotLedgerSettings& settings = {}) : settings_(settings) {}

  // Applies what a node tells, and returns the slots that are lent now, to it and to those in line.
  // `reported_load` is the number of all nodes' attempts at the worker, as last reported.
  std::vector<LentSlot> Apply(const SlotRequest& request, int reported_load, absl::Time now);
  // Returns the slots that are lent as time has passed.
  std::vector<LentSlot> LendDue(absl::Time now);
  bool Lends(const std::string& worker_id) const { return workers_.contains(worker_id); }
  // Returns whether another node than this one has told of its attempts at the worker.
  bool HasBorrowerBeside(const std::string& worker_id, const std::string& node) const;
  // Ends the lending of the worker's slots. Returns what its next lender has to know, as if the
  // nodes told it themselves.
  std::vector<SlotRequest> HandOver(const std::string& worker_id);
  // Number of slots of the worker that are lent at most.
  int LimitOf(const std::string& worker_id) const;
  bool empty() const { return workers_.empty(); }

 private:
  // A slot that was lent, until its borrower says that it knows.
  struct Unconfirmed {
    LentSlot slot;
    double tokens = 0;
    absl::Time expires;
  };
  struct Lease {
    SlotBorrower borrower;
    std::uint64_t number = 0;
    HeldSlots held;
    absl::Time expires;
    std::optional<Unconfirmed> unconfirmed;
  };
  struct Waiting {
    SlotBorrower borrower;
    std::uint64_t number = 0;
    double tokens = 0;
    absl::Time expires;
  };
  struct Worker {
    WorkerCapacity capacity;
    int limit = 0;
    int starting_limit = 0;
    absl::Time limit_changed;
    absl::Time starting_limit_changed;
    // Time at which this node became the lender.
    absl::Time since;
    // Attempts that were reported by then, and those of them that nodes have told of since.
    int reported_load = 0;
    int told_load = 0;
    absl::Time last_message = absl::InfinitePast();
    // Leases by node.
    std::map<std::string, Lease> leases;
    std::list<Waiting> line;
    std::deque<absl::Time> rejections;
  };

  // Returns false for a request that is older than one applied before.
  bool ApplyHeld(Worker* worker, const SlotRequest& request, absl::Time now) const;
  // Puts the borrower in line, or returns the slot that it does not know of yet.
  std::optional<LentSlot> ApplyWish(Worker* worker, const SlotRequest& request,
                                    absl::Time now) const;
  void ApplyRejections(Worker* worker, int count, absl::Time now) const;
  void Grow(Worker* worker, absl::Time now) const;
  void Expire(Worker* worker, absl::Time now) const;
  static HeldSlots Total(const Worker& worker);
  // Attempts that run at the worker and that no node has told this lender of.
  double Untold(const Worker& worker, absl::Time now) const;
  bool HasRoom(const Worker& worker, double tokens, absl::Time now) const;
  std::vector<LentSlot> Lend(const std::string& worker_id, Worker* worker, absl::Time now) const;

  SlotLedgerSettings settings_;
  std::map<std::string, Worker> workers_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_SLOT_LEDGER_H_
