// JSON codec of the engine protocol: encodes orders, decodes statuses and stream lines.
#ifndef HINGESPAN_ENGINE_ENGINE_JSON_H_
#define HINGESPAN_ENGINE_ENGINE_JSON_H_

#include <string>
#include <string_view>

#include "hingespan/common/result.h"
#include "hingespan/engine/engine_client.h"

namespace hingespan {

std::string EncodeFenceOrder(WorkerIncarnation incarnation, KeeperEpoch epoch);
std::string EncodeLoadOrder(const LoadOrder& order);
std::string EncodeUnloadOrder(const UnloadOrder& order);
std::string EncodeGenerationRequest(const GenerationRequest& request);

// Both decoders return kMalformed for input that doesn't match the protocol.
Result<EngineStatus> DecodeEngineStatus(std::string_view body);
Result<GenerationChunk> DecodeGenerationChunk(std::string_view line);
// Returns the "error" member of an error response, or an empty string if there is none.
std::string DecodeEngineError(std::string_view body);

}  // namespace hingespan

#endif  // HINGESPAN_ENGINE_ENGINE_JSON_H_
