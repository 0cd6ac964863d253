// Faults of the pair tests, each with functions that inject and heal it.
#ifndef HINGESPAN_TESTS_FAILURE_FAULTS_H_
#define HINGESPAN_TESTS_FAILURE_FAULTS_H_

#include <functional>
#include <string>
#include <vector>

#include "tests/failure/test_cluster.h"

namespace hingespan::failure {

enum class FaultKind {
  kNodeKilled,
  kZoneCut,
  kPlatformDown,
  kMachineLeaving,
  kWeightStoreSlow,
  kOrdersDuplicatedLate,
  kEngineRestarted,
  kPlatformLosesAnswers,
  kStreamsBroken,
  kNodePaused,
  kMachineReclaimed,
  kNodeStopped,
  kOperatorsRace,
};

struct Fault {
  FaultKind kind;
  const char* name;
  // Node whose callers may lose their connection; empty if there is none.
  const char* affected_node;
  std::function<void(TestCluster&)> inject;
  // Empty if the fault can't be undone or is over at once.
  std::function<void(TestCluster&)> heal;
};

struct FaultPair {
  FaultKind first;
  FaultKind second;
};

// Returns all faults in the order of FaultKind, for a cluster of three zones with the rows below.
const std::vector<Fault>& AllFaults();
const Fault& FaultOf(FaultKind kind);

inline constexpr char kPairModel[] = "twice";
// Model that is granted but not loaded before the faults begin.
inline constexpr char kPairColdModel[] = "woken";
// Most replicas that the row of kPairModel allows; the row of kPairColdModel allows one.
inline constexpr std::uint32_t kPairReplicas = 3;

}  // namespace hingespan::failure

#endif  // HINGESPAN_TESTS_FAILURE_FAULTS_H_
