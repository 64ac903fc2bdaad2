#include "samphirebridge/telemetry/counters.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace samphirebridge;

TEST_CASE("every reason for a refusal, a retry or a closed connection has a counter from the start")
{
    const telemetry::Counters counters;
    const std::string text = counters.text();
    for (const core::RefusalReason reason : core::AllRefusalReasons) {
        const std::string line = fmt::format("samphirebridge_refusals_total{{reason=\"{}\"}} 0",
                                             core::refusalName(reason));
        CHECK(text.find(line) != std::string::npos);
    }
    for (const core::RetryReason reason : core::AllRetryReasons) {
        const std::string line = fmt::format("samphirebridge_retries_total{{reason=\"{}\"}} 0",
                                             core::retryName(reason));
        CHECK(text.find(line) != std::string::npos);
    }
    for (const core::CloseReason reason : core::AllCloseReasons) {
        const std::string line
            = fmt::format("samphirebridge_caller_connections_closed_total{{reason=\"{}\"}} 0",
                          core::closeName(reason));
        CHECK(text.find(line) != std::string::npos);
    }
}

TEST_CASE("latencies have a histogram from the start, and an observation is counted in its bucket")
{
    telemetry::Counters counters;
    for (const std::string_view name :
         {"request", "first_byte", "answer_gap", "budget_wait", "ledger_report", "quorum_round"}) {
        const std::string count = fmt::format("samphirebridge_{}_seconds_count 0", name);
        CHECK(counters.text().find(count) != std::string::npos);
    }
    counters.observe(telemetry::Latency::QuorumRound, std::chrono::milliseconds(4));
    const std::string text = counters.text();
    CHECK(text.find("samphirebridge_quorum_round_seconds_bucket{le=\"0.002\"} 0")
          != std::string::npos);
    CHECK(text.find("samphirebridge_quorum_round_seconds_bucket{le=\"0.005\"} 1")
          != std::string::npos);
}

TEST_CASE("a counted refusal and a closed connection appear in the metrics text")
{
    telemetry::Counters counters;
    counters.countRefusal(core::RefusalReason::Overloaded);
    counters.countClosedConnection(core::CloseReason::CallerReset);
    CHECK(counters.text().find(
              "samphirebridge_caller_connections_closed_total{reason=\"caller_reset\"} 1")
          != std::string::npos);
    CHECK(counters.text().find("samphirebridge_refusals_total{reason=\"overloaded\"} 1")
          != std::string::npos);
}
