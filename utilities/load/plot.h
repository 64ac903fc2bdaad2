// Plots latency quantiles.
#pragma once

#include "utilities/load/results.h"

#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::load
{

// Renders the rows of one metric as an SVG document: quantiles on the horizontal axis, milliseconds
// on a logarithmic vertical axis, and a line for each endpoint and mix.
std::string renderPlot(const std::vector<Row> &rows, std::string_view metric);

} // namespace samphirebridge::load
