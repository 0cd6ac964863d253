// Gives RapidCheck a fixed seed, so that every run checks the same cases. RC_PARAMS overrides it.
#ifndef HINGESPAN_TESTS_RAPIDCHECK_SEED_H_
#define HINGESPAN_TESTS_RAPIDCHECK_SEED_H_

#include <cstdio>
#include <cstdlib>

namespace hingespan {

// Sets RC_PARAMS unless the environment has it, and prints it. It must run before the first
// property, at which RapidCheck reads the variable.
inline bool UseFixedRapidCheckSeed() {
  constexpr int kKeepExisting = 0;
  setenv("RC_PARAMS", "seed=20261202", kKeepExisting);
  std::printf("RC_PARAMS=%s\n", std::getenv("RC_PARAMS"));
  return true;
}

inline const bool kRapidCheckSeeded = UseFixedRapidCheckSeed();

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_RAPIDCHECK_SEED_H_
