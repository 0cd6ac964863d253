// A stand-in for a model worker: streams, orders, reports, and crashes after which it is back as a
// new instance without models.
#ifndef REVIEW_STANDIN_ENGINE_H_
#define REVIEW_STANDIN_ENGINE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standin.h"

namespace standin {

struct EngineOptions {
  int number = 0;
  std::string service = "engines";
  std::string version = "v1";
  int slots = 64;
  // Time from a request's arrival to its first event, and between two events.
  std::int64_t first_event_ms = 100;
  std::int64_t event_ms = 20;
  int events = 10;
  std::int64_t load_ms = 800;
  std::int64_t restart_ms = 2000;
  // Events that are written before a crash.
  int events_before_crash = 0;
  // Returns true for a request whose answer crashes the worker.
  std::function<bool(const Message&)> crashes = [](const Message&) { return false; };
  // True if the bodies of the answers don't end until the caller closes the connection.
  std::atomic<bool>* endless = nullptr;
  std::set<std::string> models = {"m1"};
};

class Engine {
 public:
  // Called for each request that reaches a worker.
  using Arrival = std::function<void(const Message& request, const std::string& worker)>;
  using Crash = std::function<void(const std::string& worker, const std::string& request)>;

  Engine(EngineOptions options, Store* store, Record* record, Arrival on_arrival, Crash on_crash)
      : options_(std::move(options)),
        store_(store),
        record_(record),
        on_arrival_(std::move(on_arrival)),
        on_crash_(std::move(on_crash)) {
    models_ = options_.models;
    Begin(FreePort());
    keeper_ = std::thread([this] { Keep(); });
  }
  ~Engine() {
    ends_ = true;
    keeper_.join();
    server_.reset();
  }

  bool ready() const { return !down_; }

 private:
  void Begin(int port) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      id_ = "i-" + std::to_string(options_.number) + "-" + std::to_string(++starts_);
      sequence_ = 0;
      busy_ = false;
      highest_token_ = 0;
      down_ = false;
    }
    server_ = std::make_unique<Server>(
        [this](const auto& socket, const auto& request) { return OnRequest(socket, request); },
        port);
    port_ = server_->port();
    WriteRow();
  }

  // Restarts the worker after a crash.
  void Keep() {
    while (!ends_) {
      SleepMs(2);
      if (!down_) {
        continue;
      }
      server_->Stop();
      const std::string id = id_;
      // The entry of a worker that has crashed goes after some heartbeats of silence.
      const std::int64_t back = NowMs() + options_.restart_ms;
      while (!ends_ && NowMs() < back) {
        SleepMs(10);
      }
      if (ends_) {
        return;
      }
      store_->Remove("servers", id);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        models_.clear();
      }
      Begin(port_);
    }
  }

  Json ModelsJson() const {
    Json models = Json::array();
    for (const std::string& name : models_) {
      models.push_back({{"name", name}, {"version", 1}, {"adapters", Json::array()}});
    }
    return models;
  }
  void WriteRow() {
    const std::lock_guard<std::mutex> lock(mutex_);
    store_->Put("servers", id_,
                {{"service", options_.service},
                 {"address", AddressOf(port_)},
                 {"zone", "zone-a"},
                 {"version", options_.version},
                 {"slots", options_.slots},
                 {"state", "ready"},
                 {"stage", "prefill_decode"},
                 {"cold_remaining_ms", 0},
                 {"models", ModelsJson()},
                 {"sequence", sequence_}});
  }

  bool OnRequest(const std::shared_ptr<Socket>& socket, const Message& request) {
    const std::string target = request.Word(1);
    if (target == "/api/report") {
      return OnReport(socket);
    }
    if (request.Field("Expect-Instance") != id_) {
      return socket->Write(AnswerText(421, "Misdirected Request", {{"Instance-Id", id_}}, ""));
    }
    if (target == "/api/order") {
      return OnOrder(socket, Json::parse(request.body));
    }
    return OnStream(socket, request);
  }
  bool OnReport(const std::shared_ptr<Socket>& socket) {
    Json report;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      report = {{"stage", "prefill_decode"},
                {"models", ModelsJson()},
                {"busy", busy_},
                {"sequence", sequence_},
                {"waiting", 0},
                {"running", running_.load()},
                {"kv_used", 0},
                {"kv_total", 130000},
                {"handles", 0}};
    }
    return socket->Write(
        AnswerText(200, "OK", {{"Content-Type", "application/json"}}, report.dump()));
  }
  int TakeOrder(const Json& order) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::uint64_t token = order.value("fencing_token", std::uint64_t{0});
    if (token < highest_token_) {
      return 412;
    }
    highest_token_ = token;
    const std::string model = order.at("model").get<std::string>();
    const bool load = order.at("operation") == "model_load";
    if (load == models_.contains(model)) {
      return 200;
    }
    if (busy_ || order.value("expected_revision", sequence_) != sequence_) {
      return 409;
    }
    ++sequence_;
    if (!load) {
      models_.erase(model);
      return 202;
    }
    busy_ = true;
    std::thread([this, model, start = starts_] {
      SleepMs(options_.load_ms);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (start != starts_ || ends_) {
          return;
        }
        busy_ = false;
        models_.insert(model);
      }
      WriteRow();
    }).detach();
    return 202;
  }
  bool OnOrder(const std::shared_ptr<Socket>& socket, const Json& order) {
    const int status = TakeOrder(order);
    record_->Write(id_ + " takes an order: " + std::to_string(status));
    return socket->Write(AnswerText(status, "Status", {}, ""));
  }

  bool OnStream(const std::shared_ptr<Socket>& socket, const Message& request) {
    const std::string id = request.Field("Attempt-Id");
    const std::string worker = id_;
    on_arrival_(request, worker);
    bool present = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      present = models_.contains(request.Field("Model"));
    }
    if (!present) {
      return socket->Write(AnswerText(421, "Misdirected Request", {{"Instance-Id", id_}}, ""));
    }
    ++running_;
    record_->Write(worker + " runs " + id + " after event '" + request.Field("Last-Event-Id") +
                   "'");
    const bool whole = Stream(socket, request, worker);
    --running_;
    return whole;
  }
  bool Stream(const std::shared_ptr<Socket>& socket, const Message& request,
              const std::string& worker) {
    const std::string id = request.Field("Attempt-Id");
    const bool crashes = options_.crashes(request);
    if (!Wait(socket, options_.first_event_ms)) {
      return false;
    }
    if (crashes && options_.events_before_crash == 0) {
      return CrashNow(worker, id);
    }
    if (options_.endless != nullptr && *options_.endless) {
      return WriteEndlessly(socket, id, worker);
    }
    const std::string last = request.Field("Last-Event-Id");
    const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    std::string text = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: seal." + worker +
                       "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int event = first; event <= options_.events; ++event) {
      const std::string number = std::to_string(event);
      text +=
          Chunk("id: " + number + "\ndata: piece " + number + " of " + options_.version + "\n\n");
      if (!socket->Write(text)) {
        return false;
      }
      text.clear();
      if (crashes && event - first + 1 >= options_.events_before_crash) {
        return CrashNow(worker, id);
      }
      if (event < options_.events && !Wait(socket, options_.event_ms)) {
        return false;
      }
    }
    return socket->Write(Chunk(""));
  }
  bool WriteEndlessly(const std::shared_ptr<Socket>& socket, const std::string& id,
                      const std::string& worker) {
    std::string text = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + id +
                       "\r\nServer-Seal: seal." + worker + "\r\n\r\n";
    while (!ends_ && socket->Write(text)) {
      text.assign(16384, 'x');
    }
    record_->Write(worker + " is left by the caller of " + id);
    return false;
  }
  // Waits; false if the caller has gone or the worker has crashed meanwhile.
  bool Wait(const std::shared_ptr<Socket>& socket, std::int64_t ms) {
    const std::int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      SleepMs(std::min<std::int64_t>(5, until - NowMs()));
      if (down_ || ends_ || socket->PeerGone()) {
        return false;
      }
    }
    return true;
  }
  bool CrashNow(const std::string& worker, const std::string& request) {
    if (!down_.exchange(true)) {
      on_crash_(worker, request);
      server_->Cut();
    }
    return false;
  }

  const EngineOptions options_;
  Store* const store_;
  Record* const record_;
  const Arrival on_arrival_;
  const Crash on_crash_;
  std::mutex mutex_;
  std::set<std::string> models_;
  std::string id_;
  int starts_ = 0;
  int port_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t highest_token_ = 0;
  bool busy_ = false;
  std::atomic<int> running_ = 0;
  std::atomic<bool> down_ = false;
  std::atomic<bool> ends_ = false;
  std::unique_ptr<Server> server_;
  std::thread keeper_;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_ENGINE_H_
