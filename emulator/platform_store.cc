#include "emulator/platform_store.h"

#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
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

// Decodes a name or value of a query as servers do: '+' is a blank, and "%41" is a byte.
std::string DecodeQueryText(absl::string_view text) {
  constexpr std::size_t kDigits = 2;
  std::string decoded;
  while (!text.empty()) {
    const char character = text.front();
    text.remove_prefix(1);
    const absl::string_view digits = text.substr(0, kDigits);
    if (character == '%' && digits.size() == kDigits && absl::ascii_isxdigit(digits[0]) &&
        absl::ascii_isxdigit(digits[1])) {
      decoded.append(absl::HexStringToBytes(digits));
      text.remove_prefix(kDigits);
    } else {
      decoded.push_back(character == '+' ? ' ' : character);
    }
  }
  return decoded;
}

std::map<std::string, std::string> QueryOf(absl::string_view target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == absl::string_view::npos) {
    return query;
  }
  const absl::string_view text = target.substr(mark + 1, target.find('#') - mark - 1);
  for (const absl::string_view part : absl::StrSplit(text, '&')) {
    const std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    query[DecodeQueryText(pair.first)] = DecodeQueryText(pair.second);
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

Json RowJson(const std::pair<std::string, std::string>& table_and_key, const std::string& value,
             std::uint64_t version, bool removed) {
  const std::pair<std::string, std::string> parts =
      absl::StrSplit(table_and_key.first, absl::MaxSplits('/', 1));
  Json json{{"table", parts.first},
            {"part", parts.second},
            {"private_key", table_and_key.second},
            {"ver", version}};
  if (removed) {
    json["is_gone"] = true;
  } else {
    json["value"] = absl::Base64Escape(value);
  }
  return json;
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
    Get(exchange, TableName(query["table"], query["part"]), query["source"]);
  } else if (absl::StartsWith(target, "/api/rows-feed")) {
    Feed(exchange, query["table"], NumberOf(query["after"]),
         static_cast<int>(NumberOf(query["wait_ms"])));
  } else if (absl::StartsWith(target, "/api/rows-tx")) {
    Transact(exchange);
  } else {
    AnswerJson(exchange, 404, "{}");
  }
}

std::string PlatformStore::ChangesJson(const std::string& table, std::uint64_t after) const {
  Json rows = Json::array();
  for (const auto& [name, row] : rows_) {
    if (name.first == table && row.version > after) {
      rows.push_back(RowJson(name, row.value, row.version, row.removed));
    }
  }
  return Json{{"rows", rows}, {"has_more", false}, {"ver", version_}, {"now_ms", NowMs()}}.dump();
}

std::int64_t PlatformStore::NowMs() const {
  return absl::ToInt64Milliseconds(loop_->Now() - absl::UnixEpoch());
}

void PlatformStore::Get(const std::shared_ptr<ServerExchange>& exchange, const std::string& table,
                        const std::string& source) {
  ++pages_;
  reads_[table] += source.empty() ? 1 : 0;
  Json rows = Json::array();
  bool has_more = false;
  for (auto entry = rows_.lower_bound({table, source});
       entry != rows_.end() && entry->first.first == table; ++entry) {
    if (entry->second.removed) {
      continue;
    }
    if (rows.size() == page_rows_) {
      has_more = true;
      break;
    }
    rows.push_back(RowJson(entry->first, entry->second.value, entry->second.version, false));
  }
  AnswerJson(
      exchange, 200,
      Json{{"rows", rows}, {"has_more", has_more}, {"ver", version_}, {"now_ms", NowMs()}}.dump());
}

int PlatformStore::reads(const std::string& table) const {
  const auto count = reads_.find(table);
  return count == reads_.end() ? 0 : count->second;
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
    AnswerJson(exchange, 200, ChangesJson(table, after));
    return;
  }
  Waiting waiting{exchange, table, after, loop_->MakeTimer()};
  waiting_.push_back(std::move(waiting));
  const auto entry = std::prev(waiting_.end());
  exchange->OnCallerGone([] {});
  entry->timer->Set(loop_->Now() + absl::Milliseconds(wait_ms), [this, entry] {
    // Also returns changes that a fault held back until now.
    AnswerJson(entry->exchange, 200, ChangesJson(entry->table, entry->after));
    waiting_.erase(entry);
  });
}

void PlatformStore::AnswerWaitingCalls() {
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (!HasChanges(entry->table, entry->after) || fault_ != StoreFault::kNone) {
      ++entry;
      continue;
    }
    AnswerJson(entry->exchange, 200, ChangesJson(entry->table, entry->after));
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
