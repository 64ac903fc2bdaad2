// What an experiment measured, in quantiles.
#pragma once

#include "utilities/load/caller.h"

#include <prometheus/summary.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace samphirebridge::load
{

// The quantiles reported; prometheus-cpp's CKMS streams hold them within 1 % of the rank (0.1 % for
// the last two).
inline constexpr std::array Quantiles{0.5, 0.9, 0.99, 0.999};

// One line of the report.
struct Row {
    std::string endpoint;
    std::string mix;
    std::string metric; // first, gap, total or lag.
    uint64_t count = 0;
    double mean = 0; // Milliseconds, as all that follows.
    std::array<double, Quantiles.size()> quantiles{};
    double maximum = 0;
};

// How many requests ended with a code.
struct CodeRow {
    std::string endpoint;
    std::string mix;
    std::string code;
    uint64_t count = 0;
};

// Collects samples. Usable from many threads. Failed requests count by their code; their times stay
// out of first, gap and total, since a quick refusal would flatter them.
class Results
{
public:
    void add(const std::string &endpoint, const std::string &mix, const Sample &sample);

    [[nodiscard]] std::vector<Row> rows() const;
    [[nodiscard]] std::vector<CodeRow> codes() const;

private:
    struct Series {
        std::unique_ptr<prometheus::Summary> summary;
        double maximum = 0;
    };

    struct Name {
        std::string endpoint;
        std::string mix;
        std::string metric;

        friend auto operator<=>(const Name &, const Name &) = default;
    };

    void observe(const Name &name, Clock::duration duration);

    mutable std::mutex mutex;
    std::map<Name, Series> series;
    std::map<Name, uint64_t> counts; // The metric is the code.
};

// Renders rows and codes as CSV.
std::string renderCsv(const std::vector<Row> &rows);
std::string renderCsv(const std::vector<CodeRow> &rows);

} // namespace samphirebridge::load
