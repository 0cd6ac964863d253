#include "hingespan/serving/route_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace hingespan::gateway {
namespace {

std::string HostWithoutPort(absl::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != absl::string_view::npos && host.find(']', colon) == absl::string_view::npos) {
    host = host.substr(0, colon);
  }
  return absl::AsciiStrToLower(host);
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_->routes) {
    routes_by_host_[absl::AsciiStrToLower(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
}

const Route* RouteTable::Find(absl::string_view host, absl::string_view target) const {
  const auto entry = routes_by_host_.find(HostWithoutPort(host));
  if (entry == routes_by_host_.end()) {
    return nullptr;
  }
  const absl::string_view path = target.substr(0, target.find('?'));
  for (const Route* const route : entry->second) {
    if (absl::StartsWith(path, route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const std::string& ChooseService(const Route& route, absl::string_view request_id) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  double total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  const double fraction =
      static_cast<double>(XXH3_64bits(request_id.data(), request_id.size()) >> 11) * 0x1.0p-53;
  double left = fraction * total;
  for (const ServiceShare& share : route.services) {
    if (left < share.weight) {
      return share.service;
    }
    left -= share.weight;
  }
  return route.services.back().service;
}

}  // namespace hingespan::gateway
