#include "samphirebridge/forwarding/forwardpolicy.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::forwarding;
using namespace std::chrono_literals;

TEST_CASE("callers of an instance that does not serve yet come back when its start may be over")
{
    // The load: every caller asks within a second after a loss of power, and may ask once more.
    CHECK(retryAfterStart(0ms) == 500ms);
    CHECK(retryAfterStart(900ms) == 900ms);
    CHECK(retryAfterStart(60s) == 3s);
}
