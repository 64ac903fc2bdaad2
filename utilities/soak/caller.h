// One caller of the fleet: keeps its connections, follows refusals, sends payments again.
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

// Milliseconds since 1970, as the stand-ins' run logs have them.
int64_t nowMs();

// Where and as whom a caller calls.
struct CallerSettings {
    std::vector<std::string> urls; // Of the instances, by index.
    std::string chatKey; // Caller keys.
    std::string paymentKey;
};

// What to send. The name makes prompts and payments differ.
struct Script {
    CallKind kind = CallKind::Stream;
    std::string name;
    int tokens = 0; // Of a chat's answer.
    int instance = 0;
    bool breaks = false; // The target runs a payment and breaks off its answer.
};

// Sends one call and follows it to its end.
Call perform(http::Client &client, const CallerSettings &settings, const Script &script);

// Calls one after the other until told to stop.
class Caller
{
public:
    Caller(const CallerSettings &settings,
           std::string name,
           uint64_t seed,
           std::function<void(const Call &)> sink);

    void run(const std::atomic<bool> &stopping);

private:
    Script nextScript();
    // Sends a payment of unknown outcome once more, elsewhere and under the same key.
    void repeatPayment(Script script);
    void moveOn();
    void pause();

    const CallerSettings &settings;
    std::string name;
    std::mt19937_64 dice;
    std::function<void(const Call &)> sink;
    http::Client client;
    int instance;
    int64_t number = 0;
};

} // namespace samphirebridge::soak
