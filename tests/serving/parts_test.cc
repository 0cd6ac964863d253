// Tests of the gateway's small components: routes, event splitter, settings, log, metrics and
// worker directory.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/event_splitter.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/gateway_settings.h"
#include "hingespan/serving/retry_budget.h"
#include "hingespan/serving/route_table.h"
#include "hingespan/serving/worker_directory.h"

namespace hingespan::gateway {
namespace {

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

Route RouteOf(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{"s", 1.0}};
  return route;
}

TEST_CASE("the longest prefix of the host wins; a port of the host does not matter") {
  auto configuration = std::make_shared<Configuration>();
  configuration->routes = {RouteOf("h", "/a/"), RouteOf("h", "/a/b/"), RouteOf("other", "/")};
  const RouteTable routes(configuration);
  CHECK(routes.Find("h", "/a/b/c?q=/")->path_prefix == "/a/b/");
  CHECK(routes.Find("H:8080", "/a/x")->path_prefix == "/a/");
  CHECK(routes.Find("h", "/a") == nullptr);
  CHECK(routes.Find("h", "/c/") == nullptr);
  CHECK(routes.Find("nobody", "/a/") == nullptr);
}

TEST_CASE(
    "services receive requests in proportion to their weights, and one id always the same "
    "service") {
  Route route = RouteOf("h", "/");
  route.services = {{"s1", 90}, {"s2", 10}};
  std::map<std::string, int> counts;
  for (int number = 0; number < 5000; ++number) {
    const std::string id = absl::StrCat("id", number);
    ++counts[ChooseService(route, id)];
    CHECK(ChooseService(route, id) == ChooseService(route, id));
  }
  CHECK(counts["s2"] > 400);
  CHECK(counts["s2"] < 600);
}

TEST_CASE("the splitter returns only complete events, however the stream is divided") {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata";
  for (std::size_t piece = 1; piece < stream.size(); ++piece) {
    EventSplitter splitter;
    std::string out;
    for (std::size_t begin = 0; begin < stream.size(); begin += piece) {
      out += splitter.Feed(stream.substr(begin, piece));
    }
    CHECK(out == stream.substr(0, stream.size() - 10));
    CHECK(splitter.last_event_id() == "2");
    CHECK(splitter.InsideEvent());
    CHECK(splitter.TakeRest() == "id: 3\ndata");
    CHECK_FALSE(splitter.InsideEvent());
  }
}

// Guards against an id that ends the line of a header field.
TEST_CASE("an event whose id can't be sent leaves no id to go on from") {
  for (const std::string& id : {std::string("5\rX-Injected: 1"), std::string("5\0", 2) + "x",
                                std::string("\x01"), std::string("a\x7f") + "b"}) {
    CAPTURE(id);
    EventSplitter splitter;
    (void)splitter.Feed("id: 4\ndata: x\n\n");
    CHECK(splitter.last_event_id() == "4");
    (void)splitter.Feed("id: " + id + "\ndata: x\n\n");
    CHECK(splitter.last_event_id().empty());
  }
}

TEST_CASE("line ends between events do not begin an event") {
  EventSplitter splitter;
  CHECK_FALSE(splitter.InsideEvent());
  CHECK(splitter.Feed("data: a\r\n\r\n") == "data: a\r\n\r\n");
  CHECK(splitter.Feed("\r\n").empty());
  CHECK_FALSE(splitter.InsideEvent());
  CHECK(splitter.Feed("data: b\n").empty());
  CHECK(splitter.InsideEvent());
}

constexpr char kSettings[] = R"(
[node]
name = "n1"
zone = "z"
[listen]
requests = "127.0.0.1:1"
status = "127.0.0.1:2"
peers = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
[placement]
lease_ms = 2500
[later]
unknown = true
)";

TEST_CASE("settings: unknown keys pass, findings come together with their places") {
  Findings findings;
  const GatewaySettings settings = ReadGatewaySettings(kSettings, "f", &findings);
  CHECK(findings.empty());
  CHECK(settings.lease == absl::Milliseconds(2500));
  ReadGatewaySettings("[node]\nname = 3\nzone = \"z\"\n[listen]\nrequests = \"x\"\n", "f",
                      &findings);
  // Expect two values that are not allowed, with their lines, and three missing keys.
  REQUIRE(findings.size() == 5);
  CHECK(findings[0].key == "node.name");
  CHECK(findings[0].place.line == 2);
  CHECK(findings[1].key == "listen.requests");
  CHECK(findings[1].place.line == 5);
}

class FixedClock : public Clock {
 public:
  absl::Time Now() override { return now; }
  absl::Time WallTime() override { return now; }
  absl::Time now = At(0);
};

TEST_CASE("the log never blocks on its reader, limits each event's rate and counts dropped lines") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  FixedClock clock;
  DecisionLog log(ends[1], &clock, {10, 20, 4096});
  log.SetSource("p", "n", "z");
  for (int line = 0; line < 100; ++line) {
    log.Write(LogLevel::kInfo, "e", {{"line", absl::StrCat(line)}});
  }
  CHECK(log.left_out() == 80);
  clock.now += absl::Seconds(1);
  log.Write(LogLevel::kInfo, "e", {});
  std::string text(64 * 1024, ' ');
  text.resize(static_cast<std::size_t>(read(ends[0], text.data(), text.size())));
  CHECK(text.find("\"left_out_before\":80") != std::string::npos);
  // While nobody reads, the pipe fills up, then the buffer; further lines are dropped without
  // blocking.
  for (int line = 0; line < 20000; ++line) {
    clock.now += absl::Seconds(1);
    log.Write(LogLevel::kInfo, "e", {{"line", absl::StrCat(line)}});
  }
  CHECK(log.left_out() > 80);
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("metrics are Prometheus text") {
  GatewayMetrics metrics;
  metrics.requests_by_status[200] = 3;
  metrics.first_byte.Record(absl::Milliseconds(30));
  metrics.connections.sending = 2;
  metrics.connections.unsent_bytes = 70;
  const std::string text = MetricsText(metrics);
  CHECK(text.find("hingespan_connections{state=\"sending\"} 2") != std::string::npos);
  CHECK(text.find("hingespan_unsent_bytes 70") != std::string::npos);
  CHECK(text.find("hingespan_requests_total{status=\"200\"} 3") != std::string::npos);
  CHECK(text.find("hingespan_first_byte_seconds_bucket{le=\"0.05\"} 1") != std::string::npos);
  CHECK(text.find("hingespan_first_byte_seconds_count 1") != std::string::npos);
}

TEST_CASE("metrics: a service's retries and the divisor of the budget") {
  RetryBudget budget({0.2, 10, absl::Seconds(10)}, FleetShare("n1"), At(0));
  budget.SetNodes({"n1", "n2"}, At(0), At(0));
  budget.SetNodes({"n1", "n2"}, At(15), At(15));
  budget.RecordDenied("s");
  budget.unread()->Add("s", "w1", At(14));
  GatewayMetrics metrics;
  metrics.retries = budget.AllCounts(At(16));
  metrics.retry_divisor = budget.share().Divisor(At(16));
  metrics.in_first_retry_window = budget.InFirstWindow(At(1));
  const std::string text = MetricsText(metrics);
  for (const char* line :
       {"hingespan_retries_total{service=\"s\"} 0",
        "hingespan_retries_denied_total{service=\"s\"} 1",
        "hingespan_retries_available{service=\"s\"} ", "hingespan_unread_attempts{service=\"s\"} 1",
        "hingespan_retry_divisor 2", "hingespan_in_first_retry_window 1"}) {
    CHECK_MESSAGE(text.find(line) != std::string::npos, line);
  }
  CHECK(!budget.InFirstWindow(At(10)));
}

WorkerRecord RecordOf(const std::string& id, const std::string& model) {
  WorkerRecord record;
  record.id = id;
  record.service = "s";
  record.address = "1.1.1.1:1";
  record.zone = "z";
  record.slots = 2;
  if (!model.empty()) {
    record.models[model];
  }
  return record;
}

Configuration PlainConfiguration() {
  Configuration configuration;
  configuration.services.push_back({"s", 10, std::nullopt});
  return configuration;
}

TEST_CASE("workers: an older row is ignored, a removed one is forgotten") {
  WorkerDirectory workers("n", "z");
  workers.Update(RecordOf("w1", "m1"), 5, At(0));
  CHECK(!workers.Update(RecordOf("w1", "m2"), 4, At(0)));
  CHECK(workers.Find("w1")->record.models.contains("m1"));
  CHECK(!workers.Remove("w1", 5));
  CHECK(workers.Remove("w1", 6));
  CHECK(workers.Find("w1") == nullptr);
}

TEST_CASE("workers: a failed choice reports what is missing") {
  const Configuration configuration = PlainConfiguration();
  WorkerDirectory workers("n", "z");
  WorkerDemand demand;
  demand.service = "s";
  demand.model = {"m1", "a1"};
  CHECK(workers.Choose(demand, configuration, At(0)).problem == ChoiceProblem::kNoWorkers);
  workers.Update(RecordOf("w1", "m2"), 1, At(0));
  CHECK(workers.Choose(demand, configuration, At(0)).problem == ChoiceProblem::kModelAbsent);
  workers.Update(RecordOf("w1", "m1"), 2, At(0));
  CHECK(workers.Choose(demand, configuration, At(0)).problem == ChoiceProblem::kAdapterAbsent);
  workers.NoteReplica("w1", {"m1", "a1"}, true, At(3));
  REQUIRE(workers.Choose(demand, configuration, At(1)).worker != nullptr);
  CHECK(workers.Choose(demand, configuration, At(4)).problem == ChoiceProblem::kAdapterAbsent);
  workers.MarkEnded("w1");
  CHECK(workers.Choose(demand, configuration, At(1)).problem == ChoiceProblem::kNoWorkers);
}

// Guards against sending more and more requests to a worker whose process is paused.
TEST_CASE("workers: one that leaves an attempt unread is avoided until it is heard") {
  const Configuration configuration = PlainConfiguration();
  WorkerDirectory workers("n", "z");
  UnreadAttempts unread(absl::Seconds(10));
  workers.SetUnreadAttempts(&unread);
  workers.Update(RecordOf("w1", ""), 1, At(0));
  workers.Update(RecordOf("w2", ""), 1, At(0));
  WorkerDemand demand;
  demand.service = "s";
  WorkerState* const first = workers.Choose(demand, configuration, At(0)).worker;
  REQUIRE(first != nullptr);
  const std::string id = first->record.id;
  unread.Add("s", id, At(0));
  CHECK(workers.Choose(demand, configuration, At(0.4)).worker == first);
  CHECK(workers.Choose(demand, configuration, At(0.6)).worker != first);
  CHECK(workers.Choose(demand, configuration, At(9)).worker != first);
  unread.OnHeard(id, At(9));
  CHECK(workers.Choose(demand, configuration, At(9)).worker == first);
  // A worker whose answers usually take longer is not silent yet.
  workers.AnswerStarted(id, 0, absl::Seconds(1), At(10));
  unread.Add("s", id, At(10));
  CHECK(!workers.IsSilent(*first, At(13)));
  CHECK(workers.IsSilent(*first, At(15)));
}

TEST_CASE("workers: a failing one is avoided and chosen again after a while") {
  const Configuration configuration = PlainConfiguration();
  WorkerDirectory workers("n", "z");
  workers.Update(RecordOf("w1", ""), 1, At(0));
  workers.Update(RecordOf("w2", ""), 2, At(0));
  WorkerDemand demand;
  demand.service = "s";
  for (int attempt = 0; attempt < 5; ++attempt) {
    WorkerState* const worker = workers.Find("w1");
    workers.AttemptStarted(worker, demand, At(0));
    workers.AttemptEnded("w1", "", 0, AttemptOutcome::kFailed, At(0));
  }
  workers.AttemptStarted(workers.Find("w2"), demand, At(0));
  // w2 is preferred although it already runs a request.
  CHECK(workers.Choose(demand, configuration, At(1)).worker->record.id == "w2");
  CHECK(workers.Choose(demand, configuration, At(60)).worker->record.id == "w1");
}

TEST_CASE("workers: one that only fails is tried ever more rarely, even in the node's own zone") {
  const Configuration configuration = PlainConfiguration();
  WorkerDirectory workers("n", "z");
  workers.Update(RecordOf("w1", ""), 1, At(0));
  WorkerRecord far = RecordOf("w2", "");
  far.zone = "far";
  workers.Update(far, 2, At(0));
  WorkerDemand demand;
  demand.service = "s";
  // Both workers are fast, so that the cost of the other zone exceeds the cost of one failure.
  for (const char* const id : {"w1", "w2"}) {
    workers.AttemptStarted(workers.Find(id), demand, At(0));
    workers.AnswerStarted(id, 0, absl::Milliseconds(1), At(0));
    workers.AttemptEnded(id, "", 0, AttemptOutcome::kServed, At(0));
  }
  int failed = 0;
  constexpr int kChoices = 1000;
  for (int number = 0; number < kChoices; ++number) {
    const absl::Time now = At(0.01 * number);
    WorkerState* const worker = workers.Choose(demand, configuration, now).worker;
    const bool same_zone = worker->record.id == "w1";
    failed += same_zone ? 1 : 0;
    workers.AttemptStarted(worker, demand, now);
    workers.AttemptEnded(worker->record.id, "", 0,
                         same_zone ? AttemptOutcome::kFailed : AttemptOutcome::kServed, now);
  }
  CHECK(failed < kChoices / 50);
  // A served request makes the worker eligible again.
  workers.AttemptStarted(workers.Find("w1"), demand, At(60));
  workers.AttemptEnded("w1", "", 0, AttemptOutcome::kServed, At(60));
  CHECK(workers.Choose(demand, configuration, At(60)).worker->record.id == "w1");
}

TEST_CASE("workers: many nodes with the same data do not all choose the same worker") {
  const Configuration configuration = PlainConfiguration();
  std::map<std::string, int> chosen;
  for (int node = 0; node < 60; ++node) {
    WorkerDirectory workers(absl::StrCat("n", node), "z");
    workers.SetNodes(60);
    for (int worker = 0; worker < 6; ++worker) {
      workers.Update(RecordOf(absl::StrCat("w", worker), ""), worker + 1, At(0));
    }
    WorkerDemand demand;
    demand.service = "s";
    ++chosen[workers.Choose(demand, configuration, At(0)).worker->record.id];
  }
  CHECK(chosen.size() == 6);
  for (const auto& [worker, count] : chosen) {
    CHECK(count <= 20);
  }
}

TEST_CASE("workers: slots used by the other nodes count") {
  const Configuration configuration = PlainConfiguration();
  WorkerDirectory workers("n", "z");
  workers.Update(RecordOf("w1", ""), 1, At(0));
  workers.Find("w1")->peers_running = 2;
  WorkerDemand demand;
  demand.service = "s";
  CHECK(workers.Choose(demand, configuration, At(0)).problem == ChoiceProblem::kAllBusy);
}

}  // namespace
}  // namespace hingespan::gateway
