// Decides which node holds the placement lease: a row in the shared store that the holder renews.
//
// States: observing (another node holds the lease, or nobody does), holding, and fenced (the lease
// was held, but a worker has seen a higher token; this node never orders with its token again). The
// fencing token is the store's version of the transaction that acquired the lease. Versions only
// increase, so tokens increase too, and no two nodes share one.
#ifndef HINGESPAN_FLEET_LEASE_MANAGER_H_
#define HINGESPAN_FLEET_LEASE_MANAGER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "hingespan/fleet/weight_store_limit.h"

namespace hingespan::gateway {

// Contents of the lease row.
struct LeaseRecord {
  std::string holder;
  // Incarnation of the holder's process. A restarted process is a different holder on the same
  // machine.
  std::uint64_t incarnation = 0;
  // Address at which the holder receives demand reports, "ip:port".
  std::string address;
  // 0 in the write that acquires the lease; the token is then the version of the row.
  std::uint64_t token = 0;
  // The holder's estimate of the weight store, for its successor.
  WeightStoreEstimate weight_store;
};

struct LeaseSettings {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string address;
  // A lease ends when its row has not changed for this long.
  absl::Duration duration = absl::Seconds(3);
  // Added to `duration` before another machine's lease is taken over.
  absl::Duration slack = absl::Milliseconds(400);
  // Interval at which the holder renews the lease.
  absl::Duration renew_interval = absl::Seconds(1);
  // True if workers refuse a token below the highest that they have seen. If they don't, only time
  // separates the orders of two holders.
  bool workers_check_tokens = true;
  // If workers check tokens: time for which a holder whose renewals get no answer keeps ordering.
  // This is safe because nobody can take over while the store answers nobody, and a token is
  // refused once a worker has seen a higher one.
  absl::Duration unconfirmed_limit = absl::Seconds(10);
  // If workers don't check tokens: the same limit as a fraction of `duration`. It covers two
  // renewals, so that a single lost answer doesn't stop orders.
  double unchecked_limit_fraction = 2.0 / 3;
  // Upper bound on the time from the decision to order until the worker has received the order or
  // never will: the order's timeout plus its network delay.
  absl::Duration order_transit = absl::Milliseconds(500);

  // Returns the time for which a holder may order after it sent the last confirmed write.
  absl::Duration OrderLimit() const;
  // Returns the time for which another machine's row must be unchanged before it is taken over. If
  // workers don't check tokens, the former holder's last order is then at least `duration` old.
  absl::Duration TakeoverWait() const;
  // Returns the same time for a row of an earlier process on this machine. That process has ended,
  // but its orders may still be in flight.
  absl::Duration RestartWait() const;
};

// Performs no I/O: the time and the store's answers are passed as arguments. Not thread-safe.
class LeaseManager {
 public:
  struct Write {
    // Version that the lease row must have; 0 if it must not exist.
    std::uint64_t condition_version = 0;
    LeaseRecord record;
  };

  explicit LeaseManager(LeaseSettings settings) : settings_(std::move(settings)) {}

  // Takes the row as read; std::nullopt if there is none.
  void OnRead(const std::optional<LeaseRecord>& record, std::uint64_t row_version, absl::Time now);
  void OnReadFailed(absl::Time now);
  // Returns an acquisition or renewal that is due. Only one write is in flight at a time: the
  // caller must report its outcome.
  std::optional<Write> NextWrite(absl::Time now);
  void OnCommitted(std::uint64_t row_version, absl::Time now);
  void OnConflict(absl::Time now);
  // Called after a write without an answer or with an error; the write may still take effect.
  void OnCommitFailed(absl::Time now);
  // Called when a worker refused the token because it has seen a higher one.
  void OnFenced(absl::Time now);
  // Called after the process was paused: the lease is valid again only after the next confirmed
  // write.
  void OnPaused();
  // Sets an additional wait before acquiring the lease, during which better suited nodes can
  // acquire it.
  void SetExtraWait(absl::Duration wait) { extra_wait_ = wait; }
  // Stops acquiring and renewing the lease.
  void Resign() { resigned_ = true; }
  // A suspended node neither orders nor writes the row, so that another node takes the lease over
  // once it has run out. For a node whose orders reach no worker.
  // Afterwards the lease is valid again only after the next confirmed write.
  void SetSuspended(bool suspended);

  // Returns true if this node may order now.
  bool MayOrder(absl::Time now) const;
  bool holding() const { return holding_; }
  std::uint64_t token() const { return token_; }
  // Contents of the last row read; std::nullopt if there is none.
  const std::optional<LeaseRecord>& record() const { return record_; }
  // True if the row should be read before the next write.
  bool needs_read() const { return needs_read_; }

 private:
  bool IsMine(const LeaseRecord& record) const;
  void Lose();

  LeaseSettings settings_;
  std::optional<LeaseRecord> record_;
  std::uint64_t row_version_ = 0;
  bool row_known_ = false;
  // Time since which the row has been seen unchanged, without a failed read in between.
  absl::Time unchanged_since_ = absl::InfiniteFuture();
  bool needs_read_ = true;
  bool write_in_flight_ = false;
  absl::Time write_sent_;
  // True if the write in flight renews the lease, false if it acquires it.
  bool write_renews_ = false;
  bool holding_ = false;
  bool confirmed_since_pause_ = true;
  bool resigned_ = false;
  bool suspended_ = false;
  absl::Duration extra_wait_ = absl::ZeroDuration();
  std::uint64_t token_ = 0;
  // Highest token with which a worker refused this node.
  std::uint64_t fenced_token_ = 0;
  absl::Time confirmed_at_ = absl::InfinitePast();
  absl::Time last_attempt_ = absl::InfinitePast();
  // True if the last write got no answer; the next one is then sent after a fraction of the
  // interval.
  bool last_failed_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_LEASE_MANAGER_H_
