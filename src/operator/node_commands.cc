#include "hingespan/operator/node_commands.h"

#include <nlohmann/json.hpp>

#include "hingespan/operator/edit_report.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

}  // namespace

NodeCommands::NodeCommands(JsonHttpClient* client, absl::Duration timeout, Terminal terminal,
                           OutputFormat format)
    : client_(client), timeout_(timeout), terminal_(terminal), format_(format) {}

ExitCode NodeCommands::Status() {
  JsonHttpRequest request;
  request.path = "/admin/status";
  return Call(request);
}

ExitCode NodeCommands::Explain(const std::string& model) {
  JsonHttpRequest request;
  request.path = "/admin/explain";
  request.query = {{"model", model}};
  return Call(request);
}

ExitCode NodeCommands::Drain(DrainTarget target, const std::string& name) {
  JsonHttpRequest request;
  request.method = HttpMethod::kPost;
  request.path = "/admin/drain";
  request.body = Json{{target == DrainTarget::kWorker ? "worker" : "node", name}}.dump();
  return Call(request);
}

ExitCode NodeCommands::Call(const JsonHttpRequest& request) {
  const Result<JsonHttpAnswer> answer = client_->Send(request, timeout_);
  if (!answer.ok()) {
    *terminal_.err << "the call to the node failed: " << answer.error().message() << "\n";
    return ExitCodeOfError(answer.error());
  }
  if (ErrorOfHttpStatus(answer->status) != Error::kOk) {
    return ReportRefusal(*answer);
  }
  const Json json = Json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    *terminal_.err << "the node's answer is no JSON\n";
    return ExitCode::kFailure;
  }
  *terminal_.out << (format_ == OutputFormat::kJson ? FormatJson(json) : FormatJsonAsText(json));
  return ExitCode::kOk;
}

ExitCode NodeCommands::ReportRefusal(const JsonHttpAnswer& answer) {
  *terminal_.err << "the node refused with status " << answer.status << ": " << answer.body << "\n";
  return ExitCodeOfError(ErrorOfHttpStatus(answer.status));
}

}  // namespace hingespan
