// Options of the weight store's budget and of the leases that share it among zones.
#ifndef HINGESPAN_PLACEMENT_PERMIT_OPTIONS_H_
#define HINGESPAN_PLACEMENT_PERMIT_OPTIONS_H_

#include <cstdint>

#include "absl/time/time.h"

namespace hingespan {

struct PermitOptions {
  // Budget of the whole deployment: loads started per second, and concurrent loads (slots).
  double rate_per_second = 3.0;
  std::uint32_t concurrency = 12;
  // Lends idle slots to zones whose loads wait. If false, each zone has a fixed share.
  bool lend = true;
  // Upper limit of the number of nodes in a zone. A zone's holder needs the votes of more than
  // half.
  std::uint32_t zone_nodes = 1;
  // A vote or a loan that is not renewed ends after this time.
  absl::Duration lease = absl::Seconds(10);
  // The load of a permit has certainly ended this long after the grant.
  absl::Duration permit_timeout = absl::Minutes(2);
  // A request that is not repeated within this time is dropped.
  absl::Duration request_timeout = absl::Seconds(3);
  // Interval at which needed loans are renewed. A loan is requested at once when loads start to
  // wait.
  absl::Duration renew_interval = absl::Milliseconds(300);
  // For tests only: keeps using a loan or an authority that has lapsed.
  bool disable_expiry_for_test = false;
};

// Time after gaining authority during which a holder waits for the loans and permits of an earlier
// holder to end.
inline absl::Duration SettleTime(const PermitOptions& options) {
  return options.lease + options.permit_timeout;
}

// The part of a lease that its holder uses. The rest allows for clocks that run at different rates.
inline absl::Duration UsableLease(const PermitOptions& options) { return options.lease * 0.9; }

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_PERMIT_OPTIONS_H_
