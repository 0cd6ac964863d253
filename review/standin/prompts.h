// One part of a prompt crashes each worker that begins to write an answer on it. Shared by two
// cases.
#ifndef REVIEW_STANDIN_PROMPTS_H_
#define REVIEW_STANDIN_PROMPTS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "engine.h"

namespace standin {

constexpr std::int64_t kContactMs = 3000;
// More such requests than this may not reach workers after the fifth crash and `contact_ms`.
constexpr int kAllowed = 3;
constexpr int kDeadlineMs = 8000;
constexpr std::int64_t kFirstCrashing = 5000;
constexpr char kCrashingPart[] = "bad00bad";

struct PromptsOptions {
  int workers = 10;
  int gateways = 2;
  int seconds = 60;
  // Events that a worker writes before it crashes.
  int events_before_crash = 0;
  // Requests with the part that come at the same time, and how often they do.
  int batch = 1;
  std::int64_t interval_ms = 1500;
};

inline bool HasCrashingPart(const Message& request) {
  return request.Field("Prompt-Prefix").find(kCrashingPart) != std::string::npos;
}

struct PromptsSeen {
  std::mutex mutex;
  std::vector<std::int64_t> crashes;
  std::vector<std::int64_t> arrivals;
  // Sound requests: when each was sent, and whether its stream began.
  std::vector<std::pair<std::int64_t, bool>> sound;
  int sound_cut = 0;
};

inline void Send(const std::string& gateway, const std::string& id, bool crashing,
                 PromptsSeen* seen, Record* record) {
  const std::int64_t sent = NowMs();
  const std::string parts = std::string("aa11aa11:150,") + (crashing ? kCrashingPart : "cc33cc33") +
                            ":100,f" + std::to_string(std::hash<std::string>{}(id)) + ":200";
  record->Write("client sends " + id + " with parts " + parts);
  const Outcome outcome = Ask(
      gateway, "POST", "/talk/2f",
      {{"Attempt-Id", id}, {"Model", "m1"}, {"Token-Count", "450,20"}, {"Prompt-Prefix", parts}},
      "prompt of " + id, kDeadlineMs);
  record->Write("client has " + std::to_string(outcome.status) +
                (outcome.whole ? " whole for " : " not whole for ") + id);
  if (!crashing) {
    const std::lock_guard<std::mutex> lock(seen->mutex);
    seen->sound.emplace_back(
        sent, outcome.status == 200 && outcome.answer.body.find("\n\n") != std::string::npos);
    seen->sound_cut += outcome.status == 200 && !outcome.whole ? 1 : 0;
  }
}

// Returns the share of sound requests sent in this time whose stream began.
inline double BegunShare(const PromptsSeen& seen, std::int64_t from, std::int64_t until,
                         int* sent) {
  int begun = 0;
  *sent = 0;
  for (const auto& [at, began] : seen.sound) {
    if (at >= from && at < until) {
      ++*sent;
      begun += began ? 1 : 0;
    }
  }
  return *sent == 0 ? 0 : 1.0 * begun / *sent;
}

// Returns the exit code of the case.
inline int RunPrompts(const PromptsOptions& prompts, const std::string& record_file) {
  Record record(record_file);
  const Folder folder;
  PromptsSeen seen;
  Store store;
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
  std::vector<std::unique_ptr<Engine>> workers;
  for (int number = 0; number < prompts.workers; ++number) {
    EngineOptions options;
    options.number = number;
    options.events_before_crash = prompts.events_before_crash;
    if (Trouble()) {
      options.crashes = HasCrashingPart;
    }
    workers.push_back(std::make_unique<Engine>(
        options, &store, &record,
        [&](const Message& request, const std::string& worker) {
          if (HasCrashingPart(request)) {
            record.Write(request.Field("Attempt-Id") + " with the part reaches " + worker);
            const std::lock_guard<std::mutex> lock(seen.mutex);
            seen.arrivals.push_back(NowMs());
          }
        },
        [&](const std::string& worker, const std::string& request) {
          record.Write(worker + " crashes on " + request);
          const std::lock_guard<std::mutex> lock(seen.mutex);
          seen.crashes.push_back(NowMs());
        }));
  }
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
  for (int number = 0; number < prompts.gateways; ++number) {
    gateways.push_back(std::make_unique<GatewayProcess>("frontend-" + std::to_string(number),
                                                        store.address(), folder.path()));
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady()) {
      return 2;
    }
  }
  SleepMs(10000);
  std::vector<std::thread> threads;
  const std::int64_t begin = NowMs();
  int sent = 0;
  for (std::int64_t at = 0; at < prompts.seconds * 1000; at += 100) {
    SleepUntil(begin + at);
    const std::string& gateway = gateways[++sent % prompts.gateways]->front();
    threads.emplace_back(Send, gateway, "sound-" + std::to_string(sent), false, &seen, &record);
    if (at >= kFirstCrashing && (at - kFirstCrashing) % prompts.interval_ms == 0) {
      for (int number = 0; number < prompts.batch; ++number) {
        threads.emplace_back(Send, gateways[number % prompts.gateways]->front(),
                             "crashing-" + std::to_string(at) + "-" + std::to_string(number), true,
                             &seen, &record);
      }
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::lock_guard<std::mutex> lock(seen.mutex);
  const std::size_t crashes = seen.crashes.size();
  int late = 0;
  if (crashes >= 5) {
    for (const std::int64_t at : seen.arrivals) {
      late += at > seen.crashes[4] + kContactMs ? 1 : 0;
    }
  }
  std::string summary = "crashes " + std::to_string(crashes) + ", arrivals with the part " +
                        std::to_string(seen.arrivals.size()) +
                        ", of them later than contact_ms after the fifth crash " +
                        std::to_string(late);
  if (crashes >= 5) {
    int before = 0;
    int after = 0;
    const double begun_before = BegunShare(seen, begin, begin + kFirstCrashing, &before);
    const double begun_after =
        BegunShare(seen, seen.crashes[4] + 2 * kContactMs, begin + prompts.seconds * 1000, &after);
    char text[200];
    std::snprintf(text, sizeof(text),
                  "; sound requests begun before the first crash: %.2f of %d, from 2 x contact_ms "
                  "after the fifth: %.2f of %d",
                  begun_before, before, begun_after, after);
    summary += text;
  }
  summary += "; sound streams cut " + std::to_string(seen.sound_cut);
  record.Write(summary);
  std::printf("%s\n", summary.c_str());
  std::fflush(stdout);
  gateways.clear();
  return late > kAllowed ? 1 : 0;
}

}  // namespace standin

#endif  // REVIEW_STANDIN_PROMPTS_H_
