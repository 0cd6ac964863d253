#include "emulator/event_log.h"

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"

namespace hingespan::emulator {
namespace {

bool Matches(const LogEntry& entry, const LogFilter& filter) {
  if (filter.event.has_value() && EngineEventName(entry.event) != *filter.event) {
    return false;
  }
  if (!filter.worker.empty() && entry.worker != filter.worker) {
    return false;
  }
  if (!filter.model.empty() && entry.model != filter.model) {
    return false;
  }
  return filter.request.empty() || entry.request == filter.request;
}

}  // namespace

std::string_view EngineEventName(EngineEvent event) {
  switch (event) {
    case EngineEvent::kGenerateQueued:
      return "generate_queued";
    case EngineEvent::kGenerateBegin:
      return "generate_begin";
    case EngineEvent::kGenerateEnd:
      return "generate_end";
    case EngineEvent::kGenerateRefused:
      return "generate_refused";
    case EngineEvent::kLoadBegin:
      return "load_begin";
    case EngineEvent::kLoadReady:
      return "load_ready";
    case EngineEvent::kLoadFailed:
      return "load_failed";
    case EngineEvent::kUnloaded:
      return "unloaded";
    case EngineEvent::kOrderRefused:
      return "order_refused";
    case EngineEvent::kOvercommit:
      return "overcommit";
    case EngineEvent::kEngineRestart:
      return "engine_restart";
    case EngineEvent::kEngineEnded:
      return "engine_ended";
    case EngineEvent::kFenced:
      return "fenced";
  }
  return "unknown";
}

void EventLog::Append(LogEntry entry) {
  absl::MutexLock lock(&mutex_);
  entry.sequence = ++last_sequence_;
  Count(entry);
  entries_.push_back(std::move(entry));
  if (entries_.size() > entry_limit_) {
    entries_.pop_front();
  }
  appended_.SignalAll();
}

std::vector<LogEntry> EventLog::After(std::uint64_t after, std::size_t limit) const {
  absl::MutexLock lock(&mutex_);
  std::vector<LogEntry> found;
  for (std::size_t i = IndexAfter(after); i < entries_.size() && found.size() < limit; ++i) {
    found.push_back(entries_[i]);
  }
  return found;
}

std::optional<LogEntry> EventLog::WaitFor(std::uint64_t after, const LogFilter& filter,
                                          absl::Duration timeout) {
  const absl::Time deadline = absl::Now() + timeout;
  absl::MutexLock lock(&mutex_);
  std::uint64_t seen = after;
  while (true) {
    for (std::size_t i = IndexAfter(seen); i < entries_.size(); ++i) {
      if (Matches(entries_[i], filter)) {
        return entries_[i];
      }
    }
    seen = std::max(seen, last_sequence_);
    if (stopped_ || appended_.WaitWithDeadline(&mutex_, deadline)) {
      return std::nullopt;
    }
  }
}

void EventLog::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
  appended_.SignalAll();
}

LogTotals EventLog::totals() const {
  absl::MutexLock lock(&mutex_);
  return totals_;
}

std::size_t EventLog::IndexAfter(std::uint64_t after) const {
  const std::uint64_t dropped = last_sequence_ - entries_.size();
  return after <= dropped ? 0 : static_cast<std::size_t>(after - dropped);
}

void EventLog::Count(const LogEntry& entry) {
  if (entry.event == EngineEvent::kOvercommit) {
    ++totals_.overcommits;
  }
  if (entry.event == EngineEvent::kLoadBegin) {
    ++totals_.loads_begun;
    std::uint32_t& maximum = totals_.maximum_replicas[entry.model];
    maximum = std::max(maximum, entry.replicas_of_model);
  }
  if (entry.event == EngineEvent::kGenerateBegin) {
    ++totals_.runs[entry.request];
    if (!entry.key.empty()) {
      ++totals_.runs_by_key[entry.key];
    }
  }
}

}  // namespace hingespan::emulator
