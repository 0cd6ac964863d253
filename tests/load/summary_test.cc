#include "load/summary.h"

#include <doctest/doctest.h>

#include <sstream>

#include "hingespan/common/error.h"
#include "load/experiment.h"
#include "load/report.h"
#include "load/residency.h"

namespace hingespan::load {
namespace {

RequestRecord Answered(const std::string& tag, double first_token_ms) {
  RequestRecord request;
  request.request_class = "deals";
  request.model = "m";
  request.tag = tag;
  request.outcome = CallerOutcome::kAnswered;
  request.first_token = absl::Milliseconds(first_token_ms);
  request.total = absl::Milliseconds(first_token_ms + 10);
  return request;
}

RequestRecord NotAnswered(const std::string& tag, CallerOutcome outcome, const std::string& code,
                          const std::string& attempt) {
  RequestRecord request;
  request.request_class = "deals";
  request.tag = tag;
  request.outcome = outcome;
  request.code = code;
  request.attempt = attempt;
  return request;
}

RunRecord RecordOf(std::vector<RequestRecord> requests) {
  RunRecord record;
  record.header.scenario = "test";
  record.header.accelerator_mib = 1000;
  record.requests = std::move(requests);
  record.end.totals = Totals();
  return record;
}

TEST_CASE("percentiles are nearest ranks") {
  std::vector<double> values;
  for (int value = 200; value >= 1; --value) {
    values.push_back(value);
  }
  const LatencySummary summary = SummarizeLatencies(values);
  CHECK(summary.count == 200);
  CHECK(summary.p50 == 100);
  CHECK(summary.p99 == 198);
  CHECK(summary.maximum == 200);
  CHECK(SummarizeLatencies({}).count == 0);
  CHECK(SummarizeLatencies({5}).p99 == 5);
}

TEST_CASE("outcomes are counted by class and over all") {
  RequestRecord wrong = Answered("k5", 30);
  wrong.wrong = true;
  wrong.cold = true;
  wrong.request_class = "rulings";
  const RunSummary summary = Summarize(
      RecordOf({Answered("k1", 10), NotAnswered("k2", CallerOutcome::kRefused, "full", "not_run"),
                NotAnswered("k3", CallerOutcome::kFailed, "broken", "may_have_run"),
                NotAnswered("k4", CallerOutcome::kLost, "connection_broken", ""), wrong}));
  REQUIRE(summary.classes.size() == 3);
  CHECK(summary.classes[0].name == "deals");
  CHECK(summary.classes[0].requests == 4);
  const ClassSummary& all = summary.classes[2];
  CHECK(all.answered == 2);
  CHECK(all.refused == 1);
  CHECK(all.failed == 1);
  CHECK(all.lost == 1);
  CHECK(all.wrong == 1);
  CHECK(all.first_token.maximum == 30);
  CHECK(all.cold_first_token.count == 1);
  CHECK(all.refusals_by_code.at("full") == 1);
}

TEST_CASE("a key that ran twice is a duplicate unless it is repeatable") {
  RequestRecord once = Answered("once", 1);
  once.repeatable = false;
  RunRecord record = RecordOf({once, Answered("again", 1)});
  record.end.totals->runs_by_key = {{"once", 2}, {"again", 2}};
  const RunSummary summary = Summarize(record);
  CHECK(summary.engines.duplicates == 1);
  CHECK(summary.engines.false_not_run == 1);
}

TEST_CASE("a run is found although every attempt was answered with not_run") {
  RunRecord record = RecordOf({NotAnswered("k", CallerOutcome::kRefused, "full", "not_run")});
  CHECK(Summarize(record).engines.false_not_run == 0);
  record.end.totals->runs_by_key = {{"k", 1}};
  CHECK(Summarize(record).engines.false_not_run == 1);
}

TEST_CASE("a refused copy is not counted when the other copy accounts for the run") {
  RunRecord record =
      RecordOf({Answered("k", 1), NotAnswered("k", CallerOutcome::kRefused, "claimed", "not_run")});
  record.requests[0].repeatable = false;
  record.requests[1].repeatable = false;
  record.end.totals->runs_by_key = {{"k", 1}};
  CHECK(Summarize(record).engines.false_not_run == 0);
  CHECK(Summarize(record).engines.duplicates == 0);
}

TEST_CASE("memory seconds are converted to accelerator hours") {
  RunRecord record = RecordOf({});
  record.end.totals->idle_mib_seconds = 1000.0 * 3600 * 2;
  record.end.totals->busy_mib_seconds = 1000.0 * 1800;
  const RunSummary summary = Summarize(record);
  CHECK(summary.engines.idle_accelerator_hours == doctest::Approx(2.0));
  CHECK(summary.engines.busy_accelerator_hours == doctest::Approx(0.5));
  record.end.totals.reset();
  CHECK_FALSE(Summarize(record).engines.measured);
}

TEST_CASE("a record is unchanged by writing and reading; a truncated one is malformed") {
  RunRecord record = RecordOf({Answered("k1", 12.5)});
  record.requests.push_back(NotAnswered("k2", CallerOutcome::kLost, "connection_broken", ""));
  record.end.residency = {ResidencyChange{absl::Milliseconds(-5), "load_begin", "w", "m", 10, 1}};
  std::stringstream stream;
  WriteRecord(record, &stream);
  const std::string text = stream.str();
  const Result<RunRecord> read = ReadRecord(&stream);
  REQUIRE(read.ok());
  CHECK(SummaryAsJson(Summarize(*read)) == SummaryAsJson(Summarize(record)));
  CHECK(read->requests[1].first_token == absl::InfiniteDuration());
  CHECK(read->end.residency[0].at == absl::Milliseconds(-5));
  std::stringstream cut(text.substr(0, text.rfind("{\"record\":\"end\"")));
  CHECK(ReadRecord(&cut).error() == Error::kMalformed);
}

TEST_CASE("a request is cold unless a replica of its model is ready when it is planned") {
  std::vector<RequestRecord> requests;
  for (const int planned_ms : {5, 15, 25, 35, 45}) {
    requests.push_back(Answered("k", 1));
    requests.back().planned = absl::Milliseconds(planned_ms);
  }
  MarkColdRequests({{absl::Milliseconds(1), "load_begin", "w1", "m", 10, 1},
                    {absl::Milliseconds(10), "load_ready", "w1", "m", 10, 1},
                    {absl::Milliseconds(20), "unloaded", "w1", "m", 0, 0},
                    {absl::Milliseconds(30), "load_ready", "w2", "m", 10, 1},
                    {absl::Milliseconds(40), "engine_restart", "w2", "", 0, 0}},
                   &requests);
  CHECK(requests[0].cold);
  CHECK_FALSE(requests[1].cold);
  CHECK(requests[2].cold);
  CHECK_FALSE(requests[3].cold);
  CHECK(requests[4].cold);
}

TEST_CASE("an answer generated for another caller's request is wrong") {
  std::vector<RequestRecord> requests{Answered("k1", 1), Answered("k2", 1), Answered("k3", 1)};
  requests[0].answered_request = "r1";
  requests[1].answered_request = "r1";
  requests[2].answered_request = "unlogged";
  LogEntry begin;
  begin.event = "generate_begin";
  begin.request = "r1";
  begin.key = "k1";
  MarkForeignAnswers({begin}, &requests);
  CHECK_FALSE(requests[0].wrong);
  CHECK(requests[1].wrong);
  CHECK_FALSE(requests[2].wrong);
}

TEST_CASE("replicas and memory are summed over workers") {
  const std::vector<ResidencySample> samples =
      ResidencyOverTime({{absl::Milliseconds(1), "load_begin", "w1", "m", 10, 1},
                         {absl::Milliseconds(2), "load_begin", "w2", "m", 20, 2},
                         {absl::Milliseconds(3), "load_ready", "w1", "m", 10, 2},
                         {absl::Milliseconds(4), "unloaded", "w1", "m", 0, 1},
                         {absl::Milliseconds(5), "engine_restart", "w2", "", 0, 0}});
  REQUIRE(samples.size() == 5);
  CHECK(samples[2].replicas == 2);
  CHECK(samples[2].memory_used_mib == 30);
  CHECK(samples[3].replicas == 1);
  CHECK(samples[3].memory_used_mib == 20);
  CHECK(samples[4].replicas == 0);
  CHECK(samples[4].memory_used_mib == 0);
}

TEST_CASE("each plot draws both records in both formats") {
  RunRecord first = RecordOf({Answered("k", 1)});
  first.header.label = "it's first";
  RunRecord second = RecordOf({});
  for (const PlotScript& plot : MakePlots({first, second}, "/out")) {
    CHECK(plot.text.find("/out/" + plot.name + ".svg") != std::string::npos);
    CHECK(plot.text.find("/out/" + plot.name + ".png") != std::string::npos);
    CHECK(plot.text.find("test, it''s first") != std::string::npos);
    // Underscores in labels must be drawn literally, not as subscripts.
    CHECK(plot.text.find("set terminal svg noenhanced") != std::string::npos);
    CHECK(plot.text.find("set terminal pngcairo noenhanced") != std::string::npos);
  }
}

TEST_CASE("the comparison has one row per run, including runs with failures") {
  RunRecord record = RecordOf({NotAnswered("k", CallerOutcome::kLost, "connection_broken", "")});
  record.header.label = "always";
  const std::string table = CompareSummaries({Summarize(record)});
  CHECK(table.find("always") != std::string::npos);
}

}  // namespace
}  // namespace hingespan::load
