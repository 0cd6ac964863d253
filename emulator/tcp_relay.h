// Relays TCP connections to a target with a delay, and breaks them when the link is cut.
#ifndef HINGESPAN_EMULATOR_TCP_RELAY_H_
#define HINGESPAN_EMULATOR_TCP_RELAY_H_

#include <netinet/in.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "emulator/link_state.h"
#include "emulator/relay_loop.h"

namespace hingespan::emulator {

// All calls require the loop's mutex.
class TcpRelay : public RelayHandler {
 public:
  TcpRelay(RelayLoop* loop, LinkState state);
  ~TcpRelay() override;

  // Returns false if no port is available.
  bool Listen(const std::string& ip);
  // Returns the relay's own address as "ip:port".
  std::string address() const;
  // Sets the target of later connections.
  void SetTarget(const sockaddr_in& target) { target_ = target; }
  void SetState(LinkState state);

 private:
  struct Segment {
    absl::Time release;
    std::string bytes;
    std::size_t written = 0;
  };
  // One direction of a connection.
  struct Direction {
    int source = -1;
    int destination = -1;
    std::deque<Segment> queue;
    std::size_t queued_bytes = 0;
    // The source has closed its sending side.
    bool ended = false;
    // The end of the stream was forwarded to the destination.
    bool end_forwarded = false;
  };
  struct Connection {
    // First the direction to the target, then the one back.
    std::array<Direction, 2> directions;
    bool connected = false;
  };

  void OnReadable(int socket, absl::Time now) override;
  void OnWritable(int socket, absl::Time now) override;
  void OnTimer(absl::Time now) override;

  void Accept();
  void Open(int client);
  void Receive(Connection* connection, Direction* direction, absl::Time now);
  // Both return false when the connection has failed.
  bool Flush(Connection* connection, Direction* direction, absl::Time now);
  bool Write(Direction* direction, absl::Time now);
  void UpdateInterest(const Connection& connection);
  void Close(Connection* connection);
  void CloseAll();

  RelayLoop* const loop_;
  RelayHandlerId id_;
  LinkState state_;
  int listener_ = -1;
  sockaddr_in target_{};
  // Each connection is stored under both of its sockets.
  absl::flat_hash_map<int, std::shared_ptr<Connection>> connections_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_TCP_RELAY_H_
