#include "emulator/platform_front_end.h"

#include <httplib.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "emulator/http_answers.h"
#include "emulator/json_forms.h"

namespace hingespan::emulator {
namespace {

constexpr std::uint64_t kDefaultPageSize = 1000;
constexpr std::uint64_t kMaximumPageSize = 100000;

int PageLimit(const httplib::Request& request) {
  return static_cast<int>(
      std::min(kMaximumPageSize, NumberParameter(request, "limit", kDefaultPageSize)));
}

void AnswerRateLimited(absl::Duration retry_after, httplib::Response* response) {
  const double seconds = std::ceil(absl::ToDoubleSeconds(retry_after));
  response->set_header("Retry-After", absl::StrCat(static_cast<int>(std::max(1.0, seconds))));
  AnswerError(kHttpTooManyRequests, "rate_limited", response);
}

int StatusOf(std::error_code error) {
  if (error == Error::kNotFound) {
    return kHttpNotFound;
  }
  return error == Error::kConflict ? kHttpConflict : kHttpBadRequest;
}

}  // namespace

PlatformFrontEnd::PlatformFrontEnd(ZoneId zone, PlatformParts parts, int thread_limit)
    : zone_(std::move(zone)), parts_(parts), server_(thread_limit) {
  AddRoutes();
}

void PlatformFrontEnd::AddRoutes() {
  httplib::Server& routes = server_.routes();
  const PlatformPart table = PlatformPart::kTable;
  routes.Post("/table/commit", Guard(table, &PlatformFrontEnd::Commit));
  routes.Get("/table/read", Guard(table, &PlatformFrontEnd::Read));
  routes.Get("/table/changes", Guard(table, &PlatformFrontEnd::ReadChanges));
  routes.Get("/table/history", Guard(table, &PlatformFrontEnd::ReadHistory));
  const PlatformPart objects = PlatformPart::kObjects;
  routes.Get("/objects", Guard(objects, &PlatformFrontEnd::ListObjects));
  routes.Put("/objects/(.+)", Guard(objects, &PlatformFrontEnd::PutObject));
  routes.Get("/objects/(.+)", Guard(objects, &PlatformFrontEnd::GetObject));
  const PlatformPart machines = PlatformPart::kMachines;
  routes.Get("/machines", Guard(machines, &PlatformFrontEnd::ReadMachines));
  routes.Put("/machines/([^/]+)", Guard(machines, &PlatformFrontEnd::AnnounceMachine));
}

std::function<void(const httplib::Request&, httplib::Response&)> PlatformFrontEnd::Guard(
    PlatformPart part, Handler handler) {
  return [this, part, handler](const httplib::Request& request, httplib::Response& response) {
    const PlatformDecision decision = parts_.gate->Decide(zone_, part, parts_.clock->Now());
    if (decision.down) {
      AnswerError(kHttpUnavailable, "down", &response);
      return;
    }
    if (decision.rate_limited) {
      AnswerRateLimited(decision.retry_after, &response);
      return;
    }
    parts_.stopping->WaitForNotificationWithTimeout(decision.delay);
    (this->*handler)(request, response);
    if (decision.lose_answer) {
      HttpServer::DropConnection();
    }
  };
}

void PlatformFrontEnd::Commit(const httplib::Request& request, httplib::Response& response) {
  const Result<Transaction> transaction = ReadTransaction(request.body);
  if (!transaction) {
    AnswerError(kHttpBadRequest, "malformed", &response);
    return;
  }
  AnswerJson(kHttpOk, ToJson(parts_.table->Commit(*transaction)), &response);
}

void PlatformFrontEnd::Read(const httplib::Request& request, httplib::Response& response) {
  AnswerJson(kHttpOk, ToJson(parts_.table->Read(request.get_param_value("key"))), &response);
}

void PlatformFrontEnd::ReadChanges(const httplib::Request& request, httplib::Response& response) {
  const TableRevision after(NumberParameter(request, "after", 0));
  AnswerJson(kHttpOk, ToJson(parts_.table->ReadChanges(after, PageLimit(request))), &response);
}

void PlatformFrontEnd::ReadHistory(const httplib::Request& request, httplib::Response& response) {
  const std::string key = request.get_param_value("key");
  const nlohmann::json values = ToJson(parts_.table->ReadHistory(key, PageLimit(request)));
  AnswerJson(kHttpOk, nlohmann::json{{"values", values}}, &response);
}

void PlatformFrontEnd::PutObject(const httplib::Request& request, httplib::Response& response) {
  parts_.objects->Put(request.matches[1], request.body);
  AnswerJson(kHttpOk, nlohmann::json::object(), &response);
}

void PlatformFrontEnd::GetObject(const httplib::Request& request, httplib::Response& response) {
  const std::optional<std::string> bytes = parts_.objects->Get(request.matches[1]);
  if (!bytes.has_value()) {
    AnswerError(kHttpNotFound, "not_found", &response);
    return;
  }
  response.set_content(*bytes, "application/octet-stream");
}

void PlatformFrontEnd::ListObjects(const httplib::Request& request, httplib::Response& response) {
  const std::vector<std::string> names = parts_.objects->List(request.get_param_value("prefix"));
  AnswerJson(kHttpOk, nlohmann::json{{"names", names}}, &response);
}

void PlatformFrontEnd::ReadMachines(const httplib::Request& request, httplib::Response& response) {
  const ZoneId zone(request.get_param_value("zone"));
  AnswerTaggedJson(request, ToJson(parts_.machines->Read(zone)), &response);
}

void PlatformFrontEnd::AnnounceMachine(const httplib::Request& request,
                                       httplib::Response& response) {
  const Result<WorkerAnnouncement> worker = ReadWorkerAnnouncement(request.body);
  if (worker.ok()) {
    AnnounceWorker(*worker, request.matches[1].str(), &response);
    return;
  }
  const Result<NodeMachine> node = ReadNodeMachine(request.body);
  if (!node || node->node.value() != request.matches[1].str()) {
    AnswerError(kHttpBadRequest, "malformed", &response);
    return;
  }
  const std::error_code error = parts_.machines->Announce(*node);
  if (error) {
    AnswerError(kHttpBadRequest, error.message(), &response);
    return;
  }
  AnswerJson(kHttpOk, nlohmann::json::object(), &response);
}

void PlatformFrontEnd::AnnounceWorker(const WorkerAnnouncement& announcement,
                                      const std::string& name, httplib::Response* response) {
  if (announcement.worker.value() != name) {
    AnswerError(kHttpBadRequest, "malformed", response);
    return;
  }
  const std::error_code error =
      parts_.machines->AnnounceWorker(announcement.worker, announcement.state);
  if (error) {
    AnswerError(StatusOf(error), error.message(), response);
    return;
  }
  AnswerJson(kHttpOk, nlohmann::json::object(), response);
}

}  // namespace hingespan::emulator
