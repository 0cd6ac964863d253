// Finds the prompt parts that crash the workers which begin to answer them, and tells which
// requests must not be sent to a worker therefore.
//
// A crash is evidence against the shared parts of all prompts that its worker had not begun to
// answer. An answer that goes on is evidence for the parts of its prompt. Parts that several
// crashes have in common, and that no answer has cleared in between, are quarantined together:
// requests whose prompts have all of them are refused. Each part that is cleared later leaves the
// quarantine, so that what remains is the part that crashes workers. Crashes that a quarantine
// explains count against no other part. From time to time, at ever longer intervals, one node
// admits one request as a trial. Only an answer lifts a quarantine: that no request with its parts
// comes says nothing about them.
//
// Workers that crash at the same time may have run requests that came together, or may be in a rack
// that has lost power. A quarantine that follows from such crashes is provisional: its trials begin
// early, until another worker crashes on its parts.
#ifndef HINGESPAN_SERVING_PROMPT_QUARANTINE_H_
#define HINGESPAN_SERVING_PROMPT_QUARANTINE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace hingespan::gateway {

// Ids of prompt parts that requests share; the last part of a prompt belongs to its request alone
// and is left out.
using PromptPartIds = std::set<std::string>;

struct QuarantineSettings {
  // Number of crashes after which the parts that they have in common are quarantined.
  int crashes = 3;
  // Number of further crashes for a part that this node has seen answered before them.
  int more_if_answered = 2;
  // Number of crashes after which a request with the part is not sent to another worker.
  int crashes_before_no_repeat = 2;
  // Of these, only crashes within this time count: workers also crash for other reasons, and one
  // that a repeat would serve fails otherwise.
  absl::Duration no_repeat_lifetime = absl::Seconds(60);
  // Crashes within this time of each other may have a common cause outside the prompts.
  absl::Duration same_event = absl::Milliseconds(25);
  // Time between the last crash needed and the quarantine, for answers that clear its parts.
  absl::Duration settling_time = absl::Milliseconds(250);
  // The crash of a worker is evidence for this long. A part that crashes workers less often isn't
  // told from parts that others had by chance.
  absl::Duration evidence_lifetime = absl::Minutes(10);
  // An answer this recent shows that a part is sound when the repeat of a request is decided.
  absl::Duration recent_answer = absl::Seconds(10);
  // Interval at which the other nodes are told again of a quarantine whose requests still come.
  absl::Duration notice_interval = absl::Seconds(30);
  absl::Duration first_trial = absl::Seconds(30);
  double trial_backoff = 3;
  // Age of a provisional quarantine at its first trial. Each further one comes at twice the age, up
  // to `first_trial`.
  absl::Duration first_provisional_trial = absl::Seconds(1);
  std::size_t max_answered_parts = 8192;
  std::size_t max_suspected_parts = 4096;
  std::size_t max_quarantines = 256;
};

struct Quarantine {
  // Names it in the fleet's record; it keeps its id when answers narrow it.
  std::string id;
  std::string service;
  PromptPartIds parts;
  // The workers whose crashes it explains.
  std::set<std::string> workers;
  // Time of the first of these crashes.
  absl::Time since;
  // Time of the last request with its parts at this node.
  absl::Time last_request = absl::InfinitePast();
  // Time at which the other nodes were last told of it by this node or another.
  absl::Time last_notice = absl::InfinitePast();
  // Time of the next trial. It follows from the age alone, so that all nodes have the same, those
  // that restarted included.
  absl::Time next_trial = absl::InfiniteFuture();
  // True while the crashes may have had a common cause outside the prompts.
  bool provisional = false;
};

// A quarantine that answers have narrowed.
struct NarrowedQuarantine {
  // Has no parts if the quarantine is lifted.
  Quarantine quarantine;
  PromptPartIds parts_before;
};

// Does no I/O and reads no clock; not thread-safe.
class PromptQuarantine {
 public:
  explicit PromptQuarantine(const QuarantineSettings& settings = {}) : settings_(settings) {}

  // Records that an answer to a prompt with these parts goes on. Returns the quarantines that it
  // has narrowed.
  std::vector<NarrowedQuarantine> RecordAnswered(const std::string& service,
                                                 const PromptPartIds& parts, absl::Time now);
  // Records the crash of a worker that had not begun to answer prompts with these parts. `own` is
  // true if these are prompts that this node sent.
  void RecordCrash(const std::string& worker, const std::string& service,
                   const PromptPartIds& parts, bool own, absl::Time now);
  struct Imposed {
    Quarantine quarantine;
    // Ids of the quarantines that it replaces, or that had to make room for it.
    std::vector<std::string> replaced;
  };
  // Imposes the quarantines that are due and returns them.
  std::vector<Imposed> ImposeDue(absl::Time now);
  // Time at which the next quarantine may be due; InfiniteFuture if none is.
  absl::Time NextDue() const;

  // Takes over another node's quarantine. Returns those of its parts that this node has seen
  // answered since the first crash, and which it therefore leaves out.
  PromptPartIds Apply(const Quarantine& quarantine, absl::Time now);

  // Returns the quarantine with this id, or null. The pointer is valid until the next call.
  const Quarantine* FindById(const std::string& id) const;
  // Removes the quarantine with this id; returns it as one that was lifted.
  std::vector<NarrowedQuarantine> Remove(const std::string& id);

  // Returns the parts that come first in a notice of the worker's crash, as there may be more than
  // `count`: those that were never answered, and of these others for each worker.
  PromptPartIds MostSuspect(const std::string& worker, const std::string& service,
                            const PromptPartIds& parts, std::size_t count) const;
  // Returns the quarantine that a request with these parts falls under, or null. The pointer is
  // valid until the next call.
  Quarantine* Find(const std::string& service, const PromptPartIds& parts, absl::Time now);
  // Returns whether a trial is due now, and if so counts it. Only one node may admit it.
  bool TakeTrial(Quarantine* quarantine, absl::Time now);
  // Time after which a request that is refused may be sent again.
  absl::Duration RetryAfter(const Quarantine& quarantine, absl::Time now) const;
  // Notes that a request with its parts was refused. Returns whether the other nodes should be told
  // of the quarantine again.
  bool NoteRefused(Quarantine* quarantine, absl::Time now);
  // Returns whether a request that a crash has interrupted may be sent to another worker. A trial
  // may not.
  bool MayRepeat(const std::string& service, const PromptPartIds& parts, absl::Time now) const;
  const std::vector<Quarantine>& quarantines() const { return quarantines_; }
  std::size_t suspected_parts() const { return evidence_.size(); }

 private:
  using PartKey = std::pair<std::string, std::string>;
  struct Evidence {
    // Times of the crashes, by worker.
    std::map<std::string, absl::Time> crashes;
    // True if a prompt that this node sent is among the evidence.
    bool own = false;
  };

  // Number of crashes after which the part is quarantined.
  std::size_t CrashesNeeded(const PartKey& key) const;
  // Time at which a quarantine is due; InfiniteFuture if there is too little evidence.
  absl::Time DueAt(const PartKey& key, const Evidence& evidence) const;
  // Number of crashes, those of one event counted once.
  std::size_t CountEvents(const std::vector<absl::Time>& crashes) const;
  // Part with the most evidence of those for which a quarantine is due, one that was never answered
  // before any other; null if there is none.
  const PartKey* StrongestDue(absl::Time now) const;
  // Parts that each of these workers was to answer when it crashed. Those that were answered before
  // are left out unless `with_answered` is true.
  PromptPartIds PartsOfCrashes(const std::string& service, const std::set<std::string>& workers,
                               bool with_answered) const;
  absl::Time AnsweredAt(const PartKey& key) const;
  // Returns whether a quarantine explains the crash. A provisional one is confirmed if the crash is
  // later than its first trial.
  bool TakeExplained(const std::string& worker, const std::string& service,
                     const PromptPartIds& parts, absl::Time now);
  void Confirm(Quarantine* quarantine, absl::Time now) const;
  // Removes these crashes from the evidence against all parts.
  void Explain(const std::set<std::string>& workers);
  absl::Time NextTrial(const Quarantine& quarantine, absl::Time now) const;
  void BoundEvidence();
  void Expire(absl::Time now);
  void PruneAnswered(absl::Time now);
  // Removes quarantines that have these parts among theirs and returns their ids.
  std::vector<std::string> RemoveCovered(const std::string& service, const PromptPartIds& parts);

  QuarantineSettings settings_;
  std::map<PartKey, Evidence> evidence_;
  absl::flat_hash_map<PartKey, absl::Time> answered_;
  std::vector<Quarantine> quarantines_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_PROMPT_QUARANTINE_H_
