// Decides which target serves which model, and orders targets to load and unload models and to
// change roles. Only the leader's planner acts, while its lease lasts. The ledger numbers an order
// before it is sent. A target that checks fencing refuses a number below the highest it has seen;
// at one that does not, a new leader waits until orders of the previous leader can no longer
// arrive.
//
// The host calls onLeaseConfirmed while this instance leads, and plan every second; proposes
// NumberOrder to the ledger for each order that plan returns; passes the number to onNumbered;
// sends without delay what onNumbered and takeSendable return; and reports the end by onCompleted
// or onRefused.
#pragma once

#include "samphirebridge/placement/placementtypes.h"

#include <absl/container/btree_map.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::placement
{

class OrderPlanner
{
public:
    // self and incarnation make the change ids unique across the fleet and restarts.
    OrderPlanner(core::InstanceId self, core::Incarnation incarnation, PlacementOptions options);

    // Records that this instance leads in the term, and that the quorum confirmed it in a round
    // that began at confirmedAt. The lease runs from the beginning of the round, not from the last
    // answer, since a voter may follow another leader right after it answered. The first call of a
    // term starts the wait for the previous leader's lease to expire.
    void onLeaseConfirmed(uint64_t term, core::TimePoint confirmedAt);

    // Records that this instance no longer leads: nothing is planned or sent, and all pending
    // orders are dropped.
    void onLeadershipLost();

    // Returns new orders for the ledger to number; they stay pending until completed, refused,
    // timed out or dropped. Empty if mayPlan is false.
    std::vector<Order> plan(std::span<const PlacedTarget> targets,
                            std::span<const ModelDemand> demands,
                            core::TimePoint now);

    // Records the number that the ledger assigned to an order. Returns the order if it may be sent
    // at once, else keeps it for takeSendable. Returns nothing if it was sent or is no longer
    // pending.
    std::optional<NumberedOrder>
    onNumbered(std::string_view changeId, uint64_t fencingNumber, core::TimePoint now);

    // Returns the numbered orders that had to wait and may be sent now, and marks them as sent.
    std::vector<NumberedOrder> takeSendable(core::TimePoint now);

    // End an order: the target completed it, or refused it (with 409 for a low number, or another
    // error). The target gets no other order until PlacementOptions::cooldown has passed.
    void onCompleted(std::string_view changeId, core::TimePoint now);
    void onRefused(std::string_view changeId, core::TimePoint now);

    // Return whether this instance may plan now, and whether it may send an order now to a target
    // that checks fencing or does not.
    [[nodiscard]] bool mayPlan(core::TimePoint now) const;
    [[nodiscard]] bool maySend(bool checksFencing, core::TimePoint now) const;

    [[nodiscard]] size_t pendingOrderCount() const
    {
        return this->pendingOrders.size();
    }

private:
    struct PendingOrder {
        Order order;
        bool checksFencing = false;
        uint64_t fencingNumber = 0; // 0: not numbered yet.
        bool sent = false;
        core::TimePoint issuedAt;
    };
    // Since when a model's utilisation and roles have been out of bounds; empty if they are not.
    struct Trend {
        std::optional<core::TimePoint> aboveSince;
        std::optional<core::TimePoint> belowSince;
        std::optional<core::TimePoint> wrongRolesSince;
    };
    struct ModelState {
        ModelDemand demand;
        std::vector<const PlacedTarget *> serving; // READY, and not being unloaded.
        size_t loading = 0;
        double utilisation = 0;
    };

    void dropStaleOrders(std::span<const PlacedTarget> targets, core::TimePoint now);
    void refillWeightBudget(core::TimePoint now);
    [[nodiscard]] ModelState stateOf(const ModelDemand &demand,
                                     std::span<const PlacedTarget> targets) const;
    void updateTrend(const ModelState &state, core::TimePoint now);
    [[nodiscard]] bool needsMoreTargets(const ModelState &state, core::TimePoint now) const;
    // Returns whether one target fewer leaves the model its minimum and enough slots for its load.
    [[nodiscard]] bool canSpareTarget(const ModelState &state) const;
    // Returns whether the target is READY, has no pending order and is not in its cooldown.
    [[nodiscard]] bool isAvailable(const PlacedTarget &target, core::TimePoint now) const;
    [[nodiscard]] const PlacedTarget *targetToLoad(const ModelState &state,
                                                   std::span<const PlacedTarget> targets,
                                                   core::TimePoint now) const;
    [[nodiscard]] const PlacedTarget *leastLoaded(std::span<const PlacedTarget *const> candidates,
                                                  core::TimePoint now) const;
    // Orders the best target to load the model, once the weight store and the number of pending
    // orders allow it. Returns false if no target is available.
    bool orderLoad(const ModelState &state,
                   std::span<const PlacedTarget> targets,
                   core::TimePoint now,
                   std::vector<Order> &orders);
    // Orders the least loaded target to unload the model. Returns false if that is not possible
    // now.
    bool orderUnload(const ModelState &state, core::TimePoint now, std::vector<Order> &orders);
    // Changes the role of one target after the number of prefill targets has been wrong for long
    // enough.
    void balanceRoles(const ModelState &state, core::TimePoint now, std::vector<Order> &orders);
    void
    issueOrder(Order order, const PlacedTarget &target, core::TimePoint now, std::vector<Order> &);
    void finishOrder(std::string_view changeId, core::TimePoint now);

    core::InstanceId self;
    core::Incarnation incarnation;
    PlacementOptions options;
    uint64_t term = 0;
    uint64_t nextOrder = 1;
    bool isLeader = false;
    core::TimePoint leaderSince;
    core::TimePoint leaseConfirmedAt;
    double availableGigabytes = 0;
    std::optional<core::TimePoint> refilledAt;
    absl::btree_map<std::string, PendingOrder> pendingOrders;
    absl::btree_map<core::ModelId, Trend> trends;
    absl::btree_map<core::TargetId, core::TimePoint> cooldownUntil;
};

} // namespace samphirebridge::placement
