// Entry point of the `hingespan` command for operators.
#ifndef HINGESPAN_OPERATOR_COMMAND_LINE_H_
#define HINGESPAN_OPERATOR_COMMAND_LINE_H_

#include "hingespan/operator/output.h"

namespace hingespan {

// Parses the arguments, runs the command and returns its ExitCode.
int RunOperatorCommand(int argc, const char* const* argv, const Terminal& terminal);

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_COMMAND_LINE_H_
