// What placement sees of the fleet and what it decides.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::placement
{

// What an order makes a target do. Its snake_case name stands in the order's JSON.
enum class OrderKind : uint8_t { Load, Unload, ChangeRole };

std::string_view orderName(OrderKind kind);

// What a target does in a fleet that separates reading prompts from generating.
enum class Role : uint8_t { Mixed, Prefill, Decode };

std::string_view roleName(Role role);

// One engine that takes orders.
struct PlacedTarget {
    core::TargetId target;
    core::Incarnation incarnation = 0;
    core::DataCentreId dataCentre;
    bool checksFencing = false;
    bool ready = true; // Neither leaving nor gone.
    Role role = Role::Mixed;
    std::vector<core::ModelId> models;
    double utilisation = 0; // Requests on it for each place.
};

// What a model is asked for, and its bounds from the manifest.
struct ModelDemand {
    core::ModelId model;
    double requestsPerSecond = 0;
    double busyPlaces = 0; // Mean of the requests under way, waiting ones included.
    uint32_t minimumTargets = 0;
    uint32_t maximumTargets = 0; // 0: no bound.
    double weightGigabytes = 0; // What loading it takes from the weight store.
    // The part of its targets that should only read prompts; 0: reading is not separated.
    double prefillPart = 0;
};

// An order before it has its number.
struct Order {
    OrderKind kind = OrderKind::Load;
    core::TargetId target;
    core::Incarnation incarnation = 0;
    core::ModelId model;
    Role role = Role::Mixed;
    std::string changeId; // Names the order in the ledger; a resend is recognised by it.
};

// An order that the ledger numbered. Only such a one may be sent.
struct NumberedOrder {
    Order order;
    uint64_t fencingNumber = 0;
};

struct PlacementOptions {
    // Utilisation above which a model gets another target, and below which it loses one.
    double growAbove = 0.8;
    double shrinkBelow = 0.4;
    // How long a model must stay beyond a bound before anything is ordered.
    core::Duration growAfter = std::chrono::seconds(15);
    core::Duration shrinkAfter = std::chrono::minutes(5);
    // How long a target is left alone after an order.
    core::Duration settle = std::chrono::minutes(1);
    // What the weight store gives, and how much of it may be saved up.
    double weightGigabytesPerSecond = 2.0;
    double weightBurstGigabytes = 100.0;
    // Requests that one target serves at once, and models that it holds at once.
    double placesPerTarget = 16;
    size_t modelsPerTarget = 1;
    // Orders under way at once.
    size_t ordersInFlight = 4;
    // How long after its lease was last confirmed by the quorum a leader may send orders.
    core::Duration leaveToOrder = std::chrono::seconds(10);
    // The longest time between the planner's leave to send and the order's arrival; the host gives
    // up sending after it.
    core::Duration orderFlight = std::chrono::seconds(5);
    // How much faster one instance's clock may run than another's.
    double clockDrift = 0.01;
    // An order that is neither confirmed nor refused after this long is planned anew.
    core::Duration orderTimeout = std::chrono::minutes(5);
};

} // namespace samphirebridge::placement
