#include "emulator/platform_worker.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace hingespan::emulator {
namespace {

using Json = nlohmann::json;
using gateway::FindField;
using gateway::HeaderFields;
using gateway::ServerExchange;

std::string Field(const ServerExchange& exchange, const char* name) {
  const std::string* const value = FindField(exchange.head().fields, name);
  return value == nullptr ? std::string() : *value;
}

HeaderFields NotExecuted(const std::string& id) {
  return {{"Not-Executed", "1"}, {"Attempt-Id", id}};
}

Json ModelsJson(const std::map<std::string, std::set<std::string>>& models) {
  Json list = Json::array();
  for (const auto& [model, adapters] : models) {
    list.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
  }
  return list;
}

}  // namespace

struct PlatformWorker::Stream {
  std::shared_ptr<ServerExchange> exchange;
  Run* run = nullptr;
  std::unique_ptr<gateway::LoopTimer> timer;
  StreamShape shape;
  int next = 1;
  int sent = 0;
};

PlatformWorker::PlatformWorker(gateway::EventLoop* loop, PlatformStore* store,
                               PlatformWorkerOptions options)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      server_(loop,
              [this](const std::shared_ptr<ServerExchange>& exchange) { OnRequest(exchange); }),
      load_timer_(loop->MakeTimer()),
      heartbeat_timer_(loop->MakeTimer()),
      room_(options_.slots, options_.queue.value_or(0)),
      silence_timer_(loop->MakeTimer()) {
  (void)server_.Listen("127.0.0.1:0");
  room_.SetSurvivedRejections(options_.survived_rejections);
  announced_address_ = server_.address();
  if (options_.writes_row_at_start) {
    WriteRow();
  }
  if (options_.heartbeat > absl::ZeroDuration()) {
    SendHeartbeat();
  }
}

void PlatformWorker::SendHeartbeat() {
  // A removed row is not written again, because its worker has left.
  if (adapters_changed_ && !store_->Value("servers", options_.id).empty()) {
    adapters_changed_ = false;
    WriteRow();
  }
  heartbeat_timer_->Set(loop_->Now() + options_.heartbeat, [this] { SendHeartbeat(); });
}

void PlatformWorker::Announce(const std::string& address) {
  announced_address_ = address;
  WriteRow();
}

void PlatformWorker::WriteRow() {
  const Json row{{"service", options_.service},
                 {"address", announced_address_},
                 {"zone", options_.zone},
                 {"version", options_.software_version},
                 {"slots", options_.slots},
                 {"state", draining_ ? "draining" : "ready"},
                 {"cold_remaining_ms", 0},
                 {"models", ModelsJson(options_.models)},
                 {"sequence", 1}};
  store_->Put("servers", options_.id, row.dump());
}

void PlatformWorker::SetDraining() {
  draining_ = true;
  WriteRow();
}

void PlatformWorker::SetBrittle(int survived_rejections) {
  room_.SetSurvivedRejections(survived_rejections);
}

void PlatformWorker::SetSturdy() { room_.SetSurvivedRejections(std::nullopt); }

void PlatformWorker::FallSilent(absl::Duration duration) {
  silent_until_ = loop_->Now() + duration;
  silence_timer_->Set(silent_until_, [this] {
    for (const std::shared_ptr<ServerExchange>& exchange : std::exchange(delayed_, {})) {
      OnRequest(exchange);
    }
  });
}

void PlatformWorker::OnRequest(const std::shared_ptr<ServerExchange>& exchange) {
  if (fallen()) {
    exchange->Abort();
    return;
  }
  if (loop_->Now() < silent_until_) {
    delayed_.push_back(exchange);
    return;
  }
  const std::string& target = exchange->head().target;
  if (!absl::StartsWith(target, "/api/")) {
    arrivals_.push_back({Field(*exchange, "Attempt-Id"), loop_->Now()});
    if (options_.on_arrival) {
      options_.on_arrival(arrivals_.back());
    }
  }
  const std::string expected = Field(*exchange, "Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    Answer(exchange.get(), 421, "Misdirected Request", {{"Instance-Id", options_.id}}, "");
    return;
  }
  if (target == "/api/order") {
    OnOrder(exchange);
  } else if (target == "/api/report") {
    OnReport(exchange);
  } else {
    AdmitRequest(exchange);
  }
}

void PlatformWorker::CheckMemory(const std::string& model) {
  const double held = static_cast<double>(options_.models.size() + (Holds(model) ? 0 : 1));
  if (options_.memory_mb > 0 && held * options_.model_memory_mb > options_.memory_mb) {
    exceeded_memory_ = true;
  }
}

int PlatformWorker::ApplyOrder(const std::string& operation, const std::string& model,
                               const std::string& adapter) {
  if (busy_) {
    return 409;
  }
  ++sequence_;
  if (!adapter.empty()) {
    adapters_changed_ = true;
    if (operation == "model_load") {
      options_.models[model].insert(adapter);
      return 202;
    }
    options_.models[model].erase(adapter);
    return 200;
  }
  busy_ = true;
  if (operation == "model_load") {
    CheckMemory(model);
  }
  load_timer_->Set(loop_->Now() + options_.load_time, [this, operation, model] {
    busy_ = false;
    if (operation == "model_load") {
      options_.models[model];
    } else {
      options_.models.erase(model);
    }
    WriteRow();
  });
  return 202;
}

void PlatformWorker::OnOrder(const std::shared_ptr<ServerExchange>& exchange) {
  const Json body = Json::parse(exchange->body());
  Order order{body.at("operation"),
              body.at("model"),
              body.value("adapter", ""),
              body.at("fencing_token").get<std::uint64_t>(),
              0,
              body.value("holder", "")};
  if (options_.checks_tokens && order.token < highest_token_) {
    order.status = 412;
  } else if (body.contains("expected_revision") &&
             body["expected_revision"].get<std::uint64_t>() != sequence_) {
    order.status = 409;
  } else {
    highest_token_ = std::max(highest_token_, order.token);
    order.status = ApplyOrder(order.operation, order.model, order.adapter);
  }
  orders_.push_back(order);
  Answer(exchange.get(), order.status, "Status", {}, "");
}

void PlatformWorker::OnReport(const std::shared_ptr<ServerExchange>& exchange) {
  const Json report{{"stage", "prefill_decode"},
                    {"models", ModelsJson(options_.models)},
                    {"busy", busy_},
                    {"sequence", sequence_},
                    {"waiting", 0},
                    {"running", 0}};
  Answer(exchange.get(), 200, "OK", {{"Content-Type", "application/json"}}, report.dump());
}

void PlatformWorker::AdmitRequest(const std::shared_ptr<ServerExchange>& exchange) {
  if (fault_ == WorkerFault::kRejects) {
    RejectRequest(exchange.get());
    return;
  }
  const std::string model = Field(*exchange, "Model");
  const std::string base = model.substr(0, model.find('/'));
  if (!model.empty() && !Holds(base)) {
    Answer(exchange.get(), 421, "Misdirected Request", NotExecuted(Field(*exchange, "Attempt-Id")),
           "");
    return;
  }
  if (!options_.queue.has_value()) {
    RunRequest(exchange, std::nullopt);
    return;
  }
  const std::optional<std::uint64_t> waiting =
      room_.Enter([this, exchange](std::uint64_t slot) { RunRequest(exchange, slot); });
  if (!waiting.has_value()) {
    RejectRequest(exchange.get());
  } else if (*waiting != 0) {
    exchange->OnCallerGone([this, waiting] { room_.Leave(*waiting); });
  }
}

void PlatformWorker::RejectRequest(ServerExchange* exchange) {
  Answer(exchange, 503, "Service Unavailable", NotExecuted(Field(*exchange, "Attempt-Id")), "");
  rejected_.push_back({Field(*exchange, "Attempt-Id"), loop_->Now()});
  if (!room_.Reject(loop_->Now()) && !fallen()) {
    fell_at_ = loop_->Now();
    Crash(Field(*exchange, "Attempt-Id"));
  }
}

void PlatformWorker::LeaveSlot(Run* run) {
  if (run->slot.has_value()) {
    room_.Leave(*std::exchange(run->slot, std::nullopt));
  }
}

void PlatformWorker::RunRequest(const std::shared_ptr<ServerExchange>& exchange,
                                std::optional<std::uint64_t> slot) {
  const std::string id = Field(*exchange, "Attempt-Id");
  runs_.push_back({id, exchange->head().target, exchange->body(), Field(*exchange, "Deadline-Ms"),
                   Field(*exchange, "Last-Event-Id"), Field(*exchange, "Resumes"), loop_->Now()});
  Run* const run = &runs_.back();
  run->slot = slot;
  exchange->OnCallerGone([this, run] {
    run->caller_disconnected = true;
    run->caller_disconnected_at = loop_->Now();
    LeaveSlot(run);
  });
  switch (fault_) {
    case WorkerFault::kResetsAnswer:
      exchange->StartUnframed(200, "OK",
                              {{"Attempt-Id", id}, {"Server-Seal", absl::StrCat("seal-", id)}});
      exchange->WriteChunk("answer");
      // Once the part has been sent, as a reset discards what was not.
      loop_->Post([exchange] { exchange->Abort(); });
      LeaveSlot(run);
      return;
    case WorkerFault::kSilent:
      silent_.push_back(exchange);
      return;
    case WorkerFault::kLosesAnswer:
      exchange->Abort();
      LeaveSlot(run);
      return;
    case WorkerFault::kFails:
      Answer(exchange.get(), 500, "Failed", {{"Attempt-Id", id}, {"Server-Seal", "seal-500"}}, "");
      LeaveSlot(run);
      return;
    case WorkerFault::kEncodes:
      Answer(exchange.get(), 200, "OK",
             {{"Attempt-Id", id},
              {"Server-Seal", absl::StrCat("seal-", id)},
              {"Content-Encoding", "gzip"}},
             "not as it was");
      LeaveSlot(run);
      return;
    case WorkerFault::kOtherRequest:
      Answer(exchange.get(), 200, "OK", {{"Attempt-Id", "another"}, {"Server-Seal", "s"}}, "wrong");
      LeaveSlot(run);
      return;
    default:
      break;
  }
  if (!Field(*exchange, "Model").empty()) {
    StartStream(exchange, run);
    return;
  }
  if (HasCrashingBody(*exchange)) {
    Crash(id);
    return;
  }
  if (options_.run_time == absl::ZeroDuration()) {
    AnswerPlain(exchange, run);
    return;
  }
  const std::shared_ptr<gateway::LoopTimer> timer = loop_->MakeTimer();
  timer->Set(loop_->Now() + options_.run_time, [this, exchange, run, timer] {
    if (!crashed_ && !run->caller_disconnected) {
      AnswerPlain(exchange, run);
    }
  });
}

bool PlatformWorker::Fails(const std::string& id) const {
  const std::string pair = absl::StrCat(options_.id, "/", id);
  return static_cast<double>(XXH3_64bits(pair.data(), pair.size()) >> 11) * 0x1.0p-53 <
         options_.failing_share;
}

void PlatformWorker::AnswerPlain(const std::shared_ptr<ServerExchange>& exchange, Run* run) {
  run->ended = true;
  if (Fails(run->id)) {
    Answer(exchange.get(), 500, "Failed", {{"Attempt-Id", run->id}, {"Server-Seal", "seal-500"}},
           "");
    LeaveSlot(run);
    return;
  }
  Answer(exchange.get(), 200, "OK",
         {{"Attempt-Id", run->id}, {"Server-Seal", absl::StrCat("seal-", run->id)}},
         absl::StrCat("answer of ", options_.id,
                      options_.includes_request_id ? absl::StrCat(" to ", run->id) : ""));
  LeaveSlot(run);
}

HeaderFields PlatformWorker::WithNotices(HeaderFields fields) const {
  if (room_.survived_rejections().has_value()) {
    fields.push_back({"Server-Brittle", absl::StrCat(*room_.survived_rejections())});
  }
  return fields;
}

void PlatformWorker::Answer(ServerExchange* exchange, int status, absl::string_view reason,
                            const HeaderFields& fields, absl::string_view body) const {
  if (!unframed_answers_) {
    exchange->Answer(status, reason, WithNotices(fields), body);
    return;
  }
  exchange->StartUnframed(status, reason, WithNotices(fields));
  exchange->WriteChunk(body);
  exchange->FinishChunked();
}

StreamShape PlatformWorker::ShapeOf(const std::string& target) const {
  for (const auto& [prefix, shape] : options_.shapes) {
    if (absl::StartsWith(target, prefix)) {
      return shape;
    }
  }
  return {options_.events, options_.event_interval, 0};
}

void PlatformWorker::StartStream(const std::shared_ptr<ServerExchange>& exchange, Run* run) {
  auto stream = std::make_shared<Stream>();
  stream->exchange = exchange;
  stream->run = run;
  stream->shape = ShapeOf(run->target);
  stream->timer = loop_->MakeTimer();
  int last = 0;
  (void)absl::SimpleAtoi(run->last_event_id, &last);
  stream->next = last + 1;
  const HeaderFields fields = {{"Attempt-Id", run->id},
                               {"Server-Seal", absl::StrCat("seal-", run->id, "-", options_.id)},
                               {"Content-Type", "text/event-stream"}};
  if (options_.unframed_streams) {
    exchange->StartUnframed(200, "OK", WithNotices(fields));
  } else {
    exchange->StartChunked(200, "OK", WithNotices(fields));
  }
  if (options_.prompt_time > absl::ZeroDuration()) {
    stream->timer->Set(loop_->Now() + options_.prompt_time, [this, stream] { NextEvent(stream); });
    return;
  }
  NextEvent(stream);
}

bool PlatformWorker::CrashesOn(const ServerExchange& exchange) const {
  if (options_.crashing_part.empty()) {
    return false;
  }
  const std::string prompt = Field(exchange, "Prompt-Prefix");
  const std::vector<absl::string_view> parts = absl::StrSplit(prompt, ',');
  return std::any_of(parts.begin(), parts.end() - 1, [&](absl::string_view part) {
    return absl::StartsWith(part, absl::StrCat(options_.crashing_part, ":"));
  });
}

bool PlatformWorker::HasCrashingBody(const ServerExchange& exchange) const {
  return !options_.crashing_body.empty() &&
         absl::StrContains(exchange.body(), options_.crashing_body);
}

void PlatformWorker::Crash(const std::string& id) {
  crashed_ = true;
  crashed_by_ = id;
  // Posted, as the owner may destroy what this runs in.
  loop_->Post(options_.on_crash);
}

void PlatformWorker::NextEvent(const std::shared_ptr<Stream>& stream) {
  if (crashed_) {
    return;
  }
  if (loop_->Now() < silent_until_) {
    stream->timer->Set(silent_until_, [this, stream] { NextEvent(stream); });
    return;
  }
  if (stream->sent == options_.events_before_crash &&
      (HasCrashingBody(*stream->exchange) || CrashesOn(*stream->exchange))) {
    Crash(stream->run->id);
    return;
  }
  const bool breaks =
      fault_ == WorkerFault::kBreaksStream || fault_ == WorkerFault::kFinishesInsideEvent;
  if (breaks && stream->sent == options_.events_before_break) {
    const bool finishes = options_.unframed_streams || fault_ == WorkerFault::kFinishesInsideEvent;
    stream->exchange->WriteChunk(absl::StrCat("id: ", stream->next, "\ndata: ha"));
    stream->timer->Set(loop_->Now() + stream->shape.interval, [this, stream, finishes] {
      LeaveSlot(stream->run);
      if (finishes) {
        stream->exchange->FinishChunked();
      } else {
        stream->exchange->Abort();
      }
    });
    return;
  }
  if (stream->next > stream->shape.events) {
    stream->run->ended = true;
    stream->exchange->FinishChunked();
    LeaveSlot(stream->run);
    return;
  }
  stream->exchange->WriteChunk(absl::StrCat(
      options_.includes_event_ids ? absl::StrCat("id: ", stream->next, "\n") : "", "data: event ",
      stream->next, options_.includes_request_id ? absl::StrCat(" of ", stream->run->id) : "",
      options_.includes_software_version ? absl::StrCat(" by ", options_.software_version) : "",
      std::string(stream->shape.padding, '.'), "\n\n"));
  ++stream->next;
  ++stream->sent;
  stream->timer->Set(loop_->Now() + stream->shape.interval, [this, stream] { NextEvent(stream); });
}

}  // namespace hingespan::emulator
