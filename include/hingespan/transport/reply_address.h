// Messages whose envelope carries the address of the sender.
#ifndef HINGESPAN_TRANSPORT_REPLY_ADDRESS_H_
#define HINGESPAN_TRANSPORT_REPLY_ADDRESS_H_

#include <variant>

#include "hingespan/transport/message.h"

namespace hingespan {

// Returns whether the receiver replies to Envelope::reply_address, as it may not know the sender
// yet. All other replies are sent to the address that membership has for the sender.
inline bool NeedsReplyAddress(const Message& message) {
  return std::holds_alternative<Probe>(message) || std::holds_alternative<JoinRequest>(message);
}

}  // namespace hingespan

#endif  // HINGESPAN_TRANSPORT_REPLY_ADDRESS_H_
