// Names and values that other writers may leave in a table of the store.
#ifndef TESTS_FOREIGN_ENTRIES_ODD_TEXTS_H_
#define TESTS_FOREIGN_ENTRIES_ODD_TEXTS_H_

#include <string>
#include <vector>

namespace hingespan::foreign_entries {

// Names of rows, all in valid UTF-8 and of at most 200 bytes, as the store takes them.
inline std::vector<std::string> OddNames() {
  return {"a&b",
          "a&part=9",
          "a+b",
          "a#b",
          "a b",
          " a",
          "a ",
          "%",
          "%41",
          "a%00",
          "a%",
          "a?b",
          "a/b",
          "/",
          "..",
          "a=b",
          "a,b",
          "a;b",
          "a\"b",
          "a'b",
          "a\\b",
          "a\nb",
          "a\r\nX-Injected: 1",
          "\t",
          std::string("a\0b", 3),
          "\x01\x1f\x7f",
          "\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80",
          "\xef\xbf\xbf",
          std::string(200, 'a'),
          std::string(200, '%'),
          std::string(200, '\x01')};
}

// Returns `count` lists, one within another.
inline std::string NestedLists(std::size_t count) {
  return std::string(count, '[') + std::string(count, ']');
}

// Returns `count` objects, one within another.
inline std::string NestedObjects(std::size_t count) {
  std::string text;
  for (std::size_t number = 0; number < count; ++number) {
    text += "{\"a\":";
  }
  return text + "1" + std::string(count, '}');
}

// JSON and other texts to be put in place of a member's value.
inline std::vector<std::string> OddMembers() {
  return {"7",
          "-1",
          "1e30",
          "-1e30",
          "1e400",
          "2147483648",
          "9223372036854775808",
          "18446744073709551615",
          "18446744073709551616",
          "0.5",
          "true",
          "null",
          "\"x\"",
          "\"\\ud800\"",
          "\"\xff\xfe\"",
          "[]",
          "[7]",
          "{}",
          "{\"a\":7}",
          "[[[{\"name\":[]}]]]",
          NestedLists(60000),
          NestedObjects(20000)};
}

// Whole values of a row.
inline std::vector<std::string> OddValues() {
  std::vector<std::string> values = OddMembers();
  values.insert(values.end(), {"", "{", "[", "nonsense", std::string("\0\xff\x9f", 3),
                               std::string(60000, '['), std::string(60000, '\x9f'),
                               std::string(60000, '\x81'), std::string(60000, '\x7f')});
  return values;
}

// Returns `object`, a JSON object, once for each odd value of its member `name`.
inline std::vector<std::string> WithOddMember(const std::string& object, const std::string& name) {
  std::vector<std::string> texts;
  for (const std::string& value : OddMembers()) {
    // The parser takes the last one of two members with the same name.
    texts.push_back(object.substr(0, object.size() - 1) + ",\"" + name + "\":" + value + "}");
  }
  return texts;
}

}  // namespace hingespan::foreign_entries

#endif  // TESTS_FOREIGN_ENTRIES_ODD_TEXTS_H_
