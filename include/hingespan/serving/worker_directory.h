// This node's view of the workers: their own records, this node's attempts there, notices from the
// lease holder and the outcomes observed here. Chooses the worker for a request.
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
#include "hingespan/serving/unread_attempts.h"
#include "hingespan/serving/worker_record.h"

namespace hingespan::gateway {

// A model, or an adapter of it.
struct ModelKey {
  std::string model;
  // Empty for the base model.
  std::string adapter;
  friend auto operator<=>(const ModelKey&, const ModelKey&) = default;
};

// Outcome of one attempt at a worker, as evidence about that worker.
enum class AttemptOutcome {
  kServed,
  // The worker answered with an error of its own, broke off, sent malformed data or stalled.
  kFailed,
  // The worker refused because it had no room.
  kFull,
  // No connection could be established.
  kUnreachable,
  // The caller disconnected or the deadline passed; no evidence about the worker.
  kCancelled,
};

// State of one incarnation of a worker, as known to this node.
struct WorkerState {
  WorkerRecord record;
  // Version of the row from which `record` was read.
  std::uint64_t row_version = 0;
  // Time at which the worker ends; InfiniteFuture unless it announced this.
  absl::Time leaves_at = absl::InfiniteFuture();
  // Number of this node's attempts in flight, and the prompt tokens of those without a first byte
  // of the answer.
  int running = 0;
  double unread_tokens = 0;
  // The attempts in `running`, by model; contains no zeros.
  std::map<std::string, int> running_by_model;
  // Attempts of the other nodes in flight and their unread prompt tokens, as last reported.
  int peers_running = 0;
  double peers_unread_tokens = 0;
  // Moving average of the attempts' success, 0 to 1.
  double success = 1.0;
  absl::Time success_updated = absl::InfinitePast();
  // Number of consecutive failed attempts, up to the latest.
  int failures_in_row = 0;
  // Moving average of the milliseconds to the first byte of an answer; 0 if not known.
  double latency_ms = 0;
  // This node's rank of the worker, from 0 (preferred) to 1.
  double preference = 0;
  // The worker is not chosen before this time unless no other one is available.
  absl::Time avoided_until = absl::InfinitePast();
  // The worker counts as unreachable until this time, as a connection to it failed.
  absl::Time unreachable_until = absl::InfinitePast();
  // True if another worker answers at its address, so that it has ended whatever its record says.
  bool ended = false;

  // Presence of a replica as learnt from another source than the record; valid until `until`, by
  // when the record should show it.
  struct ReplicaNotice {
    bool present = false;
    absl::Time until;
  };
  std::map<ModelKey, ReplicaNotice> notices;
  // Time at which this node last sent a prompt part to the worker, by model, adapter and part.
  absl::flat_hash_map<std::uint64_t, absl::Time> prompt_parts;

  bool Holds(const ModelKey& key, absl::Time now) const;
};

// Load that the other nodes put on a worker.
struct PeersLoad {
  int running = 0;
  int unread_tokens = 0;
};

// Requirements of a request on a worker.
struct WorkerDemand {
  std::string service;
  ModelKey model;
  const std::vector<PromptPart>* prompt_parts = nullptr;
  int prompt_tokens = 0;
  int output_tokens = 0;
  // Workers that must not be chosen.
  const std::set<std::string>* excluded = nullptr;
  // Software version that the worker must have; null for any.
  const std::string* software_version = nullptr;
  // The only workers that may be chosen; null for all.
  const std::set<std::string>* among = nullptr;
  // True if a slot is borrowed before the request is sent, so that the worker's load, which is only
  // known as it was, does not decide whether it has room.
  bool borrows_slot = false;
};

enum class ChoiceProblem {
  kNone,
  kNoWorkers,
  // The service has workers, but none of the wanted software version.
  kVersionAbsent,
  kModelAbsent,
  kAdapterAbsent,
  kAllBusy,
};

struct WorkerChoice {
  // Null if there is a problem.
  WorkerState* worker = nullptr;
  ChoiceProblem problem = ChoiceProblem::kNone;
  // Number of eligible workers that hold the model, including full ones.
  int candidates = 0;
};

// Criteria for the choice of a worker; false switches one off.
struct ChoicePolicy {
  bool kept_prompts = true;
  bool own_zone = true;
  // Avoids workers whose attempts failed at this node.
  bool avoid_failing = true;
};

// Does no I/O; not thread-safe.
class WorkerDirectory {
 public:
  WorkerDirectory(std::string node, std::string zone, ChoicePolicy policy = {})
      : policy_(policy), node_(std::move(node)), zone_(std::move(zone)) {}

  // From now on, workers that leave attempts of `unread` unread are avoided. It must outlive this
  // object's last choice.
  void SetUnreadAttempts(const UnreadAttempts* unread) { unread_ = unread; }
  // Returns whether an attempt at the worker is unread for much longer than usual there.
  bool IsSilent(const WorkerState& worker, absl::Time now) const;

  // Sets the number of nodes. The more nodes choose concurrently from slightly outdated data, the
  // more each prefers a different set of workers, so that they don't all choose the same one.
  void SetNodes(int nodes);

  // Applies a row unless a newer one is known. Returns whether the worker is new or its draining
  // flag, models or address changed.
  bool Update(WorkerRecord record, std::uint64_t row_version, absl::Time now);
  bool Remove(const std::string& worker_id, std::uint64_t row_version);
  // Removes all workers that are not in `worker_ids` and whose row is not newer than `version`.
  void RetainOnly(const std::set<std::string>& worker_ids, std::uint64_t version);

  WorkerChoice Choose(const WorkerDemand& demand, const Configuration& configuration,
                      absl::Time now);
  // Bookkeeping for an attempt; its worker may already have been removed.
  void AttemptStarted(WorkerState* worker, const WorkerDemand& demand, absl::Time now);
  void AnswerStarted(const std::string& worker_id, double unread_tokens, absl::Duration latency,
                     absl::Time now);
  void AttemptEnded(const std::string& worker_id, const std::string& model, double unread_tokens,
                    AttemptOutcome outcome, absl::Time now);
  void NoteReplica(const std::string& worker_id, const ModelKey& key, bool present,
                   absl::Time until);

  // Sets the other nodes' loads by worker; workers that are not listed have none. The loads expire
  // unless they are set again.
  void SetPeersLoads(const std::map<std::string, PeersLoad>& loads, absl::Time now);

  void MarkEnded(const std::string& worker_id);

  WorkerState* Find(const std::string& worker_id);
  const std::map<std::string, WorkerState>& workers() const { return workers_; }
  int CountOfService(const std::string& service) const;

 private:
  // Estimated milliseconds until a request's first event or, for plain services, until its answer.
  double Cost(const WorkerState& worker, const WorkerDemand& demand, absl::Time now) const;
  // Searches the departed workers too; returns null if the worker is unknown.
  WorkerState* FindKnown(const std::string& worker_id);
  std::map<std::string, WorkerState>::iterator Erase(
      std::map<std::string, WorkerState>::iterator entry);
  static bool IsFull(const WorkerState& worker, const WorkerDemand& demand, const Service* service);

  ChoicePolicy policy_;
  std::string node_;
  std::string zone_;
  // Maximum that this node's preference adds to a worker's cost, in milliseconds.
  double preference_ms_ = 0;
  const UnreadAttempts* unread_ = nullptr;
  absl::Time peers_loads_until_ = absl::InfiniteFuture();
  // Workers by id, ordered so that ties in cost are resolved the same way in every run.
  std::map<std::string, WorkerState> workers_;
  // Workers without a row that still have attempts in flight. A row can reappear: the store may
  // drop it during an outage while its worker keeps running.
  std::map<std::string, WorkerState> departed_;
};

// Key of a prompt part in WorkerState::prompt_parts: a hash, as callers choose how long ids are.
// Two parts with the same hash only make a worker look better than it is.
std::uint64_t PromptPartKey(const ModelKey& model, const PromptPart& part);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_WORKER_DIRECTORY_H_
