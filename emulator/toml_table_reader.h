// Reads typed keys from one TOML table and collects findings about invalid and unknown ones.
#ifndef HINGESPAN_EMULATOR_TOML_TABLE_READER_H_
#define HINGESPAN_EMULATOR_TOML_TABLE_READER_H_

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/finding.h"

namespace hingespan::emulator {

// Not thread-safe. An absent key leaves the output unchanged.
class TomlTableReader {
 public:
  // `prefix` is the table's full key, empty for the root. If `table` is null, all keys are absent.
  TomlTableReader(const toml::table* table, std::string prefix, std::string file,
                  Findings* findings);

  void ReadNumber(const std::string& key, double minimum, double maximum, double* output);
  template <typename Integer>
  void ReadInteger(const std::string& key, std::int64_t minimum, std::int64_t maximum,
                   Integer* output) {
    std::int64_t value = 0;
    if (FindInteger(key, minimum, maximum, &value)) {
      *output = static_cast<Integer>(value);
    }
  }
  // Reads a number of milliseconds, which may have a fraction.
  void ReadMilliseconds(const std::string& key, double maximum, absl::Duration* output);
  void ReadBool(const std::string& key, bool* output);
  // Reads a string that must not be empty.
  void ReadText(const std::string& key, std::string* output);
  std::string ReadRequiredText(const std::string& key);
  // Returns null if the table is absent.
  const toml::table* ReadTable(const std::string& key);
  // Returns the tables of an array.
  std::vector<const toml::table*> ReadTables(const std::string& key);

  // Reports keys that were never read. Must be called last.
  void ReportUnknownKeys();
  void Report(const std::string& key, std::string problem, std::string allowed);

 private:
  const toml::node* Find(const std::string& key);
  bool FindInteger(const std::string& key, std::int64_t minimum, std::int64_t maximum,
                   std::int64_t* value);
  std::string FullKey(const std::string& key) const;
  Place PlaceOf(const std::string& key) const;

  const toml::table* table_;
  std::string prefix_;
  std::string file_;
  Findings* findings_;
  std::set<std::string> known_keys_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_TOML_TABLE_READER_H_
