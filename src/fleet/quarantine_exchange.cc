#include "hingespan/fleet/quarantine_exchange.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace hingespan::gateway {
namespace {

constexpr int kRounds = 3;
constexpr absl::Duration kRoundInterval = absl::Milliseconds(150);
// Rounds of questions after the start, as the first nodes that are asked may have started as well.
constexpr int kQuestionRounds = 3;
constexpr absl::Duration kQuestionInterval = absl::Milliseconds(500);
// Parts and requests that the notices of one crash tell of.
constexpr std::size_t kMaxParts = 2048;
constexpr std::size_t kMaxRequests = 512;
constexpr std::size_t kMaxCheckedWorkers = 4096;
// Crashes that a node which has started is told of.
constexpr std::size_t kMaxCrashesInReply = 64;

// A quarantine that is known for this long and not recorded is recorded by the node that admits its
// trials, as the one that imposed it may have ended before it could.
constexpr absl::Duration kUnrecordedAfter = absl::Seconds(5);

std::set<RequestContent> FirstOf(const std::set<RequestContent>& requests, std::size_t count) {
  auto end = requests.begin();
  std::advance(end, std::min(requests.size(), count));
  return {requests.begin(), end};
}

}  // namespace

QuarantineExchange::QuarantineExchange(std::string node, QuarantineExchangeParts parts)
    : node_(std::move(node)),
      parts_(std::move(parts)),
      due_timer_(parts_.loop->MakeTimer()),
      question_timer_(parts_.loop->MakeTimer()),
      pieces_timer_(parts_.loop->MakeTimer()),
      questions_left_(kQuestionRounds) {
  parts_.record->SetListener({[this](const Quarantine& quarantine) { OnRecorded(quarantine); },
                              [this](const std::string& id) { OnRecordRemoved(id); },
                              [this] { RecordMissing(); }});
}

QuarantineExchange::~QuarantineExchange() = default;

void QuarantineExchange::SetNodes(std::vector<StreamNode> nodes) {
  const bool first = nodes_.empty();
  nodes_ = std::move(nodes);
  if (first && !nodes_.empty()) {
    AskNodes();
  }
}

void QuarantineExchange::AskNodes() {
  if (questions_left_ == 0) {
    return;
  }
  --questions_left_;
  const std::string bytes = EncodeFleetMessage(QuarantineQuestion{address_});
  for (const StreamNode& node : PossibleHolders(node_, nodes_, node_)) {
    parts_.send(node.address, bytes);
  }
  question_timer_->Set(parts_.loop->Now() + kQuestionInterval, [this] { AskNodes(); });
}

void QuarantineExchange::OnQuestion(const QuarantineQuestion& question) {
  for (const Quarantine& quarantine : quarantine_.quarantines()) {
    parts_.send(question.reply_address, EncodeFleetMessage(NoticeOf(quarantine)));
  }
  std::size_t told = 0;
  for (const auto& [worker_id, check] : checked_workers_) {
    if (!check.crashed) {
      continue;
    }
    const CrashNotice notice{
        worker_id, {}, {}, address_, FirstOf(crashing_requests_.EndedBy(worker_id), kMaxRequests)};
    if (!notice.requests.empty() && told < kMaxCrashesInReply) {
      ++told;
      for (const CrashNotice& piece : SplitNotice(notice)) {
        parts_.send(question.reply_address, EncodeFleetMessage(piece));
      }
    }
  }
}

void QuarantineExchange::OnAttemptBroken(const std::string& worker_id,
                                         const std::string& worker_address,
                                         const std::string& service, const PromptPartIds& parts) {
  if (!parts.empty()) {
    CheckWorker(worker_id, worker_address, service, parts);
  }
}

void QuarantineExchange::CheckWorker(const std::string& worker_id, const std::string& address,
                                     const std::string& service, const PromptPartIds& parts) {
  unchecked_workers_.erase(worker_id);
  const auto known = checked_workers_.find(worker_id);
  if (known != checked_workers_.end()) {
    WorkerCheck& check = known->second;
    if (check.parts.empty() && !parts.empty()) {
      check.service = service;
      check.parts = parts;
      if (check.crashed) {
        OnCrashConfirmed(worker_id, &check);
      }
    }
    return;
  }
  if (checked_workers_.size() >= kMaxCheckedWorkers) {
    checked_workers_.clear();
  }
  checked_workers_[worker_id] = {false, service, parts};
  parts_.probe(address, [this, worker_id](bool answered) {
    if (answered) {
      OnAlive(worker_id);
      return;
    }
    WorkerCheck& check = checked_workers_[worker_id];
    check.crashed = true;
    OnCrashConfirmed(worker_id, &check);
  });
}

void QuarantineExchange::OnAlive(const std::string& worker_id) {
  checked_workers_.erase(worker_id);
  crashing_requests_.RetractEnds(worker_id);
  if (told_early_.erase(worker_id) > 0) {
    SendToAll(CrashRetraction{worker_id});
  }
}

void QuarantineExchange::OnRequestInterrupted(RequestContent request, const std::string& worker_id,
                                              const std::string& worker_address) {
  const absl::Time now = parts_.loop->Now();
  crashing_requests_.RecordEnd(request, worker_id, now);
  if (!checked_workers_.contains(worker_id)) {
    if (unchecked_workers_.size() >= kMaxCheckedWorkers) {
      unchecked_workers_.clear();
    }
    unchecked_workers_[worker_id] = worker_address;
  }
  if (crashing_requests_.EndsUnder(request) > 1) {
    OnRequestFailed(request);
  }
}

void QuarantineExchange::OnRequestFailed(RequestContent request) {
  for (const std::string& worker_id : crashing_requests_.WorkersEndedUnder(request)) {
    const auto unchecked = unchecked_workers_.find(worker_id);
    if (unchecked != unchecked_workers_.end()) {
      const std::string address = unchecked->second;
      CheckWorker(worker_id, address, {}, {});
    }
    const auto check = checked_workers_.find(worker_id);
    if (check == checked_workers_.end() || !check->second.told.insert(request).second) {
      continue;  // Another node has told of it, or this one.
    }
    // The caller's next try may come before the worker was checked.
    if (!check->second.crashed) {
      told_early_.insert(worker_id);
    }
    SendToAll(CrashNotice{worker_id, {}, {}, address_, {request}});
  }
}

void QuarantineExchange::RecordServed(RequestContent request) {
  crashing_requests_.RecordServed(request, parts_.loop->Now());
}

absl::Duration QuarantineExchange::RefusedFor(RequestContent request) const {
  return crashing_requests_.RefusedFor(request, parts_.loop->Now());
}

void QuarantineExchange::OnRetraction(const CrashRetraction& retraction) {
  crashing_requests_.RetractEnds(retraction.worker_id);
}

void QuarantineExchange::OnServed(const ServedRequests& served) {
  for (const RequestContent request : served.requests) {
    RecordServed(request);
  }
  if (!served.to_all && !served.requests.empty()) {
    SendToAll(ServedRequests{served.requests, true});
  }
}

void QuarantineExchange::TakeOverRequests(const CrashNotice& notice) {
  const absl::Time now = parts_.loop->Now();
  ServedRequests served;
  for (const RequestContent request : notice.requests) {
    if (crashing_requests_.WasServed(request, now)) {
      served.requests.insert(request);
    } else {
      crashing_requests_.RecordEnd(request, notice.worker_id, now);
    }
  }
  if (!served.requests.empty()) {
    parts_.send(notice.reply_address, EncodeFleetMessage(served));
  }
}

void QuarantineExchange::OnCrashConfirmed(const std::string& worker_id, WorkerCheck* check) {
  const PromptPartIds& parts = check->parts;
  ++parts_.metrics->worker_crashes;
  Log("worker_crashed", check->service, parts, {worker_id});
  quarantine_.RecordCrash(worker_id, check->service, parts, true, parts_.loop->Now());
  told_early_.erase(worker_id);
  const CrashNotice notice{worker_id, check->service,
                           quarantine_.MostSuspect(worker_id, check->service, parts, kMaxParts),
                           address_, FirstOf(crashing_requests_.EndedBy(worker_id), kMaxRequests)};
  check->told.insert(notice.requests.begin(), notice.requests.end());
  for (const CrashNotice& piece : SplitNotice(notice)) {
    SendToAll(piece);
  }
  SetDueTimer();
}

void QuarantineExchange::OnCrash(const CrashNotice& notice) {
  TakeOverRequests(notice);
  if (const auto whole = pieces_.Add(notice, parts_.loop->Now())) {
    OnWholeCrash(*whole);
  }
  const absl::Time overdue = pieces_.NextOverdue();
  if (overdue != absl::InfiniteFuture()) {
    pieces_timer_->Set(overdue, [this] { TakeOverduePieces(); });
  }
}

void QuarantineExchange::TakeOverduePieces() {
  for (const CrashNotice& notice : pieces_.TakeOverdue(parts_.loop->Now())) {
    OnWholeCrash(notice);
  }
  const absl::Time overdue = pieces_.NextOverdue();
  if (overdue != absl::InfiniteFuture()) {
    pieces_timer_->Set(overdue, [this] { TakeOverduePieces(); });
  }
}

void QuarantineExchange::OnWholeCrash(const CrashNotice& notice) {
  const absl::Time now = parts_.loop->Now();
  if (const Quarantine* const known = quarantine_.Find(notice.service, notice.parts, now)) {
    parts_.send(notice.reply_address, EncodeFleetMessage(NoticeOf(*known)));
  }
  quarantine_.RecordCrash(notice.worker_id, notice.service, notice.parts, false, now);
  SetDueTimer();
}

void QuarantineExchange::SetDueTimer() {
  const absl::Time due = quarantine_.NextDue();
  if (due != absl::InfiniteFuture()) {
    due_timer_->Set(std::max(due, parts_.loop->Now()), [this] { ImposeDue(); });
  }
}

void QuarantineExchange::ImposeDue() {
  const auto imposed = quarantine_.ImposeDue(parts_.loop->Now());
  for (const auto& [quarantine, replaced] : imposed) {
    ++parts_.metrics->quarantines;
    Log("quarantine_imposed", quarantine.service, quarantine.parts, quarantine.workers);
    SendToAll(NoticeOf(quarantine));
    parts_.record->Add(quarantine);
    for (const std::string& id : replaced) {
      RemoveRecord(id);
    }
  }
  if (!imposed.empty()) {
    parts_.on_quarantine();
  }
  SetDueTimer();
}

QuarantineNotice QuarantineExchange::NoticeOf(const Quarantine& quarantine) const {
  const absl::Time now = parts_.loop->Now();
  QuarantineNotice notice;
  notice.service = quarantine.service;
  notice.parts = quarantine.parts;
  notice.workers = quarantine.workers;
  notice.since_ms = static_cast<int>(std::min<std::int64_t>(
      absl::ToInt64Milliseconds(now - quarantine.since), std::numeric_limits<int>::max()));
  notice.id = quarantine.id;
  notice.reply_address = address_;
  notice.provisional = quarantine.provisional;
  return notice;
}

void QuarantineExchange::OnQuarantine(const QuarantineNotice& notice) {
  const absl::Time now = parts_.loop->Now();
  if (notice.parts.empty()) {
    return;
  }
  Quarantine quarantine;
  quarantine.id = notice.id;
  quarantine.service = notice.service;
  quarantine.parts = notice.parts;
  quarantine.workers = notice.workers;
  quarantine.since = now - absl::Milliseconds(std::max(notice.since_ms, 0));
  quarantine.provisional = notice.provisional;
  const PromptPartIds answered = TakeOver(quarantine);
  if (!answered.empty()) {
    parts_.send(notice.reply_address, EncodeFleetMessage(ClearedParts{notice.service, answered}));
  }
}

PromptPartIds QuarantineExchange::TakeOver(const Quarantine& quarantine) {
  const absl::Time now = parts_.loop->Now();
  const bool known = quarantine_.Find(quarantine.service, quarantine.parts, now) != nullptr;
  PromptPartIds answered = quarantine_.Apply(quarantine, now);
  if (!known && answered.size() < quarantine.parts.size()) {
    Log("quarantine_taken_over", quarantine.service, quarantine.parts, quarantine.workers);
    parts_.on_quarantine();
  }
  return answered;
}

void QuarantineExchange::OnRecorded(const Quarantine& quarantine) {
  const PromptPartIds answered = TakeOver(quarantine);
  if (!answered.empty()) {
    Quarantine narrowed = quarantine;
    std::erase_if(narrowed.parts, [&](const auto& part) { return answered.contains(part); });
    parts_.record->Narrow(narrowed);
    return;
  }
  // A narrower quarantine makes the row superfluous.
  const Quarantine* const narrower =
      quarantine_.Find(quarantine.service, quarantine.parts, parts_.loop->Now());
  if (narrower != nullptr && narrower->id != quarantine.id && AdmitsTrials(*narrower)) {
    RemoveRecord(quarantine.id);
  }
}

void QuarantineExchange::OnRecordRemoved(const std::string& id) {
  LogNarrowed(quarantine_.Remove(id));
}

void QuarantineExchange::RecordMissing() {
  const absl::Time now = parts_.loop->Now();
  for (const Quarantine& quarantine : quarantine_.quarantines()) {
    if (parts_.record->Has(quarantine.id) || now - quarantine.since < kUnrecordedAfter) {
      continue;
    }
    if (const std::optional<StreamNode> trial_node = TrialNode(quarantine)) {
      parts_.send(trial_node->address, EncodeFleetMessage(NoticeOf(quarantine)));
    } else {
      parts_.record->Add(quarantine);
    }
  }
}

void QuarantineExchange::RemoveRecord(const std::string& id) {
  Quarantine lifted;
  lifted.id = id;
  parts_.record->Narrow(lifted);
}

void QuarantineExchange::OnCleared(const ClearedParts& cleared) {
  if (!cleared.to_all) {
    RecordAnswered(cleared.service, cleared.parts);
    return;
  }
  const auto narrowed =
      quarantine_.RecordAnswered(cleared.service, cleared.parts, parts_.loop->Now());
  LogNarrowed(narrowed);
  for (const auto& [quarantine, parts_before] : narrowed) {
    parts_.record->NarrowOwn(quarantine);
  }
}

void QuarantineExchange::RecordAnswered(const std::string& service, const PromptPartIds& parts) {
  if (parts.empty()) {
    return;
  }
  const auto narrowed = quarantine_.RecordAnswered(service, parts, parts_.loop->Now());
  LogNarrowed(narrowed);
  // Only the parts that left a quarantine, as others are of no use to the other nodes.
  ClearedParts cleared{service, {}, true};
  for (const auto& [quarantine, parts_before] : narrowed) {
    parts_.record->Narrow(quarantine);
    std::set_difference(parts_before.begin(), parts_before.end(), quarantine.parts.begin(),
                        quarantine.parts.end(), std::inserter(cleared.parts, cleared.parts.end()));
  }
  if (!cleared.parts.empty()) {
    SendToAll(cleared);
  }
}

void QuarantineExchange::LogNarrowed(const std::vector<NarrowedQuarantine>& narrowed) const {
  for (const auto& [quarantine, parts_before] : narrowed) {
    const bool lifted = quarantine.parts.empty();
    Log(lifted ? "quarantine_lifted" : "quarantine_narrowed", quarantine.service,
        lifted ? parts_before : quarantine.parts, quarantine.workers);
  }
}

std::optional<StreamNode> QuarantineExchange::TrialNode(const Quarantine& quarantine) const {
  const std::vector<StreamNode> chosen = ChooseHolders(
      absl::StrCat(quarantine.service, " ", absl::StrJoin(quarantine.parts, " ")), nodes_, "");
  return chosen.empty() || chosen.front().name == node_ ? std::nullopt
                                                        : std::make_optional(chosen.front());
}

QuarantineVerdict QuarantineExchange::Admit(const std::string& service,
                                            const PromptPartIds& parts) {
  const absl::Time now = parts_.loop->Now();
  Quarantine* const quarantine = quarantine_.Find(service, parts, now);
  if (quarantine == nullptr) {
    return {};
  }
  if (quarantine_.TakeTrial(quarantine, now) && AdmitsTrials(*quarantine)) {
    Log("quarantine_trial", service, quarantine->parts, {});
    return {QuarantineVerdict::Kind::kTrial, {}};
  }
  if (quarantine_.NoteRefused(quarantine, now)) {
    SendToAll(NoticeOf(*quarantine));
  }
  return {QuarantineVerdict::Kind::kRefused, quarantine_.RetryAfter(*quarantine, now)};
}

std::optional<absl::Duration> QuarantineExchange::RetryAfter(const std::string& service,
                                                             const PromptPartIds& parts) {
  const absl::Time now = parts_.loop->Now();
  const Quarantine* const quarantine = quarantine_.Find(service, parts, now);
  return quarantine == nullptr ? std::nullopt
                               : std::make_optional(quarantine_.RetryAfter(*quarantine, now));
}

bool QuarantineExchange::MayRepeat(const std::string& service, const PromptPartIds& parts) const {
  return quarantine_.MayRepeat(service, parts, parts_.loop->Now());
}

void QuarantineExchange::SendToAll(const FleetMessage& message) {
  broadcasts_.remove_if([](const Broadcast& each) { return each.left == 0; });
  Broadcast broadcast{EncodeFleetMessage(message), {}, kRounds, parts_.loop->MakeTimer()};
  if (const auto* const notice = std::get_if<QuarantineNotice>(&message)) {
    broadcast.quarantine_id = notice->id;
  }
  broadcasts_.push_back(std::move(broadcast));
  SendRound(std::prev(broadcasts_.end()));
}

void QuarantineExchange::SendRound(std::list<Broadcast>::iterator broadcast) {
  if (!broadcast->quarantine_id.empty()) {
    const Quarantine* const quarantine = quarantine_.FindById(broadcast->quarantine_id);
    if (quarantine == nullptr) {
      broadcast->left = 0;
      return;
    }
    // Its age and parts may have changed since the round before.
    broadcast->bytes = EncodeFleetMessage(NoticeOf(*quarantine));
  }
  for (const StreamNode& node : nodes_) {
    if (node.name != node_ && !node.address.empty()) {
      ++parts_.metrics->quarantine_datagrams;
      parts_.send(node.address, broadcast->bytes);
    }
  }
  if (--broadcast->left > 0) {
    broadcast->timer->Set(parts_.loop->Now() + kRoundInterval,
                          [this, broadcast] { SendRound(broadcast); });
  }
}

void QuarantineExchange::Log(absl::string_view event, const std::string& service,
                             const PromptPartIds& parts,
                             const std::set<std::string>& workers) const {
  parts_.log->Write(LogLevel::kWarning, event,
                    {{"service", service},
                     {"parts", absl::StrJoin(parts, ",")},
                     {"workers", absl::StrJoin(workers, ",")}});
}

}  // namespace hingespan::gateway
