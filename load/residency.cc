#include "load/residency.h"

#include <algorithm>

namespace hingespan::load {
namespace {

constexpr char kLoadBegin[] = "load_begin";
constexpr char kLoadReady[] = "load_ready";
constexpr char kLoadFailed[] = "load_failed";
constexpr char kUnloaded[] = "unloaded";
constexpr char kEngineRestart[] = "engine_restart";
constexpr char kEngineEnded[] = "engine_ended";

// Set of the (model, worker) pairs that are in one state.
class ReplicaSet {
 public:
  void Add(const ResidencyChange& change) { workers_[change.model].insert(change.worker); }

  void Remove(const ResidencyChange& change) {
    const auto found = workers_.find(change.model);
    if (found != workers_.end()) {
      found->second.erase(change.worker);
    }
  }

  void RemoveWorker(const std::string& worker) {
    for (auto& [model, workers] : workers_) {
      workers.erase(worker);
    }
  }

  bool Has(const std::string& model) const {
    const auto found = workers_.find(model);
    return found != workers_.end() && !found->second.empty();
  }

  std::uint64_t size() const {
    std::uint64_t size = 0;
    for (const auto& [model, workers] : workers_) {
      size += workers.size();
    }
    return size;
  }

 private:
  std::map<std::string, std::set<std::string>> workers_;
};

bool EndsEngine(const std::string& event) {
  return event == kEngineRestart || event == kEngineEnded;
}

void ApplyToReady(const ResidencyChange& change, ReplicaSet* ready) {
  if (change.event == kLoadReady) {
    ready->Add(change);
  } else if (change.event == kUnloaded || change.event == kLoadFailed) {
    ready->Remove(change);
  } else if (EndsEngine(change.event)) {
    ready->RemoveWorker(change.worker);
  }
}

void ApplyToHeld(const ResidencyChange& change, ReplicaSet* held) {
  if (change.event == kLoadBegin) {
    held->Add(change);
  } else {
    ApplyToReady(change, held);
  }
}

}  // namespace

bool IsResidencyEvent(const std::string& event) {
  return event == kLoadBegin || event == kLoadReady || event == kLoadFailed || event == kUnloaded ||
         EndsEngine(event);
}

void MarkColdRequests(const std::vector<ResidencyChange>& changes,
                      std::vector<RequestRecord>* requests) {
  std::vector<RequestRecord*> by_time;
  for (RequestRecord& request : *requests) {
    by_time.push_back(&request);
  }
  std::stable_sort(by_time.begin(), by_time.end(),
                   [](const RequestRecord* left, const RequestRecord* right) {
                     return left->planned < right->planned;
                   });
  ReplicaSet ready;
  std::size_t next = 0;
  for (RequestRecord* request : by_time) {
    for (; next < changes.size() && changes[next].at <= request->planned; ++next) {
      ApplyToReady(changes[next], &ready);
    }
    request->cold = !ready.Has(request->model);
  }
}

std::vector<ResidencySample> ResidencyOverTime(const std::vector<ResidencyChange>& changes) {
  ReplicaSet held;
  std::map<std::string, std::uint64_t> memory_by_worker;
  std::vector<ResidencySample> samples;
  for (const ResidencyChange& change : changes) {
    ApplyToHeld(change, &held);
    memory_by_worker[change.worker] = EndsEngine(change.event) ? 0 : change.memory_used_mib;
    ResidencySample sample;
    sample.at = change.at;
    sample.replicas = held.size();
    for (const auto& [worker, memory] : memory_by_worker) {
      sample.memory_used_mib += memory;
    }
    samples.push_back(sample);
  }
  return samples;
}

}  // namespace hingespan::load
