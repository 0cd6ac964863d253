// The gateway's report to the lease holder: its callers' demand and its own load on the workers.
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>

#include "hingespan/serving/gateway.h"

namespace hingespan::gateway {
namespace {

// Tolerance for callers that retry later than they were asked to.
constexpr absl::Duration kReturnSlack = absl::Milliseconds(500);

}  // namespace

void Gateway::ExpectReturn(const std::string& service, const ModelKey& model,
                           const std::string& software_version, absl::Time at) {
  if (settings_.serving.count_returning && !model.model.empty()) {
    returning_.push_back({{service, model}, at + kReturnSlack});
    if (!software_version.empty()) {
      returning_streams_.push_back({{service, software_version, model}, at + kReturnSlack});
    }
    fleet_->DemandWaits();
  }
}

void Gateway::FillReport(DemandReport* report) {
  std::map<std::pair<std::string, ModelKey>, int> waiting;
  const absl::Time now = parts_.loop->Now();
  std::erase_if(returning_, [&](const ReturningCaller& caller) { return caller.until <= now; });
  std::erase_if(returning_streams_,
                [&](const ReturningStream& stream) { return stream.until <= now; });
  for (const ReturningCaller& caller : returning_) {
    ++waiting[caller.key];
    demand_.try_emplace(caller.key);
  }
  std::map<std::tuple<std::string, std::string, ModelKey>, int> bound;
  for (const std::shared_ptr<RequestRelay>& request : queue_.InOrder()) {
    ++waiting[{request->service(), request->model()}];
    if (!request->software_version().empty()) {
      ++bound[{request->service(), request->software_version(), request->model()}];
    }
  }
  for (const ReturningStream& stream : returning_streams_) {
    ++bound[stream.key];
  }
  for (const auto& [key, count] : bound) {
    const auto& [service, version, model] = key;
    report->bound.push_back({service, version, model.model, model.adapter, count});
  }
  for (auto entry = demand_.begin(); entry != demand_.end();) {
    const auto& [service, model] = entry->first;
    DemandCounts& counts = entry->second;
    const auto waits = waiting.find(entry->first);
    const int waiting_count = waits == waiting.end() ? 0 : waits->second;
    if (model.model.empty() || (counts.running == 0 && counts.arrived == 0 && waiting_count == 0)) {
      entry = demand_.erase(entry);
      continue;
    }
    report->demands.push_back({service, model.model, model.adapter, waiting_count, counts.running,
                               counts.arrived, counts.arrived_tokens});
    counts.arrived = 0;
    counts.arrived_tokens = 0;
    ++entry;
  }
  for (const auto& [id, worker] : workers_.workers()) {
    if (worker.running > 0) {
      report->loads.push_back({id, worker.running, static_cast<int>(worker.unread_tokens), {}});
      for (const auto& [model, running] : worker.running_by_model) {
        if (!model.empty()) {
          report->loads.back().models.push_back({model, running});
        }
      }
    }
    // A node without a path says nothing about the workers.
    const auto path = paths_.find(worker.record.service);
    const bool judges =
        path == paths_.end() || path->second.path.state() == WorkerPath::State::kOpen;
    if (worker.ended || (judges && worker.unreachable_until > parts_.loop->Now())) {
      report->unreachable.push_back(id);
    }
  }
  workers_.SetNodes(fleet_->nodes());
}

}  // namespace hingespan::gateway
