#include "hingespan/backing/http_table_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/backing/json_http_client.h"
#include "hingespan/common/json_decoding.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

// --- Requests

Json ValueToJson(const std::optional<std::string>& value) {
  return value.has_value() ? Json(*value) : Json(nullptr);
}

Json TransactionToJson(const Transaction& transaction) {
  Json preconditions = Json::array();
  for (const Precondition& precondition : transaction.preconditions) {
    preconditions.push_back(
        Json{{"key", precondition.key}, {"revision", precondition.revision.value()}});
  }
  Json writes = Json::array();
  for (const Write& write : transaction.writes) {
    writes.push_back(Json{{"key", write.key}, {"value", ValueToJson(write.value)}});
  }
  return Json{{"preconditions", std::move(preconditions)}, {"writes", std::move(writes)}};
}

JsonHttpRequest GetRequest(std::string path, std::map<std::string, std::string> query) {
  JsonHttpRequest request;
  request.path = std::move(path);
  request.query = std::move(query);
  return request;
}

// --- Answers

Result<TableRevision> RevisionFromJson(const Json& json, const char* field) {
  const auto found = json.find(field);
  if (found == json.end() || !found->is_number_unsigned()) {
    return Error::kMalformed;
  }
  return TableRevision(found->get<std::uint64_t>());
}

Result<StoredValue> StoredValueFromJson(const Json& json) {
  if (!json.is_object() || !json.contains("key") || !json.contains("value")) {
    return Error::kMalformed;
  }
  const Json& key = json["key"];
  const Json& value = json["value"];
  const Result<TableRevision> revision = RevisionFromJson(json, "revision");
  if (!key.is_string() || !revision.ok() || !(value.is_string() || value.is_null())) {
    return Error::kMalformed;
  }
  StoredValue stored;
  stored.key = key.get<std::string>();
  stored.revision = *revision;
  if (value.is_string()) {
    stored.value = value.get<std::string>();
  }
  return stored;
}

// Parses the array in `field`.
Result<std::vector<StoredValue>> StoredValuesFromJson(const Json& json, const char* field) {
  const auto found = json.find(field);
  if (found == json.end() || !found->is_array()) {
    return Error::kMalformed;
  }
  std::vector<StoredValue> values;
  values.reserve(found->size());
  for (const Json& item : *found) {
    Result<StoredValue> value = StoredValueFromJson(item);
    if (!value.ok()) {
      return value.error();
    }
    values.push_back(*std::move(value));
  }
  return values;
}

Result<TransactionResult> TransactionResultFromJson(const Json& json) {
  const auto committed = json.find("committed");
  if (committed == json.end() || !committed->is_boolean()) {
    return Error::kMalformed;
  }
  TransactionResult result;
  result.committed = committed->get<bool>();
  if (result.committed) {
    const Result<TableRevision> revision = RevisionFromJson(json, "revision");
    if (!revision.ok()) {
      return revision.error();
    }
    result.revision = *revision;
    return result;
  }
  Result<std::vector<StoredValue>> conflicting = StoredValuesFromJson(json, "conflicting");
  if (!conflicting.ok()) {
    return conflicting.error();
  }
  result.conflicting = *std::move(conflicting);
  return result;
}

Result<ValueChangePage> ChangePageFromJson(const Json& json) {
  Result<std::vector<StoredValue>> changes = StoredValuesFromJson(json, "changes");
  const Result<TableRevision> through = RevisionFromJson(json, "through");
  const Result<TableRevision> latest = RevisionFromJson(json, "latest");
  if (!changes.ok() || !through.ok() || !latest.ok()) {
    return Error::kMalformed;
  }
  return ValueChangePage{*std::move(changes), *through, *latest};
}

// Sends a request and returns the JSON object in the answer.
Result<Json> Call(JsonHttpClient* client, const JsonHttpRequest& request, absl::Duration timeout) {
  const Result<JsonHttpAnswer> answer = client->Send(request, timeout);
  if (!answer.ok()) {
    return answer.error();
  }
  const Error error = ErrorOfHttpStatus(answer->status);
  if (error != Error::kOk) {
    return error;
  }
  Json json = ParseJson(answer->body);
  if (!json.is_object()) {
    return Error::kMalformed;
  }
  return json;
}

}  // namespace

HttpTableService::HttpTableService(const std::string& address) {
  JsonHttpClientOptions options;
  options.address = address;
  client_ = std::make_unique<JsonHttpClient>(std::move(options));
}

HttpTableService::~HttpTableService() = default;

Result<TransactionResult> HttpTableService::Commit(const Transaction& transaction,
                                                   absl::Duration timeout) {
  JsonHttpRequest request;
  request.method = HttpMethod::kPost;
  request.path = "/table/commit";
  request.body =
      TransactionToJson(transaction).dump(-1, ' ', false, Json::error_handler_t::replace);
  const Result<Json> json = Call(client_.get(), request, timeout);
  Result<TransactionResult> result =
      json.ok() ? TransactionResultFromJson(*json) : Result<TransactionResult>(json.error());
  if (result.error() == Error::kMalformed) {
    return Error::kAnswerLost;
  }
  return result;
}

Result<StoredValue> HttpTableService::Read(const std::string& key, absl::Duration timeout) {
  const Result<Json> json = Call(client_.get(), GetRequest("/table/read", {{"key", key}}), timeout);
  if (!json.ok()) {
    return json.error();
  }
  return StoredValueFromJson(*json);
}

Result<ValueChangePage> HttpTableService::ReadChanges(TableRevision after, int limit,
                                                      absl::Duration timeout) {
  const JsonHttpRequest request = GetRequest(
      "/table/changes", {{"after", absl::StrCat(after.value())}, {"limit", absl::StrCat(limit)}});
  const Result<Json> json = Call(client_.get(), request, timeout);
  if (!json.ok()) {
    return json.error();
  }
  return ChangePageFromJson(*json);
}

Result<std::vector<StoredValue>> HttpTableService::ReadHistory(const std::string& key, int limit,
                                                               absl::Duration timeout) {
  const JsonHttpRequest request =
      GetRequest("/table/history", {{"key", key}, {"limit", absl::StrCat(limit)}});
  const Result<Json> json = Call(client_.get(), request, timeout);
  if (!json.ok()) {
    return json.error();
  }
  return StoredValuesFromJson(*json, "values");
}

}  // namespace hingespan
