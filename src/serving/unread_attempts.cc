#include "hingespan/serving/unread_attempts.h"

#include <algorithm>
#include <vector>

namespace hingespan::gateway {
namespace {

// An attempt that is not known to be read after this time is overdue.
constexpr absl::Duration kReadTime = absl::Seconds(1);
// Bytes that come from a recipient this long after an attempt was sent were written after it had
// arrived there.
constexpr absl::Duration kDeliveryTime = absl::Milliseconds(250);
// A recipient that has been silent for longer is taken to have ended with what it had not read.
constexpr absl::Duration kLongestSilence = absl::Seconds(30);

}  // namespace

UnreadAttempts::Key UnreadAttempts::Add(const std::string& service, const std::string& recipient,
                                        absl::Time sent) {
  DropOutdated(sent);
  const Key key = ++last_key_;
  attempts_.emplace(key, Attempt{service, recipient, sent});
  by_recipient_[recipient].insert(key);
  return key;
}

void UnreadAttempts::CountAsRetry(Key key) {
  const auto attempt = attempts_.find(key);
  if (attempt != attempts_.end()) {
    attempt->second.is_retry = true;
  }
}

void UnreadAttempts::RemoveFromRecipient(Key key, const std::string& recipient) {
  const auto keys = by_recipient_.find(recipient);
  if (keys == by_recipient_.end()) {
    return;
  }
  keys->second.erase(key);
  if (keys->second.empty()) {
    by_recipient_.erase(keys);
  }
}

void UnreadAttempts::Remove(Key key) {
  const auto attempt = attempts_.find(key);
  if (attempt == attempts_.end()) {
    return;
  }
  RemoveFromRecipient(key, attempt->second.recipient);
  attempts_.erase(attempt);
}

void UnreadAttempts::OnRead(Key key, absl::Time now) {
  const auto entry = attempts_.find(key);
  if (entry == attempts_.end() || entry->second.read != absl::InfiniteFuture()) {
    return;
  }
  Attempt& attempt = entry->second;
  if (!attempt.is_retry || now - attempt.sent <= kReadTime) {
    Remove(key);
    return;
  }
  attempt.read = now;
  RemoveFromRecipient(key, attempt.recipient);
}

void UnreadAttempts::OnNotSent(Key key) { Remove(key); }

UnreadAttempts::OverdueReading UnreadAttempts::OnHeard(const std::string& recipient,
                                                       absl::Time now) {
  OverdueReading reading;
  const auto entry = by_recipient_.find(recipient);
  if (entry == by_recipient_.end()) {
    return reading;
  }
  const std::vector<Key> keys(entry->second.begin(), entry->second.end());
  for (const Key key : keys) {
    const absl::Duration age = now - attempts_.at(key).sent;
    if (age < kDeliveryTime) {
      break;  // Keys rise with time.
    }
    if (age > kReadTime) {
      ++reading.attempts;
      reading.longest = std::max(reading.longest, age);
    }
    OnRead(key, now);
  }
  return reading;
}

absl::Time UnreadAttempts::OldestUnread(const std::string& recipient, absl::Time now) const {
  const auto keys = by_recipient_.find(recipient);
  if (keys == by_recipient_.end()) {
    return absl::InfiniteFuture();
  }
  for (const Key key : keys->second) {
    const absl::Time sent = attempts_.at(key).sent;
    if (now - sent <= kLongestSilence) {
      return sent;
    }
  }
  return absl::InfiniteFuture();
}

int UnreadAttempts::CountOverdue(const std::string& service, absl::Time now) const {
  const auto is_overdue = [&](const auto& entry) {
    const Attempt& attempt = entry.second;
    return attempt.service == service && attempt.read == absl::InfiniteFuture() &&
           now - attempt.sent > kReadTime;
  };
  return static_cast<int>(std::count_if(attempts_.begin(), attempts_.end(), is_overdue));
}

absl::Time UnreadAttempts::ChargeEnd(const Attempt& attempt) const {
  return std::min(attempt.read, attempt.sent + kLongestSilence) + window_;
}

double UnreadAttempts::Charge(const std::string& service, absl::Time begin, absl::Time end) const {
  absl::Duration charged;
  for (const auto& [key, attempt] : attempts_) {
    if (attempt.service == service && attempt.is_retry) {
      const absl::Time from = std::max(begin, attempt.sent + kReadTime);
      charged += std::max(absl::ZeroDuration(), std::min(end, ChargeEnd(attempt)) - from);
    }
  }
  return absl::FDivDuration(charged, window_);
}

void UnreadAttempts::DropOutdated(absl::Time now) {
  std::vector<Key> outdated;
  for (const auto& [key, attempt] : attempts_) {
    // Tokens of the last window may not have been charged yet.
    if (now > ChargeEnd(attempt) + window_) {
      outdated.push_back(key);
    }
  }
  for (const Key key : outdated) {
    Remove(key);
  }
}

}  // namespace hingespan::gateway
