// The HTTP paths for operators: what this node knows, why a model is where it is, and drain.
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
  // Operators' "Authorization: Bearer ..."; empty: not asked for.
  std::string operator_key;
  // Begins this node's planned stop.
  std::function<void()> begin_stop;
  // Where workers are drained; must outlive the front end.
  MachineList* machines = nullptr;
};

// Thread-safe.
class AdminFrontEnd {
 public:
  AdminFrontEnd(AdminFrontEndOptions options, CoreDriver* driver);

  // This must outlive the server.
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
