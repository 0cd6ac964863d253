// Counters and gauges of a node, in the Prometheus text format.
#ifndef HINGESPAN_NODE_NODE_METRICS_H_
#define HINGESPAN_NODE_NODE_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "hingespan/net/http_server.h"
#include "hingespan/node/core_driver.h"
#include "hingespan/transport/udp_transport.h"

namespace hingespan {

// Parts of the node whose values are read on each scrape.
struct NodeMetricsSources {
  const CoreDriver* driver = nullptr;
  const UdpTransport* transport = nullptr;
  const HttpServer* server = nullptr;
};

// Thread-safe.
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();

  // Counts a request that ended with the outcome "complete", "caller_gone" or the code of a
  // refusal.
  void CountRequest(std::string_view outcome);
  // Records the time from arrival until the first token was sent to the caller.
  void ObserveFirstToken(absl::Duration duration);
  // Records the time from arrival until the router's first decision.
  void ObserveWait(absl::Duration duration);
  void CountTokens(std::uint64_t tokens);

  // Returns all metrics as text.
  std::string Text(const NodeMetricsSources& sources);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_NODE_METRICS_H_
