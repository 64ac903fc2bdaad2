// Reads the description of a load experiment from YAML.
#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace samphirebridge::load
{

// Where requests are sent: to its URLs in rotation, as by a load balancer.
struct Endpoint {
    std::string name;
    std::vector<std::string> urls;
};

// Chat: a chat completion with a generated prompt. Plain: a configured method, path and body.
enum class CallKind : uint8_t { Chat, Plain };

// A kind of request and its arrival rate.
struct Mix {
    std::string name;
    CallKind kind = CallKind::Chat;
    double ratePerSecond = 1;
    std::string callerKey; // Sent as a bearer token; empty: none.
    bool keyed = false; // Sends a unique Idempotency-Key with each request.
    // For Chat only:
    bool stream = true;
    std::string model = "letters";
    int64_t promptWords = 16;
    int64_t sharedWords = 0; // Leading words that all prompts of the mix share.
    int64_t maximumTokens = 32;
    // For Plain only:
    std::string method = "POST";
    std::string path = "/v1/payments";
    std::string body = "{}";
};

// Each round runs the same arrivals against each endpoint in turn.
struct Experiment {
    uint64_t seed = 1;
    std::chrono::milliseconds duration{10000}; // Of the arrivals of a round at one endpoint.
    std::chrono::milliseconds timeout{60000}; // Of one request.
    int64_t rounds = 1;
    int64_t inFlight = 256; // Maximum of concurrent requests.
    std::vector<Endpoint> endpoints;
    std::vector<Mix> mixes;
};

// Parses an experiment. Returns InvalidSettings with the line and the problem if it is invalid.
absl::StatusOr<Experiment> readExperiment(const std::string &yaml);

} // namespace samphirebridge::load
