// Tests of workers in trouble that send bytes without an end to many requests at once: a node stays
// within its machine's memory, and requests of a sound service are answered.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "emulator/platform_store.h"
#include "hingespan/http/http_client.h"
#include "hingespan/http/http_server.h"
#include "tests/crowd/process_memory.h"
#include "tests/soak/gateway_process.h"

namespace hingespan::crowd {
namespace {

using Json = nlohmann::json;
using boost::asio::ip::tcp;
using gateway::ServerExchange;

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kMemory = 64 * kMegabyte;
constexpr int kAtOnce = 60;
constexpr int kDeadlineMs = 1500;
constexpr int kTries = 200;
constexpr absl::Duration kWaitLimit = absl::Minutes(2);
constexpr absl::Duration kSampleInterval = absl::Milliseconds(20);

struct Kind {
  const char* name;
  // Sent once, with the id of the request in place of $; then `unit` again and again.
  const char* begin;
  std::string unit;
};

std::vector<Kind> Kinds() {
  constexpr const char* kChunked =
      "HTTP/1.1 200 OK\r\nAttempt-Id: $\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr const char* kChunkedFailure =
      "HTTP/1.1 500 Bad\r\nAttempt-Id: $\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr const char* kChunkedRejection =
      "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr const char* kWhole =
      "HTTP/1.1 200 OK\r\nAttempt-Id: $\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok";
  const std::string chunk = absl::StrCat("1000\r\n", std::string(4096, 'a'), "\r\n");
  return {
      {"no answer", "", "a"},
      {"empty lines", "", "\r\n"},
      {"zero bytes", "", std::string(64, '\0')},
      {"status line", "HTTP/1.1 200 ", "a"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"name of a field", "HTTP/1.1 200 OK\r\n", "a"},
      {"value of a field", "HTTP/1.1 200 OK\r\nX: ", "a"},
      {"folded field", "HTTP/1.1 200 OK\r\nX: a", "\r\n a"},
      {"fields", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
      {"body with a huge length",
       "HTTP/1.1 200 OK\r\nAttempt-Id: $\r\nServer-Seal: s\r\nContent-Length: "
       "9000000000000000\r\n\r\n",
       std::string(4096, 'a')},
      {"body until the connection ends",
       "HTTP/1.1 200 OK\r\nAttempt-Id: $\r\nServer-Seal: s\r\n\r\n", std::string(4096, 'a')},
      {"chunks", kChunked, chunk},
      {"one chunk",
       "HTTP/1.1 200 OK\r\nAttempt-Id: $\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
       "7fffffffffff\r\n",
       std::string(4096, 'a')},
      {"extension of a chunk",
       "HTTP/1.1 200 OK\r\nAttempt-Id: $\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;",
       "a"},
      {"trailer",
       "HTTP/1.1 200 OK\r\nAttempt-Id: $\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
       "0\r\n",
       "X: a\r\n"},
      {"chunks of a failure", kChunkedFailure, chunk},
      {"chunks of a rejection", kChunkedRejection, chunk},
      {"comments of a stream", kChunked, "8\r\n: aaaa\n\n\r\n"},
      {"bytes after a whole answer", kWhole, "a"},
  };
}

// Server that answers each request with bytes of a kind until the connection ends.
class EndlessWorker {
 public:
  explicit EndlessWorker(gateway::EventLoop* loop)
      : acceptor_(loop->context(), {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }

  std::string address() const {
    return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
  }
  int requests() const { return requests_; }
  void SetKind(Kind kind) { kind_ = std::move(kind); }

 private:
  using Error = boost::system::error_code;
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::array<char, 4096> request;
    std::string bytes;
    std::string units;
  };

  void Accept() {
    acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
      if (error) {
        return;
      }
      Serve(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->request),
        [this, connection](const Error& error, std::size_t count) {
          if (error) {
            return;
          }
          ++requests_;
          connection->bytes =
              absl::StrReplaceAll(kind_.begin, {{"$", IdOf({connection->request.data(), count})}});
          while (connection->units.size() < 8 * 1024) {
            connection->units += kind_.unit;
          }
          connection->bytes += connection->units;
          Send(connection);
        });
  }

  void Send(const std::shared_ptr<Connection>& connection) {
    boost::asio::async_write(connection->socket, boost::asio::buffer(connection->bytes),
                             [this, connection](const Error& error, std::size_t) {
                               if (!error) {
                                 connection->bytes = connection->units;
                                 Send(connection);
                               }
                             });
  }

  static std::string IdOf(absl::string_view request) {
    constexpr absl::string_view kName = "Attempt-Id: ";
    for (const absl::string_view line : absl::StrSplit(request, "\r\n")) {
      if (absl::StartsWithIgnoreCase(line, kName)) {
        return std::string(line.substr(kName.size()));
      }
    }
    return "";
  }

  tcp::acceptor acceptor_;
  Kind kind_{"", "", "a"};
  int requests_ = 0;
};

struct Call : gateway::AnswerReceiver {
  bool OnHead(const gateway::AnswerHead& head) override {
    status = head.status;
    return true;
  }
  void OnBody(absl::string_view) override {}
  void OnEnd(gateway::ExchangeResult end) override {
    whole = end == gateway::ExchangeResult::kComplete;
    ended = true;
  }
  int status = 0;
  bool whole = false;
  bool ended = false;
  std::unique_ptr<gateway::ClientExchange> exchange;
};

Json RouteTo(const std::string& prefix, const std::string& kind, const std::string& service) {
  return Json{{"name", prefix},        {"host", "h"},
              {"path_prefix", prefix}, {"kind", kind},
              {"timeout_ms", 20000},   {"target_latency_ms", 800},
              {"priority", 1},         {"service", service},
              {"max_attempts", 2},     {"resumable", kind == "streaming"},
              {"gap_target_ms", 50}};
}

// A gateway process, a sound worker, and one without end for plain requests and streams.
class World {
 public:
  World() {
    std::string name =
        (std::filesystem::temp_directory_path() / "hingespan-endless-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    folder_ = name;
    REQUIRE(!sound_.Listen("127.0.0.1:0"));
    PutConfiguration();
    PutWorker("w-sound", "sound", sound_.address());
    PutWorker("w-plain", "plain", endless.address());
    PutWorker("w-models", "models", endless.address());
    soak::GatewayProcessOptions options;
    options.program = absl::StrCat(HINGESPAN_PROGRAM_DIRECTORY, "/hingespan-gateway");
    options.name = "n1";
    options.zone = "zone-a";
    options.store_address = store_.address();
    options.folder = folder_;
    options.memory_mb = static_cast<int>(kMemory / kMegabyte);
    process_ = std::make_unique<soak::GatewayProcess>(std::move(options));
    process_->Launch();
    REQUIRE(Wait([&] { return process_->Listens(); }));
    REQUIRE(IsServed());
    Sample();
  }
  ~World() {
    process_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  std::unique_ptr<Call> Send(const std::string& target) {
    auto call = std::make_unique<Call>();
    const std::string id = absl::StrCat("r", ++number_);
    const std::string prompt =
        absl::StartsWith(target, "/stream/")
            ? absl::StrCat("Model: m1\r\nToken-Count: 10,6\r\nPrompt-Prefix: aa:5,", id, ":5\r\n")
            : "";
    call->exchange = client_.SendOnNewConnection(
        process_->request_address(),
        absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: h\r\nAttempt-Id: ", id,
                     "\r\nDeadline-Ms: ", kDeadlineMs, "\r\n", prompt,
                     "Connection: close\r\nContent-Length: 0\r\n\r\n"),
        call.get());
    return call;
  }
  // Returns the status of the answer; 0 if there is no whole one.
  int Ask(const std::string& target) {
    const auto call = Send(target);
    REQUIRE(Wait([&] { return call->ended; }));
    return call->whole ? call->status : 0;
  }
  // Sends requests to the sound service until one is served; returns false if none of many was.
  bool IsServed() {
    for (int number = 0; number < kTries && Lives(); ++number) {
      if (Ask("/sound/x") == 200) {
        return true;
      }
    }
    return false;
  }
  bool Lives() {
    int status = 0;
    ended_ = ended_ || process_->Reap(&status);
    return !ended_;
  }
  // The most that the process has held so far: resident and unread bytes, and each of them.
  std::size_t peak_bytes() const { return peak_bytes_; }
  std::size_t peak_resident() const { return peak_resident_; }
  std::size_t peak_unread() const { return peak_unread_; }
  bool Wait(const std::function<bool()>& done) { return loop_.RunUntil(done, kWaitLimit); }

 private:
  void PutConfiguration() {
    const Json model{{"name", "m1"},
                     {"weights_mb", 100.0},
                     {"load_s", 0.1},
                     {"adapters", 1},
                     {"adapter_mb", 1.0}};
    const Json engine{{"slots", 200},        {"kv_capacity_tokens", 100000},
                      {"weights_mb", 150.0}, {"adapter_slots", 2},
                      {"loads_per_s", 20.0}, {"models", Json::array({model})}};
    const Json configuration{
        {"version", 1},
        {"routes", Json::array({RouteTo("/sound/", "idempotent", "sound"),
                                RouteTo("/plain/", "idempotent", "plain"),
                                RouteTo("/stream/", "streaming", "models")})},
        {"services",
         Json::array({Json{{"name", "sound"}, {"max_connections", 1000}},
                      Json{{"name", "plain"}, {"max_connections", 1000}},
                      Json{{"name", "models"}, {"max_connections", 1000}, {"engine", engine}}})},
        {"limits", Json{{"max_header_bytes", 16384},
                        {"max_body_bytes", 1048576},
                        {"header_timeout_ms", 5000},
                        {"idle_timeout_ms", 15000}}}};
    store_.Put("op", "config", configuration.dump());
  }

  void PutWorker(const std::string& id, const std::string& service, const std::string& address) {
    const Json model{{"name", "m1"}, {"version", 1}, {"adapters", Json::array()}};
    const Json row{{"service", service},
                   {"address", address},
                   {"zone", "zone-a"},
                   {"version", "v1"},
                   {"slots", 1000},
                   {"state", "ready"},
                   {"sequence", 1},
                   {"models", service == "models" ? Json::array({model}) : Json::array()}};
    store_.Put("servers", id, row.dump());
  }

  void Sample() {
    if (!Lives()) {
      return;
    }
    const ProcessMemory memory = ReadProcessMemory(process_->pid());
    peak_bytes_ = std::max({peak_bytes_, memory.peak_resident, memory.resident + memory.unread});
    peak_unread_ = std::max(peak_unread_, memory.unread);
    peak_resident_ = std::max(peak_resident_, memory.peak_resident);
    timer_->Set(loop_.Now() + kSampleInterval, [this] { Sample(); });
  }

  gateway::EventLoop loop_;
  emulator::PlatformStore store_{&loop_};
  gateway::HttpClient client_{&loop_, gateway::ClientLimits{}};
  std::unique_ptr<gateway::LoopTimer> timer_ = loop_.MakeTimer();
  gateway::HttpServer sound_{
      &loop_, [](const std::shared_ptr<ServerExchange>& exchange) {
        const std::string* const id = gateway::FindField(exchange->head().fields, "Attempt-Id");
        exchange->Answer(200, "OK",
                         {{"Attempt-Id", id == nullptr ? "" : *id}, {"Server-Seal", "seal"}}, "ok");
      }};
  std::string folder_;
  std::unique_ptr<soak::GatewayProcess> process_;
  std::size_t peak_bytes_ = 0;
  std::size_t peak_resident_ = 0;
  std::size_t peak_unread_ = 0;
  int number_ = 0;
  bool ended_ = false;

 public:
  EndlessWorker endless{&loop_};
};

}  // namespace

// Guards against a node that runs out of memory, or stops to serve others, as it keeps what a
// faulty worker sends (Fault, LOST).
TEST_CASE("bytes without end from a worker, to many requests at once") {
  World world;
  for (const Kind& kind : Kinds()) {
    for (const char* const target : {"/plain/x", "/stream/x"}) {
      CAPTURE(kind.name);
      CAPTURE(target);
      world.endless.SetKind(kind);
      const int before = world.endless.requests();
      std::vector<std::unique_ptr<Call>> calls;
      for (int number = 0; number < kAtOnce; ++number) {
        calls.push_back(world.Send(target));
      }
      CHECK(world.Ask("/sound/x") == 200);
      REQUIRE(world.Wait([&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const auto& call) { return call->ended; });
      }));
      REQUIRE(world.Lives());
      CHECK(world.Ask("/sound/x") == 200);
      // Streams that begin are passed on, and cut at the deadline; the others fail.
      const bool is_answer = absl::StrContains(kind.name, "after a whole answer");
      for (const auto& call : calls) {
        CHECK((is_answer || !call->whole || call->status >= 500));
      }
      CHECK(world.endless.requests() > before);
    }
  }
  CHECK(world.peak_bytes() <= kMemory);
  MESSAGE("peak ", world.peak_bytes() / 1024, " KiB; resident ", world.peak_resident() / 1024,
          ", unread ", world.peak_unread() / 1024);
}

}  // namespace hingespan::crowd
