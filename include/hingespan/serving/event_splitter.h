// Splits a stream of server-sent events into complete events and tracks the id of the last one.
#ifndef HINGESPAN_SERVING_EVENT_SPLITTER_H_
#define HINGESPAN_SERVING_EVENT_SPLITTER_H_

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"

namespace hingespan::gateway {

// Does no I/O. Bytes after the last complete event are held back, so that a stream that breaks off
// in the middle of an event can be resumed at another worker. Not thread-safe.
class EventSplitter {
 public:
  // An event that is longer has no end that could be waited for.
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  // Returns the events that `piece` completes, including their bytes that were held back before.
  std::string Feed(absl::string_view piece);
  // Returns and clears the bytes that were held back, which are line ends after a whole stream.
  std::string TakeRest();
  // Discards the bytes that were held back, for a stream that is resumed at another worker.
  void DropRest() { std::string().swap(pending_); }
  // True if the bytes held back begin an event, so that a stream that ends here was broken off.
  bool InsideEvent() const { return pending_.find_first_not_of("\r\n") != std::string::npos; }
  // True if the bytes held back are more than an event may have.
  bool EventTooLarge() const { return pending_.size() > kMaxEventBytes; }
  // Memory of the bytes held back.
  std::size_t held_bytes() const { return pending_.capacity(); }
  // Id of the last complete event; empty if there is none yet.
  const std::string& last_event_id() const { return last_event_id_; }
  bool any_event() const { return any_event_; }

 private:
  void ReadIds(absl::string_view events);

  std::string pending_;
  std::string last_event_id_;
  bool any_event_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_EVENT_SPLITTER_H_
