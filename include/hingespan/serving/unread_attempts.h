// Attempts that were sent and that their recipients have not shown to have read.
//
// A recipient whose process is paused accepts requests in its kernel, and reads them once it goes
// on, even if their connections have been reset by then. An attempt counts as read once its answer
// begins, once its connection was closed by the recipient, or once the recipient has sent anything
// at all that was written after the attempt had arrived.
//
// Nobody knows in which window of the retry budget an unread retry will be read, so it is charged
// in each of them: one token a window, from when it is overdue until one window after its reading.
#ifndef HINGESPAN_SERVING_UNREAD_ATTEMPTS_H_
#define HINGESPAN_SERVING_UNREAD_ATTEMPTS_H_

#include <cstdint>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace hingespan::gateway {

// Does no I/O; not thread-safe.
class UnreadAttempts {
 public:
  using Key = std::uint64_t;

  // Overdue attempts that were read at once.
  struct OverdueReading {
    int attempts = 0;
    // Time from sending the oldest one to its reading.
    absl::Duration longest;
  };

  // `window` is that of the retry budget.
  explicit UnreadAttempts(absl::Duration window) : window_(window) {}

  // Adds an attempt that is being sent to a worker or to another node.
  Key Add(const std::string& service, const std::string& recipient, absl::Time sent);
  // Records that the attempt's request was sent more than once, so that reading it may be a repeat.
  // Does nothing if the attempt is read.
  void CountAsRetry(Key key);
  // Records that the attempt is read. Does nothing if it is known to be.
  void OnRead(Key key, absl::Time now);
  // Removes an attempt that didn't arrive.
  void OnNotSent(Key key);
  // Records that bytes of any answer came from this recipient.
  OverdueReading OnHeard(const std::string& recipient, absl::Time now);

  // Time at which the oldest unread attempt was sent to this recipient; InfiniteFuture if there is
  // none, or if the recipient has been silent for so long that it is taken to have ended.
  absl::Time OldestUnread(const std::string& recipient, absl::Time now) const;
  // Number of unread attempts for which a recipient that reads would have shown it by now.
  int CountOverdue(const std::string& service, absl::Time now) const;
  // Number of tokens that the retries of a service are charged between two times.
  double Charge(const std::string& service, absl::Time begin, absl::Time end) const;

 private:
  struct Attempt {
    std::string service;
    std::string recipient;
    absl::Time sent;
    bool is_retry = false;
    absl::Time read = absl::InfiniteFuture();
  };
  absl::Time ChargeEnd(const Attempt& attempt) const;
  void RemoveFromRecipient(Key key, const std::string& recipient);
  void Remove(Key key);
  void DropOutdated(absl::Time now);

  absl::Duration window_;
  Key last_key_ = 0;
  // Unread attempts, and retries that were overdue when they were read.
  absl::flat_hash_map<Key, Attempt> attempts_;
  // Keys of the unread attempts by recipient; contains no empty sets.
  absl::flat_hash_map<std::string, std::set<Key>> by_recipient_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_UNREAD_ATTEMPTS_H_
