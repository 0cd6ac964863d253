#include "hingespan/serving/prompt_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace hingespan::gateway {
namespace {

bool HasAll(const PromptPartIds& parts, const PromptPartIds& wanted) {
  return std::includes(parts.begin(), parts.end(), wanted.begin(), wanted.end());
}

// Nodes that impose the same quarantine give it the same id.
std::string IdOf(const std::string& service, const PromptPartIds& parts) {
  const std::string text = absl::StrCat(service, "\n", absl::StrJoin(parts, "\n"));
  return absl::StrCat(absl::Hex(XXH3_64bits(text.data(), text.size()), absl::kZeroPad16));
}

// Times of the crashes, in their order.
std::vector<absl::Time> TimesOf(const std::map<std::string, absl::Time>& crashes) {
  std::vector<absl::Time> times;
  times.reserve(crashes.size());
  for (const auto& [worker, at] : crashes) {
    times.push_back(at);
  }
  std::sort(times.begin(), times.end());
  return times;
}

}  // namespace

std::vector<NarrowedQuarantine> PromptQuarantine::RecordAnswered(const std::string& service,
                                                                 const PromptPartIds& parts,
                                                                 absl::Time now) {
  for (const std::string& part : parts) {
    const PartKey key{service, part};
    answered_[key] = now;
    evidence_.erase(key);
  }
  PruneAnswered(now);
  std::vector<NarrowedQuarantine> narrowed;
  for (Quarantine& each : quarantines_) {
    PromptPartIds left = each.parts;
    std::erase_if(left, [&](const std::string& part) { return parts.contains(part); });
    if (each.service == service && left.size() < each.parts.size()) {
      std::swap(each.parts, left);
      narrowed.push_back({each, std::move(left)});
    }
  }
  std::erase_if(quarantines_, [](const Quarantine& each) { return each.parts.empty(); });
  return narrowed;
}

void PromptQuarantine::RecordCrash(const std::string& worker, const std::string& service,
                                   const PromptPartIds& parts, bool own, absl::Time now) {
  Expire(now);
  if (TakeExplained(worker, service, parts, now)) {
    return;
  }
  for (const std::string& part : parts) {
    Evidence& evidence = evidence_[{service, part}];
    evidence.crashes.try_emplace(worker, now);
    evidence.own = evidence.own || own;
  }
  BoundEvidence();
}

PromptPartIds PromptQuarantine::MostSuspect(const std::string& worker, const std::string& service,
                                            const PromptPartIds& parts, std::size_t count) const {
  if (parts.size() <= count) {
    return parts;
  }
  using Rank = std::pair<bool, std::uint64_t>;
  const std::uint64_t seed = XXH3_64bits(worker.data(), worker.size());
  std::vector<std::pair<Rank, const std::string*>> ranked;
  ranked.reserve(parts.size());
  for (const std::string& part : parts) {
    const bool answered = answered_.contains(PartKey{service, part});
    ranked.push_back({{answered, XXH3_64bits_withSeed(part.data(), part.size(), seed)}, &part});
  }
  std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                   ranked.end());
  PromptPartIds most_suspect;
  for (std::size_t index = 0; index < count; ++index) {
    most_suspect.insert(*ranked[index].second);
  }
  return most_suspect;
}

void PromptQuarantine::BoundEvidence() {
  if (evidence_.size() <= settings_.max_suspected_parts) {
    return;
  }
  // Parts of fewer crashes go first, then those of earlier ones. Half of them, so that a storm
  // doesn't sort at each crash.
  using Rank = std::pair<std::size_t, absl::Time>;
  std::vector<std::pair<Rank, PartKey>> ranked;
  ranked.reserve(evidence_.size());
  for (const auto& [key, evidence] : evidence_) {
    absl::Time last = absl::InfinitePast();
    for (const auto& [worker, at] : evidence.crashes) {
      last = std::max(last, at);
    }
    ranked.push_back({{evidence.crashes.size(), last}, key});
  }
  const auto kept = ranked.end() - static_cast<std::ptrdiff_t>(settings_.max_suspected_parts / 2);
  std::nth_element(ranked.begin(), kept, ranked.end());
  for (auto it = ranked.begin(); it != kept; ++it) {
    evidence_.erase(it->second);
  }
}

bool PromptQuarantine::TakeExplained(const std::string& worker, const std::string& service,
                                     const PromptPartIds& parts, absl::Time now) {
  bool explained = false;
  for (Quarantine& each : quarantines_) {
    if (each.service != service) {
      continue;
    }
    if (each.workers.contains(worker)) {
      return true;
    }
    if (HasAll(parts, each.parts)) {
      explained = true;
      if (each.provisional && now - each.since >= settings_.first_provisional_trial) {
        Confirm(&each, now);
      }
    }
  }
  return explained;
}

void PromptQuarantine::Confirm(Quarantine* quarantine, absl::Time now) const {
  quarantine->provisional = false;
  quarantine->next_trial = NextTrial(*quarantine, now);
}

std::size_t PromptQuarantine::CountEvents(const std::vector<absl::Time>& crashes) const {
  std::size_t events = 0;
  absl::Time last = absl::InfinitePast();
  for (const absl::Time at : crashes) {
    events += at - last > settings_.same_event ? 1 : 0;
    last = at;
  }
  return events;
}

std::size_t PromptQuarantine::CrashesNeeded(const PartKey& key) const {
  const int needed = settings_.crashes + (answered_.contains(key) ? settings_.more_if_answered : 0);
  return static_cast<std::size_t>(needed);
}

absl::Time PromptQuarantine::DueAt(const PartKey& key, const Evidence& evidence) const {
  const std::size_t needed = CrashesNeeded(key);
  if (!evidence.own || evidence.crashes.size() < needed) {
    return absl::InfiniteFuture();
  }
  return TimesOf(evidence.crashes)[needed - 1] + settings_.settling_time;
}

absl::Time PromptQuarantine::NextDue() const {
  absl::Time due = absl::InfiniteFuture();
  for (const auto& [key, evidence] : evidence_) {
    due = std::min(due, DueAt(key, evidence));
  }
  return due;
}

std::vector<PromptQuarantine::Imposed> PromptQuarantine::ImposeDue(absl::Time now) {
  Expire(now);
  std::vector<Imposed> imposed;
  while (const PartKey* const key = StrongestDue(now)) {
    Quarantine quarantine;
    quarantine.service = key->first;
    for (const auto& [worker, at] : evidence_.at(*key).crashes) {
      quarantine.workers.insert(worker);
    }
    quarantine.parts =
        PartsOfCrashes(quarantine.service, quarantine.workers, answered_.contains(*key));
    const std::vector<absl::Time> crashes = TimesOf(evidence_.at(*key).crashes);
    quarantine.since = crashes.front();
    quarantine.provisional = CountEvents(crashes) < CrashesNeeded(*key);
    quarantine.id = IdOf(quarantine.service, quarantine.parts);
    quarantine.last_request = now;
    quarantine.last_notice = now;
    quarantine.next_trial = NextTrial(quarantine, now);
    Explain(quarantine.workers);
    std::vector<std::string> replaced = RemoveCovered(quarantine.service, quarantine.parts);
    if (quarantines_.size() >= settings_.max_quarantines) {
      const auto unused = std::min_element(quarantines_.begin(), quarantines_.end(),
                                           [](const Quarantine& left, const Quarantine& right) {
                                             return left.last_request < right.last_request;
                                           });
      replaced.push_back(unused->id);
      quarantines_.erase(unused);
    }
    quarantines_.push_back(quarantine);
    imposed.push_back({std::move(quarantine), std::move(replaced)});
  }
  return imposed;
}

const PromptQuarantine::PartKey* PromptQuarantine::StrongestDue(absl::Time now) const {
  const PartKey* strongest = nullptr;
  std::pair<bool, std::size_t> highest;
  for (const auto& [key, evidence] : evidence_) {
    const std::pair rank{!answered_.contains(key), evidence.crashes.size()};
    if (DueAt(key, evidence) <= now && (strongest == nullptr || rank > highest)) {
      strongest = &key;
      highest = rank;
    }
  }
  return strongest;
}

PromptPartIds PromptQuarantine::PartsOfCrashes(const std::string& service,
                                               const std::set<std::string>& workers,
                                               bool with_answered) const {
  PromptPartIds parts;
  for (const auto& [key, evidence] : evidence_) {
    const auto& crashes = evidence.crashes;
    const bool all = std::all_of(workers.begin(), workers.end(), [&](const std::string& worker) {
      return crashes.contains(worker);
    });
    if (key.first == service && all && (with_answered || !answered_.contains(key))) {
      parts.insert(key.second);
    }
  }
  return parts;
}

void PromptQuarantine::Explain(const std::set<std::string>& workers) {
  for (auto entry = evidence_.begin(); entry != evidence_.end();) {
    for (const std::string& worker : workers) {
      entry->second.crashes.erase(worker);
    }
    entry = entry->second.crashes.empty() ? evidence_.erase(entry) : std::next(entry);
  }
}

std::vector<std::string> PromptQuarantine::RemoveCovered(const std::string& service,
                                                         const PromptPartIds& parts) {
  std::vector<std::string> removed;
  std::erase_if(quarantines_, [&](const Quarantine& each) {
    const bool covered = each.service == service && HasAll(each.parts, parts);
    if (covered) {
      removed.push_back(each.id);
    }
    return covered;
  });
  return removed;
}

const Quarantine* PromptQuarantine::FindById(const std::string& id) const {
  const auto found = std::find_if(quarantines_.begin(), quarantines_.end(),
                                  [&](const Quarantine& each) { return each.id == id; });
  return found == quarantines_.end() ? nullptr : &*found;
}

std::vector<NarrowedQuarantine> PromptQuarantine::Remove(const std::string& id) {
  std::vector<NarrowedQuarantine> removed;
  std::erase_if(quarantines_, [&](const Quarantine& each) {
    if (each.id == id) {
      removed.push_back({each, each.parts});
      removed.back().quarantine.parts.clear();
    }
    return each.id == id;
  });
  return removed;
}

PromptPartIds PromptQuarantine::Apply(const Quarantine& quarantine, absl::Time now) {
  Expire(now);
  PromptPartIds answered;
  Quarantine kept = quarantine;
  if (kept.id.empty()) {
    kept.id = IdOf(kept.service, kept.parts);  // Nodes of an earlier release give none.
  }
  kept.since = std::min(kept.since, now);
  kept.last_request = now;
  kept.last_notice = now;
  for (const std::string& part : quarantine.parts) {
    if (AnsweredAt({quarantine.service, part}) > kept.since) {
      answered.insert(part);
      kept.parts.erase(part);
    }
  }
  if (kept.parts.empty()) {
    return answered;
  }
  // A late notice doesn't widen a quarantine that was narrowed meanwhile.
  for (Quarantine& each : quarantines_) {
    if (each.service == kept.service && HasAll(kept.parts, each.parts)) {
      each.last_notice = now;
      if (each.provisional && !kept.provisional) {
        Confirm(&each, now);
      }
      Explain(kept.workers);
      each.workers.merge(kept.workers);
      return answered;
    }
  }
  if (quarantines_.size() >= settings_.max_quarantines) {
    return answered;
  }
  kept.next_trial = NextTrial(kept, now);
  Explain(kept.workers);
  RemoveCovered(kept.service, kept.parts);
  quarantines_.push_back(std::move(kept));
  return answered;
}

Quarantine* PromptQuarantine::Find(const std::string& service, const PromptPartIds& parts,
                                   absl::Time now) {
  if (quarantines_.empty()) {
    return nullptr;
  }
  Expire(now);
  const auto found = std::find_if(
      quarantines_.begin(), quarantines_.end(),
      [&](const Quarantine& each) { return each.service == service && HasAll(parts, each.parts); });
  return found == quarantines_.end() ? nullptr : &*found;
}

bool PromptQuarantine::TakeTrial(Quarantine* quarantine, absl::Time now) {
  if (now < quarantine->next_trial) {
    return false;
  }
  quarantine->next_trial = NextTrial(*quarantine, now);
  return true;
}

absl::Duration PromptQuarantine::RetryAfter(const Quarantine& quarantine, absl::Time now) const {
  return quarantine.provisional
             ? std::max(quarantine.next_trial - now, settings_.first_provisional_trial)
             : std::max(quarantine.next_trial - now, settings_.first_trial);
}

absl::Time PromptQuarantine::NextTrial(const Quarantine& quarantine, absl::Time now) const {
  if (quarantine.provisional) {
    for (absl::Duration age = settings_.first_provisional_trial; age < settings_.first_trial;
         age *= 2) {
      if (quarantine.since + age > now) {
        return quarantine.since + age;
      }
    }
  }
  absl::Duration interval = settings_.first_trial;
  absl::Time next = quarantine.since + interval;
  while (next <= now) {
    interval *= settings_.trial_backoff;
    next += interval;
  }
  return next;
}

bool PromptQuarantine::NoteRefused(Quarantine* quarantine, absl::Time now) {
  quarantine->last_request = now;
  const bool due = now - quarantine->last_notice >= settings_.notice_interval;
  if (due) {
    quarantine->last_notice = now;
  }
  return due;
}

bool PromptQuarantine::MayRepeat(const std::string& service, const PromptPartIds& parts,
                                 absl::Time now) const {
  const bool quarantined = std::any_of(
      quarantines_.begin(), quarantines_.end(),
      [&](const Quarantine& each) { return each.service == service && HasAll(parts, each.parts); });
  return !quarantined && std::none_of(parts.begin(), parts.end(), [&](const std::string& part) {
    const PartKey key{service, part};
    const auto entry = evidence_.find(key);
    if (entry == evidence_.end() || now - AnsweredAt(key) <= settings_.recent_answer) {
      return false;
    }
    const auto& crashes = entry->second.crashes;
    const auto recent = std::count_if(crashes.begin(), crashes.end(), [&](const auto& crash) {
      return now - crash.second <= settings_.no_repeat_lifetime;
    });
    return recent >= settings_.crashes_before_no_repeat;
  });
}

absl::Time PromptQuarantine::AnsweredAt(const PartKey& key) const {
  const auto entry = answered_.find(key);
  return entry == answered_.end() ? absl::InfinitePast() : entry->second;
}

void PromptQuarantine::Expire(absl::Time now) {
  for (auto entry = evidence_.begin(); entry != evidence_.end();) {
    std::erase_if(entry->second.crashes, [&](const auto& crash) {
      return now - crash.second > settings_.evidence_lifetime;
    });
    entry = entry->second.crashes.empty() ? evidence_.erase(entry) : std::next(entry);
  }
}

void PromptQuarantine::PruneAnswered(absl::Time now) {
  if (answered_.size() <= settings_.max_answered_parts) {
    return;
  }
  // Half of them, so that it isn't done at each answer.
  std::vector<absl::Time> times;
  times.reserve(answered_.size());
  for (const auto& [key, at] : answered_) {
    times.push_back(at);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  absl::erase_if(answered_,
                 [oldest = *middle](const auto& entry) { return entry.second < oldest; });
  if (answered_.size() > settings_.max_answered_parts) {
    answered_.clear();  // Too many are of one time.
  }
}

}  // namespace hingespan::gateway
