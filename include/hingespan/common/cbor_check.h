// Checks CBOR from the network before the general parser reads it. That parser recurses on nested
// input and throws on some lengths.
#ifndef HINGESPAN_COMMON_CBOR_CHECK_H_
#define HINGESPAN_COMMON_CBOR_CHECK_H_

#include <cstddef>
#include <string_view>

namespace hingespan {

// Both return true for exactly one item of definite length whose parts lie within the bytes. They
// neither recurse nor allocate.

// Accepts arrays, unsigned integers, booleans, null, bytes, and text in valid UTF-8, nested no
// deeper than the messages of nodes are.
bool IsPlainCbor(std::string_view bytes);

// Accepts all types but tags, nested at most `max_depth` deep. Text may be any bytes.
// `max_depth` is at most 64.
bool IsBoundedCbor(std::string_view bytes, std::size_t max_depth);

bool IsUtf8(std::string_view text);

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_CBOR_CHECK_H_
