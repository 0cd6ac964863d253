#include "hingespan/fleet/stream_directory.h"

#include <algorithm>
#include <utility>

namespace hingespan::gateway {
namespace {

// Time for the replies of one round. A datagram may be lost, so nodes that did not reply are asked
// again.
constexpr absl::Duration kRoundTime = absl::Milliseconds(60);
constexpr int kRounds = 4;

}  // namespace

StreamDirectory::StreamDirectory(std::string node, StreamDirectoryParts parts)
    : node_(std::move(node)), parts_(std::move(parts)) {}

StreamDirectory::~StreamDirectory() = default;

void StreamDirectory::SetNodes(std::vector<StreamNode> nodes) {
  if (nodes == nodes_) {
    return;
  }
  const std::vector<StreamNode> before = std::exchange(nodes_, std::move(nodes));
  registry_.ForEachOwn(parts_.loop->Now(),
                       [&](const std::string& stream_id, const StreamRegistry::Record& record) {
                         if (mixed_services_.contains(record.source.service)) {
                           SendNotice(stream_id, record, ChooseHolders(stream_id, before, node_));
                         }
                       });
}

void StreamDirectory::SetMixedServices(std::set<std::string> services) {
  const std::set<std::string> before = std::exchange(mixed_services_, std::move(services));
  registry_.ForEachOwn(parts_.loop->Now(),
                       [&](const std::string& stream_id, const StreamRegistry::Record& record) {
                         const std::string& service = record.source.service;
                         if (mixed_services_.contains(service) && !before.contains(service)) {
                           Spread(stream_id, record);
                         }
                       });
}

void StreamDirectory::Add(const std::string& stream_id, const StreamSource& source,
                          absl::Duration lifetime) {
  const absl::Time now = parts_.loop->Now();
  const StreamRegistry::Record record{source, now + lifetime, true};
  registry_.Add(stream_id, record, now);
  if (mixed_services_.contains(source.service)) {
    Spread(stream_id, record);
  }
}

void StreamDirectory::Spread(const std::string& stream_id, const StreamRegistry::Record& record) {
  SendNotice(stream_id, record);
  parts_.archive(stream_id, record.source, record.expires - parts_.loop->Now());
}

void StreamDirectory::SendNotice(const std::string& stream_id, const StreamRegistry::Record& record,
                                 const std::vector<StreamNode>& but) {
  const absl::Duration left = record.expires - parts_.loop->Now();
  const std::string bytes = EncodeFleetMessage(
      StreamNotice{stream_id, record.source, static_cast<int>(absl::ToInt64Milliseconds(left))});
  for (const StreamNode& holder : ChooseHolders(stream_id, nodes_, node_)) {
    if (std::find(but.begin(), but.end(), holder) != but.end()) {
      continue;
    }
    ++parts_.metrics->stream_notices;
    parts_.send(holder.address, bytes);
  }
}

std::optional<StreamSource> StreamDirectory::FindHere(const std::string& stream_id) const {
  return registry_.Find(stream_id, parts_.loop->Now());
}

void StreamDirectory::Ask(const std::string& stream_id, const std::string& service, Callback done) {
  const std::uint64_t number = ++last_number_;
  Search& search = searches_[number];
  search.stream_id = stream_id;
  search.service = service;
  search.done = std::move(done);
  search.timer = parts_.loop->MakeTimer();
  for (const StreamNode& node : PossibleHolders(stream_id, nodes_, node_)) {
    search.addresses[node.name] = node.address;
  }
  search.asked = search.addresses.size();
  search.timer->Set(parts_.loop->Now(), [this, number] { NextRound(number); });
}

void StreamDirectory::NextRound(std::uint64_t number) {
  const auto entry = searches_.find(number);
  if (entry == searches_.end()) {
    return;
  }
  Search& search = entry->second;
  if ((search.rounds > 0 || search.addresses.empty()) && Conclude(number)) {
    return;
  }
  if (search.rounds == kRounds) {
    End(number, std::nullopt);
    return;
  }
  ++search.rounds;
  const std::string bytes =
      EncodeFleetMessage(StreamQuestion{search.stream_id, search.service, address_, number});
  for (const auto& [name, address] : search.addresses) {
    ++parts_.metrics->stream_questions;
    parts_.send(address, bytes);
  }
  search.timer->Set(parts_.loop->Now() + kRoundTime, [this, number] { NextRound(number); });
}

bool StreamDirectory::Conclude(std::uint64_t number) {
  const Search& search = searches_.at(number);
  std::optional<StreamSource> source = Conclusion(search);
  if (!source.has_value() && !KnowsVersions(search) && search.workers == WorkersRead::kNo &&
      MayHaveOneVersion(search)) {
    ReadWorkers(number);
  }
  const bool over = search.addresses.empty() && search.workers != WorkersRead::kReading;
  if (!source.has_value() && !over) {
    return false;
  }
  End(number, std::move(source));
  return true;
}

void StreamDirectory::ReadWorkers(std::uint64_t number) {
  searches_.at(number).workers = WorkersRead::kReading;
  parts_.refresh_workers([this, number](bool read) {
    const auto entry = searches_.find(number);
    if (entry != searches_.end()) {
      entry->second.workers = read ? WorkersRead::kDone : WorkersRead::kNo;
      if (read) {
        Conclude(number);
      }
    }
  });
}

bool StreamDirectory::KnowsVersions(const Search& search) {
  return search.workers == WorkersRead::kDone ||
         (search.asked > 0 && 2 * search.replies >= search.asked);
}

bool StreamDirectory::MayHaveOneVersion(const Search& search) const {
  const std::optional<std::string> only =
      search.service.empty() ? std::nullopt : parts_.only_version(search.service);
  return only.has_value() &&
         (search.versions.empty() || search.versions == std::set<std::string>{*only});
}

std::optional<StreamSource> StreamDirectory::Conclusion(const Search& search) const {
  if (std::optional<StreamSource> source = FindHere(search.stream_id)) {
    return source;
  }
  if (!KnowsVersions(search) || !MayHaveOneVersion(search)) {
    return std::nullopt;
  }
  return StreamSource{search.service, *parts_.only_version(search.service)};
}

void StreamDirectory::End(std::uint64_t number, std::optional<StreamSource> source) {
  const auto entry = searches_.find(number);
  const Search search = std::move(entry->second);
  searches_.erase(entry);
  if (source.has_value() || search.stream_id.empty()) {
    search.done(std::move(source));
    return;
  }
  parts_.find_archived(search.stream_id, search.done);
}

void StreamDirectory::OnNotice(const StreamNotice& notice) {
  const absl::Time now = parts_.loop->Now();
  registry_.Add(notice.stream_id,
                {notice.source, now + absl::Milliseconds(notice.lifetime_ms), false}, now);
}

void StreamDirectory::OnQuestion(const StreamQuestion& question) {
  StreamReply reply{question.stream_id, question.number, node_, FindHere(question.stream_id), {}};
  if (!question.service.empty()) {
    reply.versions = parts_.known_versions(question.service);
  }
  parts_.send(question.reply_address, EncodeFleetMessage(reply));
}

void StreamDirectory::OnReply(const StreamReply& reply) {
  const auto entry = searches_.find(reply.number);
  if (entry == searches_.end() || entry->second.stream_id != reply.stream_id) {
    return;
  }
  if (reply.source.has_value()) {
    End(reply.number, reply.source);
    return;
  }
  Search& search = entry->second;
  if (search.addresses.erase(reply.node) == 0) {
    return;
  }
  search.replies += reply.versions.empty() ? 0 : 1;
  search.versions.insert(reply.versions.begin(), reply.versions.end());
  if (search.addresses.empty()) {
    Conclude(reply.number);
  }
}

}  // namespace hingespan::gateway
