#include "hingespan/fleet/fleet_rows.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "hingespan/common/json_decoding.h"

namespace hingespan::gateway {
namespace {

using Json = nlohmann::json;

// The strict handler, which is the default, throws for bytes that are no UTF-8.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string EncodeNodeRow(const NodeAnnouncement& announcement) {
  const FleetNode& node = announcement.node;
  return Dump({{"address", node.datagram_address},
               {"copies", node.address},
               {"forward", node.forward_address},
               {"zone", node.zone},
               {"link_mbps", node.link_mbps},
               {"incarnation", node.incarnation},
               {"answers_probes", announcement.answers_probes}});
}

Result<NodeAnnouncement> DecodeNodeRow(const std::string& name, const std::string& value) {
  return DecodeJson<NodeAnnouncement>(ParseJson(value), [&name](const Json& json) {
    NodeAnnouncement read;
    read.node.name = name;
    read.node.datagram_address = json.at("address").get<std::string>();
    read.node.address = json.value("copies", "");
    read.node.forward_address = json.value("forward", "");
    read.node.zone = json.value("zone", "");
    read.node.link_mbps = ReadNumber<double>(json, "link_mbps", 0);
    read.node.incarnation = ReadNumber<std::uint64_t>(json, "incarnation", 0);
    read.answers_probes = json.value("answers_probes", false);
    return read;
  });
}

std::string EncodeLeaseRow(const LeaseRecord& record) {
  return Dump({{"holder", record.holder},
               {"incarnation", record.incarnation},
               {"address", record.address},
               {"token", record.token},
               {"loads_at_once", record.weight_store.limit},
               {"slow_load_seen", record.weight_store.settled}});
}

Result<LeaseRecord> DecodeLeaseRow(const std::string& value) {
  return DecodeJson<LeaseRecord>(ParseJson(value), [](const Json& json) {
    LeaseRecord record;
    record.holder = json.at("holder").get<std::string>();
    record.incarnation = ReadNumber<std::uint64_t>(json.at("incarnation"));
    record.address = json.at("address").get<std::string>();
    record.token = ReadNumber<std::uint64_t>(json.at("token"));
    record.weight_store = {ReadNumber<double>(json, "loads_at_once", 0),
                           json.value("slow_load_seen", false)};
    return record;
  });
}

std::string EncodeVersionsRow(const std::set<std::string>& versions) {
  return Dump(Json(versions));
}

Result<std::set<std::string>> DecodeVersionsRow(const std::string& value) {
  return DecodeJson<std::set<std::string>>(ParseJson(value), [](const Json& json) {
    std::set<std::string> versions;
    for (const Json& version : RequireArray(json)) {
      if (version.is_string()) {
        versions.insert(version.get<std::string>());
      }
    }
    return versions;
  });
}

// A row names each source once: [[[service, version], ...], [[stream, source, expiry in s], ...]].
std::string EncodeStreamsRow(const ArchivedStreams& streams) {
  Json sources = Json::array();
  Json list = Json::array();
  for (const auto& [id, stream] : streams) {
    const Json source = Json::array({stream.source.service, stream.source.software_version});
    auto known = std::find(sources.begin(), sources.end(), source);
    if (known == sources.end()) {
      sources.push_back(source);
      known = std::prev(sources.end());
    }
    list.push_back(Json::array(
        {id, std::distance(sources.begin(), known), absl::ToUnixSeconds(stream.expires)}));
  }
  return Dump(Json::array({std::move(sources), std::move(list)}));
}

Result<ArchivedStreams> DecodeStreamsRow(const std::string& value) {
  return DecodeJson<ArchivedStreams>(ParseJson(value), [](const Json& json) {
    ArchivedStreams streams;
    for (const Json& stream : RequireArray(json.at(1))) {
      const Json& source = json.at(0).at(ReadNumber<std::uint64_t>(stream.at(1)));
      streams[stream.at(0).get<std::string>()] = {
          {source.at(0).get<std::string>(), source.at(1).get<std::string>()},
          absl::FromUnixSeconds(ReadNumber<std::int64_t>(stream.at(2)))};
    }
    return streams;
  });
}

// In CBOR, as parts may be any bytes: [service, parts, wall-clock time of the first crash in ms,
// provisional].
std::string EncodeQuarantineRow(const RecordedQuarantine& quarantine) {
  std::string bytes;
  Json::to_cbor(Json::array({quarantine.service, Json(quarantine.parts),
                             absl::ToUnixMillis(quarantine.since), quarantine.provisional}),
                bytes);
  return bytes;
}

Result<RecordedQuarantine> DecodeQuarantineRow(const std::string& value) {
  return DecodeJson<RecordedQuarantine>(ParseCbor(value), [](const Json& json) {
    RecordedQuarantine read;
    read.service = json.at(0).get<std::string>();
    read.parts = json.at(1).get<PromptPartIds>();
    read.since = absl::FromUnixMillis(ReadNumber<std::int64_t>(json.at(2)));
    read.provisional = json.at(3).get<bool>();
    if (read.parts.empty()) {
      throw DecodeError("a quarantine without parts");
    }
    return read;
  });
}

}  // namespace hingespan::gateway
