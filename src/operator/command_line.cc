#include "hingespan/operator/command_line.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "hingespan/backing/http_table_service.h"
#include "hingespan/operator/completion.h"
#include "hingespan/operator/node_commands.h"
#include "hingespan/operator/request_explanation.h"
#include "hingespan/operator/settings_command.h"
#include "hingespan/operator/table_commands.h"
#include "hingespan/settings/toml_document.h"

namespace hingespan {
namespace {

constexpr char kDescription[] =
    "Operators' command of hingespan: edits the table, asks nodes, checks settings.";

constexpr char kFooter[] = R"(Examples:
  hingespan --platform 10.0.0.1:8080 table list
  hingespan table set rules max_replicas=4 weights.z1=80 weights.z2=20
  hingespan table export --sheet csv > table.csv
  hingespan table import table.csv
  hingespan --node 10.0.1.1:8443 --tls-ca ca.pem explain rules

Environment: HINGESPAN_PLATFORM, HINGESPAN_NODE, HINGESPAN_OPERATOR_KEY_FILE and HINGESPAN_TLS_CA
stand for the flags of these names; USER for --editor.

Exit codes:
  0  done
  1  the platform or the node refused, or failed
  2  wrong arguments, or findings in a file or in values
  3  conflict: another operator's edit came first; the row as it is now is printed
  4  the platform or the node can't be reached, or did not answer in time)";

constexpr char kSetFooter[] =
    R"(Everything that is wrong is reported together, and then nothing is written. Examples:
  hingespan table set rules memory_mib=20480 max_replicas=2      (creates the row, or changes it)
  hingespan table set rules weights.z1=50 weights.z2=50          (weights of two zones)
  hingespan table set rules "weights="                           (all zones alike)
  hingespan table set rules max_replicas=0 --if-revision 17      (only if nobody changed it since)
  hingespan table set rules-fr kind=adapter base=rules memory_mib=512

Fields:
)";

constexpr char kImportFooter[] =
    R"(Only rows that differ are written, each by compare-and-set. With --base, only rows that differ
from the base sheet are written, so that edits which others made meanwhile to other rows stay; rows
that are in the base and gone from FILE are deleted with --allow-delete. Example:
  hingespan table export --revisions > before.toml
  cp before.toml after.toml; edit after.toml
  hingespan table import after.toml --base before.toml)";

constexpr char kEditFooter[] =
    R"(Writes the table to a file as a sheet and waits until you have edited it with a program of your
own. Only rows that you changed are written. Conflicts are reported together, row by row, and the
sheet is kept. scripts/table-edit does the same and opens $VISUAL or $EDITOR.)";

// Values of the flags and arguments of all commands.
struct Flags {
  std::string platform;
  std::string node;
  std::string operator_key_file;
  std::string tls_ca_file;
  std::string editor;
  int timeout_ms = 5000;
  int attempts = 5;
  OutputFormat output = OutputFormat::kTable;

  std::string name;
  std::vector<std::string> logs;
  std::vector<std::string> assignments;
  std::optional<std::uint64_t> if_revision;
  std::string prefix;
  SheetFormat sheet = SheetFormat::kToml;
  bool with_revisions = false;
  std::string file;
  std::string base_file;
  bool allow_delete = false;
  bool dry_run = false;
  bool describe = false;
  int limit = 20;
  DrainTarget drain_target = DrainTarget::kWorker;
  std::vector<std::string> settings;
};

std::optional<TableRevision> ToRevision(const std::optional<std::uint64_t>& number) {
  return number.has_value() ? std::optional(TableRevision(*number)) : std::nullopt;
}

std::string FieldHelp() {
  std::string text = kSetFooter;
  for (const std::string& field : RowFieldNames()) {
    absl::StrAppend(&text, "  ", field, ": ", std::string(RowFieldMeaning(field)), " (",
                    RowFieldType(field), ")\n");
  }
  return text;
}

class CommandLine {
 public:
  explicit CommandLine(const Terminal& terminal)
      : terminal_(terminal), app_(kDescription, "hingespan") {
    app_.footer(kFooter);
    app_.require_subcommand(1);
    app_.fallthrough();
    AddCommonFlags();
    AddTableCommands();
    AddNodeCommands();
    AddOtherCommands();
  }

  int Run(int argc, const char* const* argv) {
    try {
      app_.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      const int code = app_.exit(error, *terminal_.out, *terminal_.err);
      return static_cast<int>(code == 0 ? ExitCode::kOk : ExitCode::kUsage);
    }
    return static_cast<int>(selected_());
  }

 private:
  using TableAction = std::function<ExitCode(TableCommands*)>;
  using NodeAction = std::function<ExitCode(NodeCommands*)>;

  void AddCommonFlags() {
    const std::map<std::string, OutputFormat> formats = {{"table", OutputFormat::kTable},
                                                         {"json", OutputFormat::kJson}};
    app_.add_option("--platform", flags_.platform, "Address of the platform, ip:port")
        ->envname("HINGESPAN_PLATFORM");
    app_.add_option("--node", flags_.node, "Address of a node's HTTP server, ip:port")
        ->envname("HINGESPAN_NODE");
    app_.add_option("--operator-key-file", flags_.operator_key_file,
                    "File with the key that nodes ask operators for")
        ->envname("HINGESPAN_OPERATOR_KEY_FILE");
    app_.add_option("--tls-ca", flags_.tls_ca_file,
                    "PEM file of the authority that signed the nodes' certificates")
        ->envname("HINGESPAN_TLS_CA");
    app_.add_option("--editor", flags_.editor, "Who edits, kept in the row")->envname("USER");
    app_.add_option("--timeout-ms", flags_.timeout_ms, "Time limit of one call, in milliseconds")
        ->check(CLI::Range(10, 600000))
        ->capture_default_str();
    app_.add_option("--attempts", flags_.attempts, "Calls for one edit or read at most")
        ->check(CLI::Range(1, 20))
        ->capture_default_str();
    app_.add_option("--output", flags_.output, "Form of the output: table or json")
        ->transform(CLI::CheckedTransformer(formats))
        ->option_text("FORMAT");
  }

  // --- Table

  CLI::App* AddTableCommand(CLI::App* table, const std::string& name, const std::string& help,
                            TableAction action) {
    CLI::App* command = table->add_subcommand(name, help);
    command->callback([this, action = std::move(action)] {
      selected_ = [this, action] { return RunTable(action); };
    });
    return command;
  }

  void AddName(CLI::App* command) {
    command->add_option("NAME", flags_.name, "Name of the row")->required();
  }

  void AddIfRevision(CLI::App* command) {
    command->add_option("--if-revision", flags_.if_revision,
                        "Write only if the row is at this revision (0: absent)");
  }

  void AddSheetFormat(CLI::App* command) {
    const std::map<std::string, SheetFormat> formats = {{"toml", SheetFormat::kToml},
                                                        {"csv", SheetFormat::kCsv}};
    command->add_option("--sheet", flags_.sheet, "Form of the sheet: toml or csv")
        ->transform(CLI::CheckedTransformer(formats))
        ->option_text("FORMAT");
  }

  void AddAllowDelete(CLI::App* command) {
    command->add_flag("--allow-delete", flags_.allow_delete,
                      "Delete rows that are gone from the sheet");
  }

  void AddTableCommands() {
    CLI::App* table = app_.add_subcommand("table", "Read and edit the table (needs --platform)");
    table->require_subcommand(1);
    table->fallthrough();
    AddReadingCommands(table);
    AddWritingCommands(table);
    AddSheetCommands(table);
  }

  void AddReadingCommands(CLI::App* table) {
    CLI::App* list = AddTableCommand(table, "list", "All rows", [this](TableCommands* commands) {
      return commands->List(flags_.prefix);
    });
    list->add_option("PREFIX", flags_.prefix, "Only rows whose name starts like this");
    AddName(AddTableCommand(table, "get", "One row", [this](TableCommands* commands) {
      return commands->Get(ModelName(flags_.name));
    }));
    CLI::App* history = AddTableCommand(
        table, "history", "Earlier values of a row, who wrote them, and what changed",
        [this](TableCommands* commands) {
          return commands->History(ModelName(flags_.name), flags_.limit);
        });
    AddName(history);
    history->add_option("--limit", flags_.limit, "Values at most")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
  }

  void AddWritingCommands(CLI::App* table) {
    CLI::App* set = AddTableCommand(
        table, "set", "Create a row, or change fields of it", [this](TableCommands* commands) {
          return commands->Set(
              {ModelName(flags_.name), flags_.assignments, ToRevision(flags_.if_revision)});
        });
    AddName(set);
    set->add_option("ASSIGNMENTS", flags_.assignments, "FIELD=VALUE, any number of them")
        ->required();
    AddIfRevision(set);
    set->footer(FieldHelp());
    CLI::App* remove =
        AddTableCommand(table, "delete", "Delete a row", [this](TableCommands* commands) {
          return commands->Delete({ModelName(flags_.name), ToRevision(flags_.if_revision)});
        });
    AddName(remove);
    AddIfRevision(remove);
  }

  void AddSheetCommands(CLI::App* table) {
    CLI::App* edit = AddTableCommand(
        table, "edit", "Edit the table as a sheet", [this](TableCommands* commands) {
          return commands->Edit({flags_.sheet, flags_.file, flags_.allow_delete});
        });
    AddSheetFormat(edit);
    AddAllowDelete(edit);
    edit->add_option("--file", flags_.file,
                     "Where to write the sheet; a new temporary file if not");
    edit->footer(kEditFooter);

    CLI::App* import =
        AddTableCommand(table, "import", "Write the rows of a sheet (TOML, or CSV by its name)",
                        [this](TableCommands* commands) {
                          return commands->Import(
                              {flags_.file, flags_.base_file, flags_.allow_delete, flags_.dry_run});
                        });
    import->add_option("FILE", flags_.file, "The sheet")->required();
    import->add_option("--base", flags_.base_file, "The sheet before it was edited");
    AddAllowDelete(import);
    import->add_flag("--dry-run", flags_.dry_run, "Check, print the differences, write nothing");
    import->footer(kImportFooter);

    CLI::App* export_command = AddTableCommand(
        table, "export", "Print the table as a sheet", [this](TableCommands* commands) {
          return commands->Export(flags_.sheet, flags_.with_revisions);
        });
    AddSheetFormat(export_command);
    export_command->add_flag("--revisions", flags_.with_revisions,
                             "With revisions, for import --base");

    CLI::App* diff =
        AddTableCommand(table, "diff", "Differences between the table and a sheet",
                        [this](TableCommands* commands) { return commands->Diff(flags_.file); });
    diff->add_option("FILE", flags_.file, "The sheet")->required();
  }

  ExitCode RunTable(const TableAction& action) {
    if (flags_.platform.empty()) {
      *terminal_.err << "--platform ADDRESS is required (or HINGESPAN_PLATFORM)\n";
      return ExitCode::kUsage;
    }
    HttpTableService service(flags_.platform);
    TableEditorOptions options;
    options.editor = flags_.editor;
    options.call_timeout = absl::Milliseconds(flags_.timeout_ms);
    options.maximum_attempts = flags_.attempts;
    TableEditor editor(&service, std::move(options));
    TableCommands commands(&editor, terminal_, flags_.output);
    return action(&commands);
  }

  // --- Nodes

  CLI::App* AddNodeCommand(const std::string& name, const std::string& help, NodeAction action) {
    CLI::App* command = app_.add_subcommand(name, help);
    command->callback([this, action = std::move(action)] {
      selected_ = [this, action] { return RunNode(action); };
    });
    return command;
  }

  void AddNodeCommands() {
    AddNodeCommand("status", "What a node knows: members, workers, duties (needs --node)",
                   [](NodeCommands* commands) { return commands->Status(); });
    CLI::App* explain = AddNodeCommand(
        "explain", "Why a model is where it is; with --logs, what became of a request and why",
        [this](NodeCommands* commands) { return commands->Explain(flags_.name); });
    explain->add_option("NAME", flags_.name, "Name of the row; with --logs, id of the request")
        ->required();
    explain->add_option("--logs", flags_.logs, "Files of gateways' log lines, of any nodes");
    explain->callback([this] {
      selected_ = [this] {
        if (!flags_.logs.empty()) {
          return ExplainFromLogs();
        }
        return RunNode([this](NodeCommands* commands) { return commands->Explain(flags_.name); });
      };
    });
    explain->footer("Example:\n  hingespan explain 9c41d07be2a35f68 --logs n1.log n2.log");
    CLI::App* drain =
        AddNodeCommand("drain", "Give a worker or a node no new work, before it is stopped",
                       [this](NodeCommands* commands) {
                         return commands->Drain(flags_.drain_target, flags_.name);
                       });
    const std::map<std::string, DrainTarget> targets = {{"worker", DrainTarget::kWorker},
                                                        {"node", DrainTarget::kNode}};
    drain->add_option("KIND", flags_.drain_target, "worker or node")
        ->required()
        ->transform(CLI::CheckedTransformer(targets))
        ->option_text("KIND");
    drain->add_option("NAME", flags_.name, "Name of the worker or node")->required();
    drain->footer("Examples:\n  hingespan drain worker w-3\n  hingespan drain node n-1");
  }

  ExitCode ExplainFromLogs() {
    std::vector<std::string> lines;
    for (const std::string& file : flags_.logs) {
      const Result<std::string> text = ReadTextFile(file);
      if (!text.ok()) {
        *terminal_.err << "can't read " << file << "\n";
        return ExitCode::kUsage;
      }
      std::vector<std::string> file_lines = absl::StrSplit(*text, '\n', absl::SkipEmpty());
      lines.insert(lines.end(), file_lines.begin(), file_lines.end());
    }
    const RequestExplanation explanation = ExplainRequest(lines, flags_.name);
    *terminal_.out << flags_.name << ": " << explanation.cause << "\n";
    for (const std::string& line : explanation.lines) {
      *terminal_.out << "  " << line << "\n";
    }
    return explanation.found ? ExitCode::kOk : ExitCode::kFailure;
  }

  ExitCode RunNode(const NodeAction& action) {
    if (flags_.node.empty()) {
      *terminal_.err << "--node ADDRESS is required (or HINGESPAN_NODE)\n";
      return ExitCode::kUsage;
    }
    JsonHttpClientOptions options;
    options.address = flags_.node;
    options.tls_ca_file = flags_.tls_ca_file;
    if (!flags_.operator_key_file.empty()) {
      const Result<std::string> key = ReadTextFile(flags_.operator_key_file);
      if (!key.ok()) {
        *terminal_.err << "can't read " << flags_.operator_key_file << "\n";
        return ExitCode::kUsage;
      }
      options.bearer_token = std::string(absl::StripAsciiWhitespace(*key));
    }
    JsonHttpClient client(std::move(options));
    NodeCommands commands(&client, absl::Milliseconds(flags_.timeout_ms), terminal_, flags_.output);
    return action(&commands);
  }

  // --- Others

  void AddOtherCommands() {
    AddCheckSettings();
    CLI::App* completion = app_.add_subcommand("completion", "Print a shell's completion script");
    completion->require_subcommand(1);
    CLI::App* bash = completion->add_subcommand("bash", "source <(hingespan completion bash)");
    bash->callback([this] {
      selected_ = [this] {
        *terminal_.out << BashCompletion(app_);
        return ExitCode::kOk;
      };
    });
  }

  void AddCheckSettings() {
    CLI::App* check = app_.add_subcommand("check-settings", "Check a node's settings file");
    check->add_option("FILE", flags_.file, "TOML file; none: flags only");
    check->add_option("--set", flags_.settings, "KEY=VALUE that overrides the file's, repeatable")
        ->take_all()
        ->expected(1);
    check->add_flag("--describe", flags_.describe, "Print every setting as a Markdown table");
    check->footer(
        "Example:\n  hingespan check-settings node.toml --set node.name=n1 --set node.zone=z1");
    check->callback([this] { selected_ = [this] { return CheckSettings(); }; });
  }

  ExitCode CheckSettings() {
    if (flags_.describe) {
      *terminal_.out << SettingsAsMarkdown();
      return ExitCode::kOk;
    }
    return CheckSettingsFile(flags_.file, flags_.settings, terminal_);
  }

  const Terminal terminal_;
  Flags flags_;
  CLI::App app_;
  std::function<ExitCode()> selected_;
};

}  // namespace

int RunOperatorCommand(int argc, const char* const* argv, const Terminal& terminal) {
  return CommandLine(terminal).Run(argc, argv);
}

}  // namespace hingespan
