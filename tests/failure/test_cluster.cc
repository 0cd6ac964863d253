#include "tests/failure/test_cluster.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "hingespan/claim/key_time.h"
#include "hingespan/table/record_codec.h"

namespace hingespan::failure {
namespace {

constexpr char kSettings[] = HINGESPAN_SOURCE_DIRECTORY "/tests/failure/emulator.toml";
constexpr absl::Duration kPlatformTimeout = absl::Seconds(5);
// Polling interval for conditions that no event announces.
constexpr absl::Duration kPollInterval = absl::Milliseconds(20);
// Allowance on the time limit for the caller's own clock and the network.
constexpr absl::Duration kLimitTolerance = absl::Seconds(3);

std::string Get(const std::string& address, const std::string& path) {
  httplib::Client client(absl::StrCat("http://", address));
  client.set_read_timeout(5, 0);
  const httplib::Result answer = client.Get(path);
  return answer && answer->status == 200 ? answer->body : std::string();
}

bool KnowsRow(const std::string& address, const ModelName& model) {
  const auto json = nlohmann::json::parse(Get(address, "/v1/models"), nullptr, false);
  if (json.is_discarded() || !json.contains("data")) {
    return false;
  }
  return std::any_of(json["data"].begin(), json["data"].end(), [&](const nlohmann::json& entry) {
    return entry.value("id", "") == model.value();
  });
}

load::LocalClusterOptions ProcessOptions(const TestClusterOptions& options) {
  load::LocalClusterOptions processes;
  processes.program_directory = HINGESPAN_PROGRAM_DIRECTORY;
  processes.emulator_settings = kSettings;
  processes.emulator_overrides = options.emulator_overrides;
  processes.node_overrides = options.node_overrides;
  for (int zone = 1; zone <= options.zone_count; ++zone) {
    processes.zones.push_back({ZoneId(absl::StrCat("z", zone)), options.nodes_per_zone});
  }
  return processes;
}

}  // namespace

void CallGroup::Add(const std::string& address, const load::CallerRequest& request) {
  threads_.emplace_back([this, address, request] {
    FinishedCall call{request, load::CallerClient(address).Send(request)};
    absl::MutexLock lock(&mutex_);
    finished_.push_back(std::move(call));
  });
}

std::vector<FinishedCall> CallGroup::Finish() {
  Join();
  absl::MutexLock lock(&mutex_);
  return finished_;
}

void CallGroup::Join() {
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

TestCluster::TestCluster(TestClusterOptions options) {
  processes_ = std::make_unique<load::LocalCluster>(ProcessOptions(options));
  const load::ClusterStatus status = processes_->Start();
  REQUIRE_MESSAGE(status.ok(), status.detail);
  admin_ = std::make_unique<load::AdminClient>(processes_->admin_address());
  table_ = std::make_unique<HttpTableService>(processes_->PlatformAddress(ZoneId("z1")));
}

std::string TestCluster::Address(const std::string& node) const {
  const Result<load::RunningNode> running = processes_->Node(NodeId(node));
  REQUIRE_MESSAGE(running.ok(), node);
  return running->http_address;
}

TableRevision TestCluster::WriteRow(const ModelRow& row) {
  const std::string key = RowKey(row.name);
  TableRevision revision;
  const bool written = WaitUntil([&] {
    const Result<StoredValue> present = table_->Read(key, kPlatformTimeout);
    if (!present.ok()) {
      return false;
    }
    Transaction transaction;
    transaction.preconditions.push_back({key, present->revision});
    transaction.writes.push_back({key, EncodeRecord(row)});
    const Result<TransactionResult> result = table_->Commit(transaction, kPlatformTimeout);
    if (!result.ok() || !result->committed) {
      return false;
    }
    revision = result->revision;
    return true;
  });
  REQUIRE(written);
  return revision;
}

void TestCluster::PutRow(const ModelRow& row) {
  WriteRow(row);
  for (const load::RunningNode& node : processes_->Nodes()) {
    WaitForRow(node.node.value(), row.name);
  }
}

void TestCluster::WaitForRow(const std::string& node, const ModelName& model) {
  const std::string address = Address(node);
  REQUIRE_MESSAGE(WaitUntil([&] { return KnowsRow(address, model); }), node);
}

GrantRecord TestCluster::ReadGrant(const ModelName& model) {
  const Result<StoredValue> value = table_->Read(GrantKey(model), kPlatformTimeout);
  if (!value.ok() || !value->value) {
    return {};
  }
  const Result<Record> record = DecodeRecord(GrantKey(model), *value->value);
  REQUIRE(record.ok());
  return std::get<GrantRecord>(*record);
}

void TestCluster::WaitForGrant(const ModelName& model,
                               const std::function<bool(const GrantRecord&)>& condition) {
  REQUIRE(WaitUntil([&] { return condition(ReadGrant(model)); }));
}

std::string TestCluster::KeeperOf(const std::string& worker) {
  std::string keeper;
  const bool found = WaitUntil([&] {
    std::vector<std::string> keepers;
    for (const load::RunningNode& node : processes_->Nodes()) {
      const auto status =
          nlohmann::json::parse(Get(node.http_address, "/admin/status"), nullptr, false);
      const auto kept = status.is_object() ? status.value("kept_workers", nlohmann::json::array())
                                           : nlohmann::json::array();
      if (std::find(kept.begin(), kept.end(), worker) != kept.end()) {
        keepers.push_back(node.node.value());
      }
    }
    if (keepers.size() == 1) {
      keeper = keepers.front();
    }
    return keepers.size() == 1;
  });
  REQUIRE_MESSAGE(found, worker);
  return keeper;
}

std::uint64_t TestCluster::LogEnd() const {
  const Result<std::vector<load::LogEntry>> log = admin_->Log(0);
  REQUIRE(log.ok());
  return log->empty() ? 0 : log->back().sequence;
}

std::optional<load::LogEntry> TestCluster::TryWaitForLog(const load::LogFilter& filter,
                                                         absl::Duration bound) const {
  Result<load::LogEntry> entry = admin_->WaitForEntry(filter, bound);
  return entry.ok() ? std::optional<load::LogEntry>(std::move(*entry)) : std::nullopt;
}

load::LogEntry TestCluster::WaitForLog(const load::LogFilter& filter) const {
  const Result<load::LogEntry> entry = admin_->WaitForEntry(filter, kWaitBound);
  REQUIRE_MESSAGE(entry.ok(), filter.event, " of ", filter.model);
  return entry.ok() ? *entry : load::LogEntry();
}

bool TestCluster::WaitUntil(const std::function<bool()>& condition) {
  const absl::Time deadline = absl::Now() + kWaitBound;
  while (!condition()) {
    if (absl::Now() >= deadline) {
      return false;
    }
    absl::Notification().WaitForNotificationWithTimeout(kPollInterval);
  }
  return true;
}

std::string TestCluster::Explain(const std::string& node, const ModelName& model) const {
  return Get(Address(node), absl::StrCat("/admin/explain?model=", model.value()));
}

bool TestCluster::KnowsLeave(const std::string& node, const std::string& worker) const {
  const auto status = nlohmann::json::parse(Get(Address(node), "/admin/status"), nullptr, false);
  const auto none = nlohmann::json::array();
  const auto workers = status.is_object() ? status.value("workers", none) : none;
  return std::any_of(workers.begin(), workers.end(), [&](const nlohmann::json& entry) {
    return entry.value("worker", "") == worker && entry.value("leaving", false);
  });
}

void TestCluster::WaitForSlots(const std::string& model, std::size_t replicas) {
  const ModelName name(model);
  WaitForGrant(name, [&](const GrantRecord& grant) { return grant.slots.size() == replicas; });
  for (const load::RunningNode& node : processes_->Nodes()) {
    REQUIRE(WaitUntil([&] {
      const std::string text = Explain(node.node.value(), name);
      std::size_t slots = 0;
      for (auto at = text.find("slot:"); at != std::string::npos; at = text.find("slot:", at + 1)) {
        ++slots;
      }
      return slots == replicas;
    }));
  }
}

void TestCluster::ServeOnce(const std::string& node, const std::string& model) const {
  REQUIRE(WaitUntil(
      [&] { return Call(node, MakeCall(model)).outcome == load::CallerOutcome::kAnswered; }));
}

load::CallerResult TestCluster::Call(const std::string& node,
                                     const load::CallerRequest& request) const {
  return load::CallerClient(Address(node)).Send(request);
}

ModelRow MakeRow(const std::string& name, std::uint32_t max_replicas) {
  ModelRow row;
  row.name = ModelName(name);
  row.memory_mib = 4096;
  row.max_replicas = max_replicas;
  row.max_wait_ms = 20000;
  row.edit = EditId(absl::StrCat("test-", name, "-", max_replicas));
  row.editor = "failure-test";
  return row;
}

load::CallerRequest MakeCall(const std::string& model) {
  load::CallerRequest request;
  request.model = model;
  request.max_tokens = 8;
  request.time_limit = absl::Seconds(20);
  static std::atomic<std::uint64_t> next_tag{1};
  request.tag = absl::StrCat("tag-", next_tag.fetch_add(1));
  return request;
}

load::CallerRequest MakeOnceCall(const std::string& model) {
  static absl::Mutex mutex(absl::kConstInit);
  static Random random(20261202);
  load::CallerRequest request = MakeCall(model);
  request.repeatable = false;
  absl::MutexLock lock(&mutex);
  request.idempotency_key = MakeKey(absl::Now(), &random).value();
  request.tag = request.idempotency_key;
  return request;
}

void CheckLimits(const TestCluster& cluster, const std::map<std::string, std::uint64_t>& limits) {
  const Result<load::Totals> totals = cluster.admin().ReadTotals();
  REQUIRE(totals.ok());
  CHECK(totals->overcommits == 0);
  for (const auto& entry : limits) {
    const std::string& model = entry.first;
    const std::uint64_t limit = entry.second;
    INFO(model);
    const auto held = totals->maximum_replicas.find(model);
    const std::uint64_t most = held == totals->maximum_replicas.end() ? 0 : held->second;
    CHECK(most <= limit);
  }
}

void CheckCallsEnded(const std::vector<FinishedCall>& calls) {
  for (const FinishedCall& call : calls) {
    INFO(call.request.model, " ", load::CallerOutcomeName(call.result.outcome).data(), " ",
         call.result.code, " ", call.result.detail);
    CHECK(call.result.outcome != load::CallerOutcome::kLost);
    CHECK(!call.result.wrong);
    if (call.result.outcome == load::CallerOutcome::kAnswered) {
      CHECK(call.result.tokens == call.request.max_tokens);
      CHECK(call.result.first_token <= call.request.time_limit + kLimitTolerance);
    } else {
      CHECK(call.result.total <= call.request.time_limit + kLimitTolerance);
    }
  }
}

void CheckRuns(const TestCluster& cluster, const std::vector<FinishedCall>& calls) {
  const Result<load::Totals> totals = cluster.admin().ReadTotals();
  REQUIRE(totals.ok());
  std::map<std::string, std::uint64_t> once_keys;
  std::map<std::string, bool> all_not_run;
  for (const FinishedCall& call : calls) {
    const std::string& tag = call.request.tag;
    const bool not_run =
        call.result.outcome == load::CallerOutcome::kRefused && call.result.attempt == "not_run";
    const auto [entry, inserted] = all_not_run.emplace(tag, not_run);
    entry->second = entry->second && not_run;
    if (!call.request.repeatable) {
      once_keys[tag] = 1;
    }
  }
  for (const auto& entry : totals->runs_by_key) {
    const std::string& tag = entry.first;
    const std::uint64_t runs = entry.second;
    INFO(tag);
    if (once_keys.contains(tag)) {
      CHECK(runs <= 1);
    }
    const auto refused = all_not_run.find(tag);
    if (refused != all_not_run.end() && refused->second) {
      CHECK(runs == 0);
    }
  }
}

}  // namespace hingespan::failure
