// Fields of every message in wire order, and the last value of every enum on the wire. New fields
// must be appended to the end of their list.
#ifndef HINGESPAN_SRC_TRANSPORT_MESSAGE_FIELDS_H_
#define HINGESPAN_SRC_TRANSPORT_MESSAGE_FIELDS_H_

#include <cstddef>
#include <tuple>
#include <type_traits>

#include "hingespan/transport/message.h"

namespace hingespan {

// Pointers to the members of T. Specialized for each struct on the wire.
template <typename T>
inline constexpr auto kFields = nullptr;

template <typename T>
concept HasFields = !std::is_same_v<decltype(kFields<T>), const std::nullptr_t>;

// Largest valid value of enum T.
template <typename T>
inline constexpr T kLastValue = T{};

template <>
inline constexpr MemberState kLastValue<MemberState> = MemberState::kDead;
template <>
inline constexpr MachineState kLastValue<MachineState> = MachineState::kGone;
template <>
inline constexpr ReplicaState kLastValue<ReplicaState> = ReplicaState::kFailed;
template <>
inline constexpr WakeOutcome kLastValue<WakeOutcome> = WakeOutcome::kRefused;
template <>
inline constexpr WakeRefusal kLastValue<WakeRefusal> = WakeRefusal::kUnknownModel;
template <>
inline constexpr LoadOutcome kLastValue<LoadOutcome> = LoadOutcome::kLeaving;
template <>
inline constexpr ClaimOutcome kLastValue<ClaimOutcome> = ClaimOutcome::kOutOfTime;
template <>
inline constexpr RowKind kLastValue<RowKind> = RowKind::kVersion;
template <>
inline constexpr SlotState kLastValue<SlotState> = SlotState::kRevoking;

// --- Records ------------------------------------------------------------------------------------

template <>
inline constexpr auto kFields<ModelRow> =
    std::tuple(&ModelRow::name, &ModelRow::kind, &ModelRow::base, &ModelRow::checkpoint,
               &ModelRow::memory_mib, &ModelRow::max_replicas, &ModelRow::min_replicas,
               &ModelRow::max_wait_ms, &ModelRow::max_queue, &ModelRow::max_concurrency,
               &ModelRow::idle_ms, &ModelRow::weights, &ModelRow::edit, &ModelRow::editor);
template <>
inline constexpr auto kFields<GrantSlot> = std::tuple(&GrantSlot::worker, &GrantSlot::incarnation,
                                                      &GrantSlot::zone, &GrantSlot::generation,
                                                      &GrantSlot::state);
template <>
inline constexpr auto kFields<GrantRecord> = std::tuple(&GrantRecord::model,
                                                        &GrantRecord::next_generation,
                                                        &GrantRecord::slots);
template <>
inline constexpr auto kFields<ClaimSegment> = std::tuple(&ClaimSegment::from_ms,
                                                         &ClaimSegment::owner,
                                                         &ClaimSegment::incarnation,
                                                         &ClaimSegment::zone);
template <>
inline constexpr auto kFields<ClaimRangeRecord> = std::tuple(&ClaimRangeRecord::range,
                                                             &ClaimRangeRecord::segments,
                                                             &ClaimRangeRecord::until_ms);
template <>
inline constexpr auto kFields<RecordChange> = std::tuple(&RecordChange::key,
                                                         &RecordChange::revision,
                                                         &RecordChange::record);

// --- Membership ---------------------------------------------------------------------------------

template <>
inline constexpr auto kFields<MemberUpdate> =
    std::tuple(&MemberUpdate::node, &MemberUpdate::incarnation, &MemberUpdate::refutation,
               &MemberUpdate::state, &MemberUpdate::control_address, &MemberUpdate::http_address);
template <>
inline constexpr auto kFields<Probe> = std::tuple(&Probe::sequence, &Probe::updates,
                                                  &Probe::table_revision);
template <>
inline constexpr auto kFields<ProbeAck> = std::tuple(&ProbeAck::sequence, &ProbeAck::updates,
                                                     &ProbeAck::table_revision);
template <>
inline constexpr auto kFields<IndirectProbeRequest> = std::tuple(&IndirectProbeRequest::sequence,
                                                                 &IndirectProbeRequest::target);
template <>
inline constexpr auto kFields<IndirectProbeAck> = std::tuple(&IndirectProbeAck::sequence,
                                                             &IndirectProbeAck::target);
template <>
inline constexpr auto kFields<JoinRequest> = std::tuple(&JoinRequest::self);
template <>
inline constexpr auto kFields<JoinReply> = std::tuple(&JoinReply::members);

// --- Replicated records and machines ------------------------------------------------------------

template <>
inline constexpr auto kFields<RecordFetch> = std::tuple(&RecordFetch::after);
template <>
inline constexpr auto kFields<RecordChanges> = std::tuple(&RecordChanges::after,
                                                          &RecordChanges::through,
                                                          &RecordChanges::latest,
                                                          &RecordChanges::changes);
template <>
inline constexpr auto kFields<NodeMachine> = std::tuple(&NodeMachine::node, &NodeMachine::zone,
                                                        &NodeMachine::http_address,
                                                        &NodeMachine::control_address,
                                                        &NodeMachine::state);
template <>
inline constexpr auto kFields<WorkerMachine> = std::tuple(&WorkerMachine::worker,
                                                          &WorkerMachine::zone,
                                                          &WorkerMachine::base_url,
                                                          &WorkerMachine::state);
template <>
inline constexpr auto kFields<MachineListUpdate> = std::tuple(&MachineListUpdate::nodes,
                                                              &MachineListUpdate::workers);

// --- Residency ----------------------------------------------------------------------------------

template <>
inline constexpr auto kFields<ReplicaUpdate> =
    std::tuple(&ReplicaUpdate::worker, &ReplicaUpdate::incarnation, &ReplicaUpdate::epoch,
               &ReplicaUpdate::version, &ReplicaUpdate::model, &ReplicaUpdate::generation,
               &ReplicaUpdate::state, &ReplicaUpdate::removed, &ReplicaUpdate::ready_in_ms);
template <>
inline constexpr auto kFields<WorkerReport> =
    std::tuple(&WorkerReport::worker, &WorkerReport::incarnation, &WorkerReport::epoch,
               &WorkerReport::version, &WorkerReport::sequence, &WorkerReport::base_url,
               &WorkerReport::reachable, &WorkerReport::leaving, &WorkerReport::memory_mib,
               &WorkerReport::memory_charged_mib, &WorkerReport::running, &WorkerReport::queued);
template <>
inline constexpr auto kFields<WorkerHeartbeat> = std::tuple(&WorkerHeartbeat::worker,
                                                            &WorkerHeartbeat::incarnation,
                                                            &WorkerHeartbeat::epoch,
                                                            &WorkerHeartbeat::version,
                                                            &WorkerHeartbeat::sequence);
template <>
inline constexpr auto kFields<KeeperHeartbeat> = std::tuple(&KeeperHeartbeat::workers);
template <>
inline constexpr auto kFields<WorkerReportRequest> = std::tuple(&WorkerReportRequest::worker);
template <>
inline constexpr auto kFields<ReplicaListRequest> = std::tuple(&ReplicaListRequest::worker);
template <>
inline constexpr auto kFields<ReplicaEntry> = std::tuple(&ReplicaEntry::model,
                                                         &ReplicaEntry::generation,
                                                         &ReplicaEntry::state,
                                                         &ReplicaEntry::ready_in_ms);
template <>
inline constexpr auto kFields<ReplicaList> = std::tuple(&ReplicaList::worker,
                                                        &ReplicaList::incarnation,
                                                        &ReplicaList::epoch, &ReplicaList::version,
                                                        &ReplicaList::part, &ReplicaList::parts,
                                                        &ReplicaList::replicas);

// --- Cold starts --------------------------------------------------------------------------------

template <>
inline constexpr auto kFields<WakeRequest> = std::tuple(&WakeRequest::model, &WakeRequest::waiting,
                                                        &WakeRequest::earliest_deadline_ms,
                                                        &WakeRequest::latest_deadline_ms,
                                                        &WakeRequest::service_ms);
template <>
inline constexpr auto kFields<WakeReply> = std::tuple(&WakeReply::model, &WakeReply::outcome,
                                                      &WakeReply::reason,
                                                      &WakeReply::expected_wait_ms);
template <>
inline constexpr auto kFields<LoadRequest> =
    std::tuple(&LoadRequest::worker, &LoadRequest::incarnation, &LoadRequest::model,
               &LoadRequest::generation, &LoadRequest::waiting, &LoadRequest::earliest_deadline_ms);
template <>
inline constexpr auto kFields<LoadReply> = std::tuple(&LoadReply::worker, &LoadReply::incarnation,
                                                      &LoadReply::model, &LoadReply::generation,
                                                      &LoadReply::outcome,
                                                      &LoadReply::expected_wait_ms);
template <>
inline constexpr auto kFields<RevokeRequest> = std::tuple(&RevokeRequest::worker,
                                                          &RevokeRequest::incarnation,
                                                          &RevokeRequest::model,
                                                          &RevokeRequest::generation);
template <>
inline constexpr auto kFields<RevokeReply> = std::tuple(&RevokeReply::worker,
                                                        &RevokeReply::incarnation,
                                                        &RevokeReply::model,
                                                        &RevokeReply::generation,
                                                        &RevokeReply::confirmed);
template <>
inline constexpr auto kFields<PermitRequest> = std::tuple(
    &PermitRequest::worker, &PermitRequest::model, &PermitRequest::number, &PermitRequest::waiting,
    &PermitRequest::earliest_deadline_ms, &PermitRequest::release);
template <>
inline constexpr auto kFields<PermitReply> = std::tuple(&PermitReply::worker, &PermitReply::model,
                                                        &PermitReply::number, &PermitReply::granted,
                                                        &PermitReply::expected_wait_ms);

template <>
inline constexpr auto kFields<PermitVoteRequest> = std::tuple(&PermitVoteRequest::round);
template <>
inline constexpr auto kFields<PermitVoteReply> = std::tuple(&PermitVoteReply::round,
                                                            &PermitVoteReply::granted);
template <>
inline constexpr auto kFields<PermitLoanRequest> = std::tuple(
    &PermitLoanRequest::lender, &PermitLoanRequest::borrower, &PermitLoanRequest::holder,
    &PermitLoanRequest::incarnation, &PermitLoanRequest::sequence, &PermitLoanRequest::held,
    &PermitLoanRequest::waiting_loads, &PermitLoanRequest::extra_slots, &PermitLoanRequest::waiting,
    &PermitLoanRequest::earliest_deadline_ms, &PermitLoanRequest::passed_on);
template <>
inline constexpr auto kFields<PermitLoanReply> = std::tuple(&PermitLoanReply::lender,
                                                            &PermitLoanReply::incarnation,
                                                            &PermitLoanReply::sequence,
                                                            &PermitLoanReply::slots);

// --- Claims -------------------------------------------------------------------------------------

template <>
inline constexpr auto kFields<ClaimRequest> = std::tuple(&ClaimRequest::key,
                                                         &ClaimRequest::key_time_ms,
                                                         &ClaimRequest::range,
                                                         &ClaimRequest::attempt);
template <>
inline constexpr auto kFields<ClaimReply> = std::tuple(&ClaimReply::key, &ClaimReply::attempt,
                                                       &ClaimReply::outcome);
template <>
inline constexpr auto kFields<ClaimRelease> = std::tuple(&ClaimRelease::key,
                                                         &ClaimRelease::key_time_ms,
                                                         &ClaimRelease::range,
                                                         &ClaimRelease::attempt);

template <>
inline constexpr auto kFields<Envelope> = std::tuple(&Envelope::from, &Envelope::from_incarnation,
                                                     &Envelope::from_zone, &Envelope::reply_address,
                                                     &Envelope::message);

}  // namespace hingespan

#endif  // HINGESPAN_SRC_TRANSPORT_MESSAGE_FIELDS_H_
