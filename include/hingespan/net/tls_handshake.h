// Server side of a TLS handshake, with a time limit.
#ifndef HINGESPAN_NET_TLS_HANDSHAKE_H_
#define HINGESPAN_NET_TLS_HANDSHAKE_H_

#include <openssl/ssl.h>

#include <memory>

#include "absl/time/time.h"

namespace hingespan {

struct SslDeleter {
  void operator()(SSL* ssl) const { SSL_free(ssl); }
};
using SslPointer = std::unique_ptr<SSL, SslDeleter>;

// Makes `socket` non-blocking and performs the handshake. Returns null if it fails or is not
// complete by `deadline` (a time of Clock::Now).
SslPointer AcceptTls(int socket, SSL_CTX* context, absl::Time deadline);

}  // namespace hingespan

#endif  // HINGESPAN_NET_TLS_HANDSHAKE_H_
