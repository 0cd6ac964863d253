#include "hingespan/operator/row_fields.h"

#include <cstdint>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "hingespan/settings/setting_descriptor.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

constexpr std::uint32_t kLargestMemoryMib = 16'777'216;
constexpr std::uint32_t kMostReplicas = 10'000;
constexpr std::uint32_t kLongestWaitMs = 3'600'000;
constexpr std::uint32_t kLongestQueue = 65'536;
constexpr std::uint32_t kMostConcurrency = 4'096;
constexpr std::uint32_t kLongestIdleMs = 86'400'000;
constexpr std::uint32_t kLargestWeight = 1'000'000;
constexpr std::string_view kWeightPrefix = "weights.";
constexpr std::string_view kNameType = "name of letters, digits, '.', '_', '-', up to 64";
constexpr std::string_view kKindType = "one of: model, adapter, version";
constexpr std::string_view kWeightsType =
    "ZONE=WEIGHT, separated by blanks; empty: all zones alike";

// A field of a row that holds a number.
struct CountField {
  std::string_view name;
  std::uint32_t ModelRow::*member;
  std::uint32_t minimum;
  std::uint32_t maximum;
};

constexpr CountField kCountFields[] = {
    {"memory_mib", &ModelRow::memory_mib, 1, kLargestMemoryMib},
    {"max_replicas", &ModelRow::max_replicas, 0, kMostReplicas},
    {"min_replicas", &ModelRow::min_replicas, 0, kMostReplicas},
    {"max_wait_ms", &ModelRow::max_wait_ms, 0, kLongestWaitMs},
    {"max_queue", &ModelRow::max_queue, 0, kLongestQueue},
    {"max_concurrency", &ModelRow::max_concurrency, 1, kMostConcurrency},
    {"idle_ms", &ModelRow::idle_ms, 0, kLongestIdleMs},
};

struct FieldMeaning {
  std::string_view name;
  std::string_view meaning;
};

constexpr FieldMeaning kMeanings[] = {
    {"kind", "What the row stands for."},
    {"base", "The row that an adapter needs on the same worker, or a version belongs to."},
    {"checkpoint", "Name in the weight store; empty: the row's own name."},
    {"memory_mib", "Accelerator memory of one replica, in MiB."},
    {"max_replicas", "Replicas over all zones at most; 0 refuses every request."},
    {"min_replicas", "Replicas kept loaded although idle, over all zones."},
    {"max_wait_ms", "Longest wait of a request, where the caller names no shorter one."},
    {"max_queue", "Requests waiting at one node at most."},
    {"max_concurrency", "Requests running at one replica at most."},
    {"idle_ms", "Idle time before unloading; 0 leaves it to the deployment's policy."},
    {"weights", "Share of traffic by zone; zones not named get none."},
};

const CountField* FindCount(std::string_view name) {
  for (const CountField& field : kCountFields) {
    if (field.name == name) {
      return &field;
    }
  }
  return nullptr;
}

std::string RangeType(std::uint32_t minimum, std::uint32_t maximum) {
  return absl::StrCat("integer ", minimum, "..", maximum);
}

std::string PrintWeights(const std::map<ZoneId, std::uint32_t>& weights) {
  std::vector<std::string> parts;
  parts.reserve(weights.size());
  for (const auto& [zone, weight] : weights) {
    parts.push_back(absl::StrCat(zone.value(), "=", weight));
  }
  return absl::StrJoin(parts, " ");
}

// --- Assignment. Each function returns a description of the problem, or an empty text.

std::string ParseCount(const std::string& text, std::uint32_t minimum, std::uint32_t maximum,
                       std::uint32_t* value) {
  std::uint32_t number = 0;
  if (!absl::SimpleAtoi(text, &number)) {
    return absl::StrCat("\"", text, "\" is not a valid number");
  }
  if (number < minimum || number > maximum) {
    return absl::StrCat(number, " is out of range");
  }
  *value = number;
  return "";
}

std::string ParseKind(const std::string& text, RowKind* kind) {
  for (RowKind candidate : {RowKind::kModel, RowKind::kAdapter, RowKind::kVersion}) {
    if (text == std::string(RowKindName(candidate))) {
      *kind = candidate;
      return "";
    }
  }
  return absl::StrCat("\"", text, "\" is not a kind of row");
}

std::string ParseWeight(const std::string& zone, const std::string& text,
                        std::map<ZoneId, std::uint32_t>* weights) {
  if (!IsName(zone)) {
    return absl::StrCat("\"", zone, "\" is not a valid zone name");
  }
  std::uint32_t weight = 0;
  std::string problem = ParseCount(text, 0, kLargestWeight, &weight);
  if (problem.empty()) {
    (*weights)[ZoneId(zone)] = weight;
  }
  return problem;
}

std::string ParseWeights(const std::string& text, std::map<ZoneId, std::uint32_t>* weights) {
  std::map<ZoneId, std::uint32_t> parsed;
  const std::vector<std::string> parts =
      absl::StrSplit(text, absl::ByAnyChar(" ,;"), absl::SkipEmpty());
  for (const std::string& part : parts) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) {
      return absl::StrCat("\"", part, "\" is not of the form ZONE=WEIGHT");
    }
    std::string problem = ParseWeight(part.substr(0, equals), part.substr(equals + 1), &parsed);
    if (!problem.empty()) {
      return problem;
    }
  }
  *weights = std::move(parsed);
  return "";
}

std::string ParseOptionalName(const std::string& text, std::string* name) {
  if (!text.empty() && !IsName(text)) {
    return absl::StrCat("\"", text, "\" is not a valid name");
  }
  *name = text;
  return "";
}

std::string ParseBase(const std::string& text, ModelName* base) {
  std::string name;
  std::string problem = ParseOptionalName(text, &name);
  if (problem.empty()) {
    *base = ModelName(name);
  }
  return problem;
}

std::string AssignField(const std::string& field, const std::string& text, ModelRow* row) {
  if (const CountField* count = FindCount(field)) {
    return ParseCount(text, count->minimum, count->maximum, &(row->*count->member));
  }
  if (field == "kind") {
    return ParseKind(text, &row->kind);
  }
  if (field == "base") {
    return ParseBase(text, &row->base);
  }
  if (field == "checkpoint") {
    return ParseOptionalName(text, &row->checkpoint);
  }
  if (field == "weights") {
    return ParseWeights(text, &row->weights);
  }
  if (field.starts_with(kWeightPrefix)) {
    return ParseWeight(field.substr(kWeightPrefix.size()), text, &row->weights);
  }
  return "unknown field";
}

void Add(const Place& place, const ModelRow& row, std::string_view field, std::string problem,
         std::string allowed, Findings* findings) {
  std::string key = absl::StrCat(row.name.value(), ".", std::string(field));
  findings->push_back({place, std::move(key), std::move(problem), std::move(allowed)});
}

std::string ValueOrNothing(const std::optional<ModelRow>& row, const std::string& field) {
  return row.has_value() ? PrintRowField(*row, field) : "";
}

}  // namespace

const std::vector<std::string>& RowFieldNames() {
  static const auto* const names = [] {
    auto* all = new std::vector<std::string>;
    for (const FieldMeaning& field : kMeanings) {
      all->emplace_back(field.name);
    }
    return all;
  }();
  return *names;
}

std::string RowFieldType(std::string_view field) {
  if (const CountField* count = FindCount(field)) {
    return RangeType(count->minimum, count->maximum);
  }
  if (field == "kind") {
    return std::string(kKindType);
  }
  if (field == "weights") {
    return std::string(kWeightsType);
  }
  if (field.starts_with(kWeightPrefix)) {
    return RangeType(0, kLargestWeight);
  }
  if (field == "base" || field == "checkpoint") {
    return absl::StrCat(std::string(kNameType), ", or empty");
  }
  return absl::StrJoin(RowFieldNames(), ", ");
}

std::string_view RowFieldMeaning(std::string_view field) {
  for (const FieldMeaning& entry : kMeanings) {
    if (entry.name == field) {
      return entry.meaning;
    }
  }
  return "";
}

std::string PrintRowField(const ModelRow& row, std::string_view field) {
  if (const CountField* count = FindCount(field)) {
    return absl::StrCat(row.*count->member);
  }
  if (field == "kind") {
    return std::string(RowKindName(row.kind));
  }
  if (field == "base") {
    return row.base.value();
  }
  if (field == "checkpoint") {
    return row.checkpoint;
  }
  return field == "weights" ? PrintWeights(row.weights) : "";
}

void AssignRowFields(const std::vector<FieldAssignment>& assignments, ModelRow* row,
                     Findings* findings) {
  for (const FieldAssignment& assignment : assignments) {
    const std::string text(absl::StripAsciiWhitespace(assignment.text));
    std::string problem = AssignField(assignment.field, text, row);
    if (!problem.empty()) {
      Add(assignment.place, *row, assignment.field, std::move(problem),
          RowFieldType(assignment.field), findings);
    }
  }
}

void CheckRow(const ModelRow& row, const Place& place, Findings* findings) {
  if (!IsName(row.name.value())) {
    Add(place, row, "name", absl::StrCat("\"", row.name.value(), "\" is not a valid name"),
        std::string(kNameType), findings);
  }
  if (row.memory_mib == 0) {
    Add(place, row, "memory_mib", "is required", RowFieldType("memory_mib"), findings);
  }
  if (row.min_replicas > row.max_replicas) {
    Add(place, row, "min_replicas", "is above max_replicas",
        absl::StrCat("at most ", row.max_replicas), findings);
  }
  if (row.kind == RowKind::kModel && !row.base.empty()) {
    Add(place, row, "base", "is given for a model", "empty, or another kind", findings);
  }
  if (row.kind != RowKind::kModel && row.base.empty()) {
    Add(place, row, "base", "is required for adapters and versions", "a row's name", findings);
  }
  if (!row.base.empty() && row.base == row.name) {
    Add(place, row, "base", "is the row itself", "another row", findings);
  }
}

void CheckBase(const ModelRow& row, const ModelRow* base, const Place& place, Findings* findings) {
  if (row.base.empty() || row.base == row.name) {
    return;
  }
  if (base == nullptr) {
    Add(place, row, "base", absl::StrCat("there is no row \"", row.base.value(), "\""),
        "an existing row", findings);
  } else if (row.kind == RowKind::kAdapter && base->kind == RowKind::kAdapter) {
    Add(place, row, "base", absl::StrCat("\"", row.base.value(), "\" is an adapter itself"),
        "a model or a version", findings);
  }
}

void CheckBases(const RowsByName& rows, const Place& place, Findings* findings) {
  for (const auto& [name, versioned] : rows) {
    if (!versioned.row.has_value()) {
      continue;
    }
    const auto base = rows.find(versioned.row->base);
    const bool found = base != rows.end() && base->second.row.has_value();
    CheckBase(*versioned.row, found ? &*base->second.row : nullptr, place, findings);
  }
}

std::vector<FieldDifference> DiffRows(const std::optional<ModelRow>& before,
                                      const std::optional<ModelRow>& after) {
  std::vector<FieldDifference> differences;
  for (const std::string& field : RowFieldNames()) {
    std::string old_text = ValueOrNothing(before, field);
    std::string new_text = ValueOrNothing(after, field);
    if (old_text != new_text) {
      differences.push_back({field, std::move(old_text), std::move(new_text)});
    }
  }
  return differences;
}

}  // namespace hingespan
