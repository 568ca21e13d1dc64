// Output of the measured series: lines, JSON, and a gnuplot script.

#pragma once

#include "Measurements.h"

#include <string>
#include <vector>

namespace peridot::capacity {

/** One key=value line per point and one per fit. */
std::string toLines(const Series&);
std::string toJson(const std::vector<Series>&);
/** Input for gnuplot that writes one SVG file per series into @p directory. */
std::string toGnuplot(const std::vector<Series>&, const std::string& directory);

}
