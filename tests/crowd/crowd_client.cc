#include "tests/crowd/crowd_client.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/write.hpp>
#include <utility>

#include "hingespan/net/socket_address.h"

namespace hingespan::crowd {

using boost::asio::ip::tcp;
using BoostError = boost::system::error_code;

std::shared_ptr<CrowdClient> CrowdClient::Start(gateway::EventLoop* loop,
                                                const std::string& address,
                                                std::shared_ptr<const CrowdScript> script) {
  std::shared_ptr<CrowdClient> client(new CrowdClient(loop, std::move(script)));
  client->Connect(address);
  return client;
}

CrowdClient::CrowdClient(gateway::EventLoop* loop, std::shared_ptr<const CrowdScript> script)
    : loop_(loop),
      script_(std::move(script)),
      socket_(loop->context()),
      timer_(loop->MakeTimer()) {}

void CrowdClient::Connect(const std::string& address) {
  const Result<HostPort> parsed = ParseHostPort(address);
  const tcp::endpoint endpoint(boost::asio::ip::make_address(parsed->host),
                               static_cast<unsigned short>(parsed->port));
  socket_.async_connect(endpoint, [self = shared_from_this()](const BoostError& error) {
    if (error) {
      self->ended_ = true;
      return;
    }
    self->Send(self->script_->head);
    self->Listen();
  });
}

void CrowdClient::Listen() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const BoostError&) { self->heard_ = true; });
}

bool CrowdClient::finished() const {
  int unacknowledged = 0;
  return heard() || (sent_all_ && ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0 &&
                     unacknowledged == 0);
}

void CrowdClient::Send(const std::string& text) {
  boost::asio::async_write(socket_, boost::asio::buffer(text),
                           [self = shared_from_this()](const BoostError& error, std::size_t) {
                             if (error) {
                               self->ended_ = true;
                               return;
                             }
                             self->OnSent();
                           });
}

void CrowdClient::OnSent() {
  if (pieces_sent_ == script_->pieces) {
    if (sent_tail_ || script_->tail.empty()) {
      sent_all_ = true;
      return;
    }
    sent_tail_ = true;
    Send(script_->tail);
    return;
  }
  ++pieces_sent_;
  if (script_->interval == absl::ZeroDuration()) {
    Send(script_->piece);
    return;
  }
  timer_->Set(loop_->Now() + script_->interval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Send(self->script_->piece);
    }
  });
}

void CrowdClient::Close() {
  BoostError ignored;
  socket_.close(ignored);
  ended_ = true;
}

}  // namespace hingespan::crowd
