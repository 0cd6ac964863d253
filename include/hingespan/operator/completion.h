// Shell completion of the `hingespan` command, generated from its CLI11 description.
#ifndef HINGESPAN_OPERATOR_COMPLETION_H_
#define HINGESPAN_OPERATOR_COMPLETION_H_

#include <string>

namespace CLI {
class App;
}  // namespace CLI

namespace hingespan {

// Returns a bash script that completes commands and flags, and file names for other arguments.
std::string BashCompletion(const CLI::App& app);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_COMPLETION_H_
