#include "hingespan/transport/message_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "hingespan/transport/reply_address.h"
#include "src/transport/message_fields.h"
#include "tests/rapidcheck_seed.h"

namespace hingespan {
namespace {

// --- Random messages: every field of every message gets a random value --------------------------

void Fill(bool* value) { *value = *rc::gen::arbitrary<bool>(); }
void Fill(std::uint32_t* value) { *value = *rc::gen::arbitrary<std::uint32_t>(); }
void Fill(std::uint64_t* value) { *value = *rc::gen::arbitrary<std::uint64_t>(); }
void Fill(std::string* value) {
  *value = *rc::gen::element<std::string>("", "n1", "127.0.0.1:7000", "modèle-ü", "a/b c",
                                          std::string(300, 'x'));
}
template <typename T>
requires std::is_enum_v<T>
void Fill(T* value) {
  *value = static_cast<T>(*rc::gen::inRange(0, static_cast<int>(kLastValue<T>) + 1));
}
template <typename Tag>
void Fill(NamedId<Tag>* id) {
  std::string value;
  Fill(&value);
  *id = NamedId<Tag>(value);
}
template <typename Tag>
void Fill(CounterId<Tag>* id) {
  *id = CounterId<Tag>(*rc::gen::arbitrary<std::uint64_t>());
}
void Fill(std::map<ZoneId, std::uint32_t>* weights) {
  (*weights)[ZoneId("z1")] = *rc::gen::arbitrary<std::uint32_t>();
}
template <HasFields T>
void Fill(T* value);
template <typename T>
void Fill(std::vector<T>* values) {
  values->resize(*rc::gen::inRange(0, 3));
  for (T& value : *values) {
    Fill(&value);
  }
}
template <std::size_t index = 0, typename... Ts>
void FillAlternative(std::size_t wanted, std::variant<Ts...>* value) {
  if constexpr (index < sizeof...(Ts)) {
    if (wanted == index) {
      Fill(&value->template emplace<index>());
    } else {
      FillAlternative<index + 1>(wanted, value);
    }
  }
}
void Fill(Message* message) {
  FillAlternative(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<Message>), message);
}
void Fill(std::optional<Record>* record) {
  if (*rc::gen::arbitrary<bool>()) {
    FillAlternative(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<Record>),
                    &record->emplace());
  }
}
void FixKey(RecordChange* change) {
  if (!change->record) {
    return;
  }
  if (const auto* row = std::get_if<ModelRow>(&*change->record)) {
    change->key = RowKey(row->name);
  } else if (const auto* grant = std::get_if<GrantRecord>(&*change->record)) {
    change->key = GrantKey(grant->model);
  } else {
    change->key = ClaimKey(std::get<ClaimRangeRecord>(*change->record).range);
  }
}
template <HasFields T>
void Fill(T* value) {
  std::apply([value](auto... fields) { (Fill(&(value->*fields)), ...); }, kFields<T>);
  if constexpr (std::is_same_v<T, RecordChange>) {
    FixKey(value);
  }
}

// --- Field-by-field equality, as messages have no operator== ------------------------------------

template <typename T>
bool Same(const T& left, const T& right);
template <typename T>
bool Same(const std::vector<T>& left, const std::vector<T>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const T& a, const T& b) { return Same(a, b); });
}
bool Same(const Message& left, const Message& right) {
  return left.index() == right.index() &&
         std::visit(
             [&right](const auto& message) {
               return Same(message, std::get<std::decay_t<decltype(message)>>(right));
             },
             left);
}
template <typename T>
bool Same(const T& left, const T& right) {
  if constexpr (HasFields<T>) {
    return std::apply([&](auto... fields) { return (Same(left.*fields, right.*fields) && ...); },
                      kFields<T>);
  } else {
    return left == right;
  }
}

Envelope EnvelopeOf(Message message) {
  return {NodeId("n1"), NodeIncarnation(7), ZoneId("z1"), "127.0.0.1:1", std::move(message)};
}

template <std::size_t index = 0>
void CheckEachAlternative() {
  if constexpr (index < std::variant_size_v<Message>) {
    const Envelope sent = EnvelopeOf(Message(std::in_place_index<index>));
    const Result<Envelope> received = DecodeEnvelope(EncodeEnvelope(sent));
    REQUIRE(received.ok());
    CHECK(received->message.index() == index);
    CHECK(Same(sent, *received));
    CheckEachAlternative<index + 1>();
  }
}

TEST_CASE("every message with default fields survives a round trip") { CheckEachAlternative(); }

TEST_CASE("every message with random fields survives a round trip") {
  CHECK(rc::check("round trip", [] {
    Envelope sent;
    Fill(&sent);
    const Result<Envelope> received = DecodeEnvelope(EncodeEnvelope(sent));
    RC_ASSERT(received.ok());
    RC_ASSERT(Same(sent, *received));
  }));
}

TEST_CASE("every truncation is malformed") {
  CHECK(rc::check("truncation", [] {
    Envelope sent;
    Fill(&sent);
    const std::string bytes = EncodeEnvelope(sent);
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(DecodeEnvelope(std::string_view(bytes).substr(0, length)).error() ==
              Error::kMalformed);
  }));
}

TEST_CASE("modified bytes are malformed or decode to an envelope that survives a round trip") {
  CHECK(rc::check("mutation", [] {
    Envelope sent;
    Fill(&sent);
    std::string bytes = EncodeEnvelope(sent);
    const int changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes; ++change) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    const Result<Envelope> received = DecodeEnvelope(bytes);
    if (!received.ok()) {
      RC_ASSERT(received.error() == Error::kMalformed);
      return;
    }
    const Result<Envelope> again = DecodeEnvelope(EncodeEnvelope(*received));
    RC_ASSERT(again.ok());
    RC_ASSERT(Same(*received, *again));
  }));
}

TEST_CASE("random bytes never throw") {
  CHECK(rc::check("random bytes", [](const std::string& bytes) {
    const Result<Envelope> received = DecodeEnvelope(bytes);
    RC_ASSERT(received.ok() || received.error() == Error::kMalformed);
  }));
}

TEST_CASE("input that is harmful to a general CBOR parser is malformed") {
  const std::vector<std::string> harmful = {
      "",
      std::string(60000, '\x81'),              // Deeply nested arrays.
      std::string(60000, '\x7f'),              // Deeply nested indefinite text.
      std::string(60000, '\x9f'),              // Deeply nested indefinite arrays.
      std::string(60000, '\xc1'),              // A chain of tags.
      "\x9b\xff\xff\xff\xff\xff\xff\xff\xff",  // An array of 2^64 - 1 elements.
      "\x7b\xff\xff\xff\xff\xff\xff\xff\xff",  // A text of 2^64 - 1 bytes.
      std::string(60000, '\x5f'),              // Deeply nested indefinite bytes.
      "\x5b\xff\xff\xff\xff\xff\xff\xff\xff",  // 2^64 - 1 bytes.
      "\xa1\x61\x61\x01",                      // A map.
      "\xf9\x3c",                              // Half of a half-precision number.
  };
  for (const std::string& bytes : harmful) {
    CHECK(DecodeEnvelope(bytes).error() == Error::kMalformed);
  }
}

std::string Cbor(const nlohmann::json& json) {
  std::string bytes;
  nlohmann::json::to_cbor(json, bytes);
  return bytes;
}

TEST_CASE("fields of a wrong type, range or count are malformed") {
  const auto envelope = [](nlohmann::json message) {
    return Cbor({"n1", 7, "z1", "127.0.0.1:1", std::move(message)});
  };
  using Json = nlohmann::json;
  // RecordFetch has index 6 and one unsigned field.
  CHECK(DecodeEnvelope(envelope(Json::array({6, Json::array({5})}))).ok());
  CHECK_FALSE(DecodeEnvelope(envelope(Json::array({6, Json::array({-5})}))).ok());
  CHECK_FALSE(DecodeEnvelope(envelope(Json::array({6, Json::array({"5"})}))).ok());
  CHECK_FALSE(DecodeEnvelope(envelope(Json::array({6, Json::array()}))).ok());
  CHECK_FALSE(DecodeEnvelope(envelope(Json::array({6, Json::array({5, 5})}))).ok());
  CHECK_FALSE(DecodeEnvelope(envelope(Json::array({99, Json::array({5})}))).ok());
  // ClaimReply has index 22; its last field is an enum of four values.
  CHECK(DecodeEnvelope(envelope(Json::array({22, Json::array({"k", "a", 3})}))).ok());
  CHECK_FALSE(DecodeEnvelope(envelope(Json::array({22, Json::array({"k", "a", 4})}))).ok());
  // Text that is not valid UTF-8.
  CHECK_FALSE(DecodeEnvelope(envelope(Json::array({22, Json::array({"\xff", "a", 3})}))).ok());
}

ClaimReply ReplyFor(const std::string& key) { return {IdempotencyKey(key), RequestId("a")}; }

TEST_CASE("a UUID key takes 17 bytes, and every key survives a round trip unchanged") {
  const std::string uuid = "0193f2a8-0c4e-7abc-8def-0123456789af";
  const auto bytes_of = [](const std::string& key) {
    return EncodeEnvelope(EnvelopeOf(ReplyFor(key))).size();
  };
  // An empty text takes one byte, a UUID 17.
  CHECK(bytes_of(uuid) == bytes_of("") + 16);
  for (const std::string& key :
       {uuid, std::string("0193F2A8-0C4E-7ABC-8DEF-0123456789AF"),
        std::string("0193f2a8-0c4e-7abc-8def-0123456789aF"),
        std::string("0193f2a80-c4e-7abc-8def-0123456789af"),
        std::string("0193f2a8-0c4e-7abc-8def-0123456789ag"),
        std::string("0193f2a8-0c4e-7abc-8def0-123456789af"),
        std::string("0193f2a8-0c4e-7abc-8def-0123456789a"), std::string(36, '-'),
        std::string(36, 'a'), std::string(16, 'a'), std::string("order 17")}) {
    const Result<Envelope> received = DecodeEnvelope(EncodeEnvelope(EnvelopeOf(ReplyFor(key))));
    REQUIRE(received.ok());
    CHECK(std::get<ClaimReply>(received->message).key.value() == key);
  }
}

TEST_CASE("bytes are accepted only for keys, and only 16 of them") {
  const auto reply = [](const nlohmann::json& key, const nlohmann::json& attempt) {
    const nlohmann::json message = {22, {key, attempt, 3}};
    return DecodeEnvelope(Cbor({"n1", 7, "z1", "", message}));
  };
  const auto bytes = [](std::size_t length) {
    return nlohmann::json::binary(std::vector<std::uint8_t>(length, 0xAB));
  };
  CHECK(reply(bytes(16), "a").ok());
  CHECK_FALSE(reply(bytes(15), "a").ok());
  CHECK_FALSE(reply(bytes(17), "a").ok());
  CHECK_FALSE(reply("k", bytes(16)).ok());
}

TEST_CASE("a message carries the address of its sender only if the reply is sent there") {
  CHECK(NeedsReplyAddress(Probe()));
  CHECK(NeedsReplyAddress(JoinRequest()));
  CHECK_FALSE(NeedsReplyAddress(ProbeAck()));
  CHECK_FALSE(NeedsReplyAddress(KeeperHeartbeat()));
  CHECK_FALSE(NeedsReplyAddress(ClaimRequest()));
}

TEST_CASE("a record under another record's key is malformed") {
  RecordChanges changes;
  changes.changes.push_back({"rows/other", TableRevision(1), ModelRow{ModelName("m1")}});
  CHECK_FALSE(DecodeEnvelope(EncodeEnvelope(EnvelopeOf(changes))).ok());
}

TEST_CASE("the encoded size of a change is the size that it adds to a message") {
  RecordChanges changes;
  const std::size_t empty = EncodeEnvelope(EnvelopeOf(changes)).size();
  const RecordChange change{"rows/m1", TableRevision(1), ModelRow{ModelName("m1")}};
  changes.changes.push_back(change);
  CHECK(EncodeEnvelope(EnvelopeOf(changes)).size() == empty + EncodedSize(change));
}

}  // namespace
}  // namespace hingespan
