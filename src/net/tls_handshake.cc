#include "hingespan/net/tls_handshake.h"

#include <fcntl.h>
#include <openssl/err.h>
#include <poll.h>

#include "hingespan/common/clock.h"

namespace hingespan {

SslPointer AcceptTls(int socket, SSL_CTX* context, absl::Time deadline) {
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
  SslPointer ssl(SSL_new(context));
  if (ssl == nullptr || SSL_set_fd(ssl.get(), socket) != 1) {
    return nullptr;
  }
  while (true) {
    const absl::Duration left = deadline - SystemClock().Now();
    if (left <= absl::ZeroDuration()) {
      return nullptr;
    }
    ERR_clear_error();
    const int done = SSL_accept(ssl.get());
    if (done == 1) {
      return ssl;
    }
    const int error = SSL_get_error(ssl.get(), done);
    if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) {
      return nullptr;
    }
    const short events = error == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT;
    pollfd entry{socket, events, 0};
    poll(&entry, 1, static_cast<int>(absl::ToInt64Milliseconds(left)) + 1);
  }
}

}  // namespace hingespan
