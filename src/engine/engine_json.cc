#include "hingespan/engine/engine_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "hingespan/common/json_decoding.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

// Replaces invalid UTF-8, as nlohmann::json would throw an uncaught exception by default.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json FenceJson(const OrderFence& fence) {
  return {{"incarnation", fence.incarnation.value()},
          {"epoch", fence.epoch.value()},
          {"sequence", fence.sequence.value()},
          {"generation", fence.generation.value()}};
}

ReplicaState ParseReplicaState(const std::string& text) {
  if (text == "loading") {
    return ReplicaState::kLoading;
  }
  if (text == "ready") {
    return ReplicaState::kReady;
  }
  return text == "draining" ? ReplicaState::kDraining : ReplicaState::kFailed;
}

CacheTier ParseTier(const std::string& text) {
  if (text == "memory") {
    return CacheTier::kMemory;
  }
  return text == "disk" ? CacheTier::kDisk : CacheTier::kRemote;
}

EngineReplica ParseReplica(const Json& json) {
  EngineReplica replica;
  replica.model = ModelName(json.at("model").get<std::string>());
  replica.generation = GrantGeneration(ReadNumber<std::uint64_t>(json.at("generation")));
  replica.state = ParseReplicaState(json.at("state").get<std::string>());
  replica.memory_mib = ReadNumber<std::uint32_t>(json.at("memory_mib"));
  replica.running = ReadNumber<std::uint32_t>(json, "running", 0);
  replica.idle_ms = ReadNumber<std::uint64_t>(json, "idle_ms", 0);
  return replica;
}

EngineStatus ParseStatus(const Json& json) {
  EngineStatus status;
  status.incarnation = WorkerIncarnation(ReadNumber<std::uint64_t>(json.at("incarnation")));
  status.epoch = KeeperEpoch(ReadNumber<std::uint64_t>(json.at("epoch")));
  status.role = json.value("role", "both");
  status.memory_mib = ReadNumber<std::uint32_t>(json.at("memory_mib"));
  status.memory_used_mib = ReadNumber<std::uint32_t>(json, "memory_used_mib", 0);
  status.running = ReadNumber<std::uint32_t>(json, "running", 0);
  status.queued = ReadNumber<std::uint32_t>(json, "queued", 0);
  for (const Json& replica : json.at("replicas")) {
    status.replicas.push_back(ParseReplica(replica));
  }
  for (const Json& entry : json.at("cached")) {
    const std::string tier = entry.at("tier").get<std::string>();
    status.cached.push_back({entry.at("checkpoint").get<std::string>(), ParseTier(tier)});
  }
  return status;
}

// SAX parser for a chunk. Streams have many chunks, and building a document tree for each costs
// more.
class ChunkReader : public nlohmann::json_sax<Json> {
 public:
  // Returns the chunk, or kMalformed if a required member is missing.
  Result<GenerationChunk> Take() {
    if (!has_sequence_ || !has_text_) {
      return Error::kMalformed;
    }
    if (chunk_.last && chunk_.finish_reason.empty()) {
      chunk_.finish_reason = "stop";
    }
    return std::move(chunk_);
  }

  bool key(string_t& name) override {
    if (depth_ == 1) {
      member_ = MemberOf(name);
    }
    return true;
  }
  bool number_unsigned(number_unsigned_t number) override {
    switch (Current()) {
      case Member::kSequence:
        chunk_.sequence = number;
        has_sequence_ = true;
        return true;
      case Member::kPromptTokens:
        return Narrow(number, &chunk_.prompt_tokens);
      case Member::kCompletionTokens:
        return Narrow(number, &chunk_.completion_tokens);
      default:
        return IsUnknown();
    }
  }
  bool string(string_t& text) override {
    if (Current() == Member::kText) {
      chunk_.text = std::move(text);
      has_text_ = true;
      return true;
    }
    if (Current() == Member::kFinishReason) {
      chunk_.finish_reason = std::move(text);
      return true;
    }
    return IsUnknown();
  }
  bool boolean(bool value) override {
    if (Current() == Member::kLast) {
      chunk_.last = value;
      return true;
    }
    return IsUnknown();
  }
  bool null() override { return IsUnknown(); }
  bool number_integer(number_integer_t) override { return IsUnknown(); }
  bool number_float(number_float_t, const string_t&) override { return IsUnknown(); }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return depth_ > 0 && Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t, const std::string&, const Json::exception&) override {
    return false;
  }

 private:
  static bool Narrow(std::uint64_t number, std::uint32_t* value) {
    const bool fits = std::in_range<std::uint32_t>(number);
    *value = fits ? static_cast<std::uint32_t>(number) : 0;
    return fits;
  }

  enum class Member {
    kUnknown,
    kSequence,
    kText,
    kLast,
    kFinishReason,
    kPromptTokens,
    kCompletionTokens
  };

  static Member MemberOf(const std::string& name) {
    if (name == "sequence") {
      return Member::kSequence;
    }
    if (name == "text") {
      return Member::kText;
    }
    if (name == "last") {
      return Member::kLast;
    }
    if (name == "finish_reason") {
      return Member::kFinishReason;
    }
    if (name == "prompt_tokens") {
      return Member::kPromptTokens;
    }
    return name == "completion_tokens" ? Member::kCompletionTokens : Member::kUnknown;
  }

  // Returns the current member; nested values belong to unknown members, which are ignored.
  Member Current() const { return depth_ == 1 ? member_ : Member::kUnknown; }
  // Returns false for a value of a known member, which then has the wrong type and makes the chunk
  // malformed.
  bool IsUnknown() const { return depth_ > 0 && Current() == Member::kUnknown; }
  bool Enter() {
    const bool allowed = depth_ == 0 || IsUnknown();
    ++depth_;
    return allowed;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  GenerationChunk chunk_;
  Member member_ = Member::kUnknown;
  int depth_ = 0;
  bool has_sequence_ = false;
  bool has_text_ = false;
};

}  // namespace

std::string EncodeFenceOrder(WorkerIncarnation incarnation, KeeperEpoch epoch) {
  return Dump({{"incarnation", incarnation.value()}, {"epoch", epoch.value()}});
}

std::string EncodeLoadOrder(const LoadOrder& order) {
  return Dump({{"fence", FenceJson(order.fence)},
               {"model", order.model.value()},
               {"base", order.base.value()},
               {"checkpoint", order.checkpoint},
               {"memory_mib", order.memory_mib}});
}

std::string EncodeUnloadOrder(const UnloadOrder& order) {
  return Dump({{"fence", FenceJson(order.fence)}, {"model", order.model.value()}});
}

std::string EncodeGenerationRequest(const GenerationRequest& request) {
  return Dump({{"request", request.request.value()},
               {"model", request.model.value()},
               {"kind", request.kind},
               {"body", request.body},
               {"priority", request.priority},
               {"incarnation", request.incarnation.value()}});
}

Result<EngineStatus> DecodeEngineStatus(std::string_view body) {
  return DecodeJson<EngineStatus>(ParseJson(body), ParseStatus);
}

Result<GenerationChunk> DecodeGenerationChunk(std::string_view line) {
  ChunkReader reader;
  if (!Json::sax_parse(line, &reader)) {
    return Error::kMalformed;
  }
  return reader.Take();
}

std::string DecodeEngineError(std::string_view body) {
  const Json json = ParseJson(body);
  if (!json.is_object() || !json.contains("error") || !json["error"].is_string()) {
    return std::string();
  }
  return json["error"].get<std::string>();
}

}  // namespace hingespan
