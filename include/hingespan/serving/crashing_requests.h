// Counts the workers that have ended under each request, over all tries of its caller.
//
// A caller's tries have different ids; what they have in common is their content, by which the
// request is identified here. Requests of different callers may have the same content, too: once
// one of them is served, the content identifies no single request, since a caller doesn't repeat
// what was served, and ends under it count no more.
#ifndef HINGESPAN_SERVING_CRASHING_REQUESTS_H_
#define HINGESPAN_SERVING_CRASHING_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace hingespan::gateway {

// Hash of what all tries of a request have in common.
using RequestContent = std::uint64_t;

struct CrashingRequestSettings {
  // Number of workers that may end under a request.
  std::size_t max_ends = 3;
  // Ends are forgotten this long after the last one. Longer than callers try.
  absl::Duration lifetime = absl::Seconds(60);
  std::size_t max_requests = 4096;
  std::size_t max_served = 8192;
};

// Does no I/O and reads no clock; not thread-safe.
class CrashingRequests {
 public:
  explicit CrashingRequests(const CrashingRequestSettings& settings = {}) : settings_(settings) {}

  // Records that the worker has ended, or seems to have ended, under the request.
  void RecordEnd(RequestContent request, const std::string& worker_id, absl::Time now);
  // Records that the worker has not ended after all.
  void RetractEnds(const std::string& worker_id);
  void RecordServed(RequestContent request, absl::Time now);
  bool WasServed(RequestContent request, absl::Time now) const;
  // Time for which the request is not to be sent to a worker; zero if it may be.
  absl::Duration RefusedFor(RequestContent request, absl::Time now) const;
  std::size_t EndsUnder(RequestContent request) const;
  std::set<std::string> WorkersEndedUnder(RequestContent request) const;
  // Requests under which the worker has ended.
  std::set<RequestContent> EndedBy(const std::string& worker_id) const;

 private:
  struct Ends {
    std::set<std::string> workers;
    absl::Time last;
  };

  void Expire(absl::Time now);

  CrashingRequestSettings settings_;
  std::map<RequestContent, Ends> ends_;
  absl::flat_hash_map<RequestContent, absl::Time> served_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_CRASHING_REQUESTS_H_
