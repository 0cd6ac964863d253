#include "tests/soak/stream_versions.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace hingespan::soak {
namespace {

constexpr absl::string_view kVersionMark = " by ";
// With fewer streams that were taken up, their share says nothing.
constexpr int kMinTakenUp = 12;
constexpr double kMinShareOfNew = 0.5;
constexpr int kMinWorkersOfVersion = 2;

// Returns the versions of all whole events of an answer.
std::set<std::string> VersionsOf(const RequestRecord& request) {
  std::set<std::string> versions;
  const std::size_t end = request.body.rfind(kEventEnd);
  if (request.head.status != 200 || end == std::string::npos) {
    return versions;
  }
  for (const absl::string_view event :
       absl::StrSplit(absl::string_view(request.body).substr(0, end), kEventEnd)) {
    versions.insert(VersionSuffix(event));
  }
  return versions;
}

// Returns whether the answer brought what the caller lacked, or a part of it.
bool WentOn(const RequestRecord& request) {
  return request.head.status == 200 && (request.LastEvent() > request.last_event ||
                                        request.result == gateway::ExchangeResult::kComplete);
}

int WorkersOfVersion(const SoakRecords& records, const std::string& suffix, absl::Time at) {
  return static_cast<int>(
      std::count_if(records.presences.begin(), records.presences.end(), [&](const auto& each) {
        return each.service == "models" &&
               suffix == absl::StrCat(kVersionMark, each.software_version) && each.from <= at &&
               each.until > at;
      }));
}

}  // namespace

std::string VersionSuffix(absl::string_view event) {
  const std::size_t begin = event.find(kVersionMark);
  if (begin == absl::string_view::npos) {
    return {};
  }
  const absl::string_view rest = event.substr(begin);
  return std::string(rest.substr(0, rest.find('.')));
}

void CheckStreamVersions(const SoakRecords& records, std::vector<BrokenPromise>* broken) {
  std::map<std::string, std::set<std::string>> versions;
  for (const auto& request : records.requests) {
    if (request->IsStream()) {
      const std::string& first = request->resumed_id.empty() ? request->id : request->resumed_id;
      versions[first].merge(VersionsOf(*request));
    }
  }
  for (const auto& [id, all] : versions) {
    if (all.size() > 1) {
      broken->push_back({"a stream holds one version's events",
                         absl::StrCat("stream ", id, ":", absl::StrJoin(all, " and"))});
    }
  }
}

StreamShares CountStreams(const SoakRecords& records) {
  std::map<std::string, std::string> version_of;
  StreamShares shares;
  for (const auto& request : records.requests) {
    // Prompts and requests that crash workers are not to go on, and that they bring no event must
    // not excuse other streams that don't go on.
    if (request->kind != RequestKind::kResumableStream ||
        request->prompt == PromptKind::kCrashing || !request->crashing_name.empty()) {
      continue;
    }
    if (request->resumed_id.empty()) {
      const std::set<std::string> versions = VersionsOf(*request);
      version_of[request->id] = versions.empty() ? std::string() : *versions.begin();
    }
    if (request->cancelled() ||
        !records.InTouch(request->gateway, request->sent, request->ended_at)) {
      continue;
    }
    if (request->resumed_id.empty()) {
      ++shares.fresh.all;
      shares.fresh.served += WentOn(*request) ? 1 : 0;
    } else if (WorkersOfVersion(records, version_of[request->resumed_id], request->sent) >=
               kMinWorkersOfVersion) {
      ++shares.taken_up.all;
      shares.taken_up.served += WentOn(*request) ? 1 : 0;
    }
  }
  return shares;
}

void CheckStreamsGoOn(const SoakRecords& records, std::vector<BrokenPromise>* broken) {
  const auto [fresh, taken_up] = CountStreams(records);
  if (taken_up.all >= kMinTakenUp && taken_up.value() < kMinShareOfNew * fresh.value()) {
    broken->push_back({"streams that are taken up go on",
                       absl::StrCat(taken_up.served, " of ", taken_up.all, ", new ones ",
                                    fresh.served, " of ", fresh.all)});
  }
}

}  // namespace hingespan::soak
