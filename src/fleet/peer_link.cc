#include "hingespan/fleet/peer_link.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/net/socket_address.h"

namespace hingespan::gateway {
namespace {

using boost::asio::ip::udp;

constexpr std::size_t kLargestDatagram = 64 * 1024;

bool ReadEndpoint(const std::string& address, udp::endpoint* endpoint) {
  const Result<HostPort> parsed = ParseHostPort(address);
  if (!parsed.ok()) {
    return false;
  }
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address(parsed->host, error);
  if (error) {
    return false;
  }
  *endpoint = udp::endpoint(host, static_cast<unsigned short>(parsed->port));
  return true;
}

}  // namespace

struct PeerLink::Implementation : std::enable_shared_from_this<PeerLink::Implementation> {
  Implementation(EventLoop* loop, Receiver on_datagram)
      : socket(loop->context()), receiver(std::move(on_datagram)) {}

  void Receive() {
    socket.async_receive_from(
        boost::asio::buffer(buffer), sender,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
          if (error == boost::asio::error::operation_aborted || !self->socket.is_open()) {
            return;
          }
          if (!error) {
            self->receiver(absl::string_view(self->buffer.data(), count));
          }
          self->Receive();
        });
  }

  udp::socket socket;
  Receiver receiver;
  udp::endpoint sender;
  std::array<char, kLargestDatagram> buffer;
};

PeerLink::PeerLink(EventLoop* loop, Receiver receiver)
    : implementation_(std::make_shared<Implementation>(loop, std::move(receiver))) {}

PeerLink::~PeerLink() {
  boost::system::error_code ignored;
  implementation_->socket.close(ignored);
}

std::error_code PeerLink::Listen(const std::string& address) {
  udp::endpoint endpoint;
  if (!ReadEndpoint(address, &endpoint)) {
    return make_error_code(Error::kInvalidArgument);
  }
  boost::system::error_code error;
  implementation_->socket.open(endpoint.protocol(), error);
  if (!error) {
    implementation_->socket.bind(endpoint, error);
  }
  if (!error) {
    implementation_->socket.non_blocking(true, error);
  }
  if (error) {
    return {error.value(), std::system_category()};
  }
  implementation_->Receive();
  return {};
}

std::string PeerLink::address() const {
  boost::system::error_code error;
  const udp::endpoint endpoint = implementation_->socket.local_endpoint(error);
  return error ? std::string() : absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

void PeerLink::Send(const std::string& address, absl::string_view bytes) {
  udp::endpoint endpoint;
  if (bytes.size() > kLargestDatagram || !ReadEndpoint(address, &endpoint)) {
    return;
  }
  boost::system::error_code ignored;
  implementation_->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), endpoint, 0,
                                  ignored);
}

}  // namespace hingespan::gateway
