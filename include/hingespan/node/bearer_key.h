// Checks "Authorization: Bearer KEY" headers.
#ifndef HINGESPAN_NODE_BEARER_KEY_H_
#define HINGESPAN_NODE_BEARER_KEY_H_

#include <string_view>

namespace hingespan {

// Returns true if `key` is empty (no key is required) or the header carries it. The comparison
// takes the same time wherever the first difference is.
bool HasBearerKey(std::string_view authorization, std::string_view key);

}  // namespace hingespan

#endif  // HINGESPAN_NODE_BEARER_KEY_H_
