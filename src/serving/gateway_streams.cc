// The gateway's part in taking up streams: which workers began them.
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "hingespan/serving/gateway.h"

namespace hingespan::gateway {

void Gateway::OnDatagram(absl::string_view bytes) {
  const std::optional<FleetMessage> message = DecodeFleetMessage(bytes);
  if (!message.has_value()) {
    return;
  }
  if (const auto* const report = std::get_if<DemandReport>(&*message)) {
    fleet_->OnReport(*report);
  } else if (const auto* const update = std::get_if<PlacementUpdate>(&*message)) {
    fleet_->OnUpdate(*update);
  } else if (const auto* const notice = std::get_if<StreamNotice>(&*message)) {
    streams_.OnNotice(*notice);
  } else if (const auto* const question = std::get_if<StreamQuestion>(&*message)) {
    streams_.OnQuestion(*question);
  } else if (const auto* const reply = std::get_if<StreamReply>(&*message)) {
    streams_.OnReply(*reply);
  } else if (const auto* const crash = std::get_if<CrashNotice>(&*message)) {
    quarantine_.OnCrash(*crash);
  } else if (const auto* const retraction = std::get_if<CrashRetraction>(&*message)) {
    quarantine_.OnRetraction(*retraction);
  } else if (const auto* const served = std::get_if<ServedRequests>(&*message)) {
    quarantine_.OnServed(*served);
  } else if (const auto* const quarantine = std::get_if<QuarantineNotice>(&*message)) {
    quarantine_.OnQuarantine(*quarantine);
  } else if (const auto* const cleared = std::get_if<ClearedParts>(&*message)) {
    quarantine_.OnCleared(*cleared);
  } else if (const auto* const asked = std::get_if<QuarantineQuestion>(&*message)) {
    quarantine_.OnQuestion(*asked);
    slots_.OnQuestion(asked->reply_address);
  } else if (const auto* const request = std::get_if<SlotRequest>(&*message)) {
    slots_.OnRequest(*request);
  } else if (const auto* const slot = std::get_if<SlotReply>(&*message)) {
    slots_.OnReply(*slot);
  } else if (const auto* const takeover = std::get_if<SlotTakeover>(&*message)) {
    slots_.OnTakeover(*takeover);
  } else if (const auto* const probe = std::get_if<NodeProbe>(&*message)) {
    fleet_->OnProbe(*probe);
  } else if (const auto* const alive = std::get_if<NodeProbeReply>(&*message)) {
    fleet_->OnProbeReply(*alive);
  } else if (const auto* const brittle = std::get_if<BrittleNotice>(&*message)) {
    slots_.OnNotice(*brittle);
  }
}

void Gateway::ObserveVersions() { versions_.Observe(workers_.workers(), parts_.loop->Now()); }

std::optional<std::string> Gateway::OnlyVersion(const std::string& service) const {
  // A node that doesn't hear from the store may not know a version at which others begin streams.
  if (worker_follower_ == nullptr || !worker_follower_->connected()) {
    return std::nullopt;
  }
  return versions_.OnlyVersion(service, parts_.loop->Now());
}

void Gateway::UpdateMixedServices() {
  ObserveVersions();
  std::set<std::string> mixed;
  for (const auto& [id, worker] : workers_.workers()) {
    const std::string& service = worker.record.service;
    if (!OnlyVersion(service).has_value()) {
      mixed.insert(service);
    }
  }
  streams_.SetMixedServices(std::move(mixed));
}

void Gateway::RecordStream(const std::string& id, const StreamSource& source,
                           absl::Duration lifetime) {
  streams_.Add(ShortStreamId(id), source, lifetime);
}

void Gateway::FindStream(const std::string& id, const std::string& service,
                         std::function<void(std::optional<StreamSource>)> done) {
  const std::string short_id = ShortStreamId(id);
  std::optional<StreamSource> source = streams_.FindHere(short_id);
  if (source.has_value()) {
    done(std::move(source));
    return;
  }
  // Also asked if this node knows one version only: another node may have learnt of a new one
  // first.
  streams_.Ask(short_id, service, std::move(done));
}

}  // namespace hingespan::gateway
