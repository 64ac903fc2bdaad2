// What a load experiment does, read from a YAML file.
#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace samphirebridge::load
{

// Where requests go. With several URLs they go to one after the other, as behind a balancer.
struct Endpoint {
    std::string name;
    std::vector<std::string> urls;
};

enum class CallKind : uint8_t { Chat, Plain };

// One kind of request and how often it arrives.
struct Mix {
    std::string name;
    CallKind kind = CallKind::Chat;
    double ratePerSecond = 1;
    std::string callerKey; // Sent as a bearer token; empty: none.
    bool keyed = false; // Sends an Idempotency-Key of its own with each request.
    // Chat
    bool stream = true;
    std::string model = "letters";
    int64_t promptWords = 16;
    int64_t sharedWords = 0; // The first words, the same in every prompt of the mix.
    int64_t maximumTokens = 32;
    // Plain
    std::string method = "POST";
    std::string path = "/v1/payments";
    std::string body = "{}";
};

// Each round runs the same arrivals against each endpoint in turn.
struct Experiment {
    uint64_t seed = 1;
    std::chrono::milliseconds duration{10000}; // Of the arrivals of one round at one endpoint.
    std::chrono::milliseconds timeout{60000}; // Of one request.
    int64_t rounds = 1;
    int64_t inFlight = 256; // Requests that can be under way at once.
    std::vector<Endpoint> endpoints;
    std::vector<Mix> mixes;
};

// Reads an experiment. InvalidSettings names the line and what is accepted.
absl::StatusOr<Experiment> readExperiment(const std::string &yaml);

} // namespace samphirebridge::load
