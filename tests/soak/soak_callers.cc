// Callers of a soak run: single requests, probes and callers with persistent connections.
#include <utility>

#include "absl/strings/str_cat.h"
#include "tests/soak/soak_run.h"

namespace hingespan::soak {
namespace {

constexpr absl::Duration kCancelAfter = absl::Milliseconds(150);
constexpr double kCancelledFraction = 0.04;
constexpr double kLargeFraction = 0.3;
constexpr int kSoundParts = 7;
constexpr double kCrashingFraction = 0.25;
constexpr int kMaxFurtherTries = 3;
// A stream with less time left is not taken up.
constexpr absl::Duration kMinTimeLeft = absl::Seconds(1);
// XORed into the seed, so that the draws of keep-alive callers don't change those of the others.
constexpr std::uint64_t kKeepAliveSeedMask = 0x6e9ca11;
// Pause of a quick caller, multiplied by the number of gateways so that the load of a run doesn't
// grow with it.
constexpr absl::Duration kPauseForEachGateway = absl::Milliseconds(8);
// Pace of a caller whose connection is mostly idle, also when its gateway stops.
constexpr CallerPace kIdlePace{absl::Milliseconds(700), 0, 16 * 1024, absl::ZeroDuration()};
constexpr CallerPace kSlowPace{absl::Milliseconds(20), 4096, 4096, absl::Milliseconds(12)};

double FractionOf(std::mt19937_64* random) {
  return static_cast<double>((*random)() >> 11) * 0x1.0p-53;
}

}  // namespace

RequestRecord* SoakRun::AddRecord(std::size_t index, RequestKind kind) {
  auto record = std::make_unique<RequestRecord>();
  record->loop = &loop_;
  record->id = absl::StrCat("s", options_.seed, "-", ++next_request_);
  record->kind = kind;
  record->gateway = index;
  record->incarnation = gateways_[index].process->incarnation();
  record->sent = loop_.Now();
  record->deadline = record->IsStream() ? absl::Seconds(8) : absl::Milliseconds(1500);
  records_.requests.push_back(std::move(record));
  return records_.requests.back().get();
}

std::string SoakRun::RequestBytes(RequestRecord* record, std::mt19937_64* random) {
  gateway::HeaderFields fields = {
      {"Attempt-Id", record->id},
      {"Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(record->deadline))}};
  if (record->IsStream()) {
    if (record->model.empty()) {
      const double choice = FractionOf(random);
      const int model = 1 + static_cast<int>(choice * choice * kModels);
      const bool with_adapter = FractionOf(random) < 0.15;
      record->model = absl::StrCat("m", model, with_adapter ? "/a1" : "");
    }
    fields.push_back({"Model", record->model});
    fields.push_back({"Token-Count", absl::StrCat("200,", 2 * record->events)});
  }
  if (record->prompt != PromptKind::kNone) {
    const std::string part = record->prompt == PromptKind::kCrashing
                                 ? kCrashingPart
                                 : absl::StrCat("sound", prompt_random_() % kSoundParts);
    // No two prompts have the same last part.
    fields.push_back({"Prompt-Prefix", absl::StrCat("first:80,", part, ":80,", record->id, ":40")});
  }
  if (!record->resumed_id.empty()) {
    fields.push_back({"Resumes", record->resumed_id});
    fields.push_back({"Last-Event-Id", absl::StrCat(record->last_event)});
  }
  if (record->kind == RequestKind::kResumableStream && record->crashing_name.empty()) {
    open_streams_.push_back(record);
  }
  const std::string body = record->crashing_name.empty()
                               ? "body"
                               : absl::StrCat(record->crashing_name, " ", kCrashingBody);
  return gateway::RequestText("POST", record->target, kHost, fields, body);
}

void SoakRun::TakeUpStreams() {
  std::vector<RequestRecord*> ended;
  std::erase_if(open_streams_, [&](RequestRecord* record) {
    if (record->ended()) {
      ended.push_back(record);
    }
    return record->ended();
  });
  for (const RequestRecord* const record : ended) {
    TakeUp(*record);
  }
}

void SoakRun::TakeUp(const RequestRecord& record) {
  const bool whole =
      record.head.status == 200 && record.result == gateway::ExchangeResult::kComplete;
  const int last_event = record.LastEvent();
  const absl::Duration left = record.deadline - (loop_.Now() - record.sent);
  if (!sending_ || whole || record.cancelled() || last_event == 0 ||
      record.earlier_tries == kMaxFurtherTries || left < kMinTimeLeft) {
    return;
  }
  // The platform hands a new connection to any node.
  const std::size_t index = version_random_() % gateways_.size();
  const Gateway& gateway = gateways_[index];
  if (!gateway.process->serving()) {
    return;
  }
  RequestRecord* const next = AddRecord(index, record.kind);
  next->deadline = left;
  next->target = record.target;
  next->model = record.model;
  next->events = record.events;
  next->padding = record.padding;
  next->resumed_id = record.resumed_id.empty() ? record.id : record.resumed_id;
  next->last_event = last_event;
  next->prompt = record.prompt;
  next->earlier_tries = record.earlier_tries + 1;
  next->exchange =
      client_.Send(gateway.process->request_address(), RequestBytes(next, nullptr), next);
}

void SoakRun::Send(std::size_t index, RequestKind kind, const std::string& target) {
  const Gateway& gateway = gateways_[index];
  if (!gateway.process->serving()) {
    return;
  }
  RequestRecord* const record = AddRecord(index, kind);
  record->target = target;
  record->exchange =
      client_.Send(gateway.process->request_address(), RequestBytes(record, &random_), record);
  if (kind != RequestKind::kProbe && FractionOf(&random_) < kCancelledFraction) {
    At(kCancelAfter, [this, record] {
      if (!record->ended()) {
        record->cancelled_at = loop_.Now();
        record->ended_at = loop_.Now();
        record->exchange.reset();
      }
    });
  }
}

void SoakRun::SendRequest() {
  static constexpr std::pair<RequestKind, const char*> kKinds[] = {
      {RequestKind::kAct, "/act/x"},
      {RequestKind::kRead, "/read/x"},
      {RequestKind::kResumableStream, "/resumable/x"},
      {RequestKind::kStream, "/once/x"}};
  if (!sending_) {
    return;
  }
  const auto& [kind, target] = kKinds[random_() % std::size(kKinds)];
  Send(random_() % gateways_.size(), kind, target);
}

void SoakRun::SendPrompt() {
  const bool crashing = FractionOf(&prompt_random_) < kCrashingFraction;
  const std::size_t index = prompt_random_() % gateways_.size();
  const absl::Duration since_begin = loop_.Now() - records_.traffic_began;
  // Prompts with the crashing part are faults, and end with the others.
  const bool in_time = since_begin >= kPromptsBegin && since_begin < options_.length;
  const Gateway& gateway = gateways_[index];
  if (!sending_ || !gateway.process->serving() || (crashing && !in_time)) {
    return;
  }
  RequestRecord* const record = AddRecord(index, RequestKind::kResumableStream);
  record->target = "/resumable/x";
  record->model = kPromptModel;
  record->prompt = crashing ? PromptKind::kCrashing : PromptKind::kSound;
  record->exchange = client_.Send(gateway.process->request_address(),
                                  RequestBytes(record, &prompt_random_), record);
}

void SoakRun::SendCrashing() {
  const bool in_time = loop_.Now() - records_.traffic_began < options_.length;
  const bool stream = press_random_() % 2 == 0;
  const std::size_t index = press_random_() % gateways_.size();
  if (!sending_ || !in_time || !gateways_[index].process->serving()) {
    return;
  }
  RequestRecord* const record =
      AddRecord(index, stream ? RequestKind::kResumableStream : RequestKind::kRead);
  record->target = stream ? "/resumable/x" : "/read/x";
  record->model = stream ? kPromptModel : "";
  record->deadline = absl::Seconds(8);
  record->crashing_name = record->id;
  SendCrashingTry(record);
}

void SoakRun::SendCrashingTry(RequestRecord* record) {
  open_crashing_.push_back(record);
  record->exchange = client_.Send(gateways_[record->gateway].process->request_address(),
                                  RequestBytes(record, &press_random_), record);
}

void SoakRun::RetryCrashing() {
  const std::vector<RequestRecord*> open = std::exchange(open_crashing_, {});
  for (RequestRecord* const record : open) {
    if (!record->ended()) {
      open_crashing_.push_back(record);
      continue;
    }
    const absl::Duration left = record->deadline - (loop_.Now() - record->sent);
    const std::size_t index = press_random_() % gateways_.size();
    if (!sending_ || record->earlier_tries == kMaxFurtherTries || left < kMinTimeLeft ||
        !gateways_[index].process->serving()) {
      continue;
    }
    RequestRecord* const next = AddRecord(index, record->kind);
    next->target = record->target;
    next->model = record->model;
    next->deadline = left;
    next->crashing_name = record->crashing_name;
    next->earlier_tries = record->earlier_tries + 1;
    next->last_event = record->LastEvent();
    if (next->last_event > 0) {
      next->resumed_id = record->resumed_id.empty() ? record->id : record->resumed_id;
    }
    SendCrashingTry(next);
  }
}

void SoakRun::Press() {
  static constexpr std::pair<RequestKind, const char*> kKinds[] = {
      {RequestKind::kAct, "/act/x"},
      {RequestKind::kRead, "/read/x"},
      {RequestKind::kRead, "/read/x"},
      {RequestKind::kResumableStream, "/resumable/x"}};
  const std::size_t index = press_random_() % gateways_.size();
  const Gateway& gateway = gateways_[index];
  if (!brittle_ || !gateway.process->serving()) {
    return;
  }
  const auto& [kind, target] = kKinds[press_random_() % std::size(kKinds)];
  RequestRecord* const record = AddRecord(index, kind);
  record->target = target;
  record->exchange = client_.Send(gateway.process->request_address(),
                                  RequestBytes(record, &press_random_), record);
}

void SoakRun::SendProbes() {
  for (std::size_t index = 0; sending_ && index < gateways_.size(); ++index) {
    for (const int version : {version_, version_ - 1}) {
      if (version < 1) {
        continue;
      }
      const std::size_t before = records_.requests.size();
      Send(index, RequestKind::kProbe, absl::StrCat("/v", version, "/x"));
      if (records_.requests.size() > before) {
        records_.requests.back()->probed_version = version;
      }
    }
  }
}

void SoakRun::AddKeepAliveCallers() {
  keep_alive_random_.seed(options_.seed ^ kKeepAliveSeedMask);
  CallerPace quick;
  quick.pause = kPauseForEachGateway * static_cast<double>(gateways_.size());
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    const auto address = [this, index] {
      const GatewayProcess& process = *gateways_[index].process;
      return process.serving() ? process.request_address() : std::string();
    };
    for (const CallerPace& pace : {quick, quick, kIdlePace, kSlowPace}) {
      const bool slow = pace.read_interval > absl::ZeroDuration();
      keep_alive_callers_.push_back(std::make_unique<KeepAliveCaller>(
          &loop_, pace, address, [this, index, slow](std::string* bytes) {
            return NextKeepAliveRequest(index, slow, bytes);
          }));
    }
  }
}

RequestRecord* SoakRun::NextKeepAliveRequest(std::size_t index, bool slow, std::string* bytes) {
  static constexpr std::pair<RequestKind, const char*> kKinds[] = {
      {RequestKind::kAct, "/act/x"},
      {RequestKind::kRead, "/read/x"},
      {RequestKind::kResumableStream, "/resumable/x"},
      {RequestKind::kStream, "/once/x"}};
  if (!sending_) {
    return nullptr;
  }
  const bool large = slow || FractionOf(&keep_alive_random_) < kLargeFraction;
  // Large answers are streams.
  const std::size_t choice =
      large ? 2 + keep_alive_random_() % 2 : keep_alive_random_() % std::size(kKinds);
  const RequestKind kind = kKinds[choice].first;
  RequestRecord* const record = AddRecord(index, kind);
  record->target = kKinds[choice].second;
  record->on_persistent_connection = true;
  record->read_slowly = slow;
  if (large) {
    record->events = kLargeStreamEvents;
    record->padding = kLargeStreamPadding;
    record->target = kind == RequestKind::kStream ? kLargeOnceTarget : kLargeStreamTarget;
  }
  *bytes = RequestBytes(record, &keep_alive_random_);
  return record;
}

}  // namespace hingespan::soak
