// A simulated caller of the fleet that sends chats and payments and repeats failed payments.
#pragma once

#include "samphirebridge/http/client.h"
#include "utilities/soak/witness.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace samphirebridge::soak
{

// Returns the system time in milliseconds since 1970, the unit of the stand-ins' run logs.
int64_t nowMs();

// The instances that a caller sends to, and its credentials.
struct CallerSettings {
    std::vector<std::string> urls; // Base URL of each instance, by index.
    std::string chatKey; // Bearer token for chats.
    std::string paymentKey; // Bearer token for payments.
};

// One call to send. The name is part of the prompt or is the payment's id, so it must be unique.
struct CallSpec {
    CallKind kind = CallKind::Stream;
    std::string name;
    int tokens = 0; // Length of a chat's answer.
    int instance = 0;
    bool abortsAnswer = false; // The target executes the payment, then aborts its answer.
};

// Sends one call and blocks until its answer is complete or has failed.
Call performCall(http::Client &client, const CallerSettings &settings, const CallSpec &spec);

// Sends randomly drawn calls, one at a time, and passes each finished call to `sink`.
class Caller
{
public:
    Caller(const CallerSettings &settings,
           std::string name,
           uint64_t seed,
           std::function<void(const Call &)> sink);

    // Sends calls until `stopping` is set; a call under way is finished first.
    void run(const std::atomic<bool> &stopping);

private:
    CallSpec drawCall();
    // Sends a refused, broken or unsent payment once more, through another instance and with the
    // same idempotency key.
    void retryPayment(CallSpec spec);
    void switchInstance();
    void pauseBetweenCalls();

    const CallerSettings &settings;
    std::string name;
    std::mt19937_64 random;
    std::function<void(const Call &)> sink;
    http::Client client;
    int instance;
    int64_t callCount = 0;
};

} // namespace samphirebridge::soak
