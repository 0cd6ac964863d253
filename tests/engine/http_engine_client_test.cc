// Tests that broken streams are resumed to complete answers, with each chunk delivered once and in
// order, and that kNotRun is reported only for requests that the engine did not run.
#include "hingespan/engine/http_engine_client.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "hingespan/common/clock.h"

namespace hingespan {
namespace {

constexpr absl::Duration kTestTimeout = absl::Seconds(20);

std::string Line(std::uint64_t sequence) {
  return absl::StrCat("{\"sequence\":", sequence, ",\"text\":\"t", sequence, " \"}\n");
}

std::string LastLine(std::uint64_t sequence) {
  return absl::StrCat("{\"sequence\":", sequence,
                      ",\"text\":\"\",\"last\":true,\"finish_reason\":\"stop\","
                      "\"prompt_tokens\":3,\"completion_tokens\":2}\n");
}

// One response of the scripted engine.
struct Script {
  int status = 200;
  // Body fragments; each is sent with a separate write.
  std::vector<std::string> pieces;
  // Closes the connection after the last piece without terminating the body.
  bool disconnects = false;
  // If set, the pieces after the first are sent only once this was notified.
  absl::Notification* after_first = nullptr;
};

// HTTP engine that replays scripted responses: the first to /generate, the others to resumptions.
class ScriptedEngine {
 public:
  explicit ScriptedEngine(std::vector<Script> scripts) : scripts_(std::move(scripts)) {
    server_.Post("/engines/w1/generate",
                 [this](const httplib::Request&, httplib::Response& answer) { Answer(&answer); });
    server_.Get("/engines/w1/streams/r~1",
                [this](const httplib::Request& request, httplib::Response& answer) {
                  resumed_after.push_back(request.get_param_value("after"));
                  Answer(&answer);
                });
    server_.Delete("/engines/w1/streams/r~1",
                   [this](const httplib::Request&, httplib::Response&) { cancelled.Notify(); });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }
  ~ScriptedEngine() {
    server_.stop();
    thread_.join();
  }

  std::string base_url() const { return absl::StrCat("http://127.0.0.1:", port_, "/engines/w1"); }

  std::vector<std::string> resumed_after;
  absl::Notification cancelled;

 private:
  void Answer(httplib::Response* answer) {
    if (next_ == scripts_.size()) {
      answer->status = 404;
      answer->set_content("{\"error\":\"unknown\"}", "application/json");
      return;
    }
    const Script script = scripts_[next_++];
    answer->status = script.status;
    if (script.status != 200) {
      answer->set_content(script.pieces[0], "application/json");
      return;
    }
    answer->set_chunked_content_provider("application/x-ndjson",
                                         [script](std::size_t, httplib::DataSink& sink) {
                                           for (const std::string& piece : script.pieces) {
                                             sink.write(piece.data(), piece.size());
                                             AwaitNextPiece(script);
                                           }
                                           if (script.disconnects) {
                                             return false;
                                           }
                                           sink.done();
                                           return true;
                                         });
  }

  static void AwaitNextPiece(const Script& script) {
    if (script.after_first != nullptr) {
      script.after_first->WaitForNotificationWithTimeout(kTestTimeout);
    }
  }

  httplib::Server server_;
  std::vector<Script> scripts_;
  std::size_t next_ = 0;
  int port_ = 0;
  std::thread thread_;
};

struct Run {
  GenerationResult result;
  std::string text;
  std::uint32_t completion_tokens = 0;
};

GenerationRequest MakeRequest() {
  GenerationRequest request;
  request.request = RequestId("r~1");
  request.model = ModelName("m");
  request.kind = "chat";
  request.body = "{}";
  return request;
}

Run Generate(const std::string& base_url, const GenerationRequest& request = MakeRequest(),
             absl::Duration limit = kTestTimeout) {
  HttpEngineClient client((HttpEngineClientOptions()));
  Run run;
  const ChunkSink sink = [&run](const GenerationChunk& chunk) {
    run.text += chunk.text;
    run.completion_tokens = chunk.completion_tokens;
    return true;
  };
  run.result = client.Generate(base_url, request, SystemClock().Now() + limit, sink);
  return run;
}

TEST_CASE("a stream is complete once its terminal marker arrives") {
  ScriptedEngine engine({{200, {Line(1), Line(2), LastLine(3)}, false}});
  const Run run = Generate(engine.base_url());
  CHECK(run.result.outcome == GenerationOutcome::kComplete);
  CHECK(run.result.last_sequence == 3);
  CHECK(run.text == "t1 t2 ");
  CHECK(run.completion_tokens == 2);
}

TEST_CASE("lines may be split at any byte") {
  const std::string all = Line(1) + Line(2) + LastLine(3);
  std::vector<std::string> bytes;
  for (const char byte : all) {
    bytes.emplace_back(1, byte);
  }
  ScriptedEngine engine({{200, bytes, false}});
  CHECK(Generate(engine.base_url()).text == "t1 t2 ");
}

TEST_CASE("all received chunks are delivered before before_wait is called") {
  absl::Notification wait_announced;
  ScriptedEngine engine({{200, {Line(1) + Line(2), LastLine(3)}, false, &wait_announced}});
  std::string events;
  GenerationRequest request = MakeRequest();
  request.before_wait = [&] {
    events += "w";
    if (!wait_announced.HasBeenNotified()) {
      wait_announced.Notify();
    }
  };
  HttpEngineClient client((HttpEngineClientOptions()));
  const GenerationResult result =
      client.Generate(engine.base_url(), request, SystemClock().Now() + kTestTimeout,
                      [&](const GenerationChunk& chunk) {
                        CHECK(chunk.wait_is_announced);
                        events += absl::StrCat(chunk.sequence);
                        return true;
                      });
  CHECK(result.outcome == GenerationOutcome::kComplete);
  CHECK(absl::StartsWith(events, "12w"));
  CHECK(absl::StrContains(events, "w3"));
}

TEST_CASE("a broken stream is resumed after the latest chunk received") {
  ScriptedEngine engine({{200, {Line(1), "{\"sequence\":2,\"te"}, true},
                         {200, {Line(2)}, true},
                         {200, {LastLine(3)}, false}});
  const Run run = Generate(engine.base_url());
  CHECK(run.result.outcome == GenerationOutcome::kComplete);
  CHECK(run.text == "t1 t2 ");
  CHECK(engine.resumed_after == std::vector<std::string>{"1", "2"});
}

TEST_CASE("a body that ends without the terminal marker is resumed") {
  ScriptedEngine engine({{200, {Line(1)}, false}, {200, {Line(2), LastLine(3)}, false}});
  const Run run = Generate(engine.base_url());
  CHECK(run.result.outcome == GenerationOutcome::kComplete);
  CHECK(run.text == "t1 t2 ");
}

TEST_CASE("duplicate chunks are dropped and missing ones are requested again") {
  ScriptedEngine engine(
      {{200, {Line(1), Line(1), Line(3)}, false}, {200, {Line(1), Line(2), LastLine(3)}, false}});
  const Run run = Generate(engine.base_url());
  CHECK(run.result.outcome == GenerationOutcome::kComplete);
  CHECK(run.text == "t1 t2 ");
  CHECK(engine.resumed_after == std::vector<std::string>{"1"});
}

TEST_CASE("a request whose stream is unknown to the engine may have run") {
  ScriptedEngine engine({{200, {Line(1)}, true}});
  const Run run = Generate(engine.base_url());
  CHECK(run.result.outcome == GenerationOutcome::kMayHaveRun);
  CHECK(run.result.last_sequence == 1);
}

TEST_CASE("a request whose answer is lost before its first byte may have run") {
  ScriptedEngine engine({{200, {}, true}});
  CHECK(Generate(engine.base_url()).result.outcome == GenerationOutcome::kMayHaveRun);
}

TEST_CASE("resumptions without progress are limited") {
  const Script nothing{200, {}, true};
  ScriptedEngine engine(std::vector<Script>(100, nothing));
  const Run run = Generate(engine.base_url());
  CHECK(run.result.outcome == GenerationOutcome::kMayHaveRun);
  CHECK(engine.resumed_after.size() ==
        static_cast<std::size_t>(HttpEngineClientOptions().maximum_resumes));
}

TEST_CASE("requests that the engine refuses are not run") {
  const auto refused = [](int status, const char* error) {
    ScriptedEngine engine({{status, {absl::StrCat("{\"error\":\"", error, "\"}")}, false}});
    return Generate(engine.base_url()).result;
  };
  CHECK(refused(409, "not_loaded").outcome == GenerationOutcome::kNotRun);
  CHECK(refused(409, "not_loaded").error == Error::kNotLoaded);
  CHECK(refused(409, "other_incarnation").error == Error::kFenced);
  CHECK(refused(503, "overloaded").error == Error::kUnavailable);
  CHECK(refused(503, "overloaded").outcome == GenerationOutcome::kNotRun);
  CHECK(refused(500, "broken").outcome == GenerationOutcome::kMayHaveRun);
}

TEST_CASE("a request is not run if the connection is refused") {
  std::string base_url;
  {
    const ScriptedEngine engine({});
    base_url = engine.base_url();
  }
  const Run run = Generate(base_url);
  CHECK(run.result.outcome == GenerationOutcome::kNotRun);
  CHECK(run.result.error == Error::kUnavailable);
}

// Engine that accepts requests and does not respond until it is destroyed.
class SilentEngine {
 public:
  SilentEngine() {
    server_.Post(".*", [this](const httplib::Request&, httplib::Response&) {
      release_.WaitForNotificationWithTimeout(kTestTimeout);
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }
  ~SilentEngine() {
    release_.Notify();
    server_.stop();
    thread_.join();
  }
  std::string base_url() const { return absl::StrCat("http://127.0.0.1:", port_, "/engines/w1"); }

 private:
  httplib::Server server_;
  absl::Notification release_;
  int port_ = 0;
  std::thread thread_;
};

TEST_CASE("a request to an unresponsive engine times out and may have run") {
  const SilentEngine engine;
  const Run run = Generate(engine.base_url(), MakeRequest(), absl::Milliseconds(100));
  CHECK(run.result.outcome == GenerationOutcome::kMayHaveRun);
  CHECK(run.result.error == Error::kTimeout);
}

TEST_CASE("a cancelled request stops waiting for an unresponsive engine") {
  const SilentEngine engine;
  GenerationRequest request = MakeRequest();
  request.cancelled = [] { return true; };
  CHECK(Generate(engine.base_url(), request).result.outcome == GenerationOutcome::kCancelled);
}

TEST_CASE("a sink that returns false cancels the request at the engine") {
  ScriptedEngine engine({{200, {Line(1), Line(2), LastLine(3)}, false}});
  HttpEngineClient client((HttpEngineClientOptions()));
  const ChunkSink sink = [](const GenerationChunk&) { return false; };
  const GenerationResult result =
      client.Generate(engine.base_url(), MakeRequest(), SystemClock().Now() + kTestTimeout, sink);
  CHECK(result.outcome == GenerationOutcome::kCancelled);
  CHECK(engine.cancelled.WaitForNotificationWithTimeout(kTestTimeout));
}

TEST_CASE("orders return the engine's status or an error") {
  httplib::Server server;
  std::string load_body;
  server.Get("/engines/w1/status", [](const httplib::Request&, httplib::Response& answer) {
    answer.set_content(
        R"({"incarnation":4,"epoch":2,"role":"both","memory_mib":100,"memory_used_mib":40,)"
        R"("running":1,"queued":2,"replicas":[{"model":"m","generation":7,"state":"draining",)"
        R"("memory_mib":40,"running":1,"idle_ms":0}],"cached":[{"checkpoint":"c","tier":"disk"}]})",
        "application/json");
  });
  server.Post("/engines/w1/load", [&](const httplib::Request& request, httplib::Response& answer) {
    load_body = request.body;
    answer.status = 507;
  });
  server.Post("/engines/w1/fence",
              [](const httplib::Request&, httplib::Response& answer) { answer.status = 409; });
  server.Post("/engines/w1/unload", [](const httplib::Request&, httplib::Response& answer) {
    answer.set_content("not json", "application/json");
  });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&server] { server.listen_after_bind(); });
  const std::string base_url = absl::StrCat("http://127.0.0.1:", port, "/engines/w1");
  HttpEngineClient client((HttpEngineClientOptions()));
  const Result<EngineStatus> status = client.Status(base_url, kTestTimeout);
  REQUIRE(status.ok());
  CHECK(status->incarnation == WorkerIncarnation(4));
  CHECK(status->replicas.at(0).state == ReplicaState::kDraining);
  CHECK(status->cached.at(0).tier == CacheTier::kDisk);
  CHECK(client.Load(base_url, LoadOrder(), kTestTimeout).error() == Error::kOutOfMemory);
  CHECK(load_body.find("\"fence\"") != std::string::npos);
  CHECK(client.Fence(base_url, WorkerIncarnation(), KeeperEpoch(1), kTestTimeout).error() ==
        Error::kFenced);
  CHECK(client.Unload(base_url, UnloadOrder(), kTestTimeout).error() == Error::kMalformed);
  CHECK(client.Status("http://not-an-address", kTestTimeout).error() == Error::kUnavailable);
  server.stop();
  thread.join();
}

}  // namespace
}  // namespace hingespan
