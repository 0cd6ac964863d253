// JSON encoding of records, as stored by the platform's table service.
#ifndef HINGESPAN_TABLE_RECORD_CODEC_H_
#define HINGESPAN_TABLE_RECORD_CODEC_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "hingespan/common/result.h"
#include "hingespan/table/records.h"

namespace hingespan {

// Returns the record's value as compact JSON text.
std::string EncodeRecord(const Record& record);
// Decodes the JSON text of the record stored under `key`. Returns kMalformed if the text does not
// match the key or its kind.
Result<Record> DecodeRecord(std::string_view key, std::string_view text);

nlohmann::json RowToJson(const ModelRow& row);
Result<ModelRow> RowFromJson(const nlohmann::json& json);

std::string_view RowKindName(RowKind kind);

}  // namespace hingespan

#endif  // HINGESPAN_TABLE_RECORD_CODEC_H_
