// Test fixture: a gateway process with little memory, a store and a worker on the test's loop, and
// crowds of clients that don't behave.
#ifndef TESTS_CROWD_CROWD_WORLD_H_
#define TESTS_CROWD_CROWD_WORLD_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emulator/platform_store.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "hingespan/http/http_server.h"
#include "tests/crowd/crowd_client.h"
#include "tests/crowd/process_memory.h"
#include "tests/soak/gateway_process.h"

namespace hingespan::crowd {

// What the gateway is told of its machine, in bytes; its memory and unread bytes stay below it.
inline constexpr std::size_t kMemory = 64 * 1024 * 1024;
inline constexpr std::size_t kMaxConnections = 600;
inline constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
inline constexpr std::size_t kMaxHeadBytes = 16 * 1024;
// Descriptors that are not callers' connections: listeners, the store, the worker, files.
inline constexpr std::size_t kOtherDescriptors = 100;

struct CrowdWorldOptions {
  std::size_t max_connections = kMaxConnections;
  // Limit of bodies in the configuration, in bytes.
  std::size_t max_body_bytes = kMaxBodyBytes;
  // Bytes of the worker's answers.
  std::size_t answer_bytes = 100;
};

// Not thread-safe.
class CrowdWorld {
 public:
  explicit CrowdWorld(const CrowdWorldOptions& options = {});
  ~CrowdWorld();

  // Starts `count` clients and waits until all that they send was read, or they were turned away.
  void SendCrowd(std::size_t count, const CrowdScript& script);
  // Like SendCrowd, at the address for requests that other nodes forward.
  void SendForwardedCrowd(std::size_t count, const CrowdScript& script);
  // Starts `count` clients and waits until each has sent so many pieces, or was turned away.
  void SendPiecesOfCrowd(std::size_t count, const CrowdScript& script, std::size_t pieces);
  // Ends all connections of the crowds.
  void EndCrowd();
  // Sends an ordinary request on a connection of its own and returns the status of its answer; 0 if
  // it got none.
  int AskOrdinary();
  // Like AskOrdinary, with this body.
  int AskWithBody(std::string body);
  // Sends ordinary requests, one after the other, until one is served. Returns false if none of
  // many was.
  bool IsServed();
  // From now on the worker keeps requests, and answers them when it is told to.
  void HoldAnswers() { holds_ = true; }
  void AnswerHeld();
  // Waits until each request of the crowd is kept by the worker, or was turned away.
  void AwaitHeld();
  std::size_t worker_requests() const { return worker_requests_; }

  // Lines of the process's log with this text.
  std::size_t LogLines(const std::string& text) const;

  bool Lives();
  ProcessMemory Now();
  // The most that the process has held so far: resident and unread bytes.
  std::size_t PeakBytes();
  std::size_t peak_descriptors() const { return peak_descriptors_; }
  // Checks what holds for every crowd: the process lives, within its memory and descriptors, and an
  // ordinary request is answered.
  void CheckSound();
  bool Wait(const std::function<bool()>& done);

 private:
  void PutConfiguration();
  void AnnounceWorker();
  void Answer(gateway::ServerExchange* exchange) const;
  void Sample();
  std::string ForwardAddress() const;
  void StartCrowd(std::size_t count, const CrowdScript& script, const std::string& address);
  void AwaitRead();

  CrowdWorldOptions options_;
  gateway::EventLoop loop_;
  emulator::PlatformStore store_;
  gateway::HttpServer worker_;
  gateway::HttpClient caller_;
  std::unique_ptr<soak::GatewayProcess> process_;
  std::unique_ptr<gateway::LoopTimer> sample_timer_;
  std::vector<std::shared_ptr<CrowdClient>> crowd_;
  std::vector<std::shared_ptr<gateway::ServerExchange>> held_;
  std::string folder_;
  std::size_t worker_requests_ = 0;
  std::size_t peak_bytes_ = 0;
  std::size_t peak_descriptors_ = 0;
  int ordinary_number_ = 0;
  bool holds_ = false;
  bool ended_ = false;
};

// Head of a request for the worker, up to the fields that frame its body.
std::string RequestHeadText(const std::string& id);

}  // namespace hingespan::crowd

#endif  // TESTS_CROWD_CROWD_WORLD_H_
