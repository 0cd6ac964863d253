// Records of a soak run: requests as their callers saw them, disturbances and operator changes.
#ifndef TESTS_SOAK_SOAK_RECORDS_H_
#define TESTS_SOAK_SOAK_RECORDS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "emulator/platform_worker.h"
#include "hingespan/http/http_client.h"

namespace hingespan::soak {

// Service whose workers are processes of their own, and the target of requests for it.
constexpr const char* kProcessService = "processes";
constexpr const char* kProcessTarget = "/process/x";
// Number of events of a stream unless its request asks for more.
constexpr int kStreamEvents = 12;
constexpr const char* kEventEnd = "\n\n";
// A gateway counts as in touch after this long without a disturbance.
constexpr absl::Duration kContactTime = absl::Seconds(3);

enum class RequestKind {
  // Plain request that may run only once.
  kAct,
  // Plain request that may be repeated.
  kRead,
  // Stream that may be resumed.
  kResumableStream,
  // Stream that may run only once.
  kStream,
  // Finds out which version of the configuration is in effect.
  kProbe,
};

// Prompts whose second part crashes workers, and sound ones with the same first part.
enum class PromptKind { kNone, kSound, kCrashing };

struct RequestRecord : public gateway::AnswerReceiver {
  bool OnHead(const gateway::AnswerHead& answer) override {
    head = answer;
    return true;
  }
  void OnBody(absl::string_view piece) override { body.append(piece.data(), piece.size()); }
  void OnEnd(gateway::ExchangeResult end) override {
    result = end;
    ended_at = loop->Now();
    exchange.reset();
  }

  bool MayRunAgain() const {
    return kind == RequestKind::kRead || kind == RequestKind::kResumableStream;
  }
  bool IsStream() const {
    return kind == RequestKind::kResumableStream || kind == RequestKind::kStream;
  }
  // Number of the last whole event that the caller has.
  int LastEvent() const {
    int last = last_event;
    for (std::size_t end = body.find(kEventEnd); head.status == 200 && end != std::string::npos;
         end = body.find(kEventEnd, end + 1)) {
      ++last;
    }
    return last;
  }
  bool ended() const { return ended_at != absl::InfiniteFuture(); }
  bool cancelled() const { return cancelled_at != absl::InfiniteFuture(); }

  gateway::EventLoop* loop = nullptr;
  std::string id;
  RequestKind kind = RequestKind::kAct;
  std::size_t gateway = 0;
  // Incarnation of the gateway process.
  int incarnation = 0;
  absl::Time sent;
  absl::Duration deadline;
  absl::Time cancelled_at = absl::InfiniteFuture();
  absl::Time ended_at = absl::InfiniteFuture();
  gateway::AnswerHead head;
  std::string body;
  gateway::ExchangeResult result = gateway::ExchangeResult::kNotSent;
  std::unique_ptr<gateway::ClientExchange> exchange;
  // Version whose route a probe requests.
  int probed_version = 0;
  int events = kStreamEvents;
  // Padding bytes in each event of the stream.
  std::size_t padding = 0;
  std::string target;
  std::string model;
  // Id of the request that brought the first event of the stream that this one takes up, and the
  // last event that the caller had then; empty and 0 for a new stream.
  std::string resumed_id;
  int last_event = 0;
  PromptKind prompt = PromptKind::kNone;
  // Name of a request that ends workers, the same for all tries of its caller; empty for others.
  std::string crashing_name;
  // Number of earlier requests for the same stream, or tries of the same request.
  int earlier_tries = 0;
  // True if the connection is used for many requests.
  bool on_persistent_connection = false;
  // True if the caller reads the answer more slowly than it arrives.
  bool read_slowly = false;
  // True if the connection ended without a complete answer by an orderly close, not by a reset.
  bool ended_in_order = false;
  // True if bytes followed the complete answer.
  bool surplus = false;
};

// A period in which a component was disturbed.
struct Disturbance {
  enum class Component { kGateway, kStoreLink, kStore, kWorker };
  Component component = Component::kGateway;
  std::size_t target = 0;
  absl::Time begin;
  absl::Time end;
  // True for a stop that the operator asked for.
  bool planned = false;
};

// A planned stop of a gateway process.
struct PlannedStop {
  std::size_t gateway = 0;
  int incarnation = 0;
  absl::Time at;
};

// A signal that the operator sent, SIGTERM or SIGHUP.
struct OperatorSignal {
  int signal = 0;
  std::size_t gateway = 0;
  int incarnation = 0;
  absl::Time at;
};

// Limits of the sends by all gateways together after the first send of each request.
struct RepeatLimits {
  double ratio = 0.2;
  double extra = 10;
  absl::Duration window = absl::Seconds(10);
};

struct ConfigurationChange {
  int version = 0;
  absl::Time at;
};

struct WorkerLeave {
  std::string worker_id;
  absl::Time at;
};

// Time during which a worker took new work.
struct WorkerPresence {
  std::string worker_id;
  std::string service;
  std::string software_version;
  absl::Time from;
  absl::Time until = absl::InfiniteFuture();
};

// Time in which workers say that they are brittle.
struct BrittleTime {
  absl::Time from = absl::InfiniteFuture();
  // Time from which they let fewer wait.
  absl::Time short_queues_from = absl::InfiniteFuture();
  absl::Time until = absl::InfiniteFuture();
  // Number of workers by service.
  std::map<std::string, int> workers;
};

// The end of a worker under a request.
struct RequestCrash {
  std::string name;
  absl::Time at;
};

struct SoakRecords {
  // Returns whether a component of this kind was disturbed between the two instants. Disturbances
  // of the store and of workers count whatever their target.
  bool Disturbed(Disturbance::Component component, std::size_t target, absl::Time begin,
                 absl::Time end) const {
    for (const Disturbance& disturbance : disturbances) {
      const bool same_target = disturbance.target == target ||
                               component == Disturbance::Component::kStore ||
                               component == Disturbance::Component::kWorker;
      if (disturbance.component == component && same_target && disturbance.begin <= end &&
          disturbance.end >= begin) {
        return true;
      }
    }
    return false;
  }

  // Returns whether a gateway had an unplanned disturbance, e.g. a kill, between the two instants.
  bool HadUnplannedFault(std::size_t gateway, absl::Time begin, absl::Time end) const {
    return std::any_of(disturbances.begin(), disturbances.end(), [&](const Disturbance& each) {
      return each.component == Disturbance::Component::kGateway && each.target == gateway &&
             !each.planned && each.begin <= end && each.end >= begin;
    });
  }
  // Returns whether a gateway had been undisturbed for a while, and remained so until `end`.
  bool InTouch(std::size_t gateway, absl::Time begin, absl::Time end) const {
    using Component = Disturbance::Component;
    const absl::Time from = begin - kContactTime;
    return !Disturbed(Component::kGateway, gateway, from, end) &&
           !Disturbed(Component::kStoreLink, gateway, from, end) &&
           !Disturbed(Component::kStore, 0, from, end);
  }
  // Returns whether there was any unplanned disturbance between the two instants.
  bool DisturbedUnplanned(absl::Time begin, absl::Time end) const {
    return std::any_of(disturbances.begin(), disturbances.end(), [&](const Disturbance& each) {
      return !each.planned && each.begin <= end && each.end >= begin;
    });
  }

  std::vector<std::unique_ptr<RequestRecord>> requests;
  std::vector<Disturbance> disturbances;
  std::vector<PlannedStop> stops;
  std::vector<OperatorSignal> signals;
  std::vector<ConfigurationChange> changes;
  std::vector<WorkerLeave> leaves;
  std::vector<WorkerPresence> presences;
  // Crashes of workers by a prompt part, in order.
  std::vector<absl::Time> prompt_crashes;
  BrittleTime brittle;
  // Ends of workers under requests, in order.
  std::vector<RequestCrash> request_crashes;
  // Processes that ended unexpectedly, didn't stop in time or didn't start.
  std::vector<std::string> process_failures;
  // True if the run has only planned work.
  bool planned_only = false;
  // Time from SIGTERM to SIGKILL.
  absl::Duration grace = absl::Seconds(6);
  RepeatLimits repeats;
  // Requests that workers with processes of their own have read; all are of kProcessService.
  std::vector<emulator::WorkerArrival> process_arrivals;
  absl::Time traffic_began;
  absl::Time faults_over;
  absl::Time recovery_began = absl::InfiniteFuture();
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_SOAK_RECORDS_H_
