// Finds the outcome of one request and its cause in the logs of any number of nodes.
#ifndef HINGESPAN_OPERATOR_REQUEST_EXPLANATION_H_
#define HINGESPAN_OPERATOR_REQUEST_EXPLANATION_H_

#include <string>
#include <vector>

namespace hingespan {

// The outcome of a request according to the logs.
struct RequestExplanation {
  // False if no line names the request.
  bool found = false;
  // One sentence that states the outcome and its cause.
  std::string cause;
  // The log lines that show the cause: first those of the request, then those of its workers, its
  // model's replicas, the placement lease and the store around the time of the request. Each group
  // is in order of time.
  std::vector<std::string> lines;
};

// `log_lines` are JSON lines as gateways write them; other lines are ignored.
RequestExplanation ExplainRequest(const std::vector<std::string>& log_lines,
                                  const std::string& request_id);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_REQUEST_EXPLANATION_H_
