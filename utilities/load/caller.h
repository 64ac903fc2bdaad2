// One request of an experiment, sent and measured.
#pragma once

#include "samphirebridge/http/client.h"
#include "utilities/load/experiment.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace samphirebridge::load
{

using Clock = std::chrono::steady_clock;

// What became of a request. Times count from its intended start, so that a sender that lags behind
// does not hide what its callers would have waited.
struct Sample {
    int status = 0; // 0: no answer.
    std::string code; // `ok`, a problem's code, `http_<status>` or what the connection did.
    Clock::duration lag{}; // From the intended to the true start.
    Clock::duration first{}; // To the first token, or to the head of a plain answer.
    Clock::duration total{};
    std::vector<Clock::duration> gaps; // Between two parts of a stream.
    int64_t parts = 0;
};

// Names a request: endpoint, round and number make prompts and keys that differ.
struct CallName {
    std::string endpoint;
    int64_t round = 0;
    uint64_t number = 0;
};

// Sends one request of the mix to the URL and waits for its end.
Sample call(http::Client &client,
            const Mix &mix,
            const std::string &url,
            const CallName &name,
            Clock::time_point intended,
            std::chrono::milliseconds timeout);

} // namespace samphirebridge::load
