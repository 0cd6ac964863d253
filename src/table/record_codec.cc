#include "hingespan/table/record_codec.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>

#include "hingespan/common/json_decoding.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

// --- Readers: each leaves `value` unchanged if the field is absent and returns false if the field
// has the wrong type or is out of range.

bool ReadText(const Json& json, const char* field, std::string* value) {
  const auto found = json.find(field);
  if (found == json.end()) {
    return true;
  }
  if (!found->is_string()) {
    return false;
  }
  *value = found->get<std::string>();
  return true;
}

bool ReadUnsigned(const Json& json, const char* field, std::uint64_t limit, std::uint64_t* value) {
  const auto found = json.find(field);
  if (found == json.end()) {
    return true;
  }
  if (!found->is_number_unsigned() || found->get<std::uint64_t>() > limit) {
    return false;
  }
  *value = found->get<std::uint64_t>();
  return true;
}

bool ReadCount(const Json& json, const char* field, std::uint32_t* value) {
  std::uint64_t wide = *value;
  if (!ReadUnsigned(json, field, std::numeric_limits<std::uint32_t>::max(), &wide)) {
    return false;
  }
  *value = static_cast<std::uint32_t>(wide);
  return true;
}

bool ReadWide(const Json& json, const char* field, std::uint64_t* value) {
  return ReadUnsigned(json, field, std::numeric_limits<std::uint64_t>::max(), value);
}

template <typename Id>
bool ReadName(const Json& json, const char* field, Id* id) {
  std::string text = id->value();
  if (!ReadText(json, field, &text)) {
    return false;
  }
  *id = Id(std::move(text));
  return true;
}

template <typename Id>
bool ReadCounter(const Json& json, const char* field, Id* id) {
  std::uint64_t value = id->value();
  if (!ReadWide(json, field, &value)) {
    return false;
  }
  *id = Id(value);
  return true;
}

// --- Rows

bool ReadRowKind(const Json& json, RowKind* kind) {
  std::string name(RowKindName(*kind));
  if (!ReadText(json, "kind", &name)) {
    return false;
  }
  for (RowKind candidate : {RowKind::kModel, RowKind::kAdapter, RowKind::kVersion}) {
    if (name == RowKindName(candidate)) {
      *kind = candidate;
      return true;
    }
  }
  return false;
}

bool ReadWeights(const Json& json, std::map<ZoneId, std::uint32_t>* weights) {
  const auto found = json.find("weights");
  if (found == json.end()) {
    return true;
  }
  if (!found->is_object()) {
    return false;
  }
  for (const auto& [zone, weight] : found->items()) {
    std::uint32_t value = 0;
    if (!ReadCount(*found, zone.c_str(), &value)) {
      return false;
    }
    weights->emplace(ZoneId(zone), value);
  }
  return true;
}

bool ReadRowLimits(const Json& json, ModelRow* row) {
  return ReadCount(json, "memory_mib", &row->memory_mib) &&
         ReadCount(json, "max_replicas", &row->max_replicas) &&
         ReadCount(json, "min_replicas", &row->min_replicas) &&
         ReadCount(json, "max_wait_ms", &row->max_wait_ms) &&
         ReadCount(json, "max_queue", &row->max_queue) &&
         ReadCount(json, "max_concurrency", &row->max_concurrency) &&
         ReadCount(json, "idle_ms", &row->idle_ms);
}

bool ReadRow(const Json& json, ModelRow* row) {
  return ReadName(json, "name", &row->name) && ReadRowKind(json, &row->kind) &&
         ReadName(json, "base", &row->base) && ReadText(json, "checkpoint", &row->checkpoint) &&
         ReadRowLimits(json, row) && ReadWeights(json, &row->weights) &&
         ReadName(json, "edit", &row->edit) && ReadText(json, "editor", &row->editor);
}

// --- Grants

Json SlotToJson(const GrantSlot& slot) {
  return Json{{"worker", slot.worker.value()},
              {"incarnation", slot.incarnation.value()},
              {"zone", slot.zone.value()},
              {"generation", slot.generation.value()},
              {"state", slot.state == SlotState::kGranted ? "granted" : "revoking"}};
}

bool ReadSlotState(const Json& json, SlotState* state) {
  std::string name;
  if (!ReadText(json, "state", &name)) {
    return false;
  }
  if (name != "granted" && name != "revoking") {
    return false;
  }
  *state = name == "granted" ? SlotState::kGranted : SlotState::kRevoking;
  return true;
}

bool ReadSlot(const Json& json, GrantSlot* slot) {
  return json.is_object() && ReadName(json, "worker", &slot->worker) && !slot->worker.empty() &&
         ReadCounter(json, "incarnation", &slot->incarnation) &&
         ReadName(json, "zone", &slot->zone) &&
         ReadCounter(json, "generation", &slot->generation) && ReadSlotState(json, &slot->state);
}

Json GrantToJson(const GrantRecord& grant) {
  Json slots = Json::array();
  for (const GrantSlot& slot : grant.slots) {
    slots.push_back(SlotToJson(slot));
  }
  return Json{{"model", grant.model.value()},
              {"next_generation", grant.next_generation.value()},
              {"slots", std::move(slots)}};
}

// Returns the member `field` if it is an array, otherwise null.
const Json* FindArray(const Json& json, const char* field) {
  const auto found = json.find(field);
  return found != json.end() && found->is_array() ? &*found : nullptr;
}

Result<Record> GrantFromJson(const Json& json) {
  GrantRecord grant;
  const Json* slots = FindArray(json, "slots");
  // A record without its counter would issue generations a second time.
  if (slots == nullptr || !json.contains("next_generation") ||
      !ReadName(json, "model", &grant.model) ||
      !ReadCounter(json, "next_generation", &grant.next_generation)) {
    return Error::kMalformed;
  }
  for (const Json& item : *slots) {
    GrantSlot slot;
    if (!ReadSlot(item, &slot)) {
      return Error::kMalformed;
    }
    grant.slots.push_back(std::move(slot));
  }
  return Record(std::move(grant));
}

// --- Key ranges

Json SegmentToJson(const ClaimSegment& segment) {
  return Json{{"from_ms", segment.from_ms},
              {"owner", segment.owner.value()},
              {"incarnation", segment.incarnation.value()},
              {"zone", segment.zone.value()}};
}

bool ReadSegment(const Json& json, ClaimSegment* segment) {
  return json.is_object() && json.contains("from_ms") &&
         ReadWide(json, "from_ms", &segment->from_ms) && ReadName(json, "owner", &segment->owner) &&
         !segment->owner.empty() && ReadCounter(json, "incarnation", &segment->incarnation) &&
         ReadName(json, "zone", &segment->zone);
}

Json ClaimToJson(const ClaimRangeRecord& claim) {
  Json segments = Json::array();
  for (const ClaimSegment& segment : claim.segments) {
    segments.push_back(SegmentToJson(segment));
  }
  return Json{{"range", claim.range.value()},
              {"segments", std::move(segments)},
              {"until_ms", claim.until_ms}};
}

Result<Record> ClaimFromJson(const Json& json) {
  ClaimRangeRecord claim;
  const Json* segments = FindArray(json, "segments");
  if (segments == nullptr || !json.contains("until_ms") ||
      !ReadCounter(json, "range", &claim.range) || !ReadWide(json, "until_ms", &claim.until_ms)) {
    return Error::kMalformed;
  }
  for (const Json& item : *segments) {
    ClaimSegment segment;
    if (!ReadSegment(item, &segment)) {
      return Error::kMalformed;
    }
    claim.segments.push_back(std::move(segment));
  }
  return Record(std::move(claim));
}

// --- Kinds of keys

Result<Record> RowRecordFromJson(const Json& json) {
  Result<ModelRow> row = RowFromJson(json);
  if (!row.ok()) {
    return row.error();
  }
  return Record(*std::move(row));
}

Result<Record> RecordFromJson(std::string_view key, const Json& json) {
  if (key.starts_with(kRowPrefix)) {
    return RowRecordFromJson(json);
  }
  if (key.starts_with(kGrantPrefix)) {
    return GrantFromJson(json);
  }
  if (key.starts_with(kClaimPrefix)) {
    return ClaimFromJson(json);
  }
  return Error::kMalformed;
}

struct RecordKeyOf {
  std::string operator()(const ModelRow& row) const { return RowKey(row.name); }
  std::string operator()(const GrantRecord& grant) const { return GrantKey(grant.model); }
  std::string operator()(const ClaimRangeRecord& claim) const { return ClaimKey(claim.range); }
};

struct RecordJsonOf {
  Json operator()(const ModelRow& row) const { return RowToJson(row); }
  Json operator()(const GrantRecord& grant) const { return GrantToJson(grant); }
  Json operator()(const ClaimRangeRecord& claim) const { return ClaimToJson(claim); }
};

}  // namespace

std::string EncodeRecord(const Record& record) {
  const Json json = std::visit(RecordJsonOf{}, record);
  // Invalid UTF-8 is replaced rather than rejected, as names are validated before this point.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Record> DecodeRecord(std::string_view key, std::string_view text) {
  const Json json = ParseJson(text);
  if (!json.is_object()) {
    return Error::kMalformed;
  }
  Result<Record> record = RecordFromJson(key, json);
  if (record.ok() && std::visit(RecordKeyOf{}, *record) != key) {
    return Error::kMalformed;
  }
  return record;
}

nlohmann::json RowToJson(const ModelRow& row) {
  Json weights = Json::object();
  for (const auto& [zone, weight] : row.weights) {
    weights[zone.value()] = weight;
  }
  return Json{{"name", row.name.value()},         {"kind", RowKindName(row.kind)},
              {"base", row.base.value()},         {"checkpoint", row.checkpoint},
              {"memory_mib", row.memory_mib},     {"max_replicas", row.max_replicas},
              {"min_replicas", row.min_replicas}, {"max_wait_ms", row.max_wait_ms},
              {"max_queue", row.max_queue},       {"max_concurrency", row.max_concurrency},
              {"idle_ms", row.idle_ms},           {"weights", std::move(weights)},
              {"edit", row.edit.value()},         {"editor", row.editor}};
}

Result<ModelRow> RowFromJson(const nlohmann::json& json) {
  ModelRow row;
  if (!json.is_object() || !ReadRow(json, &row) || row.name.empty()) {
    return Error::kMalformed;
  }
  return row;
}

std::string_view RowKindName(RowKind kind) {
  switch (kind) {
    case RowKind::kModel:
      return "model";
    case RowKind::kAdapter:
      return "adapter";
    case RowKind::kVersion:
      return "version";
  }
  return "unknown";
}

}  // namespace hingespan
