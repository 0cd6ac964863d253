// Plots of one run, or of two runs side by side, drawn by gnuplot.
#ifndef HINGESPAN_LOAD_REPORT_H_
#define HINGESPAN_LOAD_REPORT_H_

#include <string>
#include <system_error>
#include <vector>

#include "load/load_record.h"

namespace hingespan::load {

// A gnuplot script that draws `<name>.svg` and `<name>.png` into the report's directory.
struct PlotScript {
  std::string name;
  std::string text;
};

// Plots the distribution of cold starts, the residency (replicas and memory over time) and the
// refusals by code. `records` holds one or two runs; the images are written to `directory`.
std::vector<PlotScript> MakePlots(const std::vector<RunRecord>& records,
                                  const std::string& directory);

// Writes the scripts into `directory`, which is created if absent, and runs gnuplot on each.
// Returns kNotFound if gnuplot is not in PATH.
std::error_code DrawReport(const std::vector<RunRecord>& records, const std::string& directory);

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_REPORT_H_
