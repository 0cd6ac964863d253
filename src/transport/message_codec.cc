#include "hingespan/transport/message_codec.h"

#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "hingespan/common/cbor_check.h"
#include "message_fields.h"
#include "uuid_bytes.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

// --- Encoding -----------------------------------------------------------------------------------
// One overload for each kind of field. All are declared first, as they call each other.

template <typename T>
requires std::is_arithmetic_v<T> Json Encode(T value);
template <typename T>
requires std::is_enum_v<T> Json Encode(T value);
Json Encode(const std::string& value);
Json Encode(const IdempotencyKey& key);
template <typename Tag>
Json Encode(const NamedId<Tag>& id);
template <typename Tag>
Json Encode(const CounterId<Tag>& id);
template <typename T>
Json Encode(const std::vector<T>& values);
template <typename Key, typename Value>
Json Encode(const std::map<Key, Value>& values);
template <typename T>
Json Encode(const std::optional<T>& value);
template <typename... Ts>
Json Encode(const std::variant<Ts...>& value);
template <HasFields T>
Json Encode(const T& value);

template <typename T>
requires std::is_arithmetic_v<T> Json Encode(T value) { return value; }

template <typename T>
requires std::is_enum_v<T> Json Encode(T value) { return static_cast<std::uint64_t>(value); }

Json Encode(const std::string& value) { return value; }

// Most keys are UUIDs and packed into bytes; other keys are encoded as text.
Json Encode(const IdempotencyKey& key) {
  if (std::optional<std::vector<std::uint8_t>> bytes = PackUuid(key.value())) {
    return Json::binary(*std::move(bytes));
  }
  return key.value();
}

template <typename Tag>
Json Encode(const NamedId<Tag>& id) {
  return id.value();
}

template <typename Tag>
Json Encode(const CounterId<Tag>& id) {
  return id.value();
}

template <typename T>
Json Encode(const std::vector<T>& values) {
  Json array = Json::array();
  for (const T& value : values) {
    array.push_back(Encode(value));
  }
  return array;
}

// Encodes a map as an array of alternating keys and values.
template <typename Key, typename Value>
Json Encode(const std::map<Key, Value>& values) {
  Json array = Json::array();
  for (const auto& [key, value] : values) {
    array.push_back(Encode(key));
    array.push_back(Encode(value));
  }
  return array;
}

template <typename T>
Json Encode(const std::optional<T>& value) {
  if (!value) {
    return nullptr;
  }
  return Encode(*value);
}

// Encodes a variant as the index of its alternative and its value.
template <typename... Ts>
Json Encode(const std::variant<Ts...>& value) {
  Json array = Json::array();
  array.push_back(value.index());
  array.push_back(std::visit([](const auto& alternative) { return Encode(alternative); }, value));
  return array;
}

template <HasFields T>
Json Encode(const T& value) {
  Json array = Json::array();
  std::apply([&](auto... fields) { (array.push_back(Encode(value.*fields)), ...); }, kFields<T>);
  return array;
}

// --- Decoding -----------------------------------------------------------------------------------
// Each overload checks type and bounds and returns false if they do not match.

bool Decode(const Json& json, bool* value);
template <typename T>
requires std::is_unsigned_v<T>
bool Decode(const Json& json, T* value);
template <typename T>
requires std::is_enum_v<T>
bool Decode(const Json& json, T* value);
bool Decode(const Json& json, std::string* value);
bool Decode(const Json& json, IdempotencyKey* key);
template <typename Tag>
bool Decode(const Json& json, NamedId<Tag>* id);
template <typename Tag>
bool Decode(const Json& json, CounterId<Tag>* id);
template <typename T>
bool Decode(const Json& json, std::vector<T>* values);
template <typename Key, typename Value>
bool Decode(const Json& json, std::map<Key, Value>* values);
template <typename T>
bool Decode(const Json& json, std::optional<T>* value);
template <typename... Ts>
bool Decode(const Json& json, std::variant<Ts...>* value);
template <HasFields T>
bool Decode(const Json& json, T* value);

bool Decode(const Json& json, bool* value) {
  if (!json.is_boolean()) {
    return false;
  }
  *value = json.get<bool>();
  return true;
}

template <typename T>
requires std::is_unsigned_v<T>
bool Decode(const Json& json, T* value) {
  if (!json.is_number_unsigned()) {
    return false;
  }
  const auto wide = json.get<std::uint64_t>();
  if (wide > std::numeric_limits<T>::max()) {
    return false;
  }
  *value = static_cast<T>(wide);
  return true;
}

template <typename T>
requires std::is_enum_v<T>
bool Decode(const Json& json, T* value) {
  std::uint64_t number = 0;
  if (!Decode(json, &number) || number > static_cast<std::uint64_t>(kLastValue<T>)) {
    return false;
  }
  *value = static_cast<T>(number);
  return true;
}

bool Decode(const Json& json, std::string* value) {
  if (!json.is_string()) {
    return false;
  }
  *value = json.get_ref<const std::string&>();
  return true;
}

bool Decode(const Json& json, IdempotencyKey* key) {
  std::string text;
  if (json.is_binary() && json.get_binary().size() == kUuidBytes) {
    text = UuidText(json.get_binary());
  } else if (!Decode(json, &text)) {
    return false;
  }
  *key = IdempotencyKey(std::move(text));
  return true;
}

template <typename Tag>
bool Decode(const Json& json, NamedId<Tag>* id) {
  std::string value;
  if (!Decode(json, &value)) {
    return false;
  }
  *id = NamedId<Tag>(std::move(value));
  return true;
}

template <typename Tag>
bool Decode(const Json& json, CounterId<Tag>* id) {
  std::uint64_t value = 0;
  if (!Decode(json, &value)) {
    return false;
  }
  *id = CounterId<Tag>(value);
  return true;
}

template <typename T>
bool Decode(const Json& json, std::vector<T>* values) {
  if (!json.is_array()) {
    return false;
  }
  for (const Json& element : json) {
    T value;
    if (!Decode(element, &value)) {
      return false;
    }
    values->push_back(std::move(value));
  }
  return true;
}

template <typename Key, typename Value>
bool Decode(const Json& json, std::map<Key, Value>* values) {
  if (!json.is_array() || json.size() % 2 != 0) {
    return false;
  }
  for (std::size_t index = 0; index < json.size(); index += 2) {
    Key key;
    Value value{};
    if (!Decode(json[index], &key) || !Decode(json[index + 1], &value)) {
      return false;
    }
    if (!values->emplace(std::move(key), std::move(value)).second) {
      return false;
    }
  }
  return true;
}

template <typename T>
bool Decode(const Json& json, std::optional<T>* value) {
  if (json.is_null()) {
    value->reset();
    return true;
  }
  return Decode(json, &value->emplace());
}

template <typename Variant, std::size_t index = 0>
bool DecodeAlternative(std::uint64_t wanted, const Json& json, Variant* value) {
  if constexpr (index == std::variant_size_v<Variant>) {
    return false;
  } else {
    if (wanted != index) {
      return DecodeAlternative<Variant, index + 1>(wanted, json, value);
    }
    return Decode(json, &value->template emplace<index>());
  }
}

template <typename... Ts>
bool Decode(const Json& json, std::variant<Ts...>* value) {
  std::uint64_t index = 0;
  if (!json.is_array() || json.size() != 2 || !Decode(json[0], &index)) {
    return false;
  }
  return DecodeAlternative(index, json[1], value);
}

std::string KeyOf(const ModelRow& row) { return RowKey(row.name); }
std::string KeyOf(const GrantRecord& grant) { return GrantKey(grant.model); }
std::string KeyOf(const ClaimRangeRecord& claim) { return ClaimKey(claim.range); }

template <typename T>
bool IsConsistent(const T& /*value*/) {
  return true;
}

// Returns whether a record is stored under its own key.
bool IsConsistent(const RecordChange& change) {
  return !change.record ||
         std::visit([](const auto& record) { return KeyOf(record); }, *change.record) == change.key;
}

template <HasFields T>
bool Decode(const Json& json, T* value) {
  if (!json.is_array() || json.size() != std::tuple_size_v<decltype(kFields<T>)>) {
    return false;
  }
  std::size_t index = 0;
  const bool fits =
      std::apply([&](auto... fields) { return (Decode(json[index++], &(value->*fields)) && ...); },
                 kFields<T>);
  return fits && IsConsistent(*value);
}

std::string ToBytes(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

}  // namespace

std::string EncodeEnvelope(const Envelope& envelope) { return ToBytes(Encode(envelope)); }

Result<Envelope> DecodeEnvelope(std::string_view bytes) {
  if (!IsPlainCbor(bytes)) {
    return Error::kMalformed;
  }
  constexpr bool kWholeInput = true;
  constexpr bool kThrow = false;
  const Json json = Json::from_cbor(bytes.begin(), bytes.end(), kWholeInput, kThrow);
  Envelope envelope;
  if (json.is_discarded() || !Decode(json, &envelope)) {
    return Error::kMalformed;
  }
  return envelope;
}

std::size_t EncodedSize(const RecordChange& change) { return ToBytes(Encode(change)).size(); }

}  // namespace hingespan
