#include "hingespan/fleet/fleet_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "hingespan/common/cbor_check.h"
#include "hingespan/common/json_decoding.h"

namespace hingespan::gateway {
namespace {

using Json = nlohmann::json;

// Messages are encoded as lists, since field names would take up most of a datagram. The order of
// entries is the protocol; the first entry is the message type.
constexpr int kDemandReport = 1;
constexpr int kPlacementUpdate = 2;
constexpr int kStreamNotice = 3;
constexpr int kStreamQuestion = 4;
constexpr int kStreamReply = 5;
constexpr int kCrashNotice = 6;
constexpr int kQuarantineNotice = 7;
constexpr int kClearedParts = 8;
constexpr int kQuarantineQuestion = 9;
constexpr int kSlotRequest = 10;
constexpr int kSlotReply = 11;
constexpr int kBrittleNotice = 12;
constexpr int kSlotTakeover = 13;
constexpr int kCrashRetraction = 14;
constexpr int kServedRequests = 15;
constexpr int kNodeProbe = 16;
constexpr int kNodeProbeReply = 17;

// Ids become parts of a row's key, of which the store takes 200 bytes.
constexpr std::size_t kMaxIdBytes = 128;

std::set<RequestContent> ReadContents(const Json& json) {
  std::set<RequestContent> contents;
  for (const Json& content : RequireArray(json)) {
    contents.insert(ReadNumber<std::uint64_t>(content));
  }
  return contents;
}

// Returns an empty id, like that of an earlier release, if it can't be part of a key.
std::string ReadQuarantineId(const Json& json) {
  std::string id = json.get<std::string>();
  return IsUtf8(id) && id.size() <= kMaxIdBytes ? id : std::string();
}

Json Encode(const WorkerLoad& load) {
  Json list = Json::array({load.worker_id, load.running, load.unread_tokens});
  for (const RunningModel& model : load.models) {
    list.push_back(model.model);
    list.push_back(model.running);
  }
  return list;
}

WorkerLoad DecodeLoad(const Json& json) {
  constexpr std::size_t kFixedEntries = 3;
  WorkerLoad load{
      json.at(0).get<std::string>(), ReadNumber<int>(json.at(1)), ReadNumber<int>(json.at(2)), {}};
  for (std::size_t index = kFixedEntries; index + 1 < json.size(); index += 2) {
    load.models.push_back({json.at(index).get<std::string>(), ReadNumber<int>(json.at(index + 1))});
  }
  return load;
}

Json EncodeLoads(const std::vector<WorkerLoad>& loads) {
  Json list = Json::array();
  for (const WorkerLoad& load : loads) {
    list.push_back(Encode(load));
  }
  return list;
}

std::vector<WorkerLoad> DecodeLoads(const Json& json) {
  std::vector<WorkerLoad> loads;
  for (const Json& entry : RequireArray(json)) {
    loads.push_back(DecodeLoad(entry));
  }
  return loads;
}

Json Encode(const DemandReport& report) {
  Json demands = Json::array();
  for (const ModelDemand& demand : report.demands) {
    demands.push_back(Json::array({demand.service, demand.model, demand.adapter, demand.waiting,
                                   demand.running, demand.arrived, demand.arrived_tokens}));
  }
  Json bound = Json::array();
  for (const BoundDemand& demand : report.bound) {
    bound.push_back(Json::array(
        {demand.service, demand.software_version, demand.model, demand.adapter, demand.waiting}));
  }
  return Json::array({kDemandReport, report.node, report.incarnation, report.number,
                      std::move(demands), EncodeLoads(report.loads), report.unreachable,
                      std::move(bound)});
}

DemandReport DecodeReport(const Json& json) {
  DemandReport report;
  report.node = json.at(1).get<std::string>();
  report.incarnation = ReadNumber<std::uint64_t>(json.at(2));
  report.number = ReadNumber<std::uint64_t>(json.at(3));
  for (const Json& entry : RequireArray(json.at(4))) {
    report.demands.push_back({entry.at(0).get<std::string>(), entry.at(1).get<std::string>(),
                              entry.at(2).get<std::string>(), ReadNumber<int>(entry.at(3)),
                              ReadNumber<int>(entry.at(4)), ReadNumber<int>(entry.at(5)),
                              ReadNumber<int>(entry.at(6))});
  }
  report.loads = DecodeLoads(json.at(5));
  report.unreachable = json.at(6).get<std::vector<std::string>>();
  // Nodes of an earlier release send none.
  constexpr std::size_t kBoundEntry = 7;
  if (json.size() > kBoundEntry) {
    for (const Json& entry : RequireArray(json.at(kBoundEntry))) {
      report.bound.push_back({entry.at(0).get<std::string>(), entry.at(1).get<std::string>(),
                              entry.at(2).get<std::string>(), entry.at(3).get<std::string>(),
                              ReadNumber<int>(entry.at(4))});
    }
  }
  return report;
}

Json Encode(const PlacementUpdate& update) {
  Json replicas = Json::array();
  for (const ReplicaUpdate& replica : update.replicas) {
    replicas.push_back(Json::array({replica.worker_id, replica.model, replica.adapter,
                                    static_cast<int>(replica.state), replica.expected_in_ms}));
  }
  return Json::array({kPlacementUpdate, update.holder, update.token, update.number,
                      std::move(replicas),
                      update.loads.has_value() ? EncodeLoads(*update.loads) : Json(),
                      update.address, update.reports.has_value() ? Json(*update.reports) : Json()});
}

PlacementUpdate DecodeUpdate(const Json& json) {
  PlacementUpdate update;
  update.holder = json.at(1).get<std::string>();
  update.token = ReadNumber<std::uint64_t>(json.at(2));
  update.number = ReadNumber<std::uint64_t>(json.at(3));
  for (const Json& entry : RequireArray(json.at(4))) {
    const int state = ReadNumber<int>(entry.at(3));
    if (state < 0 || state > static_cast<int>(ReplicaState::kLeaving)) {
      continue;
    }
    update.replicas.push_back({entry.at(0).get<std::string>(), entry.at(1).get<std::string>(),
                               entry.at(2).get<std::string>(), static_cast<ReplicaState>(state),
                               ReadNumber<int>(entry.at(4))});
  }
  if (!json.at(5).is_null()) {
    update.loads = DecodeLoads(json.at(5));
  }
  update.address = json.at(6).get<std::string>();
  constexpr std::size_t kReportsEntry = 7;
  if (json.size() > kReportsEntry && !json.at(kReportsEntry).is_null()) {
    update.reports.emplace();
    for (const auto& [node, number] : json.at(kReportsEntry).items()) {
      (*update.reports)[node] = ReadNumber<std::uint64_t>(number);
    }
  }
  return update;
}

Json Encode(const StreamNotice& notice) {
  return Json::array({kStreamNotice, notice.stream_id, notice.source.service,
                      notice.source.software_version, notice.lifetime_ms});
}

StreamNotice DecodeNotice(const Json& json) {
  return {json.at(1).get<std::string>(),
          {json.at(2).get<std::string>(), json.at(3).get<std::string>()},
          ReadNumber<int>(json.at(4))};
}

Json Encode(const StreamQuestion& question) {
  return Json::array({kStreamQuestion, question.stream_id, question.service, question.reply_address,
                      question.number});
}

StreamQuestion DecodeQuestion(const Json& json) {
  return {json.at(1).get<std::string>(), json.at(2).get<std::string>(),
          json.at(3).get<std::string>(), ReadNumber<std::uint64_t>(json.at(4))};
}

Json Encode(const StreamReply& reply) {
  Json list =
      Json::array({kStreamReply, reply.stream_id, reply.number, reply.node, Json(reply.versions)});
  if (reply.source.has_value()) {
    list.push_back(reply.source->service);
    list.push_back(reply.source->software_version);
  }
  return list;
}

StreamReply DecodeReply(const Json& json) {
  constexpr std::size_t kEntriesWithSource = 7;
  StreamReply reply;
  reply.stream_id = json.at(1).get<std::string>();
  reply.number = ReadNumber<std::uint64_t>(json.at(2));
  reply.node = json.at(3).get<std::string>();
  reply.versions = json.at(4).get<std::set<std::string>>();
  if (json.size() >= kEntriesWithSource) {
    reply.source = StreamSource{json.at(5).get<std::string>(), json.at(6).get<std::string>()};
  }
  return reply;
}

Json Encode(const CrashNotice& notice) {
  return Json::array({kCrashNotice, notice.worker_id, notice.service, Json(notice.parts),
                      notice.reply_address, Json(notice.requests), notice.piece, notice.pieces});
}

CrashNotice DecodeCrash(const Json& json) {
  CrashNotice notice{json.at(1).get<std::string>(),
                     json.at(2).get<std::string>(),
                     json.at(3).get<std::set<std::string>>(),
                     json.at(4).get<std::string>(),
                     {}};
  // Nodes of an earlier release send none.
  constexpr std::size_t kRequestsEntry = 5;
  if (json.size() > kRequestsEntry) {
    notice.requests = ReadContents(json.at(kRequestsEntry));
  }
  // Nor pieces.
  constexpr std::size_t kPieceEntry = 6;
  if (json.size() > kPieceEntry + 1) {
    notice.piece = ReadNumber<int>(json.at(kPieceEntry));
    notice.pieces = ReadNumber<int>(json.at(kPieceEntry + 1));
  }
  return notice;
}

Json Encode(const QuarantineNotice& notice) {
  return Json::array({kQuarantineNotice, notice.service, Json(notice.parts), Json(notice.workers),
                      notice.since_ms, notice.lifetime_ms, notice.reply_address, notice.provisional,
                      notice.id});
}

QuarantineNotice DecodeQuarantine(const Json& json) {
  // Nodes of an earlier release don't say whether it is provisional, nor its id.
  constexpr std::size_t kProvisionalEntry = 7;
  constexpr std::size_t kIdEntry = 8;
  return {json.at(1).get<std::string>(),
          json.at(2).get<std::set<std::string>>(),
          json.at(3).get<std::set<std::string>>(),
          ReadNumber<int>(json.at(4)),
          ReadNumber<int>(json.at(5)),
          json.at(6).get<std::string>(),
          json.size() > kProvisionalEntry && json.at(kProvisionalEntry).get<bool>(),
          json.size() > kIdEntry ? ReadQuarantineId(json.at(kIdEntry)) : std::string()};
}

Json Encode(const ClearedParts& cleared) {
  return Json::array({kClearedParts, cleared.service, Json(cleared.parts), cleared.to_all});
}

ClearedParts DecodeCleared(const Json& json) {
  return {json.at(1).get<std::string>(), json.at(2).get<std::set<std::string>>(),
          json.at(3).get<bool>()};
}

Json Encode(const QuarantineQuestion& question) {
  return Json::array({kQuarantineQuestion, question.reply_address});
}

Json Encode(const SlotRequest& request) {
  return Json::array(
      {kSlotRequest, request.worker_id, request.borrower.node, request.borrower.incarnation,
       request.borrower.address, request.number, request.held.slots, request.held.starting,
       request.held.tokens, request.capacity.slots, request.capacity.tokens,
       request.capacity.survived_rejections, request.confirmed, request.rejections,
       request.wants_reply, request.wants_slot, request.wanted_tokens, request.passed_on});
}

SlotRequest DecodeSlotRequest(const Json& json) {
  SlotRequest request;
  request.worker_id = json.at(1).get<std::string>();
  request.borrower = {json.at(2).get<std::string>(), ReadNumber<std::uint64_t>(json.at(3)),
                      json.at(4).get<std::string>()};
  request.number = ReadNumber<std::uint64_t>(json.at(5));
  request.held = {ReadNumber<int>(json.at(6)), ReadNumber<int>(json.at(7)),
                  ReadNumber<double>(json.at(8))};
  request.capacity = {ReadNumber<int>(json.at(9)), ReadNumber<double>(json.at(10)),
                      ReadNumber<int>(json.at(11))};
  request.confirmed = ReadNumber<std::uint64_t>(json.at(12));
  request.rejections = ReadNumber<int>(json.at(13));
  request.wants_reply = json.at(14).get<bool>();
  request.wants_slot = json.at(15).get<bool>();
  request.wanted_tokens = ReadNumber<double>(json.at(16));
  request.passed_on = json.at(17).get<bool>();
  return request;
}

Json Encode(const SlotReply& reply) {
  return Json::array({kSlotReply, reply.worker_id, reply.number, reply.lent});
}

SlotReply DecodeSlotReply(const Json& json) {
  return {json.at(1).get<std::string>(), ReadNumber<std::uint64_t>(json.at(2)),
          json.at(3).get<bool>()};
}

Json Encode(const SlotTakeover& takeover) {
  return Json::array({kSlotTakeover, takeover.worker_id, takeover.address});
}

Json Encode(const CrashRetraction& retraction) {
  return Json::array({kCrashRetraction, retraction.worker_id});
}

Json Encode(const ServedRequests& served) {
  return Json::array({kServedRequests, Json(served.requests), served.to_all});
}

Json Encode(const BrittleNotice& notice) {
  return Json::array({kBrittleNotice, notice.service, notice.survived_rejections});
}

Json Encode(const NodeProbe& probe) { return Json::array({kNodeProbe, probe.reply_address}); }

Json Encode(const NodeProbeReply& reply) { return Json::array({kNodeProbeReply, reply.node}); }

FleetMessage Decode(const Json& json) {
  switch (ReadNumber<int>(json.at(0))) {
    case kDemandReport:
      return DecodeReport(json);
    case kPlacementUpdate:
      return DecodeUpdate(json);
    case kStreamNotice:
      return DecodeNotice(json);
    case kStreamQuestion:
      return DecodeQuestion(json);
    case kStreamReply:
      return DecodeReply(json);
    case kCrashNotice:
      return DecodeCrash(json);
    case kQuarantineNotice:
      return DecodeQuarantine(json);
    case kClearedParts:
      return DecodeCleared(json);
    case kQuarantineQuestion:
      return QuarantineQuestion{json.at(1).get<std::string>()};
    case kSlotRequest:
      return DecodeSlotRequest(json);
    case kSlotReply:
      return DecodeSlotReply(json);
    case kSlotTakeover:
      return SlotTakeover{json.at(1).get<std::string>(), json.at(2).get<std::string>()};
    case kCrashRetraction:
      return CrashRetraction{json.at(1).get<std::string>()};
    case kServedRequests:
      return ServedRequests{ReadContents(json.at(1)), json.at(2).get<bool>()};
    case kBrittleNotice:
      return BrittleNotice{json.at(1).get<std::string>(), ReadNumber<int>(json.at(2))};
    case kNodeProbe:
      return NodeProbe{json.at(1).get<std::string>()};
    case kNodeProbeReply:
      return NodeProbeReply{json.at(1).get<std::string>()};
    default:
      throw DecodeError("unknown type of message");
  }
}

}  // namespace

std::string EncodeFleetMessage(const FleetMessage& message) {
  const Json json = std::visit([](const auto& typed) { return Encode(typed); }, message);
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

std::optional<FleetMessage> DecodeFleetMessage(absl::string_view bytes) {
  const Result<FleetMessage> message =
      DecodeJson<FleetMessage>(ParseCbor(std::string_view(bytes.data(), bytes.size())),
                               [](const Json& json) { return Decode(json); });
  return message.ok() ? std::make_optional(*message) : std::nullopt;
}

}  // namespace hingespan::gateway
