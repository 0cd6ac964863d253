// Splits the notice of a crash so that each part of it fits into one packet.
#ifndef HINGESPAN_SRC_FLEET_CRASH_NOTICES_H_
#define HINGESPAN_SRC_FLEET_CRASH_NOTICES_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "hingespan/fleet/fleet_messages.h"

namespace hingespan::gateway {

// Returns notices of the same crash that together have all parts and requests of `whole`; at least
// one.
inline std::vector<CrashNotice> SplitNotice(const CrashNotice& whole) {
  // Bytes of parts in one notice, beyond which no further one is added.
  constexpr std::size_t kPartBytes = 560;
  // Bytes that the encoding adds to a part.
  constexpr std::size_t kBytesBesidePart = 2;
  constexpr std::size_t kRequests = 48;
  CrashNotice empty = whole;
  empty.parts.clear();
  empty.requests.clear();
  std::vector<CrashNotice> notices = {empty};
  std::size_t bytes = 0;
  for (const std::string& part : whole.parts) {
    if (bytes > 0 && bytes + part.size() + kBytesBesidePart > kPartBytes) {
      notices.push_back(empty);
      bytes = 0;
    }
    notices.back().parts.insert(part);
    bytes += part.size() + kBytesBesidePart;
  }
  std::size_t index = 0;
  for (const RequestContent request : whole.requests) {
    if (notices[index].requests.size() >= kRequests && ++index == notices.size()) {
      notices.push_back(empty);
    }
    notices[index].requests.insert(request);
  }
  return notices;
}

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SRC_FLEET_CRASH_NOTICES_H_
