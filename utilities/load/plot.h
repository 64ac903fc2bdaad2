// A plot of quantiles.
#pragma once

#include "utilities/load/results.h"

#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::load
{

// Renders the rows of one metric as an SVG: a line for each endpoint and mix over the quantiles,
// milliseconds on a logarithmic axis.
std::string renderPlot(const std::vector<Row> &rows, std::string_view metric);

} // namespace samphirebridge::load
