// Header token that proves that a node of this deployment forwarded the request.
#ifndef HINGESPAN_NODE_FORWARD_TOKEN_H_
#define HINGESPAN_NODE_FORWARD_TOKEN_H_

#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace hingespan {

inline constexpr char kForwardedHeader[] = "X-Hingespan-Forwarded";

// Returns "<milliseconds since the Unix epoch>:<hexadecimal signature>", or "1" without a cluster
// key.
std::string MakeForwardToken(std::string_view cluster_key, std::string_view request_id,
                             absl::Time wall_time);
// Returns true if the token is valid for the request and its timestamp is recent.
bool CheckForwardToken(std::string_view cluster_key, std::string_view request_id,
                       std::string_view token, absl::Time wall_time);

}  // namespace hingespan

#endif  // HINGESPAN_NODE_FORWARD_TOKEN_H_
