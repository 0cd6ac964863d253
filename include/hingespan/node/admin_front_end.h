// HTTP endpoints for operators: the node's status, an explanation of where a model runs, and drain.
#ifndef HINGESPAN_NODE_ADMIN_FRONT_END_H_
#define HINGESPAN_NODE_ADMIN_FRONT_END_H_

#include <functional>
#include <string>

#include "hingespan/backing/machine_list.h"
#include "hingespan/node/core_driver.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace hingespan {

struct AdminFrontEndOptions {
  // Key that operators must send as a bearer token; empty if none is required.
  std::string operator_key;
  // Begins the planned stop of this node.
  std::function<void()> begin_stop;
  // Receives requests to drain a worker. Must outlive the front end.
  MachineList* machines = nullptr;
};

// Thread-safe.
class AdminFrontEnd {
 public:
  AdminFrontEnd(AdminFrontEndOptions options, CoreDriver* driver);

  // Registers the endpoints. This object must outlive the server.
  void AddRoutes(httplib::Server* server);

 private:
  bool Authorize(const httplib::Request& request, httplib::Response* response) const;
  void ServeStatus(httplib::Response* response) const;
  void ServeExplain(const httplib::Request& request, httplib::Response* response) const;
  void ServeDrain(const httplib::Request& request, httplib::Response* response) const;
  void DrainWorker(const WorkerId& worker, httplib::Response* response) const;

  const AdminFrontEndOptions options_;
  CoreDriver* const driver_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_ADMIN_FRONT_END_H_
