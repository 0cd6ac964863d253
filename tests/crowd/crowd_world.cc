#include "tests/crowd/crowd_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace hingespan::crowd {
namespace {

using Json = nlohmann::json;
using gateway::ServerExchange;

constexpr absl::Duration kWaitLimit = absl::Minutes(2);
constexpr absl::Duration kSampleInterval = absl::Milliseconds(20);
constexpr absl::Duration kCallersTimeout = absl::Minutes(1);
constexpr int kOrdinaryTries = 200;
constexpr int kDeadlineMs = 10000;
constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;

struct OrdinaryCall : gateway::AnswerReceiver {
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
};

std::string MakeFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "hingespan-crowd-XXXXXX").string();
  REQUIRE(mkdtemp(name.data()) != nullptr);
  return name;
}

}  // namespace

std::string RequestHeadText(const std::string& id) {
  return absl::StrCat("POST /plain/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: ", id,
                      "\r\nDeadline-Ms: ", kDeadlineMs, "\r\n");
}

CrowdWorld::CrowdWorld(const CrowdWorldOptions& options)
    : options_(options),
      store_(&loop_),
      worker_(&loop_,
              [this](const std::shared_ptr<ServerExchange>& exchange) {
                ++worker_requests_;
                if (holds_) {
                  held_.push_back(exchange);
                } else {
                  Answer(exchange.get());
                }
              }),
      caller_(&loop_, gateway::ClientLimits{}),
      sample_timer_(loop_.MakeTimer()),
      folder_(MakeFolder()) {
  REQUIRE(!worker_.Listen("127.0.0.1:0"));
  PutConfiguration();
  AnnounceWorker();
  soak::GatewayProcessOptions process;
  process.program = absl::StrCat(HINGESPAN_PROGRAM_DIRECTORY, "/hingespan-gateway");
  process.name = "n1";
  process.zone = "zone-a";
  process.store_address = store_.address();
  process.folder = folder_;
  process.max_connections = static_cast<int>(options_.max_connections);
  process.memory_mb = static_cast<int>(kMemory / kBytesPerMegabyte);
  process_ = std::make_unique<soak::GatewayProcess>(std::move(process));
  process_->Launch();
  REQUIRE(Wait([&] { return process_->Listens(); }));
  REQUIRE(IsServed());
  Sample();
}

CrowdWorld::~CrowdWorld() {
  EndCrowd();
  process_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void CrowdWorld::PutConfiguration() {
  const Json route{{"name", "plain"},
                   {"host", "h"},
                   {"path_prefix", "/plain/"},
                   {"kind", "non_idempotent"},
                   {"timeout_ms", 20000},
                   {"target_latency_ms", 800},
                   {"priority", 1},
                   {"service", "plain"},
                   {"max_attempts", 1},
                   {"resumable", false},
                   {"gap_target_ms", 50}};
  const auto timeout = absl::ToInt64Milliseconds(kCallersTimeout);
  const Json configuration{
      {"version", 1},
      {"routes", Json::array({route})},
      {"services", Json::array({Json{{"name", "plain"}, {"max_connections", 1000}}})},
      {"limits", Json{{"max_header_bytes", kMaxHeadBytes},
                      {"max_body_bytes", options_.max_body_bytes},
                      {"header_timeout_ms", timeout},
                      {"idle_timeout_ms", timeout}}}};
  store_.Put("op", "config", configuration.dump());
}

void CrowdWorld::AnnounceWorker() {
  const Json row{{"service", "plain"}, {"address", worker_.address()},
                 {"zone", "zone-a"},   {"version", "v1"},
                 {"slots", 1000},      {"state", "ready"},
                 {"sequence", 1},      {"models", Json::array()}};
  store_.Put("servers", "w1", row.dump());
}

void CrowdWorld::Answer(ServerExchange* exchange) const {
  const std::string* const id = gateway::FindField(exchange->head().fields, "Attempt-Id");
  exchange->Answer(200, "OK", {{"Attempt-Id", id == nullptr ? "" : *id}, {"Server-Seal", "seal"}},
                   std::string(options_.answer_bytes, 'a'));
}

void CrowdWorld::AnswerHeld() {
  holds_ = false;
  for (const std::shared_ptr<ServerExchange>& exchange : std::exchange(held_, {})) {
    Answer(exchange.get());
  }
}

std::string CrowdWorld::ForwardAddress() const {
  const Json row = Json::parse(store_.Value("hingespan", "node/n1"), nullptr, false);
  return row.is_object() ? row.value("forward", "") : "";
}

void CrowdWorld::StartCrowd(std::size_t count, const CrowdScript& script,
                            const std::string& address) {
  const auto shared = std::make_shared<const CrowdScript>(script);
  for (std::size_t number = 0; number < count; ++number) {
    crowd_.push_back(CrowdClient::Start(&loop_, address, shared));
  }
}

void CrowdWorld::AwaitRead() {
  REQUIRE(Wait([&] {
    return std::all_of(crowd_.begin(), crowd_.end(),
                       [](const auto& client) { return client->finished(); }) &&
           (!Lives() || Now().unread == 0);
  }));
}

void CrowdWorld::AwaitHeld() {
  REQUIRE(Wait([&] {
    const auto heard = std::count_if(crowd_.begin(), crowd_.end(),
                                     [](const auto& client) { return client->heard(); });
    return held_.size() + static_cast<std::size_t>(heard) >= crowd_.size();
  }));
}

void CrowdWorld::SendCrowd(std::size_t count, const CrowdScript& script) {
  StartCrowd(count, script, process_->request_address());
  AwaitRead();
}

void CrowdWorld::SendForwardedCrowd(std::size_t count, const CrowdScript& script) {
  REQUIRE(Wait([&] { return !ForwardAddress().empty(); }));
  StartCrowd(count, script, ForwardAddress());
  AwaitRead();
}

void CrowdWorld::SendPiecesOfCrowd(std::size_t count, const CrowdScript& script,
                                   std::size_t pieces) {
  StartCrowd(count, script, process_->request_address());
  REQUIRE(Wait([&] {
    return std::all_of(crowd_.begin(), crowd_.end(), [&](const auto& client) {
      return client->pieces_sent() >= pieces || client->finished();
    });
  }));
}

void CrowdWorld::EndCrowd() {
  for (const std::shared_ptr<CrowdClient>& client : crowd_) {
    client->Close();
  }
  crowd_.clear();
}

int CrowdWorld::AskOrdinary() { return AskWithBody({}); }

int CrowdWorld::AskWithBody(std::string body) {
  OrdinaryCall call;
  const std::string message =
      absl::StrCat(RequestHeadText(absl::StrCat("ordinary", ++ordinary_number_)),
                   "Connection: close\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
  const auto exchange = caller_.SendOnNewConnection(process_->request_address(), message, &call);
  REQUIRE(Wait([&] { return call.ended; }));
  return call.whole ? call.status : 0;
}

bool CrowdWorld::IsServed() {
  for (int number = 0; number < kOrdinaryTries && Lives(); ++number) {
    if (AskOrdinary() == 200) {
      return true;
    }
  }
  return false;
}

std::size_t CrowdWorld::LogLines(const std::string& text) const {
  std::ifstream log(process_->log_file());
  std::size_t count = 0;
  for (std::string line; std::getline(log, line);) {
    count += absl::StrContains(line, text) ? 1 : 0;
  }
  return count;
}

bool CrowdWorld::Lives() {
  int status = 0;
  ended_ = ended_ || process_->Reap(&status);
  return !ended_;
}

ProcessMemory CrowdWorld::Now() { return ReadProcessMemory(process_->pid()); }

void CrowdWorld::Sample() {
  if (!Lives()) {
    return;
  }
  const ProcessMemory memory = Now();
  peak_bytes_ = std::max({peak_bytes_, memory.peak_resident, memory.resident + memory.unread});
  peak_descriptors_ = std::max(peak_descriptors_, memory.descriptors);
  sample_timer_->Set(loop_.Now() + kSampleInterval, [this] { Sample(); });
}

std::size_t CrowdWorld::PeakBytes() {
  Sample();
  return peak_bytes_;
}

void CrowdWorld::CheckSound() {
  CHECK(Lives());
  CHECK(IsServed());
  CHECK(PeakBytes() <= kMemory);
  CHECK(peak_descriptors() <= 2 * options_.max_connections + kOtherDescriptors);
  MESSAGE("peak ", PeakBytes() / 1024, " KiB, ", peak_descriptors(), " descriptors");
}

bool CrowdWorld::Wait(const std::function<bool()>& done) {
  return loop_.RunUntil(done, kWaitLimit);
}

}  // namespace hingespan::crowd
