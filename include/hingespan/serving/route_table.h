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

// An index over one configuration, which it keeps alive. Immutable.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  // `host` may carry a port; `target` is path and query. Null when no route fits.
  const Route* Find(absl::string_view host, absl::string_view target) const;
  const Configuration& configuration() const { return *configuration_; }
  std::shared_ptr<const Configuration> shared_configuration() const { return configuration_; }

 private:
  std::shared_ptr<const Configuration> configuration_;
  // By host, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<const Route*>> routes_by_host_;
};

// The service that takes the request with this id; the parts follow the weights over many ids.
const std::string& ChooseService(const Route& route, absl::string_view request_id);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_ROUTE_TABLE_H_
