// Settings of placers.
#include "setting_sections.h"

namespace hingespan::setting_sections {

Settings PlacerSection() {
  return {
      Ranged(
          "placer.load_retry_ms", [](S& s) -> absl::Duration& { return s.core.placer.load_retry; },
          {1, kMinute}, "A load request without an answer is repeated after this long."),
      Ranged(
          "placer.first_service_ms",
          [](S& s) -> absl::Duration& { return s.core.placer.replica_count.first_service; },
          {1, kHour}, "Time of a request at an engine, before any of the model was seen."),
      Ranged(
          "placer.wait_share",
          [](S& s) -> double& { return s.core.placer.replica_count.wait_share; }, {0.05, 1},
          "One more replica is loaded when a request's expected wait is above this part of its "
          "time left, and the load ends in time."),
      Ranged(
          "placer.load_confirm_ms",
          [](S& s) -> absl::Duration& { return s.core.placer.load_confirm; }, {1, kMinute},
          "An accepted load is confirmed with its keeper this often, so that a new keeper learns "
          "of it."),
      Ranged(
          "placer.load_give_up_ms",
          [](S& s) -> absl::Duration& { return s.core.placer.load_give_up; }, {1, kMinute},
          "A keeper that does not answer for this long is passed over."),
      Ranged(
          "placer.refusal_memory_ms",
          [](S& s) -> absl::Duration& { return s.core.placer.refusal_memory; }, {0, kMinute},
          "A keeper that refused is not asked again before this."),
      Ranged(
          "placer.grant_grace_ms",
          [](S& s) -> absl::Duration& { return s.core.placer.grant_grace; }, {0, kMinute},
          "Requests wait this long for a grant that may still be written."),
      Ranged(
          "placer.waiter_timeout_ms",
          [](S& s) -> absl::Duration& { return s.core.placer.waiter_timeout; }, {1, kMinute},
          "A router that has not repeated its wake request for this long does not wait any more."),
  };
}

}  // namespace hingespan::setting_sections
