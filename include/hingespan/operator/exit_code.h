// Exit codes of the `hingespan` command.
#ifndef HINGESPAN_OPERATOR_EXIT_CODE_H_
#define HINGESPAN_OPERATOR_EXIT_CODE_H_

namespace hingespan {

enum class ExitCode {
  kOk = 0,
  // The platform or the node refused the request, or failed.
  kFailure = 1,
  // The arguments are invalid, or a file or a value has findings.
  kUsage = 2,
  // Another operator's edit came first; the conflicting rows were not written.
  kConflict = 3,
  // The platform or the node can't be reached, or did not answer in time.
  kUnreachable = 4,
};

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_EXIT_CODE_H_
