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

// The tokens that a manifest of this version purchases.
int64_t chatTokensAt(int64_t version);
int64_t paymentTokensAt(int64_t version);

// The price of a payment, in tokens.
inline constexpr int64_t PaymentPrice = 100;

// Renders the manifest of a version: it differs from the one before by more tokens.
std::string manifestOf(int64_t version);

class Operators
{
public:
    Operators(testing::Fleet &fleet, const Shape &shape, Witness &witness);

    // Sends the first manifest. Throws FleetError if it is refused.
    void found();

    void run(const std::atomic<bool> &stopping);

    // Returns the highest version that was sent, accepted or not.
    [[nodiscard]] int64_t highestSent() const;

    // Returns the highest version that an instance confirmed.
    [[nodiscard]] int64_t highestConfirmed() const;

    // Returns the version at the quorum, if it answers.
    std::optional<int64_t> currentVersion(int instance);

    // Sends the manifest of the version as the next one. True: it was confirmed.
    bool change(int instance, int64_t version, const std::string &changeId);

private:
    testing::Fleet &fleet;
    Shape shape;
    Witness &witness;
    std::atomic<int64_t> sent{0};
    std::atomic<int64_t> confirmed{0};
};

} // namespace samphirebridge::soak
