// Everything that decodes what other programs wrote, with mutated texts from a fixed seed: decoding
// ends in a value or an error, never in an exception.
#include <doctest/doctest.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "hingespan/common/json_decoding.h"
#include "hingespan/engine/engine_json.h"
#include "hingespan/fleet/copy_answer.h"
#include "hingespan/fleet/fleet_messages.h"
#include "hingespan/fleet/fleet_rows.h"
#include "hingespan/table/record_codec.h"
#include "hingespan/table/records.h"
#include "hingespan/transport/message_codec.h"
#include "platform/deployment_rows.h"
#include "platform/store_answers.h"
#include "platform/worker_orders.h"
#include "tests/foreign_entries/odd_texts.h"

namespace hingespan::foreign_entries {
namespace {

using Json = nlohmann::json;
using gateway::FleetMessage;

constexpr unsigned kSeed = 20261207;
constexpr int kMutationsPerSample = 4000;

// Returns whether the text could be decoded.
using Decoder = std::function<bool(const std::string& text)>;

struct Target {
  const char* name;
  Decoder decode;
  std::vector<std::string> samples;
};

std::string Cbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

gateway::StoreRow RowWith(const std::string& value) { return {"t", "i-1", value, 3, false}; }

std::vector<std::string> FleetMessageSamples() {
  const gateway::StreamSource source{"s", "v1"};
  gateway::SlotRequest request;
  request.worker_id = "w";
  request.borrower = {"n", 1, "a:1"};
  request.wanted_tokens = 1.5;
  const std::vector<FleetMessage> messages = {
      gateway::DemandReport{"n1",
                            5,
                            9,
                            {{"s", "m", "a1", 1, 2, 3, 900}},
                            {{"w1", 4, 500, {{"m", 3}}}},
                            {"w7"},
                            {{"s", "v1.1", "m", "a1", 2}}},
      gateway::PlacementUpdate{"n1",
                               "1.2.3.4:5",
                               7,
                               2,
                               {{"w1", "m", "", gateway::ReplicaState::kLoading, 40}},
                               {},
                               {{{"n2", 9}}}},
      gateway::StreamNotice{"id", source, 700},
      gateway::StreamQuestion{"id", "s", "a:1", 7},
      gateway::StreamReply{"id", 7, "n2", source, {"v1"}},
      gateway::CrashNotice{"w", "s", {"p1", "p2"}, "a:1", {7}},
      gateway::QuarantineNotice{"s", {"p"}, {"w"}, 5, 6, "a:1", true, "id"},
      gateway::ClearedParts{"s", {"p"}, true},
      request,
      gateway::SlotReply{"w", 4, true},
      gateway::ServedRequests{{7, 8}, true},
      gateway::BrittleNotice{"s", 3}};
  std::vector<std::string> samples;
  for (const FleetMessage& message : messages) {
    samples.push_back(EncodeFleetMessage(message));
  }
  return samples;
}

std::vector<Target> PlatformTargets() {
  const gateway::platform::DeploymentRows rows;
  const std::string worker =
      R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":64,"state":"draining",
          "remaining_ms":2000,"version":"v","models":[{"name":"m1","adapters":["a1",{"name":"b"}]}],
          "available":{"in_memory":["m2"],"on_disk":["m1",{"name":"m2"}]}})";
  const std::string configuration =
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"streaming",
          "timeout_ms":25000,"priority":2,"max_attempts":1,"resumable":true,
          "traffic_split":[{"service":"s1","weight":90}]}],
          "services":[{"name":"s1","max_connections":360,"engine":{"slots":64,"loads_per_s":2.2,
          "kv_capacity_tokens":130679,"models":[{"name":"m1","load_s":3.9,"adapters":4}]}}],
          "limits":{"max_header_bytes":16384,"max_body_bytes":4194304}})";
  const std::string report =
      R"({"models":[{"name":"m","adapters":["a"]}],"busy":true,"sequence":7,"waiting":1,
          "running":2,"pending":["a@m",7]})";
  const std::string page =
      R"({"rows":[{"table":"t","part":"p","private_key":"k","ver":3,"value":"dg=="},
          {"table":"t","part":"p","private_key":"l","ver":4,"is_gone":true}],
          "ver":9,"now_ms":5,"has_more":true})";
  return {{"worker row",
           [rows](const auto& text) { return rows.ReadWorker(RowWith(text)).ok(); },
           {worker}},
          {"configuration row",
           [rows](const auto& text) { return rows.ReadConfiguration(RowWith(text)).ok(); },
           {configuration}},
          {"report",
           [](const auto& text) { return gateway::platform::DecodeWorkerReport(text).ok(); },
           {report}},
          {"store page",
           [](const auto& text) { return gateway::platform::DecodeStorePage(text, "p").ok(); },
           {page}},
          {"store version",
           [](const auto& text) { return gateway::platform::DecodeStoreVersion(text).ok(); },
           {R"({"ver":9,"now_ms":5})"}}};
}

std::vector<Target> FleetTargets() {
  const gateway::NodeAnnouncement node{{"n", "z", "a:1", 10.5, "a:2", "a:3", 7}, true};
  const gateway::LeaseRecord lease{"n", 1, "a:1", 5, {2.5, true}};
  const absl::Time time = absl::FromUnixSeconds(1000);
  return {
      {"node row",
       [](const auto& text) { return gateway::DecodeNodeRow("n", text).ok(); },
       {EncodeNodeRow(node)}},
      {"lease row",
       [](const auto& text) { return gateway::DecodeLeaseRow(text).ok(); },
       {EncodeLeaseRow(lease)}},
      {"versions row",
       [](const auto& text) { return gateway::DecodeVersionsRow(text).ok(); },
       {gateway::EncodeVersionsRow({"v1", "v2"})}},
      {"streams row",
       [](const auto& text) { return gateway::DecodeStreamsRow(text).ok(); },
       {gateway::EncodeStreamsRow({{"id", {{"s", "v"}, time}}, {"jd", {{"t", "w"}, time}}})}},
      {"quarantine row",
       [](const auto& text) { return gateway::DecodeQuarantineRow(text).ok(); },
       {gateway::EncodeQuarantineRow({"s", {"p", "q\xff"}, time, true})}},
      {"copy of a table",
       [](const auto& text) { return gateway::DecodeCopyAnswer("t", text).ok(); },
       {gateway::EncodeCopyAnswer(
           {{{RowWith("v"), RowWith("\xff")}, 9}, absl::Seconds(1), absl::Seconds(2)})}},
      {"datagram", [](const auto& text) { return gateway::DecodeFleetMessage(text).has_value(); },
       FleetMessageSamples()}};
}

std::vector<Target> NodeTargets() {
  const std::string status =
      R"({"incarnation":1,"epoch":2,"role":"both","memory_mib":100,"running":1,
          "replicas":[{"model":"m","generation":3,"state":"ready","memory_mib":5}],
          "cached":[{"checkpoint":"c","tier":"disk"}]})";
  const std::string chunk =
      R"({"sequence":1,"text":"x","last":true,"finish_reason":"stop","prompt_tokens":5})";
  return {
      {"engine status", [](const auto& text) { return DecodeEngineStatus(text).ok(); }, {status}},
      {"chunk", [](const auto& text) { return DecodeGenerationChunk(text).ok(); }, {chunk}},
      {"envelope",
       [](const auto& text) { return DecodeEnvelope(text).ok(); },
       {EncodeEnvelope(Envelope{})}},
      {"record of a row",
       [](const auto& text) { return DecodeRecord(RowKey(ModelName("m")), text).ok(); },
       {R"({"name":"m","kind":"model","memory_mib":5,"weights":{"z":1}})"}}};
}

std::string Mutated(std::string text, std::mt19937* random) {
  const auto below = [random](std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(*random);
  };
  const std::vector<std::string> members = OddMembers();
  for (std::size_t changes = 1 + below(3); changes > 0; --changes) {
    const std::size_t at = below(text.size() + 1);
    const std::size_t length = below(8);
    switch (below(6)) {
      case 0:
        text.insert(at, 1, static_cast<char>(below(256)));
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.replace(at, length, members[below(members.size())]);
        break;
      case 3:
        text.insert(at, text.substr(below(text.size() + 1), length));
        break;
      case 4:
        text.resize(at);
        break;
      default:
        if (at < text.size()) {
          text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
        }
        break;
    }
  }
  return text;
}

// Replaces each scalar, and each array and object, by each odd member.
void CollectReplacements(const Json& whole, const Json::json_pointer& at,
                         std::vector<Json>* replaced) {
  static const std::vector<Json> kValues = {
      7,  -1,      1e30,           18446744073709551615U, -1e30,           true, nullptr, "x",
      "", 1.5e300, Json::object(), Json::array(),         Json::array({7})};
  for (const Json& value : kValues) {
    replaced->push_back(whole);
    replaced->back()[at] = value;
  }
  const Json& here = whole[at];
  if (!here.is_structured()) {
    return;
  }
  for (const auto& [key, value] : here.items()) {
    CollectReplacements(whole, here.is_array() ? at / std::stoul(key) : at / key, replaced);
  }
}

std::vector<std::string> Replacements(const std::string& sample) {
  std::vector<Json> replaced;
  const Json json = ParseJson(sample);
  const Json cbor = ParseCbor(sample);
  std::vector<std::string> texts;
  if (!json.is_discarded()) {
    CollectReplacements(json, Json::json_pointer(), &replaced);
    for (const Json& each : replaced) {
      texts.push_back(each.dump());
    }
  } else if (!cbor.is_discarded()) {
    CollectReplacements(cbor, Json::json_pointer(), &replaced);
    for (const Json& each : replaced) {
      texts.push_back(Cbor(each));
    }
  }
  return texts;
}

void CheckDecoder(const Target& target) {
  CAPTURE(target.name);
  std::mt19937 random(kSeed);
  for (const std::string& sample : target.samples) {
    CHECK(target.decode(sample));
    std::vector<std::string> texts = Replacements(sample);
    CHECK(!texts.empty());
    for (int number = 0; number < kMutationsPerSample; ++number) {
      texts.push_back(Mutated(sample, &random));
    }
    int thrown = 0;
    for (const std::string& text : texts) {
      try {
        (void)target.decode(text);
      } catch (const std::exception& error) {
        ++thrown;
        MESSAGE(error.what(), ": ", text.substr(0, 300));
      }
    }
    CHECK(thrown == 0);
  }
  for (const std::string& value : OddValues()) {
    CAPTURE(value.substr(0, 100));
    CHECK_NOTHROW((void)target.decode(value));
  }
}

}  // namespace

TEST_CASE("decoders of the platform's rows, answers and reports throw nothing") {
  for (const Target& target : PlatformTargets()) {
    CheckDecoder(target);
  }
}

TEST_CASE("decoders of the nodes' rows, answers and datagrams throw nothing") {
  for (const Target& target : FleetTargets()) {
    CheckDecoder(target);
  }
}

TEST_CASE("decoders of engines, records and envelopes throw nothing") {
  for (const Target& target : NodeTargets()) {
    CheckDecoder(target);
  }
}

}  // namespace hingespan::foreign_entries
