// Emulates the store of rows of a users' platform with the platform's own protocol, and injects
// faults. Runs on the event loop of the test that uses it.
#ifndef EMULATOR_PLATFORM_STORE_H_
#define EMULATOR_PLATFORM_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_server.h"

namespace hingespan::emulator {

enum class StoreFault {
  kNone,
  // Answers 503 without applying the call.
  kUnavailable,
  // Neither answers nor applies the call.
  kSilent,
  // Applies writes, then closes the connection without an answer.
  kLoseAnswers,
  // Applies writes after a delay if their condition still holds, without an answer.
  kAppliesLate,
};

class PlatformStore {
 public:
  explicit PlatformStore(gateway::EventLoop* loop);

  std::string address() const { return server_.address(); }
  // Writes as the operator or a worker does; returns the new version.
  std::uint64_t Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Returns an empty string if there is no such row.
  std::string Value(const std::string& table, const std::string& key) const;
  std::uint64_t Version(const std::string& table, const std::string& key) const;
  void SetFault(StoreFault fault) { fault_ = fault; }
  // Discards the history: waiting calls and calls for older versions get 410.
  void Compact();
  int calls() const { return calls_; }
  // Number of rows in a page of an answer to a read.
  void SetPageRows(std::size_t rows) { page_rows_ = rows; }
  // Number of reads of the table that were begun, and of pages that were asked for.
  int reads(const std::string& table) const;
  int pages() const { return pages_; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct Waiting {
    std::shared_ptr<gateway::ServerExchange> exchange;
    std::string table;
    std::uint64_t after = 0;
    std::unique_ptr<gateway::LoopTimer> timer;
  };

  void OnRequest(const std::shared_ptr<gateway::ServerExchange>& exchange);
  // Answers with the first page of rows whose keys are not below `source`.
  void Get(const std::shared_ptr<gateway::ServerExchange>& exchange, const std::string& table,
           const std::string& source);
  void Feed(const std::shared_ptr<gateway::ServerExchange>& exchange, const std::string& table,
            std::uint64_t after, int wait_ms);
  void Transact(const std::shared_ptr<gateway::ServerExchange>& exchange);
  std::int64_t NowMs() const;
  std::string ChangesJson(const std::string& table, std::uint64_t after) const;
  bool HasChanges(const std::string& table, std::uint64_t after) const;
  void AnswerWaitingCalls();
  // Applies a transaction's body; returns the status and sets the answer.
  int Apply(const std::string& request, std::string* answer);

  gateway::EventLoop* loop_;
  gateway::HttpServer server_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::list<Waiting> waiting_;
  std::list<std::shared_ptr<gateway::ServerExchange>> unanswered_;
  std::list<std::unique_ptr<gateway::LoopTimer>> late_writes_;
  StoreFault fault_ = StoreFault::kNone;
  std::uint64_t version_ = 0;
  std::uint64_t oldest_version_ = 0;
  int calls_ = 0;
  int pages_ = 0;
  std::map<std::string, int> reads_;
  // The protocol's limit.
  std::size_t page_rows_ = 500;
};

}  // namespace hingespan::emulator

#endif  // EMULATOR_PLATFORM_STORE_H_
