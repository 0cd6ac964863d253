#include "hingespan/operator/table_commands.h"

#include <doctest/doctest.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "tests/operator/fake_table_service.h"
#include "tests/operator/temporary_file.h"

namespace hingespan {
namespace {

// Input stream that calls a function for each line, so that a test can act while a command waits.
class ScriptedInput : public std::streambuf {
 public:
  // Called when a line is read. Returning false ends the input.
  std::function<bool()> on_line = [] { return false; };

 protected:
  int underflow() override {
    if (!on_line()) {
      return traits_type::eof();
    }
    line_ = '\n';
    setg(&line_, &line_, &line_ + 1);
    return traits_type::to_int_type(line_);
  }

 private:
  char line_ = '\n';
};

// The table commands of one operator, with their streams.
class Session {
 public:
  Session(TableService* service, const std::string& name, OutputFormat format)
      : editor_(service, Options(name)),
        input_(&script),
        commands(&editor_, {&input_, &out, &err}, format) {}
  Session(TableService* service, const std::string& name)
      : Session(service, name, OutputFormat::kTable) {}

  ExitCode Set(const std::string& name, std::vector<std::string> assignments) {
    return commands.Set({ModelName(name), std::move(assignments), std::nullopt});
  }
  nlohmann::json Json() const { return nlohmann::json::parse(out.str()); }

  ScriptedInput script;
  std::ostringstream out;
  std::ostringstream err;

 private:
  static TableEditorOptions Options(const std::string& name) {
    TableEditorOptions options;
    options.editor = name;
    options.sleep = [](absl::Duration) {};
    return options;
  }

  TableEditor editor_;
  std::istream input_;

 public:
  TableCommands commands;
};

bool Contains(const std::ostringstream& stream, const std::string& text) {
  return stream.str().find(text) != std::string::npos;
}

// Creates model "a" and its adapter "b".
void CreateModelAndAdapter(FakeTableService* service) {
  Session setup(service, "setup");
  REQUIRE(setup.Set("a", {"memory_mib=100"}) == ExitCode::kOk);
  REQUIRE(setup.Set("b", {"kind=adapter", "base=a", "memory_mib=10"}) == ExitCode::kOk);
}

TEST_CASE("set creates and changes a row; get, list and history show it") {
  FakeTableService service;
  Session anne(&service, "anne", OutputFormat::kJson);
  CHECK(anne.Set("a", {"memory_mib=100", "weights.z1=80"}) == ExitCode::kOk);
  CHECK(anne.Set("a", {"max_replicas=3"}) == ExitCode::kOk);

  Session reader(&service, "reader", OutputFormat::kJson);
  CHECK(reader.commands.Get(ModelName("a")) == ExitCode::kOk);
  CHECK(reader.Json()["max_replicas"] == 3);
  CHECK(reader.Json()["weights"]["z1"] == 80);
  CHECK(reader.Json()["editor"] == "anne");

  Session history(&service, "reader", OutputFormat::kJson);
  CHECK(history.commands.History(ModelName("a"), 1) == ExitCode::kOk);
  REQUIRE(history.Json().size() == 1);
  CHECK(history.Json()[0]["differences"][0]["field"] == "max_replicas");

  Session list(&service, "reader");
  CHECK(list.commands.List("") == ExitCode::kOk);
  CHECK(Contains(list.out, "z1=80"));
  CHECK(list.commands.Get(ModelName("none")) == ExitCode::kFailure);
}

TEST_CASE("set reports all findings together and writes nothing") {
  FakeTableService service;
  Session anne(&service, "anne");
  CHECK(anne.Set("a", {"max_replicas=x", "min_replicas=5", "colour=red", "loose", "kind=adapter",
                       "base=none"}) == ExitCode::kUsage);
  for (const char* key : {"a.max_replicas", "a.min_replicas", "a.colour", "loose", "a.memory_mib",
                          "there is no row \"none\""}) {
    CAPTURE(key);
    CHECK(Contains(anne.err, key));
  }
  CHECK(service.commits == 0);
}

TEST_CASE("set without a change writes nothing") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  const int commits = service.commits;
  Session anne(&service, "anne");
  CHECK(anne.Set("a", {"memory_mib=100"}) == ExitCode::kOk);
  CHECK(service.commits == commits);
}

TEST_CASE("a conflict shows the seen, present and wanted values and the other editor") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  Session bela(&service, "bela");
  service.before_next_commit = [&] { bela.Set("a", {"max_replicas=7"}); };
  Session anne(&service, "anne", OutputFormat::kJson);
  CHECK(anne.Set("a", {"max_replicas=2"}) == ExitCode::kConflict);
  const nlohmann::json row = anne.Json()["rows"][0];
  CHECK(row["status"] == "conflict");
  CHECK(row["now"]["editor"] == "bela");
  CHECK(row["wanted"]["max_replicas"] == 2);
  CHECK(row["fields"] ==
        nlohmann::json::parse(R"([{"field":"max_replicas","seen":"1","now":"7","wanted":"2"}])"));
}

TEST_CASE("--if-revision conflicts unless it is the row's present revision") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  Session anne(&service, "anne");
  CHECK(anne.commands.Set({ModelName("a"), {"max_replicas=2"}, TableRevision(9)}) ==
        ExitCode::kConflict);
  CHECK(anne.commands.Set({ModelName("a"), {"max_replicas=2"}, TableRevision(1)}) == ExitCode::kOk);
  CHECK(anne.commands.Delete({ModelName("b"), TableRevision(1)}) == ExitCode::kConflict);

  Session late(&service, "late", OutputFormat::kJson);
  CHECK(late.commands.Set({ModelName("a"), {"max_replicas=5"}, TableRevision(1)}) ==
        ExitCode::kConflict);
  CHECK(late.Json()["rows"][0]["fields"][0]["seen"] == "1");
  CHECK(late.Json()["rows"][0]["fields"][0]["now"] == "2");
}

TEST_CASE("a row that others are based on can be neither deleted nor turned into an adapter") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  Session anne(&service, "anne");
  CHECK(anne.commands.Delete({ModelName("a"), std::nullopt}) == ExitCode::kUsage);
  CHECK(anne.Set("a", {"kind=adapter", "base=b"}) == ExitCode::kUsage);
  CHECK(anne.commands.Delete({ModelName("b"), std::nullopt}) == ExitCode::kOk);
  CHECK(anne.commands.Delete({ModelName("a"), std::nullopt}) == ExitCode::kOk);
}

TEST_CASE("a platform that can't be reached is reported as unreachable, not as another failure") {
  FakeTableService service;
  Session anne(&service, "anne");
  service.faults.assign(10, CommitFault::kUnavailable);
  CHECK(anne.Set("a", {"memory_mib=1"}) == ExitCode::kUnreachable);
  CHECK(Contains(anne.out, "not written"));
  service.faults.assign(10, CommitFault::kTimeoutWithoutEffect);
  CHECK(anne.Set("a", {"memory_mib=1"}) == ExitCode::kUnreachable);
  CHECK(Contains(anne.out, "may have been written"));
}

TEST_CASE("import writes bases first and only what differs") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  const int commits = service.commits;
  const TemporaryFile sheet(".toml", R"(
[aa-adapter]
kind = "adapter"
base = "new"
memory_mib = 5
[new]
memory_mib = 200
[a]
memory_mib = 100
)");
  Session anne(&service, "anne");
  CHECK(anne.commands.Import({sheet.path(), "", false, true}) == ExitCode::kOk);
  CHECK(service.commits == commits);
  CHECK(anne.commands.Import({sheet.path(), "", false, false}) == ExitCode::kOk);
  CHECK(service.commits == commits + 2);
  CHECK(service.Read("rows/new", {})->revision < service.Read("rows/aa-adapter", {})->revision);
}

TEST_CASE("import reports findings of syntax, values and other rows with their places") {
  FakeTableService service;
  const TemporaryFile sheet(".csv", "name,kind,base,memory_mib\nx,adapter,none,5\ny,model,,none\n");
  Session anne(&service, "anne");
  CHECK(anne.commands.Import({sheet.path(), "", false, false}) == ExitCode::kUsage);
  CHECK(Contains(anne.err, absl::StrCat(sheet.path(), ":2:1: x.base")));
  CHECK(Contains(anne.err, absl::StrCat(sheet.path(), ":3:10: y.memory_mib")));
  CHECK(service.commits == 0);
  CHECK(anne.commands.Import({"absent.toml", "", false, false}) == ExitCode::kUsage);
}

TEST_CASE("import with a base keeps concurrent changes of other rows") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  Session exporter(&service, "anne");
  REQUIRE(exporter.commands.Export(SheetFormat::kCsv, true) == ExitCode::kOk);
  const std::string before = exporter.out.str();
  const TemporaryFile base(".csv", before);
  const TemporaryFile edited(".csv", absl::StrReplaceAll(before, {{",10,1,", ",10,4,"}}));
  Session bela(&service, "bela");
  REQUIRE(bela.Set("a", {"max_replicas=9"}) == ExitCode::kOk);

  Session anne(&service, "anne");
  CHECK(anne.commands.Import({edited.path(), base.path(), false, false}) == ExitCode::kOk);
  Session reader(&service, "reader", OutputFormat::kJson);
  REQUIRE(reader.commands.List("") == ExitCode::kOk);
  CHECK(reader.Json()[0]["max_replicas"] == 9);
  CHECK(reader.Json()[1]["max_replicas"] == 4);

  // The same import again conflicts, because the row has a later revision than the base.
  CHECK(anne.commands.Import({edited.path(), base.path(), false, false}) == ExitCode::kConflict);
}

TEST_CASE("rows missing from an edited sheet are deleted only with --allow-delete") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  Session exporter(&service, "anne");
  REQUIRE(exporter.commands.Export(SheetFormat::kToml, true) == ExitCode::kOk);
  const TemporaryFile base(".toml", exporter.out.str());
  const TemporaryFile edited(".toml", "");
  Session anne(&service, "anne");
  CHECK(anne.commands.Import({edited.path(), base.path(), false, false}) == ExitCode::kUsage);
  CHECK(Contains(anne.err, "--allow-delete"));
  CHECK(anne.commands.Import({edited.path(), base.path(), true, false}) == ExitCode::kOk);
  Session reader(&service, "reader", OutputFormat::kJson);
  REQUIRE(reader.commands.List("") == ExitCode::kOk);
  CHECK(reader.Json().empty());
}

TEST_CASE(
    "edit waits, reads the sheet again after findings, and reports the conflicts of all rows") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  Session bela(&service, "bela");
  const TemporaryFile sheet(".toml");
  Session anne(&service, "anne");
  int lines = 0;
  anne.script.on_line = [&] {
    const std::string text = sheet.Read();
    if (++lines == 1) {
      sheet.Write(absl::StrReplaceAll(text, {{"memory_mib = 100", "memory_mib = 0"}}));
      return true;
    }
    sheet.Write(absl::StrReplaceAll(text, {{"memory_mib = 0", "memory_mib = 300"},
                                           {"memory_mib = 10\n", "memory_mib = 30\n"}}));
    bela.Set("a", {"max_queue=1"});
    return true;
  };
  CHECK(anne.commands.Edit({SheetFormat::kToml, sheet.path(), false}) == ExitCode::kConflict);
  CHECK(lines == 2);
  CHECK(Contains(anne.err, "a.memory_mib"));
  CHECK(Contains(anne.out, "a: conflict"));
  CHECK(Contains(anne.out, "by bela"));
  CHECK(Contains(anne.out, "b: applied"));
}

TEST_CASE("edit changes nothing if the operator ends the input") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  const int commits = service.commits;
  const TemporaryFile sheet(".csv");
  Session anne(&service, "anne");
  CHECK(anne.commands.Edit({SheetFormat::kCsv, sheet.path(), false}) == ExitCode::kUsage);
  CHECK(service.commits == commits);
}

TEST_CASE("diff shows rows added, changed and absent") {
  FakeTableService service;
  CreateModelAndAdapter(&service);
  const TemporaryFile sheet(".toml", "[a]\nmemory_mib = 1\n[c]\nmemory_mib = 2\n");
  Session anne(&service, "anne", OutputFormat::kJson);
  CHECK(anne.commands.Diff(sheet.path()) == ExitCode::kOk);
  const nlohmann::json rows = anne.Json();
  REQUIRE(rows.size() == 3);
  CHECK(rows[0]["in_sheet"] == "changed");
  CHECK(rows[1]["in_sheet"] == "added");
  CHECK(rows[2]["in_sheet"] == "absent");
}

}  // namespace
}  // namespace hingespan
