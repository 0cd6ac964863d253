// Seeded, portable pseudo-random generator (splitmix64) that is passed to its users explicitly.
#ifndef HINGESPAN_COMMON_RANDOM_H_
#define HINGESPAN_COMMON_RANDOM_H_

#include <cstdint>

namespace hingespan {

// Not thread-safe; each state machine owns its own generator.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
  }

  // Returns a uniform value in [0, bound), or 0 if bound is 0.
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : Next() % bound; }

  // Returns a uniform value in [0, 1).
  double Fraction() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

 private:
  std::uint64_t state_;
};

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_RANDOM_H_
