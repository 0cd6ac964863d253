// Checks that bytes from the network are in the subset of CBOR that the codec writes, before the
// general parser reads them. That parser recurses on nested input and throws on some lengths.
#ifndef HINGESPAN_SRC_TRANSPORT_CBOR_CHECK_H_
#define HINGESPAN_SRC_TRANSPORT_CBOR_CHECK_H_

#include <string_view>

namespace hingespan {

// Returns true for exactly one item, made of definite-length arrays, unsigned integers, booleans,
// null, and definite-length bytes and text in valid UTF-8, nested no deeper than messages are. Does
// not recurse or allocate.
bool IsPlainCbor(std::string_view bytes);

}  // namespace hingespan

#endif  // HINGESPAN_SRC_TRANSPORT_CBOR_CHECK_H_
