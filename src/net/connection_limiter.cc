#include "hingespan/net/connection_limiter.h"

#include <utility>

namespace hingespan {
namespace {

thread_local ConnectionAdmission current_admission = ConnectionAdmission::kServe;

ThreadPoolOptions UnqueuedPool(std::size_t threads) {
  ThreadPoolOptions options;
  options.maximum_threads = threads;
  options.maximum_queue = 0;
  return options;
}

}  // namespace

ConnectionLimiter::ConnectionLimiter(std::size_t maximum_connections, std::size_t maximum_refusals)
    : maximum_connections_(maximum_connections),
      serving_(UnqueuedPool(maximum_connections)),
      refusing_(UnqueuedPool(maximum_refusals)) {}

ConnectionAdmission ConnectionLimiter::CurrentAdmission() { return current_admission; }

void ConnectionLimiter::enqueue(std::function<void()> task) {
  const auto serve = [task] {
    current_admission = ConnectionAdmission::kServe;
    task();
  };
  if (serving_.TrySubmit(serve)) {
    return;
  }
  const auto refuse = [task] {
    current_admission = ConnectionAdmission::kRefuse;
    task();
  };
  if (refusing_.TrySubmit(refuse)) {
    return;
  }
  current_admission = ConnectionAdmission::kClose;
  task();
}

void ConnectionLimiter::shutdown() {
  serving_.Shutdown();
  refusing_.Shutdown();
}

}  // namespace hingespan
