// Machines are lost for good. Later one more goes, and clients take its streams up at the machine
// that is left, while workers of two software versions serve.
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../standin/engine.h"

namespace {

using standin::Fields;
using standin::Json;
using standin::Message;

constexpr int kWorkers = 4;
constexpr int kGateways = 9;
constexpr int kZones = 4;
constexpr int kDeadlineMs = 15000;
constexpr int kEvents = 80;
constexpr std::int64_t kEventMs = 100;
constexpr int kStreams = 60;
constexpr int kLeast = 12;

struct Seen {
  std::mutex mutex;
  int taken_up = 0;
  int gone_on = 0;
  int mixed = 0;
  int begun = 0;
  int sent = 0;
};

// Returns the id of the last whole event in a body, or "".
std::string LastEvent(const std::string& body) {
  std::string last;
  std::size_t begin = 0;
  std::size_t end = 0;
  while ((end = body.find("\n\n", begin)) != std::string::npos) {
    const std::size_t at = body.find("id: ", begin);
    last = body.substr(at + 4, body.find('\n', at) - at - 4);
    begin = end + 2;
  }
  return last;
}

std::string VersionOf(const std::string& body) {
  const std::size_t at = body.find(" of ");
  return at == std::string::npos ? std::string() : body.substr(at + 4, 2);
}

Fields FieldsOf(const std::string& id) {
  return {
      {"Attempt-Id", id},
      {"Model", "m1"},
      {"Token-Count", "300,160"},
      {"Prompt-Prefix", "aa11aa11:150,f" + std::to_string(std::hash<std::string>{}(id)) + ":150"}};
}

// Reads a stream until it ends or until `stop_at`, and takes it up at another gateway if it did not
// end whole.
void RunStream(const std::string& first, const std::string& second, const std::string& id,
               std::int64_t stop_at, Seen* seen, standin::Record* record) {
  const std::int64_t began = standin::NowMs();
  Fields fields = FieldsOf(id);
  // Without its disruption the client's own connection breaks at the same time.
  const std::int64_t wait = stop_at - began;
  record->Write("client sends " + id);
  standin::Outcome outcome;
  {
    const auto socket = standin::Connect(first);
    if (socket == nullptr) {
      return;
    }
    std::string text = "POST /talk/2f HTTP/1.1\r\nHost: site.example\r\nDeadline-Ms: " +
                       std::to_string(kDeadlineMs) + "\r\n";
    for (const auto& [name, value] : fields) {
      text += name + ": " + value + "\r\n";
    }
    socket->Write(text + "Content-Length: 0\r\n\r\n");
    if (socket->Read(&outcome.answer, began + wait)) {
      outcome.status = outcome.answer.Status();
      outcome.whole = outcome.answer.complete;
    }
  }
  const std::string last = LastEvent(outcome.answer.body);
  record->Write("client has " + std::to_string(outcome.status) + " and event '" + last + "' of " +
                id + (outcome.whole ? ", whole" : ", broken off"));
  if (outcome.whole || outcome.status != 200 || last.empty()) {
    return;
  }
  const std::string again = id + "-again";
  Fields more = FieldsOf(again);
  more.back().second = fields.back().second;
  more.emplace_back("Last-Event-Id", last);
  more.emplace_back("Resumes", id);
  const standin::Outcome rest =
      standin::Ask(second, "POST", "/talk/2f", more, "", kDeadlineMs - (standin::NowMs() - began));
  const bool goes_on = rest.status == 200 && !LastEvent(rest.answer.body).empty();
  record->Write("client takes " + id + " up as " + again + ": " + std::to_string(rest.status) +
                ", event '" + LastEvent(rest.answer.body) + "'" +
                (rest.whole ? ", whole" : ", not whole"));
  const std::lock_guard<std::mutex> lock(seen->mutex);
  ++seen->taken_up;
  seen->gone_on += goes_on ? 1 : 0;
  seen->mixed += goes_on && VersionOf(rest.answer.body) != VersionOf(outcome.answer.body) ? 1 : 0;
}

void RunNew(const std::string& gateway, const std::string& id, Seen* seen,
            standin::Record* record) {
  const standin::Outcome outcome =
      standin::Ask(gateway, "POST", "/talk/2f", FieldsOf(id), "", kDeadlineMs);
  record->Write("client has " + std::to_string(outcome.status) + " for the new stream " + id);
  const std::lock_guard<std::mutex> lock(seen->mutex);
  ++seen->sent;
  seen->begun += outcome.status == 200 && !LastEvent(outcome.answer.body).empty() ? 1 : 0;
}

}  // namespace

int main(int, char** argv) {
  standin::Record record(argv[1]);
  const standin::Folder folder;
  Seen seen;
  standin::Store store;
  store.Put(
      "op", "config",
      {{"version", 1},
       {"routes",
        {{{"name", "talk"},
          {"host", "site.example"},
          {"path_prefix", "/talk/"},
          {"kind", "streaming"},
          {"resumable", true},
          {"sticky", true},
          {"timeout_ms", kDeadlineMs},
          {"target_latency_ms", 600},
          {"gap_target_ms", 300},
          {"priority", 1},
          {"service", "engines"},
          {"max_attempts", 2}}}},
       {"services",
        {{{"name", "engines"},
          {"max_connections", 360},
          {"engine",
           {{"slots", 64},
            {"kv_capacity_tokens", 130000},
            {"weights_mb", 200000},
            {"adapter_slots", 8},
            {"loads_per_s", 3},
            {"models",
             {{{"name", "m1"}, {"weights_mb", 50000}, {"load_s", 0.8}, {"adapters", 0}}}}}}}}},
       {"limits", Json::object()}});
  std::vector<std::unique_ptr<standin::Engine>> workers;
  for (int number = 0; number < kWorkers; ++number) {
    standin::EngineOptions options;
    options.number = number;
    options.version = number % 2 == 0 ? "v1" : "v2";
    options.events = kEvents;
    options.event_ms = kEventMs;
    workers.push_back(std::make_unique<standin::Engine>(
        options, &store, &record, [](const Message&, const std::string&) {},
        [](const std::string&, const std::string&) {}));
  }
  std::vector<std::unique_ptr<standin::GatewayProcess>> gateways;
  for (int number = 0; number < kGateways; ++number) {
    gateways.push_back(std::make_unique<standin::GatewayProcess>(
        "frontend-" + std::to_string(number), store.address(), folder.path(), true,
        "zone-" + std::to_string(number % kZones)));
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady()) {
      return 2;
    }
  }
  standin::SleepMs(10000);
  const bool trouble = standin::Trouble();
  // All machines but two are lost for good.
  for (int number = 2; trouble && number < kGateways; ++number) {
    gateways[number]->Kill();
    record.Write(gateways[number]->name() + " is lost for good");
  }
  standin::SleepMs(trouble ? 20000 : 2000);
  std::vector<std::thread> threads;
  const std::int64_t begin = standin::NowMs();
  const std::int64_t break_at = begin + kStreams * 80 + 1500;
  for (int number = 0; number < kStreams; ++number) {
    standin::SleepUntil(begin + number * 80);
    threads.emplace_back(RunStream, gateways[0]->front(), gateways[1]->front(),
                         "stream-" + std::to_string(number), trouble ? break_at + 5000 : break_at,
                         &seen, &record);
  }
  standin::SleepUntil(break_at);
  if (trouble) {
    gateways[0]->Kill();
    record.Write(gateways[0]->name() + " is lost for good");
  }
  for (int number = 0; number < kStreams; ++number) {
    standin::SleepMs(80);
    threads.emplace_back(RunNew, gateways[1]->front(), "new-" + std::to_string(number), &seen,
                         &record);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double went_on = seen.taken_up == 0 ? 0 : 1.0 * seen.gone_on / seen.taken_up;
  const double began = seen.sent == 0 ? 0 : 1.0 * seen.begun / seen.sent;
  const std::string summary = "taken up " + std::to_string(seen.taken_up) + ", went on " +
                              std::to_string(seen.gone_on) + "; new streams " +
                              std::to_string(seen.sent) + ", begun " + std::to_string(seen.begun) +
                              "; at another version " + std::to_string(seen.mixed);
  record.Write(summary);
  std::printf("%s\n", summary.c_str());
  std::fflush(stdout);
  gateways.clear();
  std::_Exit(seen.taken_up >= kLeast && went_on < began / 2 ? 1 : 0);
}
