#include "listening_socket.h"

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <thread>

#include "hingespan/common/clock.h"

namespace hingespan {
namespace {

// Offset of the flags in a TCP header, and the SYN and ACK flags (RFC 9293, section 3.1).
constexpr unsigned kTcpFlagsOffset = 13;
constexpr unsigned kSynFlag = 0x02;
constexpr unsigned kAckFlag = 0x10;
constexpr unsigned kAcceptPacket = 0xffffffff;
constexpr unsigned kDropPacket = 0;

// Longest wait of a single poll for a connection in the backlog.
constexpr absl::Duration kPollInterval = absl::Milliseconds(1);

bool HasWaitingConnection(int socket, absl::Duration wait) {
  pollfd entry{socket, POLLIN, 0};
  return poll(&entry, 1, static_cast<int>(absl::ToInt64Milliseconds(wait))) > 0;
}

}  // namespace

bool DropNewConnections(int socket) {
  // For TCP sockets the kernel runs the filter on the packet starting at the TCP header.
  std::array<sock_filter, 5> code = {
      sock_filter(BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset)),
      sock_filter(BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynFlag | kAckFlag)),
      sock_filter(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSynFlag, 0, 1)),
      sock_filter(BPF_STMT(BPF_RET | BPF_K, kDropPacket)),
      sock_filter(BPF_STMT(BPF_RET | BPF_K, kAcceptPacket)),
  };
  const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
  return setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0;
}

void AwaitEmptyBacklog(int socket, absl::Duration settle, absl::Duration bound) {
  const absl::Time end = SystemClock().Now() + bound;
  absl::Time settled = SystemClock().Now() + settle;
  while (SystemClock().Now() < std::min(end, settled)) {
    if (HasWaitingConnection(socket, kPollInterval)) {
      settled = SystemClock().Now() + settle;
      std::this_thread::yield();
    }
  }
}

}  // namespace hingespan
