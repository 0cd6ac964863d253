// The workers as this node believes them to be: their own records, what this node runs there,
// notices of the placement holder, and the outcomes seen here. Chooses the worker for a request.
#ifndef HINGESPAN_SERVING_WORKER_DIRECTORY_H_
#define HINGESPAN_SERVING_WORKER_DIRECTORY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/serving/configuration.h"
#include "hingespan/serving/request_dialect.h"
#include "hingespan/serving/worker_record.h"

namespace hingespan::gateway {

// A model, or an adapter of it.
struct ModelKey {
  std::string model;
  // Empty: the model itself.
  std::string adapter;
  friend auto operator<=>(const ModelKey&, const ModelKey&) = default;
};

// How one attempt at a worker ended, as far as it says something about the worker.
enum class AttemptOutcome {
  kServed,
  // It answered with a failure of its own, broke off, sent spoilt bytes or kept silent.
  kFailed,
  // It refused for want of room.
  kFull,
  // No connection came about.
  kUnreachable,
  // The caller left or the time was over: it says nothing about the worker.
  kCancelled,
};

// What this node knows of one incarnation of a worker.
struct WorkerState {
  WorkerRecord record;
  // Version of the row that told `record`.
  std::uint64_t row_version = 0;
  // Infinite future unless the worker leaves at short notice.
  absl::Time leaves_at = absl::InfiniteFuture();
  // Attempts of this node under way, and the prompt tokens of those that have not begun to answer.
  int running = 0;
  double unread_tokens = 0;
  // Of `running`, by model; none is 0.
  std::map<std::string, int> running_by_model;
  // Running attempts of the other nodes, as they last told.
  int peers_running = 0;
  double peers_unread_tokens = 0;
  // Share of attempts that went well, 0 to 1, weighted towards the latest.
  double success = 1.0;
  absl::Time success_updated = absl::InfinitePast();
  // Attempts that failed one after the other, up to the latest.
  int failures_in_row = 0;
  // Milliseconds to the first byte of an answer, weighted towards the latest; 0: not known.
  double latency_ms = 0;
  // From 0, this node's own workers, to 1.
  double preference = 0;
  // Not chosen before this unless no other worker is left.
  absl::Time avoided_until = absl::InfinitePast();
  // Connections to it have failed lately.
  absl::Time unreachable_until = absl::InfinitePast();
  // Another worker has its address: it has ended, whatever its record says.
  bool ended = false;

  // What was learnt about a replica apart from the record, until the record tells of it.
  struct ReplicaNotice {
    bool present = false;
    absl::Time until;
  };
  std::map<ModelKey, ReplicaNotice> notices;
  // When this node last sent a prompt part here, by model, adapter and part.
  absl::flat_hash_map<std::string, absl::Time> prompt_parts;

  bool Holds(const ModelKey& key, absl::Time now) const;
};

// What the other nodes run at a worker.
struct PeersLoad {
  int running = 0;
  int unread_tokens = 0;
};

// What a request asks of a worker.
struct WorkerDemand {
  std::string service;
  ModelKey model;
  const std::vector<PromptPart>* prompt_parts = nullptr;
  int prompt_tokens = 0;
  int output_tokens = 0;
  // Not chosen again.
  const std::set<std::string>* excluded = nullptr;
};

enum class ChoiceProblem { kNone, kNoWorkers, kModelAbsent, kAdapterAbsent, kAllBusy };

struct WorkerChoice {
  // Null when there is a problem.
  WorkerState* worker = nullptr;
  ChoiceProblem problem = ChoiceProblem::kNone;
  // Of the workers that hold the model.
  int candidates = 0;
};

// What the choice of a worker weighs; false switches it off.
struct ChoicePolicy {
  bool kept_prompts = true;
  bool own_zone = true;
  // Failures seen here.
  bool judge = true;
};

// Pure; not thread-safe.
class WorkerDirectory {
 public:
  WorkerDirectory(std::string node, std::string zone, ChoicePolicy policy = {})
      : policy_(policy), node_(std::move(node)), zone_(std::move(zone)) {}

  // The more nodes choose at once from what they knew a moment ago, the more each prefers workers
  // of its own, so that not all choose the same one.
  void SetNodes(int nodes);

  // Takes a row unless a newer one is known. Returns whether anything but the sequence changed.
  bool Update(WorkerRecord record, std::uint64_t row_version, absl::Time now);
  bool Remove(const std::string& worker_id, std::uint64_t row_version);
  // Removes all workers that are not among `worker_ids` and not newer than `version`.
  void RetainOnly(const std::set<std::string>& worker_ids, std::uint64_t version);

  WorkerChoice Choose(const WorkerDemand& demand, const Configuration& configuration,
                      absl::Time now);
  // Bookkeeping of an attempt; the worker may be gone by then.
  void AttemptStarted(WorkerState* worker, const WorkerDemand& demand, absl::Time now);
  void AttemptBegan(const std::string& worker_id, double unread_tokens, absl::Duration latency,
                    absl::Time now);
  void AttemptEnded(const std::string& worker_id, const std::string& model, double unread_tokens,
                    AttemptOutcome outcome, absl::Time now);
  void NoteReplica(const std::string& worker_id, const ModelKey& key, bool present,
                   absl::Time until);

  // By worker; at those not named the other nodes run nothing.
  void SetPeersLoads(const std::map<std::string, PeersLoad>& loads);

  void MarkEnded(const std::string& worker_id);

  WorkerState* Find(const std::string& worker_id);
  const std::map<std::string, WorkerState>& workers() const { return workers_; }
  int CountOfService(const std::string& service) const;

 private:
  // Estimated milliseconds until a request's first event, or of plain services until its answer.
  double Cost(const WorkerState& worker, const WorkerDemand& demand, absl::Time now) const;
  // Also among the departed; null: unknown.
  WorkerState* FindKnown(const std::string& worker_id);
  std::map<std::string, WorkerState>::iterator Erase(
      std::map<std::string, WorkerState>::iterator entry);
  static bool IsFull(const WorkerState& worker, const WorkerDemand& demand, const Service* service);

  ChoicePolicy policy_;
  std::string node_;
  std::string zone_;
  // The most that this node's preference adds to a worker's cost, in milliseconds.
  double preference_ms_ = 0;
  // By id. Ordered, so that equal costs are resolved alike in every run.
  std::map<std::string, WorkerState> workers_;
  // Workers without a row at which attempts still run. A row can come back: the store may drop it
  // during an outage while its worker goes on.
  std::map<std::string, WorkerState> departed_;
};

// The key under which a part of a prompt is kept at a worker.
std::string PromptPartKey(const ModelKey& model, const PromptPart& part);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_WORKER_DIRECTORY_H_
