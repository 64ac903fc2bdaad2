#include "samphirebridge/telemetry/counters.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace samphirebridge;

TEST_CASE("every reason of refusal and of retry has its counter from the start")
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
}

TEST_CASE("a counted refusal shows in the text")
{
    telemetry::Counters counters;
    counters.refused(core::RefusalReason::Overloaded);
    CHECK(counters.text().find("samphirebridge_refusals_total{reason=\"overloaded\"} 1")
          != std::string::npos);
}
