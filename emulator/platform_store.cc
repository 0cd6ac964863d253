#include "emulator/platform_store.h"

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace hingespan::emulator {
namespace {

using Json = nlohmann::json;
using gateway::ServerExchange;

// Delay before a late write is applied.
constexpr absl::Duration kLateWriteDelay = absl::Milliseconds(1500);

void AnswerJson(const std::shared_ptr<ServerExchange>& exchange, int status,
                const std::string& body) {
  exchange->Answer(status, "Status", {{"Content-Type", "application/json"}}, body);
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  for (const absl::string_view part : absl::StrSplit(target.substr(mark + 1), '&')) {
    const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
    query[pair.first] = pair.second;
  }
  return query;
}

// Rows of a part are kept in a table of their own, TABLE/PART.
std::string TableName(const std::string& table, const std::string& part) {
  return part.empty() ? table : absl::StrCat(table, "/", part);
}

std::string TableNameOf(const Json& row) {
  return TableName(row.at("table"), row.value("part", ""));
}

std::uint64_t NumberOf(const std::string& text) {
  std::uint64_t number = 0;
  (void)absl::SimpleAtoi(text, &number);
  return number;
}

}  // namespace

PlatformStore::PlatformStore(gateway::EventLoop* loop)
    : loop_(loop), server_(loop, [this](const std::shared_ptr<ServerExchange>& exchange) {
        OnRequest(exchange);
      }) {
  (void)server_.Listen("127.0.0.1:0");
}

std::uint64_t PlatformStore::Put(const std::string& table, const std::string& key,
                                 const std::string& value) {
  rows_[{table, key}] = Row{value, ++version_, false};
  AnswerWaitingCalls();
  return version_;
}

void PlatformStore::Remove(const std::string& table, const std::string& key) {
  rows_[{table, key}] = Row{"", ++version_, true};
  AnswerWaitingCalls();
}

std::string PlatformStore::Value(const std::string& table, const std::string& key) const {
  const auto row = rows_.find({table, key});
  return row == rows_.end() || row->second.removed ? std::string() : row->second.value;
}

std::uint64_t PlatformStore::Version(const std::string& table, const std::string& key) const {
  const auto row = rows_.find({table, key});
  return row == rows_.end() || row->second.removed ? 0 : row->second.version;
}

void PlatformStore::Compact() {
  oldest_version_ = ++version_;
  std::list<Waiting> waiting;
  waiting.swap(waiting_);
  for (const Waiting& entry : waiting) {
    AnswerJson(entry.exchange, 410, "{}");
  }
}

void PlatformStore::OnRequest(const std::shared_ptr<ServerExchange>& exchange) {
  ++calls_;
  if (fault_ == StoreFault::kUnavailable) {
    AnswerJson(exchange, 503, "{}");
    return;
  }
  if (fault_ == StoreFault::kSilent) {
    unanswered_.push_back(exchange);
    return;
  }
  const std::string& target = exchange->head().target;
  std::map<std::string, std::string> query = QueryOf(target);
  if (absl::StartsWith(target, "/api/rows-get")) {
    Get(exchange, TableName(query["table"], query["part"]));
  } else if (absl::StartsWith(target, "/api/rows-feed")) {
    Feed(exchange, query["table"], NumberOf(query["after"]),
         static_cast<int>(NumberOf(query["wait_ms"])));
  } else if (absl::StartsWith(target, "/api/rows-tx")) {
    Transact(exchange);
  } else {
    AnswerJson(exchange, 404, "{}");
  }
}

std::string PlatformStore::RowsJson(const std::string& table, std::uint64_t after,
                                    bool with_removed) const {
  Json rows = Json::array();
  for (const auto& [name, row] : rows_) {
    if (name.first != table || row.version <= after || (row.removed && !with_removed)) {
      continue;
    }
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(table, absl::MaxSplits('/', 1));
    Json entry{{"table", parts.first},
               {"part", parts.second},
               {"private_key", name.second},
               {"ver", row.version}};
    if (row.removed) {
      entry["is_gone"] = true;
    } else {
      entry["value"] = absl::Base64Escape(row.value);
    }
    rows.push_back(std::move(entry));
  }
  return Json{{"rows", rows}, {"has_more", false}, {"ver", version_}, {"now_ms", NowMs()}}.dump();
}

std::int64_t PlatformStore::NowMs() const {
  return absl::ToInt64Milliseconds(loop_->Now() - absl::UnixEpoch());
}

void PlatformStore::Get(const std::shared_ptr<ServerExchange>& exchange, const std::string& table) {
  AnswerJson(exchange, 200, RowsJson(table, 0, false));
}

bool PlatformStore::HasChanges(const std::string& table, std::uint64_t after) const {
  for (const auto& [name, row] : rows_) {
    if (name.first == table && row.version > after) {
      return true;
    }
  }
  return false;
}

void PlatformStore::Feed(const std::shared_ptr<ServerExchange>& exchange, const std::string& table,
                         std::uint64_t after, int wait_ms) {
  if (after < oldest_version_) {
    AnswerJson(exchange, 410, "{}");
    return;
  }
  if (HasChanges(table, after)) {
    AnswerJson(exchange, 200, RowsJson(table, after, true));
    return;
  }
  Waiting waiting{exchange, table, after, loop_->MakeTimer()};
  waiting_.push_back(std::move(waiting));
  const auto entry = std::prev(waiting_.end());
  exchange->OnCallerGone([] {});
  entry->timer->Set(loop_->Now() + absl::Milliseconds(wait_ms), [this, entry] {
    // Also returns changes that a fault held back until now.
    AnswerJson(entry->exchange, 200, RowsJson(entry->table, entry->after, true));
    waiting_.erase(entry);
  });
}

void PlatformStore::AnswerWaitingCalls() {
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (!HasChanges(entry->table, entry->after) || fault_ != StoreFault::kNone) {
      ++entry;
      continue;
    }
    AnswerJson(entry->exchange, 200, RowsJson(entry->table, entry->after, true));
    entry = waiting_.erase(entry);
  }
}

void PlatformStore::Transact(const std::shared_ptr<ServerExchange>& exchange) {
  if (fault_ == StoreFault::kAppliesLate) {
    unanswered_.push_back(exchange);
    late_writes_.push_back(loop_->MakeTimer());
    late_writes_.back()->Set(loop_->Now() + kLateWriteDelay, [this, request = exchange->body()] {
      std::string ignored;
      Apply(request, &ignored);
    });
    return;
  }
  std::string answer;
  const int status = Apply(exchange->body(), &answer);
  if (status == 200 && fault_ == StoreFault::kLoseAnswers) {
    exchange->Abort();
    return;
  }
  AnswerJson(exchange, status, answer);
}

int PlatformStore::Apply(const std::string& request, std::string* answer) {
  *answer = "{}";
  const Json body = Json::parse(request, nullptr, false);
  if (!body.is_object()) {
    return 400;
  }
  for (const Json& condition : body.value("expected_revision", Json::array())) {
    const std::uint64_t wanted = condition.at("ver").get<std::uint64_t>();
    if (Version(TableNameOf(condition), condition.at("private_key")) != wanted) {
      *answer = "{\"rows\":[]}";
      return 412;
    }
  }
  ++version_;
  for (const Json& entry : body.value("put", Json::array())) {
    std::string value;
    absl::Base64Unescape(entry.at("value").get<std::string>(), &value);
    rows_[{TableNameOf(entry), entry.at("private_key")}] = Row{value, version_, false};
  }
  for (const Json& entry : body.value("remove", Json::array())) {
    rows_[{TableNameOf(entry), entry.at("private_key")}] = Row{"", version_, true};
  }
  AnswerWaitingCalls();
  *answer = Json{{"ver", version_}, {"now_ms", NowMs()}}.dump();
  return 200;
}

}  // namespace hingespan::emulator
