// Connected socket as a stream of the HTTP library; it can be closed while a request is handled.
#ifndef HINGESPAN_EMULATOR_SOCKET_STREAM_H_
#define HINGESPAN_EMULATOR_SOCKET_STREAM_H_

#include <httplib.h>

#include <array>
#include <string>

#include "absl/time/time.h"

namespace hingespan::emulator {

// Used by one thread. Does not own the socket.
class SocketStream : public httplib::Stream {
 public:
  explicit SocketStream(int socket) : socket_(socket) {}

  // Returns true if bytes or the end of the connection can be read within `timeout`.
  bool WaitReadable(absl::Duration timeout) const;
  // Makes every later write fail.
  void Drop() { dropped_ = true; }
  bool dropped() const { return dropped_; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* buffer, size_t size) override;
  ssize_t write(const char* bytes, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  ssize_t ReadFromSocket(char* buffer, size_t size) const;
  ssize_t SendToSocket(const char* bytes, size_t size) const;

  const int socket_;
  bool dropped_ = false;
  std::array<char, 4096> buffer_;
  std::size_t buffer_begin_ = 0;
  std::size_t buffer_end_ = 0;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_SOCKET_STREAM_H_
