#include "emulator/emulator.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "emulator/admin_front_end.h"
#include "emulator/emulated_clock.h"
#include "emulator/engine_faults.h"
#include "emulator/engine_fleet.h"
#include "emulator/engine_front_end.h"
#include "emulator/machine_service.h"
#include "emulator/object_store.h"
#include "emulator/platform_front_end.h"
#include "emulator/platform_gate.h"
#include "emulator/table_service_store.h"
#include "emulator/zone_links.h"
#include "hingespan/common/clock.h"

namespace hingespan::emulator {
namespace {

FleetOptions FleetOptionsOf(const EmulatorSettings& settings) {
  FleetOptions options;
  options.weight_store = settings.weight_store;
  options.seed = settings.seed;
  for (const EmulatorWorker& worker : settings.workers) {
    options.workers.push_back({worker.worker, worker.options, worker.preloads});
  }
  return options;
}

PlatformRates RatesOf(const PlatformSettings& platform) {
  PlatformRates rates;
  rates.table_calls_per_second = platform.table_calls_per_second;
  rates.object_calls_per_second = platform.object_calls_per_second;
  rates.machine_list_calls_per_second = platform.machine_list_calls_per_second;
  rates.burst = platform.burst;
  return rates;
}

}  // namespace

struct Emulator::Parts {
  Parts(EmulatorSettings given, std::function<void(const LogEntry&)> on_overcommit)
      : settings(std::move(given)),
        clock(&SystemClock(), settings.time_compression),
        log(settings.log_entries),
        links(settings.host, LinkState{false, settings.link_delay}, &SystemClock()),
        machines(settings.zones, settings.platform.machine_list_lag, &clock, &links),
        gate(RatesOf(settings.platform), settings.platform.latency, settings.seed),
        fleet(FleetOptionsOf(settings), &clock, &log, std::move(on_overcommit)),
        engines(&fleet, &engine_faults, settings.engine_threads),
        admin(AdminParts{&fleet, &log, &engine_faults, &gate, &machines, &links, settings.zones}) {
    AddPlatform(ZoneId());
    for (const ZoneId& zone : settings.zones) {
      AddPlatform(zone);
    }
  }

  void AddPlatform(const ZoneId& zone) {
    const PlatformParts platform_parts{&table, &objects,       &machines,
                                       &gate,  &SystemClock(), &stopping};
    platforms.push_back(
        std::make_unique<PlatformFrontEnd>(zone, platform_parts, settings.platform.threads));
  }

  std::error_code BindAll();
  std::error_code BindOne(HttpServer* server, int port, std::string* address);
  void AddWorkers();

  const EmulatorSettings settings;
  EmulatorAddresses addresses;
  EmulatedClock clock;
  EventLog log;
  absl::Notification stopping;
  TableServiceStore table;
  ObjectStore objects;
  ZoneLinks links;
  MachineService machines;
  PlatformGate gate;
  EngineFaults engine_faults;
  EngineFleet fleet;
  EngineFrontEnd engines;
  AdminFrontEnd admin;
  std::vector<std::unique_ptr<PlatformFrontEnd>> platforms;
  bool started = false;
};

std::error_code Emulator::Parts::BindAll() {
  std::error_code error = BindOne(&engines.server(), settings.engine_port, &addresses.engines);
  if (error) {
    return error;
  }
  error = BindOne(&admin.server(), settings.admin_port, &addresses.admin);
  if (error) {
    return error;
  }
  for (const std::unique_ptr<PlatformFrontEnd>& platform : platforms) {
    const bool is_for_all = platform->zone().empty();
    const int port = is_for_all ? settings.platform_port : 0;
    std::string address;
    error = BindOne(&platform->server(), port, &address);
    if (error) {
      return error;
    }
    if (is_for_all) {
      addresses.platform = address;
    } else {
      addresses.platform_by_zone[platform->zone()] = address;
    }
  }
  return {};
}

std::error_code Emulator::Parts::BindOne(HttpServer* server, int port, std::string* address) {
  Result<std::string> bound = server->Bind(absl::StrCat(settings.host, ":", port));
  if (bound) {
    *address = *bound;
  }
  return bound.error();
}

void Emulator::Parts::AddWorkers() {
  for (const EmulatorWorker& worker : settings.workers) {
    WorkerMachine machine;
    machine.worker = worker.worker;
    machine.zone = worker.zone;
    machine.base_url =
        absl::StrCat("http://", addresses.engines, "/engines/", worker.worker.value());
    machines.AddInitialWorker(machine);
  }
}

Emulator::Emulator(EmulatorSettings settings, std::function<void(const LogEntry&)> on_overcommit)
    : parts_(std::make_unique<Parts>(std::move(settings), std::move(on_overcommit))) {}

Emulator::~Emulator() { Stop(); }

std::error_code Emulator::Start() {
  const std::error_code error = parts_->BindAll();
  if (error) {
    return error;
  }
  parts_->AddWorkers();
  parts_->started = true;
  parts_->links.Start();
  parts_->fleet.Start();
  parts_->engines.server().Start();
  parts_->admin.server().Start();
  for (const std::unique_ptr<PlatformFrontEnd>& platform : parts_->platforms) {
    platform->server().Start();
  }
  return {};
}

void Emulator::Stop() {
  if (!parts_->started) {
    return;
  }
  parts_->started = false;
  // Ends the waits of handlers before stopping the servers, which join the handlers' threads.
  parts_->stopping.Notify();
  parts_->log.Stop();
  parts_->fleet.Stop();
  for (const std::unique_ptr<PlatformFrontEnd>& platform : parts_->platforms) {
    platform->server().Stop();
  }
  parts_->engines.server().Stop();
  parts_->admin.server().Stop();
  parts_->links.Stop();
}

const EmulatorAddresses& Emulator::addresses() const { return parts_->addresses; }

std::string Emulator::BaseUrl(const WorkerId& worker) const {
  return absl::StrCat("http://", parts_->addresses.engines, "/engines/", worker.value());
}

EventLog& Emulator::log() { return parts_->log; }

std::string ListeningLine(const EmulatorAddresses& addresses) {
  nlohmann::json by_zone = nlohmann::json::object();
  for (const auto& [zone, address] : addresses.platform_by_zone) {
    by_zone[zone.value()] = address;
  }
  return nlohmann::json{{"event", "listening"},
                        {"platform", addresses.platform},
                        {"platform_by_zone", std::move(by_zone)},
                        {"engines", addresses.engines},
                        {"admin", addresses.admin}}
      .dump();
}

}  // namespace hingespan::emulator
