#include "hingespan/node/admin_front_end.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "hingespan/common/json_decoding.h"
#include "hingespan/engine/replica_state_name.h"
#include "hingespan/node/answer_format.h"
#include "hingespan/node/bearer_key.h"
#include "hingespan/node/method_refusals.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

constexpr char kJsonType[] = "application/json";
// Timeout of one platform call.
constexpr absl::Duration kPlatformTimeout = absl::Seconds(4);

void Answer(int status, const Json& body, httplib::Response* response) {
  response->status = status;
  response->set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n",
                        kJsonType);
}

void AnswerError(int status, const std::string& message, httplib::Response* response) {
  response->status = status;
  response->set_content(HttpErrorBody(status, message), kJsonType);
}

const char* StateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kLeft:
      return "left";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

Json MemberJson(const MemberUpdate& member) {
  return {{"node", member.node.value()},
          {"incarnation", member.incarnation.value()},
          {"state", StateName(member.state)},
          {"control_address", member.control_address},
          {"http_address", member.http_address}};
}

Json MembersJson(const Membership& membership) {
  Json members = Json::array({MemberJson(membership.self())});
  for (const NodeId& peer : membership.peers()) {
    if (const MemberUpdate* const member = membership.Find(peer)) {
      members.push_back(MemberJson(*member));
    }
  }
  return members;
}

Json WorkerJson(const WorkerId& id, const KnownWorker& worker) {
  Json replicas = Json::array();
  for (const auto& [model, replica] : worker.replicas) {
    replicas.push_back({{"model", model.value()},
                        {"generation", replica.generation.value()},
                        {"state", ReplicaStateName(replica.state)}});
  }
  const WorkerReport& report = worker.report;
  return {{"worker", id.value()},
          {"keeper", worker.keeper.value()},
          {"incarnation", report.incarnation.value()},
          {"epoch", report.epoch.value()},
          {"base_url", report.base_url},
          {"reachable", report.reachable},
          {"leaving", report.leaving},
          {"memory_mib", report.memory_mib},
          {"memory_charged_mib", report.memory_charged_mib},
          {"running", report.running},
          {"queued", report.queued},
          {"replicas", std::move(replicas)}};
}

Json WorkersJson(const ReplicaDirectory& directory) {
  Json workers = Json::array();
  for (const auto& [id, worker] : directory.workers()) {
    workers.push_back(WorkerJson(id, worker));
  }
  return workers;
}

Json RouterJson(const RequestRouter& router) {
  const RouterCounters& counters = router.counters();
  Json refused = Json::object();
  for (const auto& [code, count] : counters.refused) {
    refused[std::string(RefusalCodeName(code))] = count;
  }
  return {{"waiting", router.waiting()},     {"active", router.active()},
          {"submitted", counters.submitted}, {"dispatched", counters.dispatched},
          {"forwarded", counters.forwarded}, {"completed", counters.completed},
          {"retried", counters.retried},     {"cold", counters.cold},
          {"refused", std::move(refused)}};
}

Json StatusJson(const NodeCore& core) {
  Json kept = Json::array();
  for (const WorkerId& worker : core.kept_workers()) {
    kept.push_back(worker.value());
  }
  const CoreOptions& options = core.options();
  return {{"node", options.node.value()},
          {"zone", options.zone.value()},
          {"incarnation", options.incarnation.value()},
          {"ready", core.Ready()},
          {"table_revision", core.store().revision().value()},
          {"rows", core.store().row_count()},
          {"claims", core.claim_owner().claim_count()},
          {"kept_workers", std::move(kept)},
          {"members", MembersJson(core.membership())},
          {"workers", WorkersJson(core.directory())},
          {"router", RouterJson(core.router())}};
}

int StatusOfPlatformError(std::error_code error) {
  if (error == Error::kNotFound) {
    return 404;
  }
  if (error == Error::kConflict) {
    return 409;
  }
  return MayHaveTakenEffect(error) ? 504 : 503;
}

}  // namespace

AdminFrontEnd::AdminFrontEnd(AdminFrontEndOptions options, CoreDriver* driver)
    : options_(std::move(options)), driver_(driver) {}

void AdminFrontEnd::AddRoutes(httplib::Server* server) {
  using httplib::Request;
  using httplib::Response;
  server->Get("/admin/status", [this](const Request& request, Response& response) {
    if (Authorize(request, &response)) {
      ServeStatus(&response);
    }
  });
  server->Get("/admin/explain", [this](const Request& request, Response& response) {
    if (Authorize(request, &response)) {
      ServeExplain(request, &response);
    }
  });
  server->Post("/admin/drain", [this](const Request& request, Response& response) {
    if (Authorize(request, &response)) {
      ServeDrain(request, &response);
    }
  });
  RefuseOtherMethods("/admin/status", ServedMethods::kGet, server);
  RefuseOtherMethods("/admin/explain", ServedMethods::kGet, server);
  RefuseOtherMethods("/admin/drain", ServedMethods::kPost, server);
}

bool AdminFrontEnd::Authorize(const httplib::Request& request, httplib::Response* response) const {
  if (HasBearerKey(request.get_header_value("Authorization"), options_.operator_key)) {
    return true;
  }
  response->set_header("WWW-Authenticate", "Bearer");
  AnswerError(401, "the operator key is missing or wrong", response);
  return false;
}

void AdminFrontEnd::ServeStatus(httplib::Response* response) const {
  Json status;
  driver_->Inspect([&status](const NodeCore& core, absl::Time) { status = StatusJson(core); });
  Answer(200, status, response);
}

void AdminFrontEnd::ServeExplain(const httplib::Request& request,
                                 httplib::Response* response) const {
  const ModelName model(request.get_param_value("model"));
  if (model.empty()) {
    AnswerError(400, "the parameter model is missing", response);
    return;
  }
  std::vector<std::string> lines;
  driver_->Inspect(
      [&lines, &model](const NodeCore& core, absl::Time now) { lines = core.Explain(model, now); });
  Answer(200, {{"model", model.value()}, {"lines", lines}}, response);
}

void AdminFrontEnd::ServeDrain(const httplib::Request& request, httplib::Response* response) const {
  const Json body = ParseJson(request.body);
  const bool names_node = body.is_object() && body.contains("node") && body["node"].is_string();
  const bool names_worker =
      body.is_object() && body.contains("worker") && body["worker"].is_string();
  if (names_worker) {
    DrainWorker(WorkerId(body["worker"].get<std::string>()), response);
    return;
  }
  if (!names_node) {
    AnswerError(400, "the body must be {\"node\": NAME} or {\"worker\": NAME}", response);
    return;
  }
  std::string self;
  driver_->Inspect(
      [&self](const NodeCore& core, absl::Time) { self = core.options().node.value(); });
  if (body["node"] != self) {
    AnswerError(400, "this is node " + self + ": ask the node itself to drain", response);
    return;
  }
  options_.begin_stop();
  Answer(202, {{"node", self}, {"state", "leaving"}}, response);
}

void AdminFrontEnd::DrainWorker(const WorkerId& worker, httplib::Response* response) const {
  const Result<bool> announced =
      options_.machines->AnnounceWorker(worker, MachineState::kLeaving, kPlatformTimeout);
  if (!announced.ok()) {
    AnswerError(StatusOfPlatformError(announced.error()),
                "the platform's machine list: " + announced.error().message(), response);
    return;
  }
  Answer(202, {{"worker", worker.value()}, {"state", "leaving"}}, response);
}

}  // namespace hingespan
