#include "hingespan/settings/setting_descriptor.h"

#include <cmath>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace hingespan {
namespace {

// --- Names of enumerators

template <typename T>
struct NamedChoice {
  T value;
  std::string_view name;
};

constexpr NamedChoice<LogLevel> kLogLevels[] = {{LogLevel::kDebug, "debug"},
                                                {LogLevel::kInfo, "info"},
                                                {LogLevel::kWarning, "warning"},
                                                {LogLevel::kError, "error"}};
constexpr NamedChoice<LogFormat> kLogFormats[] = {{LogFormat::kJson, "json"},
                                                  {LogFormat::kText, "text"}};
constexpr NamedChoice<KeepWarmMode> kKeepWarmModes[] = {
    {KeepWarmMode::kWeighted, "weighted"},
    {KeepWarmMode::kAlways, "always"},
    {KeepWarmMode::kDropAtOnce, "drop_at_once"},
    {KeepWarmMode::kFixedTimeout, "fixed_timeout"}};

const auto& ChoicesOf(LogLevel) { return kLogLevels; }
const auto& ChoicesOf(LogFormat) { return kLogFormats; }
const auto& ChoicesOf(KeepWarmMode) { return kKeepWarmModes; }

template <typename T>
std::string ChoiceNames() {
  std::vector<std::string> names;
  for (const auto& choice : ChoicesOf(T())) {
    names.emplace_back(choice.name);
  }
  return absl::StrJoin(names, ", ");
}

// --- Numbers

std::string PrintNumber(double number) {
  if (std::floor(number) == number && std::abs(number) < 1e15) {
    return absl::StrCat(static_cast<std::int64_t>(number));
  }
  return absl::StrCat(number);
}

std::string PrintRange(const NumberRange& range) {
  return absl::StrCat(PrintNumber(range.minimum), "..", PrintNumber(range.maximum));
}

std::string CheckRange(double number, const NumberRange& range) {
  if (std::isnan(number) || number < range.minimum || number > range.maximum) {
    return absl::StrCat(PrintNumber(number), " is outside of the range");
  }
  return "";
}

// --- Text

std::string CheckText(const std::string& text, TextRule rule) {
  switch (rule) {
    case TextRule::kNone:
      return "";
    case TextRule::kName:
      return IsName(text) ? "" : absl::StrCat("\"", text, "\" is no name");
    case TextRule::kAddress:
      return IsIpAndPort(text) && PortOf(text) > 0
                 ? ""
                 : absl::StrCat("\"", text, "\" is no address with a port");
    case TextRule::kListenAddress:
      return IsIpAndPort(text) ? "" : absl::StrCat("\"", text, "\" is no address");
  }
  return "";
}

std::string_view TextType(TextRule rule) {
  switch (rule) {
    case TextRule::kNone:
      return "string";
    case TextRule::kName:
      return "name of letters, digits, '.', '_', '-', up to 64";
    case TextRule::kAddress:
      return "ip:port";
    case TextRule::kListenAddress:
      return "ip:port, port 0 for any";
  }
  return "string";
}

constexpr std::string_view kWrongType = "is of another type";

// Sets the field from a TomlValue. Returns an empty string, or a description of the problem.
class Assigner {
 public:
  Assigner(const SettingDescriptor& setting, const TomlValue& value, NodeSettings* settings)
      : setting_(setting), value_(value), settings_(settings) {}

  std::string operator()(SettingAccessor<bool> field) const {
    const bool* flag = std::get_if<bool>(&value_);
    if (flag == nullptr) {
      return std::string(kWrongType);
    }
    field(*settings_) = *flag;
    return "";
  }

  std::string operator()(SettingAccessor<int> field) const { return Integer(field); }
  std::string operator()(SettingAccessor<std::uint32_t> field) const { return Integer(field); }
  std::string operator()(SettingAccessor<std::uint64_t> field) const { return Integer(field); }

  std::string operator()(SettingAccessor<double> field) const {
    double number = 0;
    if (const double* real = std::get_if<double>(&value_)) {
      number = *real;
    } else if (const std::int64_t* integer = std::get_if<std::int64_t>(&value_)) {
      number = static_cast<double>(*integer);
    } else {
      return std::string(kWrongType);
    }
    std::string problem = CheckRange(number, setting_.range);
    if (problem.empty()) {
      field(*settings_) = number;
    }
    return problem;
  }

  std::string operator()(SettingAccessor<absl::Duration> field) const {
    const std::int64_t* milliseconds = std::get_if<std::int64_t>(&value_);
    if (milliseconds == nullptr) {
      return std::string(kWrongType);
    }
    std::string problem = CheckRange(static_cast<double>(*milliseconds), setting_.range);
    if (problem.empty()) {
      field(*settings_) = absl::Milliseconds(*milliseconds);
    }
    return problem;
  }

  std::string operator()(SettingAccessor<std::string> field) const { return Text(field); }
  std::string operator()(SettingAccessor<NodeId> field) const { return Text(field); }
  std::string operator()(SettingAccessor<ZoneId> field) const { return Text(field); }
  std::string operator()(SettingAccessor<std::vector<std::string>> field) const {
    return List(field);
  }
  std::string operator()(SettingAccessor<std::vector<ZoneId>> field) const { return List(field); }

  std::string operator()(SettingAccessor<LogLevel> field) const { return Choice(field); }
  std::string operator()(SettingAccessor<LogFormat> field) const { return Choice(field); }
  std::string operator()(SettingAccessor<KeepWarmMode> field) const { return Choice(field); }

 private:
  template <typename T>
  std::string Integer(SettingAccessor<T> field) const {
    const std::int64_t* integer = std::get_if<std::int64_t>(&value_);
    if (integer == nullptr) {
      return std::string(kWrongType);
    }
    std::string problem = CheckRange(static_cast<double>(*integer), setting_.range);
    if (problem.empty()) {
      field(*settings_) = static_cast<T>(*integer);
    }
    return problem;
  }

  template <typename T>
  std::string Text(SettingAccessor<T> field) const {
    const std::string* text = std::get_if<std::string>(&value_);
    if (text == nullptr) {
      return std::string(kWrongType);
    }
    std::string problem = CheckText(*text, setting_.rule);
    if (problem.empty()) {
      field(*settings_) = T(*text);
    }
    return problem;
  }

  template <typename T>
  std::string List(SettingAccessor<std::vector<T>> field) const {
    const auto* texts = std::get_if<std::vector<std::string>>(&value_);
    if (texts == nullptr) {
      return std::string(kWrongType);
    }
    std::vector<T> list;
    for (const std::string& text : *texts) {
      std::string problem = CheckText(text, setting_.rule);
      if (!problem.empty()) {
        return problem;
      }
      list.emplace_back(text);
    }
    field(*settings_) = std::move(list);
    return "";
  }

  template <typename T>
  std::string Choice(SettingAccessor<T> field) const {
    const std::string* text = std::get_if<std::string>(&value_);
    if (text == nullptr) {
      return std::string(kWrongType);
    }
    for (const auto& choice : ChoicesOf(T())) {
      if (choice.name == *text) {
        field(*settings_) = choice.value;
        return "";
      }
    }
    return absl::StrCat("\"", *text, "\" is none of the choices");
  }

  const SettingDescriptor& setting_;
  const TomlValue& value_;
  NodeSettings* const settings_;
};

class Printer {
 public:
  explicit Printer(NodeSettings* settings) : settings_(settings) {}

  std::string operator()(SettingAccessor<bool> field) const {
    return field(*settings_) ? "true" : "false";
  }
  std::string operator()(SettingAccessor<int> field) const { return Number(field); }
  std::string operator()(SettingAccessor<std::uint32_t> field) const { return Number(field); }
  std::string operator()(SettingAccessor<std::uint64_t> field) const { return Number(field); }
  std::string operator()(SettingAccessor<double> field) const { return Number(field); }
  std::string operator()(SettingAccessor<absl::Duration> field) const {
    return absl::StrCat(absl::ToInt64Milliseconds(field(*settings_)));
  }
  std::string operator()(SettingAccessor<std::string> field) const {
    return QuoteToml(field(*settings_));
  }
  std::string operator()(SettingAccessor<NodeId> field) const {
    return QuoteToml(field(*settings_).value());
  }
  std::string operator()(SettingAccessor<ZoneId> field) const {
    return QuoteToml(field(*settings_).value());
  }
  std::string operator()(SettingAccessor<std::vector<std::string>> field) const {
    return PrintList(field(*settings_));
  }
  std::string operator()(SettingAccessor<std::vector<ZoneId>> field) const {
    std::vector<std::string> names;
    for (const ZoneId& zone : field(*settings_)) {
      names.push_back(zone.value());
    }
    return PrintList(names);
  }
  std::string operator()(SettingAccessor<LogLevel> field) const { return Choice(field); }
  std::string operator()(SettingAccessor<LogFormat> field) const { return Choice(field); }
  std::string operator()(SettingAccessor<KeepWarmMode> field) const { return Choice(field); }

 private:
  template <typename T>
  std::string Number(SettingAccessor<T> field) const {
    return PrintNumber(static_cast<double>(field(*settings_)));
  }

  static std::string PrintList(const std::vector<std::string>& texts) {
    std::vector<std::string> quoted;
    quoted.reserve(texts.size());
    for (const std::string& text : texts) {
      quoted.push_back(QuoteToml(text));
    }
    return absl::StrCat("[", absl::StrJoin(quoted, ", "), "]");
  }

  template <typename T>
  std::string Choice(SettingAccessor<T> field) const {
    for (const auto& choice : ChoicesOf(T())) {
      if (choice.value == field(*settings_)) {
        return QuoteToml(choice.name);
      }
    }
    return "";
  }

  NodeSettings* const settings_;
};

class TypePrinter {
 public:
  explicit TypePrinter(const SettingDescriptor& setting) : setting_(setting) {}

  std::string operator()(SettingAccessor<bool>) const { return "true or false"; }
  std::string operator()(SettingAccessor<int>) const { return Integer(); }
  std::string operator()(SettingAccessor<std::uint32_t>) const { return Integer(); }
  std::string operator()(SettingAccessor<std::uint64_t>) const { return Integer(); }
  std::string operator()(SettingAccessor<double>) const {
    return absl::StrCat("number ", PrintRange(setting_.range));
  }
  std::string operator()(SettingAccessor<absl::Duration>) const {
    return absl::StrCat("milliseconds ", PrintRange(setting_.range));
  }
  std::string operator()(SettingAccessor<std::string>) const { return Text(); }
  std::string operator()(SettingAccessor<NodeId>) const { return Text(); }
  std::string operator()(SettingAccessor<ZoneId>) const { return Text(); }
  std::string operator()(SettingAccessor<std::vector<std::string>>) const { return List(); }
  std::string operator()(SettingAccessor<std::vector<ZoneId>>) const { return List(); }
  std::string operator()(SettingAccessor<LogLevel>) const { return Choice<LogLevel>(); }
  std::string operator()(SettingAccessor<LogFormat>) const { return Choice<LogFormat>(); }
  std::string operator()(SettingAccessor<KeepWarmMode>) const { return Choice<KeepWarmMode>(); }

 private:
  std::string Integer() const { return absl::StrCat("integer ", PrintRange(setting_.range)); }
  std::string Text() const { return std::string(TextType(setting_.rule)); }
  std::string List() const { return absl::StrCat("list of: ", Text()); }
  template <typename T>
  static std::string Choice() {
    return absl::StrCat("one of: ", ChoiceNames<T>());
  }

  const SettingDescriptor& setting_;
};

bool IsNumber(const SettingField& field) {
  return std::holds_alternative<SettingAccessor<int>>(field) ||
         std::holds_alternative<SettingAccessor<std::uint32_t>>(field) ||
         std::holds_alternative<SettingAccessor<std::uint64_t>>(field) ||
         std::holds_alternative<SettingAccessor<double>>(field) ||
         std::holds_alternative<SettingAccessor<absl::Duration>>(field);
}

bool IsList(const SettingField& field) {
  return std::holds_alternative<SettingAccessor<std::vector<std::string>>>(field) ||
         std::holds_alternative<SettingAccessor<std::vector<ZoneId>>>(field);
}

TomlValue ParseNumber(const std::string& text) {
  std::int64_t integer = 0;
  if (absl::SimpleAtoi(text, &integer)) {
    return integer;
  }
  double real = 0;
  if (absl::SimpleAtod(text, &real)) {
    return real;
  }
  return text;
}

TomlValue ParseList(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ',', absl::SkipWhitespace());
  std::vector<std::string> list;
  list.reserve(parts.size());
  for (const std::string& part : parts) {
    list.emplace_back(absl::StripAsciiWhitespace(part));
  }
  return list;
}

TomlValue ParseBoolean(const std::string& text) {
  if (text == "true" || text == "false") {
    return text == "true";
  }
  return text;
}

}  // namespace

const SettingDescriptor* FindSetting(std::string_view key) {
  for (const SettingDescriptor& setting : AllSettings()) {
    if (setting.key == key) {
      return &setting;
    }
  }
  return nullptr;
}

std::string SettingType(const SettingDescriptor& setting) {
  return std::visit(TypePrinter(setting), setting.field);
}

std::string PrintSetting(const SettingDescriptor& setting, NodeSettings settings) {
  return std::visit(Printer(&settings), setting.field);
}

std::string AssignSetting(const SettingDescriptor& setting, const TomlValue& value,
                          NodeSettings* settings) {
  return std::visit(Assigner(setting, value, settings), setting.field);
}

TomlValue ParseFlagValue(const SettingDescriptor& setting, std::string_view text) {
  std::string copy(text);
  if (IsNumber(setting.field)) {
    return ParseNumber(copy);
  }
  if (IsList(setting.field)) {
    return ParseList(copy);
  }
  if (std::holds_alternative<SettingAccessor<bool>>(setting.field)) {
    return ParseBoolean(copy);
  }
  return copy;
}

}  // namespace hingespan
