// The commands that call a node's admin interface: status, explain and drain.
#ifndef HINGESPAN_OPERATOR_NODE_COMMANDS_H_
#define HINGESPAN_OPERATOR_NODE_COMMANDS_H_

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "hingespan/backing/json_http_client.h"
#include "hingespan/operator/exit_code.h"
#include "hingespan/operator/output.h"

namespace hingespan {

enum class DrainTarget { kWorker, kNode };

// Thread-compatible.
class NodeCommands {
 public:
  // `client` must outlive this object; it sends the operator's key.
  NodeCommands(JsonHttpClient* client, absl::Duration timeout, Terminal terminal,
               OutputFormat format);

  ExitCode Status();
  ExitCode Explain(const std::string& model);
  // Tells the node to send no new work to the target.
  ExitCode Drain(DrainTarget target, const std::string& name);

 private:
  ExitCode Call(const JsonHttpRequest& request);
  ExitCode ReportRefusal(const JsonHttpAnswer& answer);

  JsonHttpClient* const client_;
  const absl::Duration timeout_;
  const Terminal terminal_;
  const OutputFormat format_;
};

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_NODE_COMMANDS_H_
