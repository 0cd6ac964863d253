#include "emulator/engine_front_end.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "emulator/http_answers.h"
#include "emulator/json_forms.h"

namespace hingespan::emulator {
namespace {

// Content type that the HTTP library does not compress; compression would delay tokens.
constexpr char kStreamType[] = "application/x-ndjson";

// Returns true if the worker could be used; otherwise writes the error answer.
bool CheckAccess(AccessResult access, httplib::Response* response) {
  switch (access) {
    case AccessResult::kReached:
      return true;
    case AccessResult::kUnknownWorker:
      AnswerError(kHttpNotFound, "unknown_worker", response);
      return false;
    case AccessResult::kEnded:
      AnswerError(kHttpUnavailable, "gone", response);
      return false;
    case AccessResult::kStopping:
      AnswerError(kHttpUnavailable, "stopping", response);
      return false;
  }
  return false;
}

void AnswerOrder(OrderResult result, const EngineStatus& status, httplib::Response* response) {
  switch (result) {
    case OrderResult::kAccepted:
      AnswerJson(kHttpOk, ToJson(status), response);
      return;
    case OrderResult::kFenced:
      AnswerJson(kHttpConflict,
                 nlohmann::json{{"error", "fenced"},
                                {"incarnation", status.incarnation.value()},
                                {"epoch", status.epoch.value()}},
                 response);
      return;
    case OrderResult::kOutOfMemory:
      AnswerError(kHttpInsufficientStorage, "out_of_memory", response);
      return;
    case OrderResult::kBaseNotLoaded:
      AnswerError(kHttpConflict, "base_not_loaded", response);
      return;
  }
}

void AnswerGenerateRefusal(GenerateResult result, httplib::Response* response) {
  switch (result) {
    case GenerateResult::kNotLoaded:
      AnswerError(kHttpConflict, "not_loaded", response);
      return;
    case GenerateResult::kOtherIncarnation:
      AnswerError(kHttpConflict, "other_incarnation", response);
      return;
    case GenerateResult::kOverloaded:
      AnswerError(kHttpUnavailable, "overloaded", response);
      return;
    case GenerateResult::kAccepted:
      return;
  }
}

// Sends each chunk after `after` as one HTTP chunk as soon as it is available, up to the last one.
class ChunkSender {
 public:
  ChunkSender(std::shared_ptr<AnswerStream> stream, std::uint64_t after)
      : stream_(std::move(stream)), round_(stream_->connection_round()), sent_(after) {}

  // Returns false to close the connection.
  bool SendNext(httplib::DataSink* sink) {
    const AnswerStream::Read read = stream_->WaitAfter(sent_, round_);
    if (read.close_connection) {
      return false;
    }
    for (const GenerationChunk& chunk : read.chunks) {
      const std::string line = absl::StrCat(ToJson(chunk).dump(), "\n");
      if (!sink->write(line.data(), line.size())) {
        return false;
      }
      sent_ = chunk.sequence;
    }
    if (read.chunks.back().last) {
      sink->done();
    }
    return true;
  }

 private:
  const std::shared_ptr<AnswerStream> stream_;
  const std::uint64_t round_;
  std::uint64_t sent_;
};

void AnswerStreaming(std::shared_ptr<AnswerStream> stream, std::uint64_t after,
                     httplib::Response* response) {
  auto sender = std::make_shared<ChunkSender>(std::move(stream), after);
  response->set_chunked_content_provider(
      kStreamType,
      [sender](std::size_t, httplib::DataSink& sink) { return sender->SendNext(&sink); });
}

}  // namespace

EngineFrontEnd::EngineFrontEnd(EngineFleet* fleet, EngineFaults* faults, int thread_limit)
    : fleet_(fleet), faults_(faults), server_(thread_limit) {
  AddRoutes();
}

void EngineFrontEnd::AddRoutes() {
  httplib::Server& routes = server_.routes();
  const std::string engine = "/engines/([^/]+)";
  routes.Post(engine + "/generate", ForWorker(&EngineFrontEnd::Generate));
  routes.Get(engine + "/status", ForWorker(&EngineFrontEnd::Status));
  routes.Post(engine + "/fence", ForWorker(&EngineFrontEnd::Fence));
  routes.Post(engine + "/load", ForWorker(&EngineFrontEnd::Load));
  routes.Post(engine + "/unload", ForWorker(&EngineFrontEnd::Unload));
  routes.Post(engine + "/role", ForWorker(&EngineFrontEnd::SetRole));
  routes.Get(engine + "/streams/(.+)", ForWorker(&EngineFrontEnd::ResumeStream));
  routes.Delete(engine + "/streams/(.+)", ForWorker(&EngineFrontEnd::CancelStream));
  routes.Get(engine + "/events", ForWorker(&EngineFrontEnd::ReadEvents));
  routes.Get(engine + "/kv/(.+)", ForWorker(&EngineFrontEnd::ExportKv));
  routes.Put(engine + "/kv/(.+)", ForWorker(&EngineFrontEnd::ImportKv));
}

std::function<void(const httplib::Request&, httplib::Response&)> EngineFrontEnd::ForWorker(
    Handler handler) {
  return [this, handler](const httplib::Request& request, httplib::Response& response) {
    (this->*handler)(WorkerId(request.matches[1]), request, response);
  };
}

// --- Orders -------------------------------------------------------------------------------------

void EngineFrontEnd::Status(const WorkerId& worker, const httplib::Request&,
                            httplib::Response& response) {
  EngineStatus status;
  const AccessResult access =
      fleet_->Use(worker, [&](Engine& engine, absl::Time now) { status = engine.Status(now); });
  if (CheckAccess(access, &response)) {
    AnswerJson(kHttpOk, ToJson(status), &response);
  }
}

void EngineFrontEnd::Fence(const WorkerId& worker, const httplib::Request& request,
                           httplib::Response& response) {
  const Result<OrderFence> fence = ReadFence(request.body);
  if (!fence) {
    AnswerError(kHttpBadRequest, "malformed", &response);
    return;
  }
  const Order order = [fence = *fence](Engine& engine, absl::Time now) {
    return engine.Fence(fence.incarnation, fence.epoch, now);
  };
  Apply(worker, order, &response);
}

void EngineFrontEnd::Load(const WorkerId& worker, const httplib::Request& request,
                          httplib::Response& response) {
  const Result<LoadOrder> load = ReadLoadOrder(request.body);
  if (!load) {
    AnswerError(kHttpBadRequest, "malformed", &response);
    return;
  }
  const Order order = [load = *load](Engine& engine, absl::Time now) {
    return engine.Load(load, now);
  };
  Apply(worker, order, &response);
}

void EngineFrontEnd::Unload(const WorkerId& worker, const httplib::Request& request,
                            httplib::Response& response) {
  const Result<UnloadOrder> unload = ReadUnloadOrder(request.body);
  if (!unload) {
    AnswerError(kHttpBadRequest, "malformed", &response);
    return;
  }
  const Order order = [unload = *unload](Engine& engine, absl::Time now) {
    return engine.Unload(unload, now);
  };
  Apply(worker, order, &response);
}

void EngineFrontEnd::SetRole(const WorkerId& worker, const httplib::Request& request,
                             httplib::Response& response) {
  const Result<RoleOrder> role = ReadRoleOrder(request.body);
  if (!role) {
    AnswerError(kHttpBadRequest, "malformed", &response);
    return;
  }
  const Order order = [role = *role](Engine& engine, absl::Time now) {
    return engine.SetRole(role.fence, role.role, now);
  };
  Apply(worker, order, &response);
}

void EngineFrontEnd::Apply(const WorkerId& worker, const Order& order,
                           httplib::Response* response) {
  OrderResult result = OrderResult::kAccepted;
  EngineStatus status;
  const AccessResult access = fleet_->Use(worker, [&](Engine& engine, absl::Time now) {
    result = order(engine, now);
    status = engine.Status(now);
  });
  if (!CheckAccess(access, response)) {
    return;
  }
  const std::optional<absl::Duration> delay = faults_->DuplicateDelay(worker);
  if (delay.has_value()) {
    fleet_->UseAfter(worker, *delay, order);
  }
  if (faults_->TakeLostAnswer(worker, EngineCall::kOrder)) {
    HttpServer::DropConnection();
  }
  AnswerOrder(result, status, response);
}

// --- Streams ------------------------------------------------------------------------------------

void EngineFrontEnd::Generate(const WorkerId& worker, const httplib::Request& request,
                              httplib::Response& response) {
  const Result<GenerationRequest> generation = ReadGenerationRequest(request.body);
  if (!generation) {
    AnswerError(kHttpBadRequest, "malformed", &response);
    return;
  }
  GenerateAnswer answer;
  const AccessResult access = fleet_->Use(
      worker, [&](Engine& engine, absl::Time now) { answer = engine.Generate(*generation, now); });
  if (!CheckAccess(access, &response)) {
    return;
  }
  if (faults_->TakeLostAnswer(worker, EngineCall::kGenerate)) {
    HttpServer::DropConnection();
  }
  if (answer.result != GenerateResult::kAccepted) {
    AnswerGenerateRefusal(answer.result, &response);
    return;
  }
  AnswerStreaming(std::move(answer.stream), 0, &response);
}

void EngineFrontEnd::ResumeStream(const WorkerId& worker, const httplib::Request& request,
                                  httplib::Response& response) {
  std::shared_ptr<AnswerStream> stream;
  const AccessResult access = fleet_->Use(worker, [&](Engine& engine, absl::Time) {
    stream = engine.FindStream(RequestId(request.matches[2]));
  });
  if (access == AccessResult::kReached && stream != nullptr) {
    AnswerStreaming(std::move(stream), NumberParameter(request, "after", 0), &response);
    return;
  }
  AnswerError(kHttpNotFound, "unknown", &response);
}

void EngineFrontEnd::CancelStream(const WorkerId& worker, const httplib::Request& request,
                                  httplib::Response& response) {
  const AccessResult access = fleet_->Use(worker, [&](Engine& engine, absl::Time now) {
    engine.Cancel(RequestId(request.matches[2]), now);
  });
  if (CheckAccess(access, &response)) {
    AnswerJson(kHttpOk, nlohmann::json::object(), &response);
  }
}

// --- Caches -------------------------------------------------------------------------------------

void EngineFrontEnd::ReadEvents(const WorkerId& worker, const httplib::Request& request,
                                httplib::Response& response) {
  std::vector<PrefixEvent> events;
  const AccessResult access = fleet_->Use(worker, [&](Engine& engine, absl::Time now) {
    events = engine.PrefixEvents(NumberParameter(request, "after", 0), now);
  });
  if (!CheckAccess(access, &response)) {
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const PrefixEvent& event : events) {
    list.push_back(ToJson(event));
  }
  AnswerJson(kHttpOk, nlohmann::json{{"events", std::move(list)}}, &response);
}

void EngineFrontEnd::ExportKv(const WorkerId& worker, const httplib::Request& request,
                              httplib::Response& response) {
  std::optional<std::string> bytes;
  const AccessResult access = fleet_->Use(worker, [&](Engine& engine, absl::Time) {
    bytes = engine.ExportKv(RequestId(request.matches[2]));
  });
  if (!CheckAccess(access, &response)) {
    return;
  }
  if (!bytes.has_value()) {
    AnswerError(kHttpNotFound, "unknown", &response);
    return;
  }
  response.set_content(*bytes, "application/octet-stream");
}

void EngineFrontEnd::ImportKv(const WorkerId& worker, const httplib::Request& request,
                              httplib::Response& response) {
  const AccessResult access = fleet_->Use(worker, [&](Engine& engine, absl::Time) {
    engine.ImportKv(RequestId(request.matches[2]), request.body);
  });
  if (CheckAccess(access, &response)) {
    AnswerJson(kHttpOk, nlohmann::json::object(), &response);
  }
}

}  // namespace hingespan::emulator
