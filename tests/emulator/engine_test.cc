// Tests of the engine's state machine in virtual time.
#include "emulator/engine.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "emulator/prompt.h"

namespace hingespan::emulator {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

class Recorder : public EngineObserver {
 public:
  void OnEvent(LogEntry entry) override { entries.push_back(std::move(entry)); }
  void OnReplicaCount(const ModelName& model, int difference) override {
    replicas[model] += difference;
  }
  int Count(EngineEvent event) const {
    return static_cast<int>(
        std::count_if(entries.begin(), entries.end(),
                      [&](const LogEntry& entry) { return entry.event == event; }));
  }

  std::vector<LogEntry> entries;
  std::map<ModelName, int> replicas;
};

EngineOptions Options() {
  EngineOptions options;
  options.memory_mib = 4096;
  options.token_interval = absl::Milliseconds(10);
  options.slowdown_per_stream = 0.5;
  options.prefill_per_1k_tokens = absl::Milliseconds(1000);
  options.memory_load_per_gib = absl::Seconds(1);
  options.disk_load_per_gib = absl::Seconds(4);
  options.remote_load_per_gib = absl::Seconds(16);
  options.status_lag = absl::ZeroDuration();
  return options;
}

struct EngineTest {
  explicit EngineTest(const EngineOptions& options = Options())
      : engine(WorkerId("w1"), options, 1, &weight_store, &recorder) {}

  // Advances in the steps that the engine and the weight store request.
  void RunUntil(absl::Time until) {
    while (true) {
      const absl::Time next = std::min(engine.NextEvent(), weight_store.NextEvent());
      if (next > until) {
        break;
      }
      now = std::max(now, next);
      weight_store.Advance(now);
      for (const TransferId transfer : weight_store.TakeFinished()) {
        engine.OnTransferDone(transfer, now);
      }
      engine.Advance(now);
    }
    now = until;
  }
  void RunFor(absl::Duration duration) { RunUntil(now + duration); }

  OrderFence NextFence(std::uint64_t generation = 1) {
    return {WorkerIncarnation(1), KeeperEpoch(1), OrderSequence(++sequence),
            GrantGeneration(generation)};
  }
  OrderResult Load(const std::string& model, std::uint32_t memory_mib,
                   const std::string& base = "") {
    return engine.Load({NextFence(), ModelName(model), ModelName(base), model, memory_mib}, now);
  }
  OrderResult Unload(const std::string& model) {
    return engine.Unload({NextFence(), ModelName(model)}, now);
  }
  void LoadAndWait(const std::string& model, std::uint32_t memory_mib = 1024) {
    REQUIRE(Load(model, memory_mib) == OrderResult::kAccepted);
    RunFor(absl::Seconds(1000));
    REQUIRE(StateOf(model) == ReplicaState::kReady);
  }
  GenerateAnswer Generate(const std::string& request, const std::string& model, int tokens,
                          const std::string& prompt = "hi", int priority = 0) {
    const std::string body =
        "{\"prompt\":\"" + prompt + "\",\"max_tokens\":" + std::to_string(tokens) + "}";
    return engine.Generate(
        {RequestId(request), ModelName(model), "completion", body, priority, WorkerIncarnation(0)},
        now);
  }
  std::optional<ReplicaState> StateOf(const std::string& model) {
    for (const EngineReplica& replica : engine.Status(now).replicas) {
      if (replica.model.value() == model) {
        return replica.state;
      }
    }
    return std::nullopt;
  }

  WeightStore weight_store{{1e6, 8}};
  Recorder recorder;
  Engine engine;
  absl::Time now = kStart;
  std::uint64_t sequence = 0;
};

std::size_t ChunkCount(const std::shared_ptr<AnswerStream>& stream) {
  // Only for streams that have a chunk, as the read would block otherwise.
  return stream->WaitAfter(0, stream->connection_round()).chunks.size();
}

TEST_CASE_FIXTURE(EngineTest, "a load takes its checkpoint from the nearest tier") {
  Load("m", 1024);
  RunFor(absl::Milliseconds(15990));
  CHECK(StateOf("m") == ReplicaState::kLoading);
  RunFor(absl::Milliseconds(20));
  CHECK(StateOf("m") == ReplicaState::kReady);
  Unload("m");
  Load("m", 1024);
  RunFor(absl::Milliseconds(990));
  CHECK(StateOf("m") == ReplicaState::kLoading);
  RunFor(absl::Milliseconds(20));
  CHECK(StateOf("m") == ReplicaState::kReady);
}

TEST_CASE_FIXTURE(EngineTest, "an order that is repeated has no second effect") {
  const LoadOrder order{NextFence(), ModelName("m"), {}, "m", 1024};
  REQUIRE(engine.Load(order, now) == OrderResult::kAccepted);
  CHECK(engine.Load(order, now) == OrderResult::kFenced);
  CHECK(recorder.Count(EngineEvent::kLoadBegin) == 1);
  REQUIRE(recorder.entries.back().event == EngineEvent::kOrderRefused);
  CHECK(recorder.entries.back().reason == "sequence");
}

TEST_CASE_FIXTURE(EngineTest, "a load of a loaded replica changes only its generation") {
  LoadAndWait("m");
  REQUIRE(engine.Load({NextFence(9), ModelName("m"), {}, "m", 1024}, now) ==
          OrderResult::kAccepted);
  CHECK(engine.Status(now).replicas[0].generation == GrantGeneration(9));
  CHECK(engine.memory_used_mib() == 1024);
  CHECK(recorder.replicas[ModelName("m")] == 1);
}

TEST_CASE_FIXTURE(EngineTest, "an overcommit is refused, logged and has no effect") {
  REQUIRE(Load("a", 3000) == OrderResult::kAccepted);
  CHECK(Load("b", 1097) == OrderResult::kOutOfMemory);
  CHECK(recorder.Count(EngineEvent::kOvercommit) == 1);
  CHECK(engine.memory_used_mib() == 3000);
  CHECK(recorder.replicas[ModelName("b")] == 0);
  CHECK(Load("c", 1096) == OrderResult::kAccepted);
}

TEST_CASE_FIXTURE(EngineTest, "an adapter needs its base on the worker, ready before itself") {
  CHECK(Load("adapter", 10, "base") == OrderResult::kBaseNotLoaded);
  REQUIRE(Load("base", 1024) == OrderResult::kAccepted);
  REQUIRE(Load("adapter", 10, "base") == OrderResult::kAccepted);
  RunFor(absl::Seconds(10));
  CHECK(StateOf("adapter") == ReplicaState::kLoading);
  RunFor(absl::Seconds(10));
  CHECK(StateOf("adapter") == ReplicaState::kReady);
}

TEST_CASE_FIXTURE(EngineTest, "streams run together, and more of them slow each step") {
  LoadAndWait("m");
  const GenerateAnswer alone = Generate("r1", "m", 100);
  RunFor(absl::Milliseconds(100));
  const std::size_t tokens_alone = ChunkCount(alone.stream);
  CHECK(tokens_alone >= 10);
  const GenerateAnswer second = Generate("r2", "m", 100);
  RunFor(absl::Milliseconds(150));
  CHECK(ChunkCount(alone.stream) - tokens_alone <= 11);
  CHECK(ChunkCount(second.stream) >= 10);
}

TEST_CASE_FIXTURE(EngineTest, "the answer names its model and request, and ends marked as last") {
  LoadAndWait("m");
  const GenerateAnswer answer = Generate("r1", "m", 2);
  RunFor(absl::Seconds(1));
  const auto read = answer.stream->WaitAfter(0, answer.stream->connection_round());
  REQUIRE(read.chunks.size() == 3);
  CHECK(read.chunks[0].text == "m#r1/1 ");
  CHECK(read.chunks[1].text == "m#r1/2 ");
  CHECK(read.chunks[2].last);
  CHECK(read.chunks[2].completion_tokens == 2);
  CHECK(read.chunks[2].sequence == 3);
}

TEST_CASE_FIXTURE(EngineTest, "a cached prefix shortens prefill") {
  LoadAndWait("m");
  const std::string prompt(4096, 'x');
  Generate("r1", "m", 1, prompt);
  RunFor(absl::Milliseconds(1000));
  CHECK(recorder.Count(EngineEvent::kGenerateEnd) == 0);
  RunFor(absl::Milliseconds(100));
  CHECK(recorder.Count(EngineEvent::kGenerateEnd) == 1);
  Generate("r2", "m", 1, prompt);
  RunFor(absl::Milliseconds(1));
  CHECK(recorder.Count(EngineEvent::kGenerateEnd) == 2);
}

TEST_CASE("a full engine queues by priority, then refuses") {
  EngineOptions options = Options();
  options.maximum_running = 1;
  options.maximum_queued = 2;
  EngineTest test(options);
  test.LoadAndWait("m");
  test.Generate("running", "m", 4);
  test.Generate("low", "m", 4, "hi", 0);
  test.Generate("high", "m", 4, "hi", 5);
  CHECK(test.Generate("refused", "m", 4).result == GenerateResult::kOverloaded);
  test.RunFor(absl::Seconds(1));
  std::vector<std::string> begun;
  for (const LogEntry& entry : test.recorder.entries) {
    if (entry.event == EngineEvent::kGenerateBegin) {
      begun.push_back(entry.request.value());
    }
  }
  CHECK(begun == std::vector<std::string>{"running", "high", "low"});
}

TEST_CASE_FIXTURE(EngineTest,
                  "a draining unload refuses new requests and ends after the last one") {
  LoadAndWait("m");
  const GenerateAnswer running = Generate("r1", "m", 10);
  RunFor(absl::Milliseconds(20));
  REQUIRE(Unload("m") == OrderResult::kAccepted);
  CHECK(StateOf("m") == ReplicaState::kDraining);
  CHECK(Generate("r2", "m", 10).result == GenerateResult::kNotLoaded);
  CHECK(engine.memory_used_mib() == 1024);
  RunFor(absl::Seconds(1));
  CHECK(ChunkCount(running.stream) == 11);
  CHECK_FALSE(StateOf("m").has_value());
  CHECK(engine.memory_used_mib() == 0);
  CHECK(recorder.entries.back().event == EngineEvent::kUnloaded);
  CHECK(recorder.replicas[ModelName("m")] == 0);
}

TEST_CASE_FIXTURE(EngineTest, "an unload during a load frees the memory and the transfer") {
  Load("m", 1024);
  RunFor(absl::Seconds(1));
  Unload("m");
  CHECK(engine.memory_used_mib() == 0);
  CHECK(weight_store.active() == 0);
}

TEST_CASE("both names of the token limit and prompts in a list are accepted") {
  CHECK(ParsePrompt(R"({"prompt":"p","max_tokens":3})").maximum_tokens == 3);
  CHECK(ParsePrompt(R"({"prompt":"p","max_completion_tokens":5})").maximum_tokens == 5);
  CHECK(ParsePrompt(R"({"prompt":["p"]})").text == "p");
}

TEST_CASE_FIXTURE(EngineTest, "an answer ends with length at the caller's limit, else with stop") {
  LoadAndWait("m");
  const GenerateAnswer limited = Generate("r1", "m", 2);
  const GenerateAnswer free = engine.Generate(
      {RequestId("r2"), ModelName("m"), "completion", R"({"prompt":"p"})", 0, WorkerIncarnation(0)},
      now);
  RunFor(absl::Seconds(1));
  const auto reason = [](const GenerateAnswer& answer) {
    return answer.stream->WaitAfter(0, answer.stream->connection_round())
        .chunks.back()
        .finish_reason;
  };
  CHECK(reason(limited) == "length");
  CHECK(reason(free) == "stop");
}

TEST_CASE_FIXTURE(EngineTest, "a cancelled request ends marked as cancelled") {
  LoadAndWait("m");
  const GenerateAnswer answer = Generate("r1", "m", 100);
  RunFor(absl::Milliseconds(20));
  engine.Cancel(RequestId("r1"), now);
  const auto read = answer.stream->WaitAfter(0, answer.stream->connection_round());
  CHECK(read.chunks.back().finish_reason == "cancelled");
  CHECK(recorder.entries.back().outcome == "cancelled");
  CHECK(engine.NextEvent() == absl::InfiniteFuture());
}

TEST_CASE_FIXTURE(EngineTest, "a restarted engine has nothing and refuses its old incarnation") {
  LoadAndWait("m");
  const GenerateAnswer answer = Generate("r1", "m", 100);
  engine.Restart(now);
  CHECK(engine.Status(now).incarnation == WorkerIncarnation(2));
  CHECK(engine.memory_used_mib() == 0);
  CHECK(recorder.replicas[ModelName("m")] == 0);
  CHECK(engine.FindStream(RequestId("r1")) == nullptr);
  CHECK(answer.stream->WaitAfter(100, answer.stream->connection_round()).close_connection);
  CHECK(Load("m", 1024) == OrderResult::kFenced);
  CHECK(recorder.entries.back().reason == "incarnation");
}

TEST_CASE_FIXTURE(EngineTest, "a failed load is shown, holds no memory and can be retried") {
  engine.FailLoads(1);
  Load("m", 1024);
  RunFor(absl::Seconds(100));
  CHECK(StateOf("m") == ReplicaState::kFailed);
  CHECK(engine.memory_used_mib() == 0);
  CHECK(recorder.replicas[ModelName("m")] == 0);
  LoadAndWait("m");
}

TEST_CASE_FIXTURE(EngineTest, "a frozen engine does nothing and does not catch up") {
  LoadAndWait("m");
  const GenerateAnswer answer = Generate("r1", "m", 100);
  RunFor(absl::Milliseconds(20));
  const std::size_t before = ChunkCount(answer.stream);
  engine.SetFrozen(true, now);
  CHECK(engine.NextEvent() == absl::InfiniteFuture());
  now += absl::Seconds(10);
  engine.SetFrozen(false, now);
  RunFor(absl::Milliseconds(20));
  CHECK(ChunkCount(answer.stream) <= before + 3);
}

TEST_CASE_FIXTURE(EngineTest, "memory is accounted by use") {
  LoadAndWait("m", 1000);
  const MemoryUse before = engine.memory_use(now);
  RunFor(absl::Seconds(5));
  Generate("r1", "m", 1000000);
  RunFor(absl::Seconds(2));
  const MemoryUse after = engine.memory_use(now);
  CHECK(after.idle_mib_seconds - before.idle_mib_seconds == doctest::Approx(5000));
  CHECK(after.busy_mib_seconds - before.busy_mib_seconds == doctest::Approx(2000));
}

}  // namespace
}  // namespace hingespan::emulator
