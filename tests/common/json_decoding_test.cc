#include "hingespan/common/json_decoding.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "hingespan/common/percent_encoding.h"
#include "tests/foreign_entries/odd_texts.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

std::string CborLists(std::size_t count) { return std::string(count, '\x81') + '\x01'; }

TEST_CASE("nesting is bounded in JSON and in CBOR") {
  for (const std::size_t count : {std::size_t{1}, kMaxNesting}) {
    CAPTURE(count);
    CHECK(ParseJson(foreign_entries::NestedLists(count)).is_array());
    CHECK(ParseJson(foreign_entries::NestedObjects(count)).is_object());
    CHECK(ParseCbor(CborLists(count)).is_array());
  }
  for (const std::size_t count : {kMaxNesting + 1, std::size_t{60000}, std::size_t{1000000}}) {
    CAPTURE(count);
    CHECK(ParseJson(foreign_entries::NestedLists(count)).is_discarded());
    CHECK(ParseJson(foreign_entries::NestedObjects(count)).is_discarded());
    CHECK(ParseCbor(CborLists(count)).is_discarded());
    // Indefinite lists, maps, texts and tags without an end.
    for (const char byte : {'\x9f', '\xbf', '\x7f', '\x5f', '\xc1', '\xa1'}) {
      CHECK(ParseCbor(std::string(count, byte)).is_discarded());
    }
  }
  // Brackets within strings don't count.
  CHECK(ParseJson("\"" + std::string(1000, '[') + "\\\"" + std::string(1000, '{') + "\"")
            .is_string());
}

TEST_CASE("CBOR of all types that are written is read back") {
  const Json json{{"list", {1, -1, 1.5, 0.1, true, nullptr, "text", "\xff\xfe"}},
                  {"large", std::uint64_t{18446744073709551615U}},
                  {"binary", Json::binary({1, 2})}};
  std::string bytes;
  Json::to_cbor(json, bytes);
  CHECK(ParseCbor(bytes) == json);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK(ParseCbor(bytes.substr(0, length)).is_discarded());
  }
  CHECK(ParseCbor(bytes + "x").is_discarded());
}

template <typename T>
Result<T> Number(const char* text) {
  return DecodeJson<T>(ParseJson(text), [](const Json& json) { return ReadNumber<T>(json); });
}

TEST_CASE("numbers are checked against the range of their type") {
  CHECK(*Number<int>("2147483647") == 2147483647);
  CHECK(*Number<int>("-2147483648") == -2147483647 - 1);
  CHECK(*Number<int>("64.9") == 64);
  CHECK(*Number<std::uint32_t>("4294967295") == 4294967295U);
  CHECK(*Number<std::uint64_t>("18446744073709551615") == 18446744073709551615U);
  CHECK(*Number<std::uint64_t>("1e19") == 10000000000000000000U);
  CHECK(*Number<std::int64_t>("-9223372036854775808") == INT64_MIN);
  CHECK(*Number<double>("1e30") == 1e30);
  for (const char* const text :
       {"2147483648", "-2147483649", "1e30", "-1e30", "18446744073709551616", "true", "null",
        "\"1\"", "[]", "[1]", "{}", "1e400"}) {
    CAPTURE(text);
    CHECK(Number<int>(text).error() == make_error_code(Error::kMalformed));
  }
  CHECK(!Number<std::uint32_t>("4294967296").ok());
  for (const char* const text : {"-1", "-0.5e30", "18446744073709551616", "1e20"}) {
    CAPTURE(text);
    CHECK(!Number<std::uint64_t>(text).ok());
  }
  CHECK(!Number<std::int64_t>("9223372036854775808").ok());
  CHECK(!Number<double>("1e400").ok());
}

TEST_CASE("members that are absent have a default, others need the type") {
  const auto read = [](const char* text) {
    return DecodeJson<int>(ParseJson(text), [](const Json& json) {
      return ReadNumber<int>(json, "n", 7) + static_cast<int>(ReadArray(json, "list").size());
    });
  };
  CHECK(*read("{}") == 7);
  CHECK(*read(R"({"n":1,"list":[0,0]})") == 3);
  CHECK(*read(R"({"n":1,"list":null})") == 1);
  for (const char* const text : {"[]", "7", "{\"n\":null}", "{\"list\":7}", "{\"list\":{}}"}) {
    CAPTURE(text);
    CHECK(!read(text).ok());
  }
}

TEST_CASE("an object is split at its array, whatever the elements are") {
  const std::string text =
      R"({"a":"rows","b":[1],"rows" : [ {"x":[1,2]} ,"],[", nonsense,1e400],"rows2":[],"ver":3})";
  const auto split = SplitArray(text, "rows");
  REQUIRE(split.has_value());
  REQUIRE(split->elements.size() == 4);
  CHECK(ParseJson(split->elements[0]) == Json{{"x", {1, 2}}});
  CHECK(ParseJson(split->elements[1]) == Json("],["));
  CHECK(ParseJson(split->elements[2]).is_discarded());
  CHECK(ParseJson(split->elements[3]).is_discarded());
  CHECK(ParseJson(split->object) == Json{{"a", "rows"},
                                         {"b", {1}},
                                         {"rows", Json::array()},
                                         {"rows2", Json::array()},
                                         {"ver", 3}});
  CHECK(SplitArray(R"({"rows":[ ]})", "rows")->elements.empty());
  CHECK(SplitArray(R"({"rows":[1,]})", "rows")->elements.size() == 2);
  for (const char* const other :
       {"", "[]", "{}", R"({"rows":7})", R"({"rows":{}})", R"({"rows":[1)", R"({"a":{"rows":[]}})",
        R"([{"rows":[]}])", "{\"rows\":[\"", "\"\\"}) {
    CAPTURE(other);
    CHECK(!SplitArray(other, "rows").has_value());
  }
}

TEST_CASE("texts of any bytes are percent-encoded and decoded") {
  CHECK(PercentEncode("az-AZ.09_~") == "az-AZ.09_~");
  CHECK(PercentEncode("a&b+c#d e%41/?\"\n\xc3\xa9") == "a%26b%2bc%23d%20e%2541%2f%3f%22%0a%c3%a9");
  for (const std::string& name : foreign_entries::OddNames()) {
    CAPTURE(name);
    CHECK(PercentDecode(PercentEncode(name)) == name);
  }
  CHECK(PercentDecode("%4") == std::nullopt);
  CHECK(PercentDecode("%zz") == std::nullopt);
  CHECK(PercentDecode("a+%C3%A9") == "a+\xc3\xa9");
}

}  // namespace
}  // namespace hingespan
