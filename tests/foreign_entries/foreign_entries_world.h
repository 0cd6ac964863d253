// Test fixture: gateway processes, workers, and a store that decodes queries as servers do, with
// one row a page.
#ifndef TESTS_FOREIGN_ENTRIES_FOREIGN_ENTRIES_WORLD_H_
#define TESTS_FOREIGN_ENTRIES_FOREIGN_ENTRIES_WORLD_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emulator/platform_store.h"
#include "emulator/platform_worker.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "tests/soak/gateway_process.h"

namespace hingespan::foreign_entries {

// Table with the rows that the nodes write.
inline constexpr char kFleetTable[] = "hingespan";

// Not thread-safe. Starts with all processes serving.
class ForeignEntriesWorld {
 public:
  explicit ForeignEntriesWorld(int processes);
  ~ForeignEntriesWorld();

  emulator::PlatformStore* store() { return &store_; }
  // Checks that all processes live and serve beside the entries in the store, as they run on and
  // after all were restarted, and that what they log of an entry is bounded.
  void CheckServed();
  // Number of lines with this text in the current logs.
  std::size_t LogLines(const std::string& text) const;

 private:
  // Kills all processes at the same time, starts them again and waits until they listen.
  void RestartAll();
  // Returns how many processes serve a plain request and a stream within the limit.
  int ServingProcesses();
  // Returns how many processes have not ended by themselves.
  int LivingProcesses();
  // Waits until each process has read the fleet's table once more. Returns false on the limit.
  bool AwaitReads();
  void PutConfiguration();
  void AddWorker(const std::string& id, const std::string& service);
  bool IsServed(const soak::GatewayProcess& process, const std::string& target);
  bool Wait(const std::function<bool()>& done);
  std::vector<std::string> Lines(const std::string& text) const;

  gateway::EventLoop loop_;
  emulator::PlatformStore store_;
  gateway::HttpClient caller_;
  std::vector<std::unique_ptr<emulator::PlatformWorker>> workers_;
  std::vector<std::unique_ptr<soak::GatewayProcess>> processes_;
  std::string folder_;
  int request_number_ = 0;
};

}  // namespace hingespan::foreign_entries

#endif  // TESTS_FOREIGN_ENTRIES_FOREIGN_ENTRIES_WORLD_H_
