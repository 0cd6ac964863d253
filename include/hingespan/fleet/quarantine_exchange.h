// Shares the evidence about crashing prompt parts, and the quarantines that follow, between nodes.
//
// A node whose attempts at a worker end without an answer checks whether the worker is still there.
// If not, it tells all nodes which parts the worker was to answer. A node that imposes a quarantine
// tells all nodes; those that have seen one of its parts answered meanwhile object, and all nodes
// are told that it leaves the quarantine. A node that has started asks a few others for the
// quarantines, and one that tells of a crash that a quarantine explains is told of it. Datagrams
// are fast; what lasts is the fleet's record (QuarantineRecord), which each node reads.
//
// The notices of crashes also name the requests under which workers have ended, so that none is
// sent to a further worker when its caller tries again at another node (CrashingRequests).
#ifndef HINGESPAN_FLEET_QUARANTINE_EXCHANGE_H_
#define HINGESPAN_FLEET_QUARANTINE_EXCHANGE_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/fleet/crash_pieces.h"
#include "hingespan/fleet/fleet_messages.h"
#include "hingespan/fleet/quarantine_record.h"
#include "hingespan/fleet/stream_holders.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/serving/crashing_requests.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/prompt_quarantine.h"

namespace hingespan::gateway {

struct QuarantineExchangeParts {
  EventLoop* loop = nullptr;
  DecisionLog* log = nullptr;
  GatewayMetrics* metrics = nullptr;
  QuarantineRecord* record = nullptr;
  // Sends a datagram to a node's address.
  std::function<void(const std::string& address, absl::string_view bytes)> send;
  // Asks the worker at an address on a new connection; calls back whether it answered.
  std::function<void(const std::string& address, std::function<void(bool answered)>)> probe;
  // Called when a quarantine was imposed here or at another node.
  std::function<void()> on_quarantine;
};

struct QuarantineVerdict {
  enum class Kind { kFree, kTrial, kRefused };
  Kind kind = Kind::kFree;
  // Time after which the request may be sent again, if it is refused.
  absl::Duration retry_after;
};

// Not thread-safe; runs on the thread of its event loop.
class QuarantineExchange {
 public:
  QuarantineExchange(std::string node, QuarantineExchangeParts parts);
  ~QuarantineExchange();
  QuarantineExchange(const QuarantineExchange&) = delete;
  QuarantineExchange& operator=(const QuarantineExchange&) = delete;

  // Sets this node's own address for datagrams.
  void SetAddress(std::string address) { address_ = std::move(address); }
  void SetNodes(std::vector<StreamNode> nodes);

  // Called when an attempt's connection ended without an answer. `parts` are those of all prompts
  // that this node sent to the worker and that it had not begun to answer.
  void OnAttemptBroken(const std::string& worker_id, const std::string& worker_address,
                       const std::string& service, const PromptPartIds& parts);
  void RecordAnswered(const std::string& service, const PromptPartIds& parts);
  // Decides about a new request with these parts.
  QuarantineVerdict Admit(const std::string& service, const PromptPartIds& parts);
  // Time after which a request with these parts may be sent again; absent if no quarantine has
  // them.
  std::optional<absl::Duration> RetryAfter(const std::string& service, const PromptPartIds& parts);
  // Called when an attempt at the worker ended as if the worker had. The other nodes are told when
  // another one does, or the request fails.
  void OnRequestInterrupted(RequestContent request, const std::string& worker_id,
                            const std::string& worker_address);
  // Called when a request fails here for good, though its caller may send it again: the workers
  // that seem to have ended under it are checked.
  void OnRequestFailed(RequestContent request);
  void RecordServed(RequestContent request);
  // Time for which the request is not sent to a worker, as too many have ended under it; zero if it
  // may be sent.
  absl::Duration RefusedFor(RequestContent request) const;

  // Returns whether a request that was interrupted may be sent to another worker.
  bool MayRepeat(const std::string& service, const PromptPartIds& parts) const;

  void OnCrash(const CrashNotice& notice);
  void OnQuarantine(const QuarantineNotice& notice);
  void OnCleared(const ClearedParts& cleared);
  void OnRetraction(const CrashRetraction& retraction);
  void OnServed(const ServedRequests& served);
  void OnQuestion(const QuarantineQuestion& question);

 private:
  // A datagram to all nodes that is sent several times, as one may be lost.
  struct Broadcast {
    std::string bytes;
    // The quarantine that it tells of; empty for other messages. Each round tells how it is then.
    std::string quarantine_id;
    int left = 0;
    std::unique_ptr<LoopTimer> timer;
  };

  // A worker that is being asked whether it still answers, or has crashed.
  struct WorkerCheck {
    bool crashed = false;
    std::string service;
    // Parts of the prompts that it had not begun to answer; empty while none is known.
    PromptPartIds parts;
    // Requests that the other nodes were told of with the crash.
    std::set<RequestContent> told;
  };

  void CheckWorker(const std::string& worker_id, const std::string& address,
                   const std::string& service, const PromptPartIds& parts);
  void OnAlive(const std::string& worker_id);
  // Takes over from a notice which requests have ended workers.
  void TakeOverRequests(const CrashNotice& notice);
  void OnWholeCrash(const CrashNotice& notice);
  void TakeOverduePieces();
  void OnCrashConfirmed(const std::string& worker_id, WorkerCheck* check);
  // Takes over another node's quarantine. Returns those of its parts that this node has seen
  // answered since.
  PromptPartIds TakeOver(const Quarantine& quarantine);
  void OnRecorded(const Quarantine& quarantine);
  void OnRecordRemoved(const std::string& id);
  // Has the quarantines recorded that are not, as the node that imposed them may have ended, or
  // lifted if another node knows better.
  void RecordMissing();
  void RemoveRecord(const std::string& id);
  void ImposeDue();
  void SetDueTimer();
  // Logs the quarantines that were narrowed or lifted here.
  void LogNarrowed(const std::vector<NarrowedQuarantine>& narrowed) const;
  // Returns the node that admits the quarantine's trials; absent if this one does.
  std::optional<StreamNode> TrialNode(const Quarantine& quarantine) const;
  bool AdmitsTrials(const Quarantine& quarantine) const { return !TrialNode(quarantine); }
  QuarantineNotice NoticeOf(const Quarantine& quarantine) const;
  void SendToAll(const FleetMessage& message);
  void SendRound(std::list<Broadcast>::iterator broadcast);
  void AskNodes();
  void Log(absl::string_view event, const std::string& service, const PromptPartIds& parts,
           const std::set<std::string>& workers) const;

  std::string node_;
  QuarantineExchangeParts parts_;
  std::string address_;
  std::vector<StreamNode> nodes_;
  PromptQuarantine quarantine_;
  CrashingRequests crashing_requests_;
  // Addresses of workers that seem to have ended under requests and were not checked yet.
  std::map<std::string, std::string> unchecked_workers_;
  std::map<std::string, WorkerCheck> checked_workers_;
  // Workers that the other nodes were told of before they were checked.
  std::set<std::string> told_early_;
  std::list<Broadcast> broadcasts_;
  std::unique_ptr<LoopTimer> due_timer_;
  std::unique_ptr<LoopTimer> question_timer_;
  CrashPieces pieces_;
  std::unique_ptr<LoopTimer> pieces_timer_;
  int questions_left_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_QUARANTINE_EXCHANGE_H_
