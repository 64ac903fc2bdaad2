// Sends one request of an experiment and measures its answer.
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

// The outcome and latency of a request. Times count from its intended start, so that a sender that
// falls behind schedule does not hide the delay (coordinated omission).
struct Sample {
    int status = 0; // HTTP status; 0: no answer.
    std::string code; // `ok`, the answer's error code, `http_<status>` or a connection error.
    Clock::duration lag{}; // From the intended to the actual start.
    Clock::duration first{}; // To the first event of a stream, or to the head of another answer.
    Clock::duration total{}; // To the end of the answer.
    std::vector<Clock::duration> gaps; // Between consecutive events of a stream.
    int64_t parts = 0; // Events of a stream.
};

// Identifies a request. Prompts contain the round and number, idempotency keys all three.
struct CallId {
    std::string endpoint;
    int64_t round = 0;
    uint64_t number = 0;
};

// Sends one request of the mix to the URL and waits until its answer is complete or has failed.
Sample call(http::Client &client,
            const Mix &mix,
            const std::string &url,
            const CallId &id,
            Clock::time_point intended,
            std::chrono::milliseconds timeout);

} // namespace samphirebridge::load
