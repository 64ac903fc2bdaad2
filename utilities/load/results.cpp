#include "utilities/load/results.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace samphirebridge::load
{

namespace
{

constexpr std::chrono::hours Window{24}; // Longer than any experiment, so that no sample expires.
constexpr int WindowBuckets = 1;

// Each quantile with its permitted error in rank.
prometheus::Summary::Quantiles quantileDefinitions()
{
    return {{0.5, 0.01}, {0.9, 0.01}, {0.99, 0.001}, {0.999, 0.001}};
}

double millisecondsOf(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void Results::add(const std::string &endpoint, const std::string &mix, const Sample &sample)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts[SeriesKey{endpoint, mix, sample.code}];
    this->observe({endpoint, mix, "lag"}, sample.lag);
    if (sample.code != "ok") {
        return;
    }
    this->observe({endpoint, mix, "first"}, sample.first);
    this->observe({endpoint, mix, "total"}, sample.total);
    for (const Clock::duration gap : sample.gaps) {
        this->observe({endpoint, mix, "gap"}, gap);
    }
}

void Results::observe(const SeriesKey &key, Clock::duration duration)
{
    Series &entry = this->series[key];
    if (entry.summary == nullptr) {
        entry.summary
            = std::make_unique<prometheus::Summary>(quantileDefinitions(), Window, WindowBuckets);
    }
    const double milliseconds = millisecondsOf(duration);
    entry.summary->Observe(milliseconds);
    entry.maximum = std::max(entry.maximum, milliseconds);
}

std::vector<Row> Results::rows() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Row> rows;
    for (const auto &[name, entry] : this->series) {
        const auto collected = entry.summary->Collect().summary;
        Row row;
        row.endpoint = name.endpoint;
        row.mix = name.mix;
        row.metric = name.metric;
        row.count = collected.sample_count;
        row.mean = collected.sample_sum / static_cast<double>(collected.sample_count);
        for (size_t i = 0; i < Quantiles.size(); ++i) {
            row.quantiles[i] = collected.quantile[i].value;
        }
        row.maximum = entry.maximum;
        rows.push_back(row);
    }
    return rows;
}

std::vector<CodeRow> Results::codes() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<CodeRow> rows;
    for (const auto &[name, count] : this->counts) {
        rows.push_back({name.endpoint, name.mix, name.metric, count});
    }
    return rows;
}

std::string renderCsv(const std::vector<Row> &rows)
{
    std::string csv = "endpoint,mix,metric,count,mean_ms,p50_ms,p90_ms,p99_ms,p999_ms,max_ms\n";
    for (const Row &row : rows) {
        csv += fmt::format(
            "{},{},{},{},{:.3f}", row.endpoint, row.mix, row.metric, row.count, row.mean);
        for (const double value : row.quantiles) {
            csv += fmt::format(",{:.3f}", value);
        }
        csv += fmt::format(",{:.3f}\n", row.maximum);
    }
    return csv;
}

std::string renderCsv(const std::vector<CodeRow> &rows)
{
    std::string csv = "endpoint,mix,code,count\n";
    for (const CodeRow &row : rows) {
        csv += fmt::format("{},{},{},{}\n", row.endpoint, row.mix, row.code, row.count);
    }
    return csv;
}

} // namespace samphirebridge::load
