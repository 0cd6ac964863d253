// HTTP interface of the platform on one address: table service, object store and machine list.
#ifndef HINGESPAN_EMULATOR_PLATFORM_FRONT_END_H_
#define HINGESPAN_EMULATOR_PLATFORM_FRONT_END_H_

#include <functional>
#include <string>

#include "absl/synchronization/notification.h"
#include "emulator/http_server.h"
#include "emulator/machine_service.h"
#include "emulator/object_store.h"
#include "emulator/platform_gate.h"
#include "emulator/table_service_store.h"
#include "hingespan/common/clock.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace hingespan::emulator {

// Components shared by all platform addresses. All must outlive the front ends.
struct PlatformParts {
  TableServiceStore* table = nullptr;
  ObjectStore* objects = nullptr;
  MachineService* machines = nullptr;
  PlatformGate* gate = nullptr;
  // Real-time clock for the rate limits.
  Clock* clock = nullptr;
  // Notified to end the waits of slow calls.
  const absl::Notification* stopping = nullptr;
};

struct WorkerAnnouncement;

class PlatformFrontEnd {
 public:
  // `zone` is the zone served by this address; empty for the address of all zones.
  PlatformFrontEnd(ZoneId zone, PlatformParts parts, int thread_limit);

  HttpServer& server() { return server_; }
  const ZoneId& zone() const { return zone_; }

 private:
  using Handler = void (PlatformFrontEnd::*)(const httplib::Request&, httplib::Response&);

  void AddRoutes();
  // Wraps a handler with the gate.
  std::function<void(const httplib::Request&, httplib::Response&)> Guard(PlatformPart part,
                                                                         Handler handler);
  void Commit(const httplib::Request& request, httplib::Response& response);
  void Read(const httplib::Request& request, httplib::Response& response);
  void ReadChanges(const httplib::Request& request, httplib::Response& response);
  void ReadHistory(const httplib::Request& request, httplib::Response& response);
  void PutObject(const httplib::Request& request, httplib::Response& response);
  void GetObject(const httplib::Request& request, httplib::Response& response);
  void ListObjects(const httplib::Request& request, httplib::Response& response);
  void ReadMachines(const httplib::Request& request, httplib::Response& response);
  void AnnounceMachine(const httplib::Request& request, httplib::Response& response);
  // `name` is the worker's name in the path.
  void AnnounceWorker(const WorkerAnnouncement& announcement, const std::string& name,
                      httplib::Response* response);

  const ZoneId zone_;
  const PlatformParts parts_;
  HttpServer server_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_PLATFORM_FRONT_END_H_
