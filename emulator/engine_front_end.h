// HTTP interface of all engines on one address, each under its own base path.
#ifndef HINGESPAN_EMULATOR_ENGINE_FRONT_END_H_
#define HINGESPAN_EMULATOR_ENGINE_FRONT_END_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "emulator/answer_stream.h"
#include "emulator/engine_faults.h"
#include "emulator/engine_fleet.h"
#include "emulator/http_server.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace hingespan::emulator {

class EngineFrontEnd {
 public:
  // `fleet` and `faults` must outlive the front end.
  EngineFrontEnd(EngineFleet* fleet, EngineFaults* faults, int thread_limit);

  HttpServer& server() { return server_; }

 private:
  using Handler = void (EngineFrontEnd::*)(const WorkerId&, const httplib::Request&,
                                           httplib::Response&);
  using Order = std::function<OrderResult(Engine& engine, absl::Time now)>;

  void AddRoutes();
  std::function<void(const httplib::Request&, httplib::Response&)> ForWorker(Handler handler);

  void Status(const WorkerId& worker, const httplib::Request& request, httplib::Response& response);
  void Fence(const WorkerId& worker, const httplib::Request& request, httplib::Response& response);
  void Load(const WorkerId& worker, const httplib::Request& request, httplib::Response& response);
  void Unload(const WorkerId& worker, const httplib::Request& request, httplib::Response& response);
  void SetRole(const WorkerId& worker, const httplib::Request& request,
               httplib::Response& response);
  void Generate(const WorkerId& worker, const httplib::Request& request,
                httplib::Response& response);
  void ResumeStream(const WorkerId& worker, const httplib::Request& request,
                    httplib::Response& response);
  void CancelStream(const WorkerId& worker, const httplib::Request& request,
                    httplib::Response& response);
  void ReadEvents(const WorkerId& worker, const httplib::Request& request,
                  httplib::Response& response);
  void ExportKv(const WorkerId& worker, const httplib::Request& request,
                httplib::Response& response);
  void ImportKv(const WorkerId& worker, const httplib::Request& request,
                httplib::Response& response);

  // Applies the order and answers; applies it again later if orders of the worker are duplicated.
  void Apply(const WorkerId& worker, const Order& order, httplib::Response* response);

  EngineFleet* const fleet_;
  EngineFaults* const faults_;
  HttpServer server_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_ENGINE_FRONT_END_H_
