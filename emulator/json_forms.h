// JSON encoding of the emulator's protocol; see docs/EMULATOR.md.
#ifndef HINGESPAN_EMULATOR_JSON_FORMS_H_
#define HINGESPAN_EMULATOR_JSON_FORMS_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "emulator/engine_fleet.h"
#include "emulator/event_log.h"
#include "emulator/prefix_cache.h"
#include "hingespan/backing/machine_list.h"
#include "hingespan/backing/table_service.h"
#include "hingespan/common/result.h"
#include "hingespan/engine/engine_client.h"

namespace hingespan::emulator {

nlohmann::json ToJson(const StoredValue& stored);
nlohmann::json ToJson(const std::vector<StoredValue>& values);
nlohmann::json ToJson(const TransactionResult& result);
nlohmann::json ToJson(const ValueChangePage& page);
nlohmann::json ToJson(const NodeMachine& node);
nlohmann::json ToJson(const MachineListing& listing);
nlohmann::json ToJson(const EngineStatus& status);
nlohmann::json ToJson(const GenerationChunk& chunk);
nlohmann::json ToJson(const PrefixEvent& event);
nlohmann::json ToJson(const LogEntry& entry);
nlohmann::json ToJson(const LogTotals& log, const FleetTotals& fleet);

// The parsers return kMalformed for text that is not the expected JSON.
Result<Transaction> ReadTransaction(const std::string& text);
Result<NodeMachine> ReadNodeMachine(const std::string& text);
struct WorkerAnnouncement {
  WorkerId worker;
  MachineState state = MachineState::kLive;
};
Result<WorkerAnnouncement> ReadWorkerAnnouncement(const std::string& text);
// Parses the body of /fence, which sets only `incarnation` and `epoch`.
Result<OrderFence> ReadFence(const std::string& text);
Result<LoadOrder> ReadLoadOrder(const std::string& text);
Result<UnloadOrder> ReadUnloadOrder(const std::string& text);
struct RoleOrder {
  OrderFence fence;
  std::string role;
};
Result<RoleOrder> ReadRoleOrder(const std::string& text);
Result<GenerationRequest> ReadGenerationRequest(const std::string& text);

std::optional<MachineState> ParseMachineState(const std::string& name);

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_JSON_FORMS_H_
