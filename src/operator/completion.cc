#include "hingespan/operator/completion.h"

#include <CLI/CLI.hpp>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace hingespan {
namespace {

// A command path, such as "table set", and the words that may follow it.
struct CompletionEntry {
  std::string path;
  std::string words;
};

std::vector<const CLI::App*> CommandsOf(const CLI::App& app) {
  return app.get_subcommands([](const CLI::App*) { return true; });
}

std::string WordsAfter(const CLI::App& app) {
  std::vector<std::string> words;
  for (const CLI::App* command : CommandsOf(app)) {
    words.push_back(command->get_name());
  }
  for (const CLI::Option* option : app.get_options()) {
    if (option->nonpositional()) {
      words.push_back(absl::StrCat("--", option->get_single_name()));
    }
  }
  return absl::StrJoin(words, " ");
}

void AddEntries(const CLI::App& app, const std::string& path,
                std::vector<CompletionEntry>* entries) {
  entries->push_back({path, WordsAfter(app)});
  for (const CLI::App* command : CommandsOf(app)) {
    const std::string& name = command->get_name();
    AddEntries(*command, path.empty() ? name : absl::StrCat(path, " ", name), entries);
  }
}

// Returns the case pattern of all commands: 'table'|'table list'|...
std::string PathPattern(const std::vector<CompletionEntry>& entries) {
  std::vector<std::string> quoted;
  for (const CompletionEntry& entry : entries) {
    if (!entry.path.empty()) {
      quoted.push_back(absl::StrCat("'", entry.path, "'"));
    }
  }
  return absl::StrJoin(quoted, "|");
}

std::string WordCases(const std::vector<CompletionEntry>& entries) {
  std::string cases;
  for (const CompletionEntry& entry : entries) {
    absl::StrAppend(&cases, "    '", entry.path, "') words='", entry.words, "' ;;\n");
  }
  return cases;
}

}  // namespace

std::string BashCompletion(const CLI::App& app) {
  std::vector<CompletionEntry> entries;
  AddEntries(app, "", &entries);
  return absl::StrCat(
      "# Bash completion of hingespan. Load it with: source <(hingespan completion bash)\n"
      "_hingespan() {\n"
      "  local path='' next word words=''\n"
      "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
      "    next=\"${path:+$path }$word\"\n"
      "    case \"$next\" in\n"
      "      ",
      PathPattern(entries),
      ")\n"
      "        path=\"$next\" ;;\n"
      "    esac\n"
      "  done\n"
      "  case \"$path\" in\n",
      WordCases(entries),
      "  esac\n"
      "  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\")\n"
      "}\n"
      "complete -o default -F _hingespan hingespan\n");
}

}  // namespace hingespan
