// Caller that sends its requests one after another on a persistent connection and reconnects when
// the server closes it.
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
  // Pause between an answer and the next request.
  absl::Duration pause;
  // Size of the socket's receive buffer (SO_RCVBUF); 0 leaves the kernel's default.
  int receive_buffer = 0;
  std::size_t read_size = 16 * 1024;
  // Pause between two reads of an answer.
  absl::Duration read_interval;
};

// Not thread-safe; runs on its event loop. Honours `Connection: close`.
class KeepAliveCaller {
 public:
  // Returns the address to connect to, or an empty string while there is none.
  using Address = std::function<std::string()>;
  // Returns the next request and stores its bytes in `bytes`; null when no more are sent. The
  // record must outlive the caller.
  using NextRequest = std::function<RequestRecord*(std::string* bytes)>;

  KeepAliveCaller(gateway::EventLoop* loop, const CallerPace& pace, Address address,
                  NextRequest next);
  ~KeepAliveCaller();
  KeepAliveCaller(const KeepAliveCaller&) = delete;
  KeepAliveCaller& operator=(const KeepAliveCaller&) = delete;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_KEPT_CALLER_H_
