// Test fixture: gateways, an emulated store and emulated workers on one event loop, connected over
// the loopback interface.
#ifndef TESTS_SERVING_GATEWAY_WORLD_H_
#define TESTS_SERVING_GATEWAY_WORLD_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emulator/platform_store.h"
#include "emulator/platform_worker.h"
#include "hingespan/common/clock.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "hingespan/serving/gateway.h"
#include "platform/deployment_rows.h"
#include "platform/request_fields.h"
#include "platform/store_rows.h"
#include "platform/worker_orders.h"

namespace hingespan::gateway {

// Records the answer that a caller received.
class TestCall : public AnswerReceiver {
 public:
  bool OnHead(const AnswerHead& answer_head) override {
    head = answer_head;
    return true;
  }
  void OnBody(absl::string_view piece) override { body.append(piece.data(), piece.size()); }
  void OnEnd(ExchangeResult end) override {
    result = end;
    ended = true;
  }

  AnswerHead head;
  std::string body;
  ExchangeResult result = ExchangeResult::kBroken;
  bool ended = false;
  std::unique_ptr<ClientExchange> exchange;
};

inline constexpr absl::Duration kTestStopTime = absl::Milliseconds(1500);

// One gateway node with all its components.
struct TestNode {
  TestNode(EventLoop* loop, const std::string& name, const std::string& store_address,
           const std::string& metrics_address = "", absl::Duration stop_time = kTestStopTime,
           const DeploymentReader* own_reader = nullptr);

  ~TestNode();
  // Returns the lines logged so far.
  std::vector<std::string> LogLines() const;

  GatewayMetrics metrics;
  int log_descriptor;
  DecisionLog log;
  HttpClient client;
  platform::RequestFields dialect;
  platform::DeploymentRows reader;
  platform::StoreRowsClient store;
  platform::WorkerOrders control;
  Gateway gateway;
  bool stopped = false;
};

struct TestRequest {
  std::string method = "POST";
  std::string target = "/plain/x";
  std::string id = "r1";
  std::string body;
  int deadline_ms = 2000;
  // Additional header fields.
  HeaderFields fields;
};

// Returns a streaming request for the model.
TestRequest StreamRequest(const std::string& target, const std::string& model);
// Returns the events of an emulated stream from `first` to `last`.
std::string Events(int first, int last);

// Not thread-safe. Starts with version 1 of the configuration, without workers or nodes.
class GatewayFixture {
 public:
  GatewayFixture();

  emulator::PlatformWorker* AddWorker(emulator::PlatformWorkerOptions options);
  // Adds the row of a worker that holds model m1, at an address where a test's own server listens,
  // or nobody.
  void AddWorkerAt(const std::string& address, const std::string& id, const std::string& service);
  emulator::PlatformWorker* AddPlainWorker(const std::string& id);
  emulator::PlatformWorker* AddModelWorker(const std::string& id, const std::string& model);
  // Starts a node and waits until it is ready.
  // `own_reader` replaces the node's reader of rows, e.g. for other addresses of the workers.
  TestNode* AddNode(const std::string& name, const std::string& metrics_address = "",
                    const DeploymentReader* own_reader = nullptr);
  // Routes "/plain/" (not repeatable), "/safe/" (repeatable), "/stream/" (resumable stream) and
  // "/once/" (stream that is not resumable) of host "h".
  // `load_seconds` is the configured load time of a model. The default target latency leaves time
  // for an unload and a load of that length. `stream_attempts` holds for "/stream/",
  // `plain_attempts` for "/plain/".
  void PutConfiguration(int version, int timeout_ms = 5000, double load_seconds = 0.03,
                        int target_ms = 800, int stream_attempts = 2, int plain_attempts = 1);

  std::unique_ptr<TestCall> Send(TestNode* node, const TestRequest& request);
  // Sends a request and waits until its answer ends.
  std::unique_ptr<TestCall> Ask(TestNode* node, const TestRequest& request);
  // Sends enough of these requests to fill the retry budget. Call it before any worker exists.
  void EarnRetries(TestNode* node, TestRequest request);
  bool Wait(const std::function<bool()>& done);

  EventLoop loop;
  emulator::PlatformStore store;
  std::vector<std::unique_ptr<emulator::PlatformWorker>> workers;
  std::vector<std::unique_ptr<TestNode>> nodes;
  HttpClient caller;
};

}  // namespace hingespan::gateway

#endif  // TESTS_SERVING_GATEWAY_WORLD_H_
