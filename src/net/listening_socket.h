// Closing of a listening socket without resetting connections in its backlog.
#ifndef HINGESPAN_SRC_NET_LISTENING_SOCKET_H_
#define HINGESPAN_SRC_NET_LISTENING_SOCKET_H_

#include "absl/time/time.h"

namespace hingespan {

// Makes the kernel drop the SYN of each new connection to the listening socket, so that its backlog
// stops growing. Callers retransmit the SYN after a second and are refused once the socket is
// closed. Returns false if the kernel does not support it.
bool DropNewConnections(int socket);

// Waits until the listening socket's backlog has been empty for `settle`, the time in which
// handshakes in progress may still complete, but at most `bound`. Other threads accept meanwhile.
void AwaitEmptyBacklog(int socket, absl::Duration settle, absl::Duration bound);

}  // namespace hingespan

#endif  // HINGESPAN_SRC_NET_LISTENING_SOCKET_H_
