// Simulates two operators that change the manifest concurrently through different instances.
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

// Returns the manifest as YAML, with budgets of this size.
std::string manifestOf(const Purchase &purchase);

class Operators
{
public:
    Operators(testing::Fleet &fleet, const Shape &shape, Witness &witness);

    // Applies the first manifest. Throws FleetError if it is refused.
    void applyFirstManifest();

    // Sends two competing changes per interval until `stopping` is set.
    void run(const std::atomic<bool> &stopping);

    // Polls the version at an instance until `stopping` is set. A read must include every change
    // confirmed before it, even at a former leader that was frozen and has not noticed its
    // successor yet.
    void checkVersions(int instance, const std::atomic<bool> &stopping);

    // Returns the highest version that was sent, whether it was accepted or not.
    [[nodiscard]] int64_t highestSent() const;

    // Returns the highest version that an instance confirmed.
    [[nodiscard]] int64_t highestConfirmed() const;

    // Returns the version that the instance reports, or nullopt if it does not answer in time.
    std::optional<int64_t> currentVersion(int instance);

    // Sends the manifest as this version. Returns whether the instance confirmed it.
    bool changeManifest(int instance, int64_t version, const std::string &changeId);

    // Makes later manifests purchase enough tokens for every call.
    void raisePurchases();

    // Returns what the manifest of this version purchases. It grows with the version.
    [[nodiscard]] Purchase purchaseAt(int64_t version) const;

private:
    testing::Fleet &fleet;
    Shape shape;
    Witness &witness;
    http::Client client;
    std::atomic<int64_t> sent{0};
    std::atomic<int64_t> confirmed{0};
    std::atomic<int64_t> extraTokens{0}; // Added to both purchases.
};

} // namespace samphirebridge::soak
