// What a run of the soak saw: requests as callers had them, disturbances, changes of the operator.
#ifndef TESTS_SOAK_SOAK_RECORDS_H_
#define TESTS_SOAK_SOAK_RECORDS_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/http/http_client.h"

namespace hingespan::soak {

// Of a stream that is not said to be larger.
constexpr int kStreamEvents = 12;

enum class RequestKind {
  // Plain, may run once.
  kAct,
  // Plain, repeatable.
  kRead,
  // A stream that may be resumed.
  kResumableStream,
  // A stream that may run once.
  kStream,
  // Asks which version of the configuration is in force.
  kProbe,
};

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
  bool ended() const { return ended_at != absl::InfiniteFuture(); }
  bool cancelled() const { return cancelled_at != absl::InfiniteFuture(); }

  gateway::EventLoop* loop = nullptr;
  std::string id;
  RequestKind kind = RequestKind::kAct;
  std::size_t gateway = 0;
  // Of the gateway's process.
  int life = 0;
  absl::Time sent;
  absl::Duration deadline;
  absl::Time cancelled_at = absl::InfiniteFuture();
  absl::Time ended_at = absl::InfiniteFuture();
  gateway::AnswerHead head;
  std::string body;
  gateway::ExchangeResult result = gateway::ExchangeResult::kNotSent;
  std::unique_ptr<gateway::ClientExchange> exchange;
  // Of a probe: the version whose route it asks for.
  int probed_version = 0;
  int events = kStreamEvents;
  // Further bytes in each event of the stream.
  std::size_t padding = 0;
  // Sent by a caller that keeps a connection for many requests.
  bool on_kept_connection = false;
  // Its caller takes the answer more slowly than it comes.
  bool read_slowly = false;
  // Without an answer: the connection ended in good order, not by a reset.
  bool ended_in_order = false;
  // Bytes came behind the whole answer.
  bool surplus = false;
};

// A time in which something was out of order.
struct Disturbance {
  enum class Of { kGateway, kStoreLink, kStore, kWorker };
  Of of = Of::kGateway;
  std::size_t target = 0;
  absl::Time begin;
  absl::Time end;
  // An operator's doing: a stop with notice.
  bool planned = false;
};

// A planned stop of a gateway's process.
struct PlannedStop {
  std::size_t gateway = 0;
  int life = 0;
  absl::Time at;
};

// A signal of the operator, SIGTERM or SIGHUP.
struct OperatorSignal {
  int signal = 0;
  std::size_t gateway = 0;
  int life = 0;
  absl::Time at;
};

// What all gateways together may send beyond the first send of each request.
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

struct SoakRecords {
  // Whether something of this kind was out of order between the two instants.
  bool Disturbed(Disturbance::Of of, std::size_t target, absl::Time begin, absl::Time end) const {
    for (const Disturbance& disturbance : disturbances) {
      const bool same_target = disturbance.target == target || of == Disturbance::Of::kStore ||
                               of == Disturbance::Of::kWorker;
      if (disturbance.of == of && same_target && disturbance.begin <= end &&
          disturbance.end >= begin) {
        return true;
      }
    }
    return false;
  }

  // Whether a gateway was harmed, e.g. killed, between the two instants, other than by a stop.
  bool Harmed(std::size_t gateway, absl::Time begin, absl::Time end) const {
    return std::any_of(disturbances.begin(), disturbances.end(), [&](const Disturbance& each) {
      return each.of == Disturbance::Of::kGateway && each.target == gateway && !each.planned &&
             each.begin <= end && each.end >= begin;
    });
  }
  // Whether anything unplanned was out of order between the two instants.
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
  // Processes that ended otherwise than they should have, and other remarks of the driver.
  std::vector<std::string> odd_ends;
  // Nothing but planned work is done for the whole run.
  bool planned_only = false;
  // From SIGTERM to SIGKILL.
  absl::Duration grace = absl::Seconds(6);
  RepeatLimits repeats;
  absl::Time traffic_began;
  absl::Time faults_over;
  absl::Time recovery_began = absl::InfiniteFuture();
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_SOAK_RECORDS_H_
