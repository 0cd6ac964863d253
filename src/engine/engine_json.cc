#include "hingespan/engine/engine_json.h"

#include <nlohmann/json.hpp>

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
  replica.generation = GrantGeneration(json.at("generation").get<std::uint64_t>());
  replica.state = ParseReplicaState(json.at("state").get<std::string>());
  replica.memory_mib = json.at("memory_mib").get<std::uint32_t>();
  replica.running = json.value("running", 0U);
  replica.idle_ms = json.value("idle_ms", std::uint64_t{0});
  return replica;
}

EngineStatus ParseStatus(const Json& json) {
  EngineStatus status;
  status.incarnation = WorkerIncarnation(json.at("incarnation").get<std::uint64_t>());
  status.epoch = KeeperEpoch(json.at("epoch").get<std::uint64_t>());
  status.role = json.value("role", "both");
  status.memory_mib = json.at("memory_mib").get<std::uint32_t>();
  status.memory_used_mib = json.value("memory_used_mib", 0U);
  status.running = json.value("running", 0U);
  status.queued = json.value("queued", 0U);
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
        chunk_.prompt_tokens = static_cast<std::uint32_t>(number);
        return true;
      case Member::kCompletionTokens:
        chunk_.completion_tokens = static_cast<std::uint32_t>(number);
        return true;
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
  try {
    return ParseStatus(Json::parse(body));
  } catch (const Json::exception&) {
    return Error::kMalformed;
  }
}

Result<GenerationChunk> DecodeGenerationChunk(std::string_view line) {
  ChunkReader reader;
  if (!Json::sax_parse(line, &reader)) {
    return Error::kMalformed;
  }
  return reader.Take();
}

std::string DecodeEngineError(std::string_view body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error") || !json["error"].is_string()) {
    return std::string();
  }
  return json["error"].get<std::string>();
}

}  // namespace hingespan
