// Time and range of an idempotency key.
#ifndef HINGESPAN_CLAIM_KEY_TIME_H_
#define HINGESPAN_CLAIM_KEY_TIME_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"

namespace hingespan {

// Returns the time of a UUID version 7 in milliseconds since 1970; nullopt for every other key.
std::optional<std::uint64_t> KeyTimeMs(const IdempotencyKey& key);
// Returns the range of a key: its hash modulo `range_count`.
KeyRangeId RangeOf(const IdempotencyKey& key, std::uint32_t range_count);
// Returns a new UUID version 7.
IdempotencyKey MakeKey(absl::Time wall_time, Random* random);

}  // namespace hingespan

#endif  // HINGESPAN_CLAIM_KEY_TIME_H_
