#include "load/report.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "load/child_process.h"
#include "load/residency.h"

namespace hingespan::load {
namespace {

constexpr absl::Duration kGnuplotTimeout = absl::Seconds(60);
constexpr double kMibPerGib = 1024;

// Colours that are distinguishable with colour blindness.
constexpr const char* kColours[] = {"#0072b2", "#d55e00"};

std::string Quote(const std::string& text) {
  std::string quoted = "'";
  for (const char character : text) {
    quoted += character == '\'' ? std::string("''") : std::string(1, character);
  }
  return quoted + "'";
}

std::string LabelOf(const RunRecord& record, std::size_t index) {
  std::string label = record.header.scenario;
  if (!record.header.label.empty()) {
    absl::StrAppend(&label, ", ", record.header.label);
  }
  return label.empty() ? absl::StrCat("run ", index + 1) : label;
}

std::string Colour(std::size_t index) { return kColours[index % 2]; }

// Draws `body` as SVG and as PNG.
std::string BothFormats(const std::string& directory, const std::string& name,
                        const std::string& data, const std::string& body) {
  const std::string stem = absl::StrCat(directory, "/", name);
  return absl::StrCat(
      data, "set encoding utf8\n",
      "set terminal svg noenhanced size 1100,650 font 'Sans,15' background '#ffffff'\n",
      "set output ", Quote(stem + ".svg"), "\n", body, "unset output\nreset\n",
      "set terminal pngcairo noenhanced size 1100,650 font 'Sans,12'\n", "set output ",
      Quote(stem + ".png"), "\n", body, "unset output\n");
}

std::vector<double> ColdFirstTokenSeconds(const RunRecord& record) {
  std::vector<double> seconds;
  for (const RequestRecord& request : record.requests) {
    if (request.outcome == CallerOutcome::kAnswered && request.cold) {
      seconds.push_back(absl::ToDoubleSeconds(request.first_token));
    }
  }
  std::sort(seconds.begin(), seconds.end());
  return seconds;
}

std::string ColdStartScript(const std::vector<RunRecord>& records, const std::string& directory) {
  std::string data;
  std::string plots;
  for (std::size_t index = 0; index < records.size(); ++index) {
    const std::vector<double> seconds = ColdFirstTokenSeconds(records[index]);
    absl::StrAppend(&data, "$cold", index, " << EOD\n0 0\n");
    for (std::size_t rank = 0; rank < seconds.size(); ++rank) {
      absl::StrAppendFormat(
          &data, "%.4f %.4f\n", seconds[rank],
          100.0 * static_cast<double>(rank + 1) / static_cast<double>(seconds.size()));
    }
    absl::StrAppend(&data, "EOD\n");
    absl::StrAppend(&plots, index == 0 ? "plot " : ", ", "$cold", index,
                    " using 1:2 with steps linewidth 2.5 linecolor '", Colour(index), "' title ",
                    Quote(absl::StrCat(LabelOf(records[index], index), " (", seconds.size(),
                                       " cold answers)")));
  }
  const std::string body = absl::StrCat(
      "set title 'Cold starts: wait for the first token'\n"
      "set xlabel 'seconds from the planned arrival'\n"
      "set ylabel '% of cold answers'\n"
      "set xrange [0:*]\nset yrange [0:102]\nset ytics 10\nset grid\nset key bottom right\n",
      plots, "\n");
  return BothFormats(directory, "cold_starts", data, body);
}

std::string ResidencyData(const RunRecord& record, std::size_t index) {
  std::string data = absl::StrCat("$residency", index, " << EOD\n");
  const double end = absl::ToDoubleSeconds(record.header.duration);
  ResidencySample last;
  for (const ResidencySample& sample : ResidencyOverTime(record.end.residency)) {
    const double at = std::max(absl::ToDoubleSeconds(sample.at), 0.0);
    if (at > end) {
      break;
    }
    last = sample;
    absl::StrAppendFormat(&data, "%.3f %d %.3f\n", at, sample.replicas,
                          static_cast<double>(sample.memory_used_mib) / kMibPerGib);
  }
  absl::StrAppendFormat(&data, "%.3f %d %.3f\nEOD\n", end, last.replicas,
                        static_cast<double>(last.memory_used_mib) / kMibPerGib);
  return data;
}

// One panel that plots a column of every record's residency data.
std::string ResidencyPanel(const std::vector<RunRecord>& records, int column,
                           const std::string& title, const std::string& label) {
  std::string panel = absl::StrCat("set title ", Quote(title), "\nset ylabel ", Quote(label), "\n");
  for (std::size_t index = 0; index < records.size(); ++index) {
    absl::StrAppend(&panel, index == 0 ? "plot " : ", ", "$residency", index, " using 1:", column,
                    " with steps linewidth 2 linecolor '", Colour(index), "' title ",
                    Quote(LabelOf(records[index], index)));
  }
  return panel + "\n";
}

std::string ResidencyScript(const std::vector<RunRecord>& records, const std::string& directory) {
  std::string data;
  for (std::size_t index = 0; index < records.size(); ++index) {
    absl::StrAppend(&data, ResidencyData(records[index], index));
  }
  const std::string body = absl::StrCat(
      "set multiplot layout 2,1\nset grid\nset xrange [0:*]\nset yrange [0:*]\n"
      "set lmargin 9\nset rmargin 3\nset key above horizontal\n",
      ResidencyPanel(records, 2, "Replicas held (loading, ready or draining)", "replicas"),
      "set xlabel 'seconds of the run'\nunset key\n",
      ResidencyPanel(records, 3, "Accelerator memory held", "GiB"), "unset multiplot\n");
  return BothFormats(directory, "residency", data, body);
}

std::map<std::string, int> CountCodes(const RunRecord& record) {
  std::map<std::string, int> counts;
  for (const RequestRecord& request : record.requests) {
    if (request.outcome == CallerOutcome::kAnswered) {
      continue;
    }
    ++counts[absl::StrCat(std::string(CallerOutcomeName(request.outcome)), ": ", request.code)];
  }
  return counts;
}

std::string RefusalScript(const std::vector<RunRecord>& records, const std::string& directory) {
  std::vector<std::map<std::string, int>> counts;
  std::set<std::string> codes;
  for (const RunRecord& record : records) {
    counts.push_back(CountCodes(record));
    for (const auto& [code, count] : counts.back()) {
      codes.insert(code);
    }
  }
  if (codes.empty()) {
    codes.insert("none");
  }
  std::string data = "$refusals << EOD\n";
  for (const std::string& code : codes) {
    absl::StrAppend(&data, "\"", code, "\"");
    for (std::map<std::string, int>& of_record : counts) {
      absl::StrAppend(&data, " ", of_record[code]);
    }
    absl::StrAppend(&data, "\n");
  }
  absl::StrAppend(&data, "EOD\n");
  std::string body =
      "set title 'Requests without an answer'\nset ylabel 'requests'\n"
      "set style data histogram\nset style histogram clustered gap 1\n"
      "set style fill solid 0.85 border -1\nset boxwidth 0.9\nset yrange [0:*]\n"
      "set offsets 0,0,graph 0.1,0\nset grid ytics\nset xtics rotate by -20 noenhanced\n"
      "set rmargin 12\nset key top right\n";
  for (std::size_t index = 0; index < records.size(); ++index) {
    absl::StrAppend(&body, index == 0 ? "plot " : ", ", "$refusals using ", index + 2,
                    ":xtic(1) linecolor '", Colour(index), "' title ",
                    Quote(LabelOf(records[index], index)));
  }
  return BothFormats(directory, "refusals", data, body + "\n");
}

std::string FindInPath(const std::string& program) {
  const char* path = std::getenv("PATH");
  for (const absl::string_view directory : absl::StrSplit(path == nullptr ? "" : path, ':')) {
    std::string candidate = absl::StrCat(directory, "/", program);
    if (access(candidate.c_str(), X_OK) == 0) {
      return candidate;
    }
  }
  return "";
}

std::error_code RunGnuplot(const std::string& gnuplot, const std::string& script) {
  const Result<std::unique_ptr<ChildProcess>> child = ChildProcess::Start({gnuplot, script});
  if (!child) {
    return child.error();
  }
  const Result<ExitStatus> exit = (*child)->WaitForExit(kGnuplotTimeout);
  if (!exit) {
    return exit.error();
  }
  return exit->clean() ? std::error_code() : make_error_code(Error::kInternal);
}

}  // namespace

std::vector<PlotScript> MakePlots(const std::vector<RunRecord>& records,
                                  const std::string& directory) {
  return {PlotScript{"cold_starts", ColdStartScript(records, directory)},
          PlotScript{"residency", ResidencyScript(records, directory)},
          PlotScript{"refusals", RefusalScript(records, directory)}};
}

std::error_code DrawReport(const std::vector<RunRecord>& records, const std::string& directory) {
  const std::string gnuplot = FindInPath("gnuplot");
  if (gnuplot.empty()) {
    return Error::kNotFound;
  }
  std::error_code error;
  std::filesystem::create_directories(directory, error);
  if (error) {
    return error;
  }
  for (const PlotScript& plot : MakePlots(records, directory)) {
    const std::string file = absl::StrCat(directory, "/", plot.name, ".gnuplot");
    std::ofstream(file) << plot.text;
    error = RunGnuplot(gnuplot, file);
    if (error) {
      return error;
    }
  }
  return {};
}

}  // namespace hingespan::load
