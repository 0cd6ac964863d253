// EngineClient over HTTP, for engines that implement the protocol of docs/EMULATOR.md.
#ifndef HINGESPAN_ENGINE_HTTP_ENGINE_CLIENT_H_
#define HINGESPAN_ENGINE_HTTP_ENGINE_CLIENT_H_

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "hingespan/engine/engine_client.h"

namespace hingespan {

struct HttpEngineClientOptions {
  // Maximum number of consecutive resumptions of a broken stream that yield no new chunk.
  int maximum_resumes = 5;
  // Initial backoff between resumptions without progress; doubles with each further one.
  absl::Duration resume_backoff = absl::Milliseconds(10);
  absl::Duration cancel_timeout = absl::Seconds(1);
  // Maximum number of queued cancellations; further ones are dropped.
  std::size_t maximum_cancels = 256;
};

// Thread-safe. Base URLs are "http://ip:port/path".
class HttpEngineClient : public EngineClient {
 public:
  explicit HttpEngineClient(HttpEngineClientOptions options);
  // Waits for cancellations in flight.
  ~HttpEngineClient() override;

  Result<EngineStatus> Fence(const std::string& base_url, WorkerIncarnation incarnation,
                             KeeperEpoch epoch, absl::Duration timeout) override;
  Result<EngineStatus> Status(const std::string& base_url, absl::Duration timeout) override;
  Result<EngineStatus> Load(const std::string& base_url, const LoadOrder& order,
                            absl::Duration timeout) override;
  Result<EngineStatus> Unload(const std::string& base_url, const UnloadOrder& order,
                              absl::Duration timeout) override;
  GenerationResult Generate(const std::string& base_url, const GenerationRequest& request,
                            absl::Time deadline, const ChunkSink& sink) override;
  // Returns immediately. The cancellation is sent to the engine once, in the background, and its
  // response is not awaited.
  void Cancel(const std::string& base_url, const RequestId& request) override;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hingespan

#endif  // HINGESPAN_ENGINE_HTTP_ENGINE_CLIENT_H_
