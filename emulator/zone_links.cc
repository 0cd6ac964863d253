#include "emulator/zone_links.h"

#include "emulator/socket_address.h"

namespace hingespan::emulator {

ZoneLinks::ZoneLinks(std::string ip, LinkState initial, Clock* clock)
    : ip_(std::move(ip)), initial_(initial), loop_(clock) {}

ZoneLinks::~ZoneLinks() {
  loop_.Stop();
  absl::MutexLock lock(&loop_.mutex());
  relays_.clear();
}

std::error_code ZoneLinks::Connect(const ZoneId& zone, const NodeMachine& node) {
  const Result<sockaddr_in> http = ParseAddress(node.http_address);
  const Result<sockaddr_in> control = ParseAddress(node.control_address);
  if (!http || !control) {
    return Error::kInvalidArgument;
  }
  absl::MutexLock lock(&loop_.mutex());
  if (Find(zone, node.node) == nullptr) {
    const std::error_code error = Create(zone, node);
    if (error) {
      return error;
    }
  }
  Relays& relays = relays_.at({zone, node.node});
  relays.http->SetTarget(*http);
  relays.control->SetTarget(*control);
  return {};
}

std::error_code ZoneLinks::Create(const ZoneId& zone, const NodeMachine& node) {
  const LinkState state = StateOf(zone, node.zone);
  Relays relays;
  relays.node_zone = node.zone;
  relays.http = std::make_unique<TcpRelay>(&loop_, state);
  relays.control = std::make_unique<UdpRelay>(&loop_, state);
  if (!relays.http->Listen(ip_) || !relays.control->Listen(ip_)) {
    return Error::kUnavailable;
  }
  relays_[{zone, node.node}] = std::move(relays);
  return {};
}

std::string ZoneLinks::HttpAddress(const ZoneId& zone, const NodeMachine& node) {
  absl::MutexLock lock(&loop_.mutex());
  const Relays* relays = Find(zone, node.node);
  return relays == nullptr ? node.http_address : relays->http->address();
}

std::string ZoneLinks::ControlAddress(const ZoneId& zone, const NodeMachine& node) {
  absl::MutexLock lock(&loop_.mutex());
  const Relays* relays = Find(zone, node.node);
  return relays == nullptr ? node.control_address : relays->control->address();
}

void ZoneLinks::SetState(const ZoneId& one, const ZoneId& other, LinkState state) {
  absl::MutexLock lock(&loop_.mutex());
  states_[PairOf(one, other)] = state;
  for (auto& [key, relays] : relays_) {
    if (PairOf(key.first, relays.node_zone) == PairOf(one, other)) {
      relays.http->SetState(state);
      relays.control->SetState(state);
    }
  }
}

ZoneLinks::ZonePair ZoneLinks::PairOf(const ZoneId& one, const ZoneId& other) {
  return one < other ? ZonePair(one, other) : ZonePair(other, one);
}

LinkState ZoneLinks::StateOf(const ZoneId& one, const ZoneId& other) const {
  auto found = states_.find(PairOf(one, other));
  return found == states_.end() ? initial_ : found->second;
}

const ZoneLinks::Relays* ZoneLinks::Find(const ZoneId& zone, const NodeId& node) const {
  auto found = relays_.find({zone, node});
  return found == relays_.end() ? nullptr : &found->second;
}

}  // namespace hingespan::emulator
