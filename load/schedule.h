// Schedule of a run's requests, determined by the scenario and its seed.
#ifndef HINGESPAN_LOAD_SCHEDULE_H_
#define HINGESPAN_LOAD_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "load/scenario.h"

namespace hingespan::load {

// Random bits of an idempotency key; the key's time is that of the request.
struct KeyBits {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

struct PlannedRequest {
  std::size_t number = 0;
  // Planned instant, relative to the start of the run.
  absl::Duration at;
  std::size_t class_index = 0;
  std::string model;
  // Index of the router, modulo the number of routers.
  std::uint64_t router = 0;
  // Key bits shared by all copies of one request.
  KeyBits key_bits;
};

// Returns requests sorted by time. The same scenario gives the same schedule.
std::vector<PlannedRequest> BuildSchedule(const Scenario& scenario);

// Returns an idempotency key that contains its issue time: UUID version 7 (RFC 9562).
std::string MakeUuidV7(absl::Time issued, const KeyBits& bits);

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_SCHEDULE_H_
