// Two operators that change the manifest, often at the same time and through different instances.
#pragma once

#include "samphirebridge/http/client.h"
#include "utilities/soak/plan.h"
#include "utilities/soak/witness.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

namespace samphirebridge::testing
{
class Fleet;
}

namespace samphirebridge::soak
{

// The tokens that a manifest purchases for chats and for payments.
struct Purchase {
    int64_t chatTokens = 0;
    int64_t paymentTokens = 0;
};

// The price of a payment, in tokens.
inline constexpr int64_t PaymentPrice = 100;

// Renders the manifest with these budgets.
std::string manifestOf(const Purchase &purchase);

class Operators
{
public:
    Operators(testing::Fleet &fleet, const Shape &shape, Witness &witness);

    // Sends the first manifest. Throws FleetError if it is refused.
    void found();

    void run(const std::atomic<bool> &stopping);

    // Reads the version at an instance again and again. What was confirmed before a read must be in
    // it, also where a leader was frozen and has not learnt yet that another leads.
    void watch(int instance, const std::atomic<bool> &stopping);

    // Returns the highest version that was sent, accepted or not.
    [[nodiscard]] int64_t highestSent() const;

    // Returns the highest version that an instance confirmed.
    [[nodiscard]] int64_t highestConfirmed() const;

    // Returns the version at the quorum, if it answers.
    std::optional<int64_t> currentVersion(int instance);

    // Sends the manifest of the version as the next one. True: it was confirmed.
    bool change(int instance, int64_t version, const std::string &changeId);

    // Lets the manifests from now on purchase enough for every call.
    void purchaseEnough();

    // Returns what the manifest of this version purchases: more than the one before.
    [[nodiscard]] Purchase purchaseAt(int64_t version) const;

private:
    testing::Fleet &fleet;
    Shape shape;
    Witness &witness;
    http::Client client;
    std::atomic<int64_t> sent{0};
    std::atomic<int64_t> confirmed{0};
    std::atomic<int64_t> further{0}; // Tokens beside those that grow with the version.
};

} // namespace samphirebridge::soak
