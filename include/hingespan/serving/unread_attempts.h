// Attempts that were sent and that their recipients have not shown to have read.
//
// A recipient whose process is paused accepts requests in its kernel, and reads them once it goes
// on, even if their connections have been reset by then. An attempt counts as read once its answer
// begins, once its connection was closed by the recipient, or once the recipient has sent anything
// at all that was written after the attempt had arrived.
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

  // Adds an attempt that is being sent to a worker or to another node.
  Key Add(const std::string& service, const std::string& recipient, absl::Time sent);
  // Records that the attempt is read. Does nothing if it is known to be.
  void OnRead(Key key, absl::Time now);
  // Removes an attempt that didn't arrive.
  void OnNotSent(Key key);
  // Records that bytes of any answer came from this recipient.
  OverdueReading OnHeard(const std::string& recipient, absl::Time now);

  // Number of unread attempts for which a recipient that reads would have shown it by now.
  int CountOverdue(const std::string& service, absl::Time now) const;

 private:
  struct Attempt {
    std::string service;
    std::string recipient;
    absl::Time sent;
  };
  void Remove(Key key);
  void DropOutdated(absl::Time now);

  Key last_key_ = 0;
  absl::flat_hash_map<Key, Attempt> attempts_;
  // Keys of the attempts by recipient; contains no empty sets.
  absl::flat_hash_map<std::string, std::set<Key>> by_recipient_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_UNREAD_ATTEMPTS_H_
