// A caller that sends one request after another on a connection of its own until the other side
// ends it, and then opens the next one.
#ifndef TESTS_SOAK_KEPT_CALLER_H_
#define TESTS_SOAK_KEPT_CALLER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"
#include "tests/soak/soak_records.h"

namespace hingespan::soak {

struct CallerPace {
  // Between an answer and the next request.
  absl::Duration pause;
  // Of the socket (SO_RCVBUF); 0: the kernel's choice.
  int receive_buffer = 0;
  std::size_t read_size = 16 * 1024;
  // Between two reads of an answer.
  absl::Duration read_interval;
};

// Not thread-safe; lives on its loop. Heeds `Connection: close`.
class KeptCaller {
 public:
  // Where to connect to; empty: nowhere for now.
  using Address = std::function<std::string()>;
  // The next request and its bytes, or null when no more are sent. The record outlives the caller.
  using NextRequest = std::function<RequestRecord*(std::string* bytes)>;

  KeptCaller(gateway::EventLoop* loop, const CallerPace& pace, Address address, NextRequest next);
  ~KeptCaller();
  KeptCaller(const KeptCaller&) = delete;
  KeptCaller& operator=(const KeptCaller&) = delete;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_KEPT_CALLER_H_
