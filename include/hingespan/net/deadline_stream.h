// cpp-httplib stream over a plain or TLS socket, with one deadline for all reads of a message.
// cpp-httplib's own streams apply a timeout to each read, so a peer that sends single bytes slowly
// would never be disconnected.
//
// Includes httplib, so include this header only from .cc files.
#ifndef HINGESPAN_NET_DEADLINE_STREAM_H_
#define HINGESPAN_NET_DEADLINE_STREAM_H_

#include <httplib.h>

#include <array>
#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace hingespan {

// Reason for which reading ended.
enum class ReadEnd {
  kNone,
  // The peer closed the connection in order.
  kClosed,
  // The connection failed, e.g. by a reset, or TLS ended without its closing alert.
  kBroken,
  kTimeout,
  kCancelled,
  kTooLarge,
};

// Not thread-safe. Does not own the socket.
class DeadlineStream : public httplib::Stream {
 public:
  // A null `ssl` means plain TCP.
  DeadlineStream(int socket, SSL* ssl);

  // Sets the time (of Clock::Now) by which all reads must have completed.
  void set_read_deadline(absl::Time deadline) { read_deadline_ = deadline; }
  absl::Time read_deadline() const { return read_deadline_; }
  // Sets the longest wait until the peer accepts written bytes.
  void set_write_timeout(absl::Duration timeout) { write_timeout_ = timeout; }
  // Sets a predicate that is polled while a read waits; the read ends when it returns true.
  void set_cancelled(std::function<bool()> cancelled) { cancelled_ = std::move(cancelled); }
  // Sets the number of bytes that may still be read; further reads fail with kTooLarge.
  void set_read_allowance(std::size_t bytes) { read_allowance_ = bytes; }
  // Saves a system call per read, for streams of many small pieces. No effect on TLS.
  void UseBlockingReads();
  // Makes writes succeed without sending anything.
  void set_discard_writes(bool discard) { discard_writes_ = discard; }

  // Waits until a byte can be read. Returns false on end of stream, timeout or cancellation.
  bool WaitReadable();
  // Reads a message's head up to and including its blank line, and returns it without consuming it.
  // Returns an empty view on failure: see read_end(), kTooLarge beyond `maximum` bytes.
  std::string_view PeekHead(std::size_t maximum);
  // Replaces the first `old_size` unread bytes with `bytes`.
  void ReplaceUnread(std::size_t old_size, std::string_view bytes);

  // True if received bytes are waiting to be read.
  bool is_buffered() const { return unread() > 0; }
  // Returns true if the peer has closed its side. Never blocks.
  bool PeerClosed() const;
  // True if a write has failed or timed out.
  bool write_failed() const { return write_failed_; }
  ReadEnd read_end() const { return read_end_; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  using httplib::Stream::write;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  // Waits for the poll events until `until`. On false, read_end() has the reason if `reading`.
  bool Wait(short events, absl::Time until, bool reading);
  // Waits for the first byte, then reads what is available. On 0 or less, see read_end().
  ssize_t ReceiveSome(char* data, std::size_t size);
  ssize_t ReceiveTls(char* data, std::size_t size);
  ssize_t SendSome(const char* data, std::size_t size, absl::Time until);
  bool Fill();
  std::size_t unread() const { return buffer_.size() - position_; }

  const int socket_;
  SSL* const ssl_;
  absl::Time read_deadline_ = absl::InfiniteFuture();
  absl::Duration write_timeout_ = absl::Seconds(10);
  std::function<bool()> cancelled_;
  std::size_t read_allowance_ = std::numeric_limits<std::size_t>::max();
  bool blocking_reads_ = false;
  bool discard_writes_ = false;
  bool write_failed_ = false;
  ReadEnd read_end_ = ReadEnd::kNone;
  // Received bytes; those before `position_` were already read.
  std::string buffer_;
  std::size_t position_ = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_NET_DEADLINE_STREAM_H_
