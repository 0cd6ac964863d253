// The gateway's part in quarantines: prompts of all its requests.
#include <memory>
#include <string>
#include <utility>

#include "hingespan/serving/gateway.h"

namespace hingespan::gateway {

void Gateway::OnAttemptBroken(const std::string& worker_id, const std::string& service) {
  const WorkerState* const worker = workers_.Find(worker_id);
  if (worker == nullptr) {
    return;
  }
  PromptPartIds parts;
  for (const auto& [number, request] : open_requests_) {
    if (request->MayCrash(worker_id)) {
      parts.insert(request->shared_parts().begin(), request->shared_parts().end());
    }
  }
  quarantine_.OnAttemptBroken(worker_id, worker->record.address, service, parts);
}

void Gateway::OnQuarantine() {
  // A copy, as requests that end are removed.
  const auto open_requests = open_requests_;
  for (const auto& [number, request] : open_requests) {
    request->OnQuarantine();
  }
}

}  // namespace hingespan::gateway
