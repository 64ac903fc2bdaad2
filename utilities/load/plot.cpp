#include "utilities/load/plot.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace samphirebridge::load
{

namespace
{

// Lengths in pixels.
constexpr double Width = 640;
constexpr double Height = 400;
constexpr double MarginLeft = 70;
constexpr double MarginRight = 200;
constexpr double MarginTop = 40;
constexpr double MarginBottom = 40;
constexpr double LegendStep = 18;
constexpr double SmallestMilliseconds = 0.001;
constexpr std::array Colours{"#1b6ca8", "#c23b22", "#3a7d44", "#8e44ad", "#b9770e", "#2c3e50"};

double quantileX(size_t quantile)
{
    const double step
        = (Width - MarginLeft - MarginRight) / static_cast<double>(Quantiles.size() - 1);
    return MarginLeft + step * static_cast<double>(quantile);
}

// The logarithmic vertical axis, between two powers of ten in milliseconds.
struct Axis {
    int lowest = 0;
    int highest = 1;

    [[nodiscard]] double yOf(double milliseconds) const
    {
        const double exponent = std::log10(std::max(milliseconds, SmallestMilliseconds));
        const double share = (exponent - this->lowest) / (this->highest - this->lowest);
        return Height - MarginBottom - share * (Height - MarginTop - MarginBottom);
    }
};

Axis axisOf(const std::vector<Row> &rows)
{
    double smallest = 1e9;
    double largest = SmallestMilliseconds;
    for (const Row &row : rows) {
        for (const double value : row.quantiles) {
            smallest = std::min(smallest, std::max(value, SmallestMilliseconds));
            largest = std::max(largest, value);
        }
    }
    Axis axis;
    axis.lowest = static_cast<int>(std::floor(std::log10(smallest)));
    axis.highest = std::max(axis.lowest + 1, static_cast<int>(std::ceil(std::log10(largest))));
    return axis;
}

std::string renderGrid(const Axis &axis)
{
    std::string svg;
    for (int exponent = axis.lowest; exponent <= axis.highest; ++exponent) {
        const double value = std::pow(10.0, exponent);
        svg += fmt::format("<line x1='{0}' y1='{1:.1f}' x2='{2}' y2='{1:.1f}' stroke='#ddd'/>"
                           "<text x='{3}' y='{1:.1f}' text-anchor='end'>{4:g} ms</text>\n",
                           MarginLeft,
                           axis.yOf(value),
                           Width - MarginRight,
                           MarginLeft - 6,
                           value);
    }
    for (size_t i = 0; i < Quantiles.size(); ++i) {
        svg += fmt::format("<text x='{:.1f}' y='{}' text-anchor='middle'>p{:g}</text>\n",
                           quantileX(i),
                           Height - MarginBottom + 20,
                           Quantiles[i] * 100);
    }
    return svg;
}

// Replaces the characters that are special in SVG by underscores.
std::string withoutMarkup(std::string_view text)
{
    std::string safe;
    for (const char character : text) {
        const bool isMarkup
            = character == '<' || character == '>' || character == '&' || character == '\'';
        safe += isMarkup ? '_' : character;
    }
    return safe;
}

std::string renderLine(const Row &row, const Axis &axis, size_t number)
{
    const char *colour = Colours[number % Colours.size()];
    std::string points;
    for (size_t i = 0; i < row.quantiles.size(); ++i) {
        points += fmt::format("{:.1f},{:.1f} ", quantileX(i), axis.yOf(row.quantiles[i]));
    }
    return fmt::format("<polyline points='{}' fill='none' stroke='{}' stroke-width='2'/>"
                       "<text x='{}' y='{}' fill='{}'>{}</text>\n",
                       points,
                       colour,
                       Width - MarginRight + 10,
                       MarginTop + LegendStep * static_cast<double>(number + 1),
                       colour,
                       withoutMarkup(row.endpoint + " / " + row.mix));
}

} // namespace

std::string renderPlot(const std::vector<Row> &rows, std::string_view metric)
{
    std::vector<Row> metricRows;
    std::copy_if(rows.begin(),
                 rows.end(),
                 std::back_inserter(metricRows),
                 [metric](const Row &row) { return row.metric == metric; });
    std::string svg
        = fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{0}' height='{1}' "
                      "font-family='sans-serif' font-size='12'>\n"
                      "<rect width='{0}' height='{1}' fill='white'/>\n"
                      "<text x='{2}' y='20' font-size='14'>{3}</text>\n",
                      Width,
                      Height,
                      MarginLeft,
                      withoutMarkup(metric));
    if (!metricRows.empty()) {
        const Axis axis = axisOf(metricRows);
        svg += renderGrid(axis);
        for (size_t i = 0; i < metricRows.size(); ++i) {
            svg += renderLine(metricRows[i], axis, i);
        }
    }
    return svg + "</svg>\n";
}

} // namespace samphirebridge::load
