// One of a crowd of clients: sends what it is told to, reads no answer, and stays connected.
#ifndef TESTS_CROWD_CROWD_CLIENT_H_
#define TESTS_CROWD_CROWD_CLIENT_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"

namespace hingespan::crowd {

// Shared by all clients of a crowd.
struct CrowdScript {
  std::string head;
  // Sent `pieces` times behind the head, with this interval between two of them.
  std::string piece;
  std::size_t pieces = 0;
  absl::Duration interval = absl::ZeroDuration();
  // Sent at the end; without it a request stops short of its end.
  std::string tail;
};

// Not thread-safe; runs on its loop.
class CrowdClient : public std::enable_shared_from_this<CrowdClient> {
 public:
  static std::shared_ptr<CrowdClient> Start(gateway::EventLoop* loop, const std::string& address,
                                            std::shared_ptr<const CrowdScript> script);
  void Close();
  // Number of pieces that were sent, or are being sent.
  std::size_t pieces_sent() const { return pieces_sent_; }
  // True once all that it sends has arrived, or it was answered, or the connection has ended.
  bool finished() const;
  // True once it was answered, or the connection has ended.
  bool heard() const { return heard_ || ended_; }

 private:
  CrowdClient(gateway::EventLoop* loop, std::shared_ptr<const CrowdScript> script);
  void Connect(const std::string& address);
  void Send(const std::string& text);
  void OnSent();
  void Listen();

  gateway::EventLoop* loop_;
  std::shared_ptr<const CrowdScript> script_;
  // Mutable because native_handle() is not const.
  mutable boost::asio::ip::tcp::socket socket_;
  std::unique_ptr<gateway::LoopTimer> timer_;
  std::size_t pieces_sent_ = 0;
  bool sent_tail_ = false;
  bool sent_all_ = false;
  bool heard_ = false;
  bool ended_ = false;
};

}  // namespace hingespan::crowd

#endif  // TESTS_CROWD_CROWD_CLIENT_H_
