#include "hingespan/fleet/copy_answer.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "hingespan/common/json_decoding.h"

namespace hingespan::gateway {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kHeldEntry = 3;

absl::Duration ReadMilliseconds(const Json& json) {
  return absl::Milliseconds(ReadNumber<std::int64_t>(json));
}

}  // namespace

// In CBOR: [version, age in ms, rows, time held in ms], with each row as [key, value, version,
// removed].
std::string EncodeCopyAnswer(const CopyAnswer& answer) {
  Json list = Json::array();
  for (const StoreRow& row : answer.rows.rows) {
    list.push_back(Json::array({row.key, row.value, row.version, row.removed}));
  }
  std::string bytes;
  Json::to_cbor(Json::array({answer.rows.version, absl::ToInt64Milliseconds(answer.age),
                             std::move(list), absl::ToInt64Milliseconds(answer.held)}),
                bytes);
  return bytes;
}

Result<CopyAnswer> DecodeCopyAnswer(const std::string& table, const std::string& bytes) {
  return DecodeJson<CopyAnswer>(ParseCbor(bytes), [&table](const Json& json) {
    CopyAnswer answer;
    answer.rows.version = ReadNumber<std::uint64_t>(json.at(0));
    answer.age = ReadMilliseconds(json.at(1));
    for (const Json& row : RequireArray(json.at(2))) {
      answer.rows.rows.push_back({table, row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                                  ReadNumber<std::uint64_t>(row.at(2)), row.at(3).get<bool>()});
    }
    answer.held =
        json.size() > kHeldEntry ? ReadMilliseconds(json.at(kHeldEntry)) : absl::ZeroDuration();
    return answer;
  });
}

}  // namespace hingespan::gateway
