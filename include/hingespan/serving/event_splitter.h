// Splits a stream of server-sent events into whole events and finds the id of the last one.
#ifndef HINGESPAN_SERVING_EVENT_SPLITTER_H_
#define HINGESPAN_SERVING_EVENT_SPLITTER_H_

#include <string>

#include "absl/strings/string_view.h"

namespace hingespan::gateway {

// Pure. Bytes behind the last whole event are held back: a stream that breaks off in the middle of
// an event can then go on at another worker.
class EventSplitter {
 public:
  // Returns the whole events that `piece` completes, with all that was held back of them.
  std::string Feed(absl::string_view piece);
  // What was held back, e.g. when the stream ended in good order.
  std::string TakeRest();
  // Forgets what was held back, for a stream that goes on elsewhere.
  void DropRest() { held_.clear(); }
  // Id of the last whole event; empty: none yet.
  const std::string& last_event_id() const { return last_event_id_; }
  bool any_event() const { return any_event_; }

 private:
  void ReadIds(absl::string_view events);

  std::string held_;
  std::string last_event_id_;
  bool any_event_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_EVENT_SPLITTER_H_
