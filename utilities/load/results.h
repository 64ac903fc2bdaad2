// Aggregates the samples of an experiment into quantiles and counts.
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

// The reported quantiles. prometheus-cpp estimates them with CKMS streams, whose error in rank is
// at most 1 % (0.1 % for the last two).
inline constexpr std::array Quantiles{0.5, 0.9, 0.99, 0.999};

// The statistics of one metric for one endpoint and mix.
struct Row {
    std::string endpoint;
    std::string mix;
    std::string metric; // `first`, `gap`, `total` or `lag`; see Sample.
    uint64_t count = 0;
    double mean = 0; // In milliseconds, as are the members below.
    std::array<double, Quantiles.size()> quantiles{};
    double maximum = 0;
};

// The number of requests that ended with a code; see Sample::code.
struct CodeRow {
    std::string endpoint;
    std::string mix;
    std::string code;
    uint64_t count = 0;
};

// Collects samples. Thread-safe. Requests are counted by their code. Failed requests are left out
// of `first`, `gap` and `total`, since fast refusals would improve these figures.
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

    struct SeriesKey {
        std::string endpoint;
        std::string mix;
        std::string metric;

        friend auto operator<=>(const SeriesKey &, const SeriesKey &) = default;
    };

    void observe(const SeriesKey &key, Clock::duration duration);

    mutable std::mutex mutex;
    std::map<SeriesKey, Series> series;
    std::map<SeriesKey, uint64_t> counts; // `metric` holds the code.
};

// Render the rows as CSV with a header line.
std::string renderCsv(const std::vector<Row> &rows);
std::string renderCsv(const std::vector<CodeRow> &rows);

} // namespace samphirebridge::load
