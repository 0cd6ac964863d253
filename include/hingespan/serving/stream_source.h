// The workers that can go on with a stream.
#ifndef HINGESPAN_SERVING_STREAM_SOURCE_H_
#define HINGESPAN_SERVING_STREAM_SOURCE_H_

#include <compare>
#include <string>

namespace hingespan::gateway {

// Workers of one service and one version of its software. The events of other workers don't fit to
// those that a caller already has.
struct StreamSource {
  std::string service;
  std::string software_version;
  friend auto operator<=>(const StreamSource&, const StreamSource&) = default;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_STREAM_SOURCE_H_
