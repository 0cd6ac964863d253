#include "tests/soak/run_index.h"

#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

// A request may be sent while the gateway closes its connection; the driver may notice the close
// late.
constexpr absl::Duration kCrossingTime = absl::Seconds(1);

}  // namespace

RunIndex::RunIndex(const SoakRecords& records, const std::vector<SoakWorkerView>& workers)
    : records_(records) {
  for (const auto& arrival : records.process_arrivals) {
    arrived_.insert(arrival.id);
  }
  for (const SoakWorkerView& view : workers) {
    for (const Run& run : view.worker->runs()) {
      runs_[run.id].emplace_back(view.id, &run);
    }
    for (const auto& arrival : view.worker->arrivals()) {
      arrived_.insert(arrival.id);
    }
  }
}

const RunIndex::RunList& RunIndex::RunsOf(const RequestRecord& request) const {
  static const RunList none;
  const auto entry = runs_.find(request.id);
  return entry == runs_.end() ? none : entry->second;
}

bool RunIndex::WasRead(const RequestRecord& request) const {
  if (request.head.status != 0 || request.result == gateway::ExchangeResult::kMalformed ||
      arrived_.contains(request.id)) {
    return true;
  }
  // The kernel resets a connection that is closed with unread bytes, so an orderly end means that
  // all was read. A reset without an answer proves nothing, and neither does an end about the time
  // of the request: the gateway closes idle persistent connections.
  return request.ended_in_order && request.ended_at - request.sent > kCrossingTime;
}

std::string RunIndex::Describe(const RequestRecord& request) const {
  std::string text = absl::StrCat(
      "request ", request.id, " at gateway ", request.gateway, " incarnation ", request.incarnation,
      " sent ", absl::FormatDuration(request.sent - records_.traffic_began),
      request.on_persistent_connection ? " on a kept connection" : "",
      request.read_slowly ? " read slowly" : "", " status ", request.head.status, " result ",
      static_cast<int>(request.result), " body ", request.body.size(), " bytes after ",
      request.ended() ? absl::FormatDuration(request.ended_at - request.sent) : "never");
  for (const auto& [worker, run] : RunsOf(request)) {
    absl::StrAppend(&text, ", run at ", worker, " ",
                    absl::FormatDuration(run->began - records_.traffic_began),
                    run->ended ? " ended" : "");
    if (run->caller_disconnected) {
      absl::StrAppend(&text, " caller left ",
                      absl::FormatDuration(run->caller_disconnected_at - records_.traffic_began));
    }
  }
  return text;
}

}  // namespace hingespan::soak
