// CBOR encoding of envelopes as positional arrays, which keeps datagrams small.
#ifndef HINGESPAN_TRANSPORT_MESSAGE_CODEC_H_
#define HINGESPAN_TRANSPORT_MESSAGE_CODEC_H_

#include <string>
#include <string_view>

#include "hingespan/common/result.h"
#include "hingespan/transport/message.h"

namespace hingespan {

std::string EncodeEnvelope(const Envelope& envelope);
Result<Envelope> DecodeEnvelope(std::string_view bytes);
// Returns the number of bytes that a change takes within RecordChanges. Senders use it to split
// changes.
std::size_t EncodedSize(const RecordChange& change);

}  // namespace hingespan

#endif  // HINGESPAN_TRANSPORT_MESSAGE_CODEC_H_
