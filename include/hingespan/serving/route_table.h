// Finds the route of a request by host and longest path prefix.
#ifndef HINGESPAN_SERVING_ROUTE_TABLE_H_
#define HINGESPAN_SERVING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "hingespan/serving/configuration.h"

namespace hingespan::gateway {

// Index over one configuration, which it keeps alive. Immutable.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  // `host` may contain a port; `target` is a path with an optional query. Returns null if no route
  // matches.
  const Route* Find(absl::string_view host, absl::string_view target) const;
  const Configuration& configuration() const { return *configuration_; }
  std::shared_ptr<const Configuration> shared_configuration() const { return configuration_; }

 private:
  std::shared_ptr<const Configuration> configuration_;
  // Routes by host, longest path prefix first.
  absl::flat_hash_map<std::string, std::vector<const Route*>> routes_by_host_;
};

// Returns the service for the request with this id. The choice is a function of the id; over many
// ids the services receive requests in proportion to their weights.
const std::string& ChooseService(const Route& route, absl::string_view request_id);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_ROUTE_TABLE_H_
