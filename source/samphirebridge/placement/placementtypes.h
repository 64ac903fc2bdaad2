// Input and output of the placement of models on targets.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::placement
{

// What an order makes a target do. The order's JSON carries its snake_case name.
enum class OrderKind : uint8_t { Load, Unload, ChangeRole };

// Returns the snake_case name for the order's JSON.
std::string_view orderName(OrderKind kind);

// What a target does where prefill and decoding are separated; Mixed does both.
enum class Role : uint8_t { Mixed, Prefill, Decode };

// Returns the snake_case name for the order's JSON.
std::string_view roleName(Role role);

// An engine that takes orders, as it is at the time of planning.
struct PlacedTarget {
    core::TargetId target;
    core::Incarnation incarnation = 0;
    core::DataCentreId dataCentre;
    bool checksFencing = false; // Whether it refuses orders with an old fencing number.
    bool ready = true; // In state READY.
    Role role = Role::Mixed;
    std::vector<core::ModelId> models;
    double utilisation = 0; // Requests per slot.
};

// The load of a model, and its bounds from the manifest.
struct ModelDemand {
    core::ModelId model;
    double requestsPerSecond = 0;
    double meanRequestsInFlight = 0; // Running and waiting.
    uint32_t minimumTargets = 0;
    uint32_t maximumTargets = 0; // 0: unbounded.
    double weightGigabytes = 0; // Read from the weight store for each load.
    // The fraction of its targets that should only prefill; 0: prefill and decoding are not
    // separated.
    double prefillShare = 0;
};

// An order that the ledger has not numbered yet.
struct Order {
    OrderKind kind = OrderKind::Load;
    core::TargetId target;
    core::Incarnation incarnation = 0;
    core::ModelId model;
    Role role = Role::Mixed;
    std::string changeId; // Makes the ledger's numbering idempotent.
};

// An order with the fencing number that the ledger assigned. Only numbered orders may be sent.
struct NumberedOrder {
    Order order;
    uint64_t fencingNumber = 0;
};

struct PlacementOptions {
    // Utilisation above which a model gets another target, and below which one of its targets
    // unloads it.
    double growAbove = 0.8;
    double shrinkBelow = 0.4;
    // How long a model must be out of bounds before a load or a change of role is ordered, and
    // before an unload is ordered.
    core::Duration growAfter = std::chrono::seconds(15);
    core::Duration shrinkAfter = std::chrono::minutes(5);
    // How long a target gets no further order after one ended.
    core::Duration cooldown = std::chrono::minutes(1);
    // The read rate of the weight store that loads may use, and the most unused volume that
    // accumulates.
    double weightGigabytesPerSecond = 2.0;
    double weightBurstGigabytes = 100.0;
    // Requests that one target serves at once, and models that it may have loaded at once.
    double slotsPerTarget = 16;
    size_t maxModelsPerTarget = 1;
    // The most orders that have not ended yet.
    size_t maxOrdersInFlight = 4;
    // How long a leader may plan and send orders after the quorum last confirmed its leadership.
    core::Duration orderLease = std::chrono::seconds(10);
    // The longest time between the planner's release of an order and its arrival at the target; the
    // host stops sending after it.
    core::Duration orderDeliveryTimeout = std::chrono::seconds(5);
    // The relative rate by which one instance's clock may run faster than another's.
    double clockDrift = 0.01;
    // An order that is neither completed nor refused after this time is dropped, and planned again
    // if still needed.
    core::Duration orderTimeout = std::chrono::minutes(5);
};

} // namespace samphirebridge::placement
