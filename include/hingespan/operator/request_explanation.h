// Finds in the log lines of any number of nodes what became of one request, and why.
#ifndef HINGESPAN_OPERATOR_REQUEST_EXPLANATION_H_
#define HINGESPAN_OPERATOR_REQUEST_EXPLANATION_H_

#include <string>
#include <vector>

namespace hingespan {

// What the logs tell of a request.
struct RequestExplanation {
  // False: no line names the request.
  bool found = false;
  // One sentence: the cause as the lines show it.
  std::string cause;
  // The lines that the cause rests on, in the order of time: those of the request, then those of
  // its workers and of its model's replicas while it was there.
  std::vector<std::string> lines;
};

// `log_lines` are JSON lines as gateways write them; others are passed over.
RequestExplanation ExplainRequest(const std::vector<std::string>& log_lines,
                                  const std::string& request_id);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_REQUEST_EXPLANATION_H_
