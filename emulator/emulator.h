// The whole emulator: engines, weight store, table service, object store, machine list and links
// between zones, each emulated behind HTTP. See docs/EMULATOR.md.
#ifndef HINGESPAN_EMULATOR_EMULATOR_H_
#define HINGESPAN_EMULATOR_EMULATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "emulator/emulator_settings.h"
#include "emulator/event_log.h"

namespace hingespan::emulator {

// Addresses on which the emulator listens, each as "ip:port".
struct EmulatorAddresses {
  std::string platform;
  std::map<ZoneId, std::string> platform_by_zone;
  std::string engines;
  std::string admin;
};

class Emulator {
 public:
  // `on_overcommit` is called after each overcommit has been logged; may be empty.
  Emulator(EmulatorSettings settings, std::function<void(const LogEntry&)> on_overcommit);
  ~Emulator();

  // Listens on all addresses; returns an error if one is unavailable. Call only once.
  std::error_code Start();
  // Ends all connections and threads. Must be called by the thread that called Start.
  void Stop();

  // Valid after Start.
  const EmulatorAddresses& addresses() const;
  // Returns the base URL of a worker's engine.
  std::string BaseUrl(const WorkerId& worker) const;
  // Log of the engines.
  EventLog& log();

 private:
  struct Parts;

  std::unique_ptr<Parts> parts_;
};

// Returns the line with the addresses that the emulator prints at start.
std::string ListeningLine(const EmulatorAddresses& addresses);

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_EMULATOR_H_
