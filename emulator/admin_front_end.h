// HTTP interface for administering the emulator: the engines' log, totals and fault injection.
#ifndef HINGESPAN_EMULATOR_ADMIN_FRONT_END_H_
#define HINGESPAN_EMULATOR_ADMIN_FRONT_END_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "emulator/engine_faults.h"
#include "emulator/engine_fleet.h"
#include "emulator/event_log.h"
#include "emulator/http_server.h"
#include "emulator/machine_service.h"
#include "emulator/platform_gate.h"
#include "emulator/zone_links.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace hingespan::emulator {

// Components that the admin interface reads and injects faults into. All must outlive the front
// end.
struct AdminParts {
  EngineFleet* fleet = nullptr;
  EventLog* log = nullptr;
  EngineFaults* engine_faults = nullptr;
  PlatformGate* gate = nullptr;
  MachineService* machines = nullptr;
  ZoneLinks* links = nullptr;
  std::vector<ZoneId> zones;
};

class AdminFrontEnd {
 public:
  explicit AdminFrontEnd(AdminParts parts);

  HttpServer& server() { return server_; }

 private:
  void ReadLog(const httplib::Request& request, httplib::Response& response);
  void WaitForLog(const httplib::Request& request, httplib::Response& response);
  void ReadTotals(httplib::Response& response);
  void SetFault(const httplib::Request& request, httplib::Response& response);

  // Each function returns an empty string on success, otherwise the problem with the fault. May
  // throw exceptions of the JSON library.
  std::string Apply(const nlohmann::json& fault);
  std::string SetPlatformFault(const nlohmann::json& fault);
  std::string SetMachineState(const nlohmann::json& fault);
  std::string SetLink(const nlohmann::json& fault);
  std::string LoseEngineAnswers(const nlohmann::json& fault);
  std::string InjectEngineFault(const std::string& name, const nlohmann::json& fault);
  bool IsZone(const ZoneId& zone) const;

  const AdminParts parts_;
  HttpServer server_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_ADMIN_FRONT_END_H_
