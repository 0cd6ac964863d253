#include "hingespan/node/node_core.h"

#include <algorithm>
#include <utility>

#include "hingespan/membership/duties.h"
#include "hingespan/node/claim_ranges.h"
#include "hingespan/node/machine_list_parts.h"

namespace hingespan {
namespace {

// Local messages may produce further local messages. More rounds than this indicate a bug.
constexpr int kMaximumLocalRounds = 16;
// Duties for workers and key ranges change slowly, so they are checked at this interval.
constexpr absl::Duration kClaimCheckInterval = absl::Milliseconds(500);
constexpr absl::Duration kGrantCheckInterval = absl::Milliseconds(50);
// Maximum number of records examined per check after a member has left.
constexpr std::size_t kKeysPerGrantCheck = 1024;
// Time for which a stopping node gossips its leave after its last request has ended.
constexpr absl::Duration kLeaveAnnouncement = absl::Milliseconds(300);

MemberUpdate SelfUpdate(const CoreOptions& options) {
  MemberUpdate self;
  self.node = options.node;
  self.incarnation = options.incarnation;
  self.control_address = options.control_address;
  self.http_address = options.http_address;
  return self;
}

}  // namespace

NodeCore::NodeCore(CoreOptions options)
    : options_(std::move(options)), leave_gossip_(options_.random_seed + 4) {
  options_.placer.load_times = options_.keeper.estimator;
  const CoreOptions& core = options_;
  const std::uint64_t seed = core.random_seed;
  membership_ = std::make_unique<Membership>(SelfUpdate(core), core.membership, seed);
  record_sync_ = std::make_unique<RecordSync>(&store_, core.record_sync, seed + 1);
  directory_ = std::make_unique<ReplicaDirectory>(core.directory);
  claim_owner_ = std::make_unique<ClaimOwner>(core.node, core.incarnation, core.zone, core.claim,
                                              &store_, seed + 2);
  claimant_ = std::make_unique<Claimant>(core.node, core.incarnation, core.claim, &store_,
                                         claim_owner_.get());
  grants_ = std::make_unique<GrantManager>(core.node, core.zone, core.zones, core.grant, &store_);
  placer_ = std::make_unique<Placer>(core.node, core.zone, core.placer, &store_, directory_.get());
  row_takeover_ = std::make_unique<RowTakeover>(core.node, &store_);
  permits_ = std::make_unique<PermitHolder>(core.node, core.incarnation, core.zone, core.zones,
                                            core.permits);
  router_ = std::make_unique<RequestRouter>(core.node, core.zone, core.zones, core.router, &store_,
                                            directory_.get(), claimant_.get(), seed + 3);
  store_.SetListener([this](const std::string& key) { OnRecordChanged(key); });
}

NodeCore::~NodeCore() = default;

void NodeCore::Tick(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  if (started_ == absl::InfinitePast()) {
    started_ = now;
    membership_->Join(options_.seeds, now, outbox);
  }
  membership_->SetTableRevision(store_.revision());
  membership_->Tick(now, outbox);
  UpdateDuties();
  record_sync_->Tick(IsPlatformReader(), membership_->peers(), other_zone_nodes_, now, outbox);
  ReadMachines(now, outbox);
  leave_gossip_.Tick(membership_->peers(), now, outbox);
  TickKeepers(now, outbox);
  TickPlacement(now, outbox);
  TickClaims(now, wall_time, outbox);
  claimant_->Tick(now, wall_time, outbox);
  TickRouter(now, wall_time, outbox);
  AdvanceStop(now, wall_time, outbox);
  DeliverLocalMessages(now, wall_time, outbox);
}

void NodeCore::TickKeepers(absl::Time now, Outbox* outbox) {
  for (auto& [worker, keeper] : keepers_) {
    const std::size_t first_call = outbox->engine_calls.size();
    keeper.keeper->Tick(membership_->peers(), permit_holder_, now, outbox);
    NumberEngineCalls(keeper.instance, first_call, outbox);
    ApplyLocalUpdates(keeper.keeper.get(), now, outbox);
  }
  SendHeartbeats(now, outbox);
}

void NodeCore::TickPlacement(absl::Time now, Outbox* outbox) {
  const auto is_placer = [this](const ModelName& model) { return IsPlacerOf(model); };
  const auto keeper_of = [this](const WorkerId& worker) { return KeeperOf(worker); };
  placer_->Tick(is_placer, keeper_of, now, outbox);
  TickPermits(now, outbox);
  if (record_sync_->ready() && !stopping_ && now >= next_grant_check_) {
    next_grant_check_ = now + kGrantCheckInterval;
    row_takeover_->Step(kKeysPerGrantCheck,
                        [this](const ModelName& model) { grants_->MarkDirty(model); });
    grants_->Tick(GrantTargets(), is_placer, keeper_of, now, outbox);
  }
}

void NodeCore::TickClaims(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  if (now < next_claim_check_) {
    return;
  }
  next_claim_check_ = now + kClaimCheckInterval;
  claim_owner_->Tick(ClaimRangesToExtend(now, wall_time), wall_time, now, outbox);
}

void NodeCore::TickRouter(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  NotifyRouter(now, wall_time, outbox);
  const auto placer_of = [this](const ModelName& model) { return PlacerOf(model); };
  router_->Tick(placer_of, now, wall_time, outbox);
}

void NodeCore::HandleMessage(const Envelope& envelope, absl::Time now, absl::Time wall_time,
                             Outbox* outbox) {
  DispatchMessage(envelope, now, wall_time, outbox);
  DeliverLocalMessages(now, wall_time, outbox);
}

void NodeCore::HandleEngineAnswer(const EngineAnswer& answer, absl::Time now, absl::Time wall_time,
                                  Outbox* outbox) {
  const auto call = engine_calls_.find(answer.call);
  if (call == engine_calls_.end()) {
    return;
  }
  const PendingEngineCall pending = call->second;
  engine_calls_.erase(call);
  const auto keeper = keepers_.find(answer.worker);
  if (keeper == keepers_.end() || keeper->second.instance != pending.keeper_instance) {
    return;
  }
  EngineAnswer local = answer;
  local.call = pending.keeper_call;
  const std::size_t first_call = outbox->engine_calls.size();
  keeper->second.keeper->HandleAnswer(local, membership_->peers(), now, outbox);
  NumberEngineCalls(keeper->second.instance, first_call, outbox);
  ApplyLocalUpdates(keeper->second.keeper.get(), now, outbox);
  NotifyRouter(now, wall_time, outbox);
  DeliverLocalMessages(now, wall_time, outbox);
}

void NodeCore::HandlePlatformAnswer(const PlatformAnswer& answer, absl::Time now,
                                    absl::Time wall_time, Outbox* outbox) {
  switch (answer.owner) {
    case CallOwner::kGrants:
      grants_->HandleAnswer(answer, now);
      break;
    case CallOwner::kClaims:
      claim_owner_->HandleAnswer(answer, now);
      break;
    case CallOwner::kClaimant:
      claimant_->HandleAnswer(answer, now, outbox);
      break;
    case CallOwner::kRecords:
      record_sync_->HandleAnswer(answer, membership_->peers(), now, outbox);
      break;
    case CallOwner::kMachines:
      HandleMachineListing(answer, now, outbox);
      break;
    case CallOwner::kKeeper:
      break;
  }
  TickRouter(now, wall_time, outbox);
  DeliverLocalMessages(now, wall_time, outbox);
}

void NodeCore::Submit(const RouteRequest& request, absl::Time now, absl::Time wall_time,
                      Outbox* outbox) {
  router_->Submit(request, now, wall_time, outbox);
  TickRouter(now, wall_time, outbox);
  DeliverLocalMessages(now, wall_time, outbox);
}

void NodeCore::OnFinished(const RequestId& request, AttemptOutcome outcome, absl::Time now,
                          absl::Time wall_time, Outbox* outbox) {
  router_->OnFinished(request, outcome, now, wall_time, outbox);
  TickRouter(now, wall_time, outbox);
  DeliverLocalMessages(now, wall_time, outbox);
}

void NodeCore::Cancel(const RequestId& request) { router_->Cancel(request); }

std::vector<RouteDecision> NodeCore::TakeDecisions() { return router_->TakeDecisions(); }

void NodeCore::BeginStop(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  router_->SetStopping(true);
  membership_->SetSelfState(MemberState::kLeaving, now, outbox);
  claim_owner_->GiveBack(wall_time, now, outbox);
  UpdateDuties();
  DeliverLocalMessages(now, wall_time, outbox);
}

// A stopping node keeps running until its requests have ended and the key time that it still owns
// has passed. It then announces that it has left and keeps running briefly so that the announcement
// spreads.
void NodeCore::AdvanceStop(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  if (!stopping_ || left_at_ != absl::InfiniteFuture()) {
    return;
  }
  const bool owns_key_time =
      static_cast<std::uint64_t>(absl::ToUnixMillis(wall_time)) < claim_owner_->owned_until_ms();
  if (router_->active() > 0 || owns_key_time) {
    return;
  }
  membership_->SetSelfState(MemberState::kLeft, now, outbox);
  left_at_ = now;
}

bool NodeCore::StopComplete(absl::Time now) const {
  return stopping_ && left_at_ != absl::InfiniteFuture() && now - left_at_ >= kLeaveAnnouncement;
}

bool NodeCore::Ready() const {
  return membership_->joined() && record_sync_->ready() && !stopping_;
}

std::string NodeCore::AddressOf(const NodeId& node) const {
  if (const MemberUpdate* member = membership_->Find(node)) {
    return member->control_address;
  }
  const auto machine = machines_.find(node);
  return machine == machines_.end() ? std::string() : machine->second.control_address;
}

std::vector<WorkerId> NodeCore::kept_workers() const {
  std::vector<WorkerId> workers;
  for (const auto& [worker, keeper] : keepers_) {
    workers.push_back(worker);
  }
  return workers;
}

void NodeCore::DispatchMessage(const Envelope& envelope, absl::Time now, absl::Time wall_time,
                               Outbox* outbox) {
  if (envelope.from_zone == options_.zone && envelope.from != options_.node) {
    membership_->Handle(envelope, now, outbox);
  }
  std::visit([&](const auto& message) { On(envelope, message, now, wall_time, outbox); },
             envelope.message);
}

void NodeCore::DeliverLocalMessages(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  for (int round = 0; round < kMaximumLocalRounds; ++round) {
    std::vector<OutgoingMessage> local;
    auto& messages = outbox->messages;
    const auto is_remote = [this](const OutgoingMessage& outgoing) {
      return !outgoing.address.empty() || outgoing.to != options_.node;
    };
    const auto middle = std::stable_partition(messages.begin(), messages.end(), is_remote);
    std::move(middle, messages.end(), std::back_inserter(local));
    messages.erase(middle, messages.end());
    if (local.empty()) {
      return;
    }
    for (OutgoingMessage& outgoing : local) {
      Envelope envelope;
      envelope.from = options_.node;
      envelope.from_incarnation = options_.incarnation;
      envelope.from_zone = options_.zone;
      envelope.message = std::move(outgoing.message);
      DispatchMessage(envelope, now, wall_time, outbox);
    }
  }
}

void NodeCore::OnRecordChanged(const std::string& key) {
  const std::optional<ModelName> model = ModelOfKey(key);
  if (model) {
    grants_->MarkDirty(*model);
    placer_->OnRowChanged(*model);
  }
}

void NodeCore::UpdateDuties() {
  if (duties_version_ == membership_->view_version() && !workers_changed_) {
    return;
  }
  const bool members_changed = duties_version_ != membership_->view_version();
  platform_reader_ = DutyHolder(Duty::kPlatformReader, "", membership_->duty_holders());
  permit_holder_ = DutyHolder(Duty::kPermitHolder, "", membership_->duty_holders());
  duties_version_ = membership_->view_version();
  workers_changed_ = false;
  for (auto keeper = keepers_.begin(); keeper != keepers_.end();) {
    const bool keep = ShouldKeep(keeper->first);
    keeper = keep ? std::next(keeper) : keepers_.erase(keeper);
  }
  for (const auto& [worker, machine] : workers_) {
    if (ShouldKeep(worker) && !keepers_.contains(worker)) {
      keepers_[worker] = KeeperEntry{
          next_keeper_instance_++,
          std::make_unique<WorkerKeeper>(options_.node, machine, options_.keeper, &store_)};
    }
  }
  if (members_changed) {
    row_takeover_->SetMembers(membership_->duty_holders());
    grants_->ForgetRowsOfOthers([this](const ModelName& model) { return IsPlacerOf(model); });
  }
}

bool NodeCore::ShouldKeep(const WorkerId& worker) const {
  const auto machine = workers_.find(worker);
  return machine != workers_.end() && machine->second.state != MachineState::kGone &&
         KeeperOf(worker) == options_.node;
}

std::vector<GrantTarget> NodeCore::GrantTargets() const {
  std::vector<GrantTarget> targets;
  for (const auto& [worker, machine] : workers_) {
    GrantTarget target;
    target.worker = worker;
    target.leaving = machine.state != MachineState::kLive;
    target.gone = machine.state == MachineState::kGone;
    if (const KnownWorker* known = directory_->Find(worker)) {
      target.incarnation = known->report.incarnation;
      target.memory_mib = known->report.memory_mib;
      target.leaving = target.leaving || known->report.leaving;
    }
    targets.push_back(std::move(target));
  }
  return targets;
}

// A node that has not yet heard from its zone can't know whether it is the reader.
bool NodeCore::IsPlatformReader() const {
  return membership_->joined() && platform_reader_ == options_.node;
}

NodeId NodeCore::KeeperOf(const WorkerId& worker) const {
  return DutyHolder(Duty::kKeeper, worker.value(), membership_->duty_holders());
}

NodeId NodeCore::PlacerOf(const ModelName& model) const {
  return DutyHolder(Duty::kPlacer, model.value(), membership_->duty_holders());
}

bool NodeCore::IsPlacerOf(const ModelName& model) const {
  return HoldsDuty(options_.node, Duty::kPlacer, model.value(), membership_->duty_holders());
}

std::vector<KeyRangeId> NodeCore::ClaimRangesToExtend(absl::Time now, absl::Time wall_time) const {
  if (stopping_ || !record_sync_->ready()) {
    return {};
  }
  ClaimRangeDuties duties;
  duties.self = options_.node;
  duties.zone = options_.zone;
  duties.zones = &options_.zones;
  duties.members = &membership_->duty_holders();
  duties.options = &options_.claim;
  duties.store = &store_;
  duties.running_for = now - started_;
  return RangesToExtend(duties, wall_time);
}

void NodeCore::NumberEngineCalls(std::uint64_t keeper_instance, std::size_t first_call,
                                 Outbox* outbox) {
  for (std::size_t index = first_call; index < outbox->engine_calls.size(); ++index) {
    EngineCall& call = outbox->engine_calls[index];
    const std::uint64_t number = next_engine_call_++;
    engine_calls_[number] = PendingEngineCall{keeper_instance, call.call};
    call.call = number;
  }
}

void NodeCore::ApplyLocalUpdates(WorkerKeeper* keeper, absl::Time now, Outbox* outbox) {
  const std::vector<ReplicaUpdate> updates = keeper->TakeLocalUpdates();
  AddChanged(directory_->Handle(options_.node, keeper->Report(), now, outbox));
  for (const ReplicaUpdate& update : updates) {
    AddChanged(directory_->Handle(options_.node, update, now, outbox));
  }
}

void NodeCore::AddChanged(std::vector<ModelName> models) {
  std::move(models.begin(), models.end(), std::back_inserter(changed_models_));
}

void NodeCore::NotifyRouter(absl::Time now, absl::Time wall_time, Outbox* outbox) {
  if (changed_models_.empty()) {
    return;
  }
  std::vector<ModelName> models;
  models.swap(changed_models_);
  router_->OnReplicasChanged(models, now, wall_time, outbox);
}

}  // namespace hingespan
