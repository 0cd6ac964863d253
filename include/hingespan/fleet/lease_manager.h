// Decides which node holds the placement lease: a row in the shared store that the holder renews.
//
// States: observing (another node holds it, or nobody), holding, fenced (held, but a worker has
// seen a higher token; it never orders with that token again). The fencing token is the store's
// version of the transaction that acquired the lease: versions only rise, so tokens do too, and no
// two nodes share one.
#ifndef HINGESPAN_FLEET_LEASE_MANAGER_H_
#define HINGESPAN_FLEET_LEASE_MANAGER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "hingespan/fleet/weight_store_limit.h"

namespace hingespan::gateway {

// What the lease row says.
struct LeaseRecord {
  std::string holder;
  // Of the holder's process; a restarted process is another holder on the same machine.
  std::uint64_t incarnation = 0;
  // Where the holder takes demand reports, "ip:port".
  std::string address;
  // 0 in the write that acquires: the token is then the row's version.
  std::uint64_t token = 0;
  // What the holder has learned of the weight store, for its successor.
  WeightStoreEstimate weight_store;
};

struct LeaseSettings {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string address;
  // A lease whose row has not changed for this long has ended.
  absl::Duration duration = absl::Seconds(3);
  // Added to `duration` before another machine's lease is taken over.
  absl::Duration slack = absl::Milliseconds(400);
  // The holder renews this often.
  absl::Duration renew_interval = absl::Seconds(1);
  // Whether workers refuse a token below the highest that they have seen. Where they don't, only
  // time keeps the orders of two holders apart.
  bool workers_check_tokens = true;
  // A holder whose renewals get no answer goes on ordering for this long, where workers check
  // tokens; nobody can take over while the store answers nobody, and a token seen later is refused.
  absl::Duration unconfirmed_limit = absl::Seconds(10);
  // Where they don't: for this part of `duration`. Two renewals fall into it, so that a single lost
  // answer stops no orders.
  double unchecked_limit_part = 2.0 / 3;
  // The longest from a decision to order until the worker has the order or never gets it: the
  // order's time limit, and its way.
  absl::Duration order_transit = absl::Milliseconds(500);

  // How long a holder may order after it sent the last write that was confirmed.
  absl::Duration OrderLimit() const;
  // How long another machine's row must have been seen unchanged before it is taken over. Where
  // tokens are not checked, the former holder's last order is by then `duration` old.
  absl::Duration TakeoverWait() const;
  // The same for the row of an earlier process on this machine: it has ended, its orders may be
  // under way.
  absl::Duration RestartWait() const;
};

// Pure: the time and the store's answers are arguments. Not thread-safe.
class LeaseManager {
 public:
  struct Write {
    // The lease row must have this version; 0: it must not exist.
    std::uint64_t condition_version = 0;
    LeaseRecord record;
  };

  explicit LeaseManager(LeaseSettings settings) : settings_(std::move(settings)) {}

  // The row as it was read; absent: there is none.
  void OnRead(const std::optional<LeaseRecord>& record, std::uint64_t row_version, absl::Time now);
  void OnReadFailed(absl::Time now);
  // A write that is due: acquisition or renewal. One at a time: the caller reports its end.
  std::optional<Write> NextWrite(absl::Time now);
  void OnCommitted(std::uint64_t row_version, absl::Time now);
  void OnConflict(absl::Time now);
  // No answer, or a refusal; the write may still happen.
  void OnCommitFailed(absl::Time now);
  // A worker refused the token since it has seen a higher one.
  void OnFenced(absl::Time now);
  // The process was not running for a while: the lease counts again once it is confirmed anew.
  void OnPaused();
  // Other nodes are better suited: this one lets them come first by so much when it could acquire.
  void SetExtraWait(absl::Duration wait) { extra_wait_ = wait; }
  // The node stops: it neither acquires nor renews any more.
  void Resign() { resigned_ = true; }

  // Whether this node may order now.
  bool MayOrder(absl::Time now) const;
  bool holding() const { return holding_; }
  std::uint64_t token() const { return token_; }
  // Of the last row seen; absent: none.
  const std::optional<LeaseRecord>& record() const { return record_; }
  // Whether the row should be read before anything else.
  bool needs_read() const { return needs_read_; }

 private:
  bool IsMine(const LeaseRecord& record) const;
  void Lose();

  LeaseSettings settings_;
  std::optional<LeaseRecord> record_;
  std::uint64_t row_version_ = 0;
  bool row_known_ = false;
  // Since when the row has been seen unchanged, without a failed read between.
  absl::Time unchanged_since_ = absl::InfiniteFuture();
  bool needs_read_ = true;
  bool write_under_way_ = false;
  absl::Time write_sent_;
  // The write under way renews; else it acquires.
  bool write_renews_ = false;
  bool holding_ = false;
  bool confirmed_since_pause_ = true;
  bool resigned_ = false;
  absl::Duration extra_wait_ = absl::ZeroDuration();
  std::uint64_t token_ = 0;
  // Highest token with which a worker refused this node.
  std::uint64_t fenced_token_ = 0;
  absl::Time confirmed_at_ = absl::InfinitePast();
  absl::Time last_attempt_ = absl::InfinitePast();
  // The last write got no answer: the next one does not wait for the whole interval.
  bool last_failed_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_LEASE_MANAGER_H_
