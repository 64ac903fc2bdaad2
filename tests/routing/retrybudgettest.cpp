#include "samphirebridge/routing/retrybudget.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;

TEST_CASE("retries are bounded by their share of first attempts plus the burst")
{
    const routing::RetryOptions options;
    routing::RetryBudget budget(options);
    int retries = 0;
    for (int attempt = 0; attempt < 10'000; ++attempt) {
        budget.onFirstAttempt();
        retries += budget.takeRetry() ? 1 : 0;
    }
    CHECK(retries <= 2000 + options.burst);
    CHECK(retries >= 2000);
}

TEST_CASE(
    "unused retries accumulate up to the burst, and a retry that was not sent can be returned")
{
    const routing::RetryOptions options;
    routing::RetryBudget budget(options);
    for (int attempt = 0; attempt < 10'000; ++attempt) {
        budget.onFirstAttempt();
    }
    CHECK(budget.available() == options.burst);
    CHECK(budget.takeRetry());
    CHECK(budget.available() == options.burst - 1);
    budget.returnRetry();
    CHECK(budget.available() == options.burst);
    budget.setBounds({0, options.burst});
    for (int retry = 0; retry < options.burst; ++retry) {
        CHECK(budget.takeRetry());
    }
    CHECK_FALSE(budget.takeRetry());
}
