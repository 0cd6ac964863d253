#include "hingespan/backing/http_machine_list.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/backing/json_http_client.h"
#include "hingespan/backing/machine_state_name.h"
#include "hingespan/common/json_decoding.h"
#include "hingespan/common/percent_encoding.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

constexpr int kHttpNotModified = 304;

Json NodeMachineToJson(const NodeMachine& machine) {
  return Json{{"node", machine.node.value()},
              {"zone", machine.zone.value()},
              {"http_address", machine.http_address},
              {"control_address", machine.control_address},
              {"state", MachineStateName(machine.state)}};
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool ReadText(const Json& json, const char* field, std::string* text) {
  const auto found = json.find(field);
  if (found == json.end() || !found->is_string()) {
    return false;
  }
  *text = found->get<std::string>();
  return true;
}

template <typename Id>
bool ReadName(const Json& json, const char* field, Id* id) {
  std::string text;
  if (!ReadText(json, field, &text) || text.empty()) {
    return false;
  }
  *id = Id(std::move(text));
  return true;
}

bool ReadState(const Json& json, MachineState* state) {
  std::string name;
  if (!ReadText(json, "state", &name)) {
    return false;
  }
  for (MachineState candidate :
       {MachineState::kLive, MachineState::kLeaving, MachineState::kGone}) {
    if (name == MachineStateName(candidate)) {
      *state = candidate;
      return true;
    }
  }
  return false;
}

bool ReadMachine(const Json& json, NodeMachine* machine) {
  return json.is_object() && ReadName(json, "node", &machine->node) &&
         ReadName(json, "zone", &machine->zone) &&
         ReadText(json, "http_address", &machine->http_address) &&
         ReadText(json, "control_address", &machine->control_address) &&
         ReadState(json, &machine->state);
}

bool ReadMachine(const Json& json, WorkerMachine* machine) {
  return json.is_object() && ReadName(json, "worker", &machine->worker) &&
         ReadName(json, "zone", &machine->zone) && ReadText(json, "base_url", &machine->base_url) &&
         ReadState(json, &machine->state);
}

template <typename Machine>
bool ReadMachines(const Json& json, const char* field, std::vector<Machine>* machines) {
  const auto found = json.find(field);
  if (found == json.end() || !found->is_array()) {
    return false;
  }
  for (const Json& item : *found) {
    Machine machine;
    if (!ReadMachine(item, &machine)) {
      return false;
    }
    machines->push_back(std::move(machine));
  }
  return true;
}

}  // namespace

HttpMachineList::HttpMachineList(const std::string& address) {
  JsonHttpClientOptions options;
  options.address = address;
  client_ = std::make_unique<JsonHttpClient>(std::move(options));
}

HttpMachineList::~HttpMachineList() = default;

Result<MachineListing> HttpMachineList::Read(const ZoneId& zone, absl::Duration timeout) {
  JsonHttpRequest request;
  request.path = "/machines";
  request.query = {{"zone", zone.value()}};
  const std::shared_ptr<const CachedListing> cached = FindCached(zone);
  if (cached != nullptr) {
    request.if_none_match = cached->etag;
  }
  const Result<JsonHttpAnswer> answer = client_->Send(request, timeout);
  if (!answer.ok()) {
    return answer.error();
  }
  if (cached != nullptr && answer->status == kHttpNotModified) {
    return cached->listing;
  }
  const Error error = ErrorOfHttpStatus(answer->status);
  if (error != Error::kOk) {
    return error;
  }
  const Json json = ParseJson(answer->body);
  MachineListing listing;
  if (!json.is_object() || !ReadMachines(json, "nodes", &listing.nodes) ||
      !ReadMachines(json, "workers", &listing.workers)) {
    return Error::kMalformed;
  }
  SetCached({zone, answer->etag, listing});
  return listing;
}

std::shared_ptr<const HttpMachineList::CachedListing> HttpMachineList::FindCached(
    const ZoneId& zone) const {
  absl::MutexLock lock(&mutex_);
  const bool fits = cached_ != nullptr && cached_->zone == zone && !cached_->etag.empty();
  return fits ? cached_ : nullptr;
}

void HttpMachineList::SetCached(CachedListing cached) {
  auto shared = std::make_shared<const CachedListing>(std::move(cached));
  absl::MutexLock lock(&mutex_);
  cached_ = std::move(shared);
}

Result<bool> HttpMachineList::Announce(const NodeMachine& machine, absl::Duration timeout) {
  return Put(machine.node.value(), Dump(NodeMachineToJson(machine)), timeout);
}

Result<bool> HttpMachineList::AnnounceWorker(const WorkerId& worker, MachineState state,
                                             absl::Duration timeout) {
  if (state == MachineState::kGone) {
    return Error::kInvalidArgument;
  }
  const Json json{{"worker", worker.value()}, {"state", MachineStateName(state)}};
  return Put(worker.value(), Dump(json), timeout);
}

Result<bool> HttpMachineList::Put(const std::string& name, std::string body,
                                  absl::Duration timeout) {
  JsonHttpRequest request;
  request.method = HttpMethod::kPut;
  request.path = absl::StrCat("/machines/", PercentEncode(name));
  request.body = std::move(body);
  const Result<JsonHttpAnswer> answer = client_->Send(request, timeout);
  if (!answer.ok()) {
    return answer.error();
  }
  const Error error = ErrorOfHttpStatus(answer->status);
  if (error != Error::kOk) {
    return error;
  }
  return true;
}

}  // namespace hingespan
