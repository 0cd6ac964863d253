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

void UnreadAttempts::Remove(Key key) {
  const auto attempt = attempts_.find(key);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto keys = by_recipient_.find(attempt->second.recipient);
  keys->second.erase(key);
  if (keys->second.empty()) {
    by_recipient_.erase(keys);
  }
  attempts_.erase(attempt);
}

void UnreadAttempts::OnRead(Key key, absl::Time) { Remove(key); }

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

int UnreadAttempts::CountOverdue(const std::string& service, absl::Time now) const {
  return static_cast<int>(std::count_if(attempts_.begin(), attempts_.end(), [&](const auto& entry) {
    return entry.second.service == service && now - entry.second.sent > kReadTime;
  }));
}

void UnreadAttempts::DropOutdated(absl::Time now) {
  std::vector<Key> outdated;
  for (const auto& [key, attempt] : attempts_) {
    if (now - attempt.sent > kLongestSilence) {
      outdated.push_back(key);
    }
  }
  for (const Key key : outdated) {
    Remove(key);
  }
}

}  // namespace hingespan::gateway
