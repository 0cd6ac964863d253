#include "hingespan/serving/decision_log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/common/log_line.h"

namespace hingespan::gateway {

DecisionLog::DecisionLog(int descriptor, Clock* clock, const DecisionLogLimits& limits)
    : descriptor_(descriptor), clock_(clock), limits_(limits) {
  if (descriptor_ >= 0) {
    const int flags = fcntl(descriptor_, F_GETFL);
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

void DecisionLog::SetSource(std::string program, std::string node, std::string zone) {
  program_ = std::move(program);
  node_ = std::move(node);
  zone_ = std::move(zone);
}

bool DecisionLog::Admit(absl::string_view event, std::uint64_t* left_out_before) {
  const absl::Time now = clock_->Now();
  auto entry = buckets_.find(event);
  if (entry == buckets_.end()) {
    entry = buckets_.emplace(std::string(event), Bucket{limits_.burst, now, 0}).first;
  }
  Bucket& bucket = entry->second;
  const double elapsed = absl::ToDoubleSeconds(now - bucket.last_refill);
  bucket.tokens = std::min(limits_.burst, bucket.tokens + elapsed * limits_.lines_per_second);
  bucket.last_refill = now;
  if (bucket.tokens < 1.0) {
    ++bucket.left_out;
    ++left_out_;
    return false;
  }
  bucket.tokens -= 1.0;
  *left_out_before = std::exchange(bucket.left_out, 0);
  return true;
}

void DecisionLog::Write(LogLevel level, absl::string_view event,
                        std::initializer_list<LogField> fields) {
  if (descriptor_ < 0 || level < level_) {
    return;
  }
  std::uint64_t left_out_before = 0;
  if (!Admit(event, &left_out_before)) {
    return;
  }
  const LogLineHead head{clock_->WallTime(), level, std::string_view(event.data(), event.size()),
                         program_,           node_, zone_};
  std::string line = FormatJsonLogLine(head, fields);
  if (left_out_before > 0) {
    line.insert(line.size() - 1, absl::StrCat(",\"left_out_before\":", left_out_before));
  }
  if (buffer_.size() + line.size() > limits_.max_buffered) {
    ++left_out_;
    return;
  }
  absl::StrAppend(&buffer_, line, "\n");
  Flush();
}

void DecisionLog::Flush() {
  if (buffer_.empty() || descriptor_ < 0) {
    return;
  }
  const ssize_t written = write(descriptor_, buffer_.data(), buffer_.size());
  if (written > 0) {
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

void DecisionLog::FlushWithin(absl::Duration limit) {
  const absl::Time end = clock_->Now() + limit;
  Flush();
  while (!buffer_.empty() && descriptor_ >= 0) {
    const absl::Duration left = end - clock_->Now();
    if (left <= absl::ZeroDuration()) {
      return;
    }
    pollfd entry{descriptor_, POLLOUT, 0};
    poll(&entry, 1, static_cast<int>(absl::ToInt64Milliseconds(left)) + 1);
    if ((entry.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
      return;
    }
    Flush();
  }
}

}  // namespace hingespan::gateway
