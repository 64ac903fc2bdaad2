#include "samphirebridge/forwarding/forwardpolicy.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::forwarding;
using namespace std::chrono_literals;

TEST_CASE("callers of an instance that does not serve yet retry when it may have started")
{
    // After a power loss every caller sends a request within a second and may retry it once.
    CHECK(retryAfterStart(0ms) == 500ms);
    CHECK(retryAfterStart(900ms) == 900ms);
    CHECK(retryAfterStart(60s) == 3s);
}
