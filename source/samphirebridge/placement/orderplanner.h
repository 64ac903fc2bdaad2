// Decides which target serves which model. One planner acts at a time: the leader's, while its
// lease holds. An order is numbered in the ledger before it is sent; a target that checks refuses a
// number below the highest it has seen, and one that does not check is protected by time.
//
// Host's use: lease while this instance leads; plan every second; propose NumberOrder for each
// order returned; hand the number to onNumbered; send what sendable returns at once.
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
    // Self and incarnation make the change ids unique.
    OrderPlanner(core::InstanceId self, core::Incarnation incarnation, PlacementOptions options);

    // This instance leads in that term, and the quorum confirmed it in a round that was begun at
    // that time. The beginning counts, not the last answer: voters may follow another leader from
    // their answer on. The first call of a term starts the wait for the old leader's leave to run
    // out.
    void onLease(uint64_t term, core::TimePoint confirmedAt);

    // This instance leads no more: nothing is planned or sent, and what was under way is forgotten.
    void onLeadershipLost();

    // Returns the orders to be numbered now. Empty without a lease.
    std::vector<Order> plan(std::span<const PlacedTarget> targets,
                            std::span<const ModelDemand> demands,
                            core::TimePoint now);

    // The ledger numbered an order. Returns it if it may be sent at once, else keeps it for
    // sendable. Nothing if the order is not under way any more.
    std::optional<NumberedOrder>
    onNumbered(std::string_view changeId, uint64_t fencingNumber, core::TimePoint now);

    // Returns numbered orders that had to wait and may be sent now.
    std::vector<NumberedOrder> sendable(core::TimePoint now);

    // The target did it, or refused it (409 for a low number, another error).
    void onDone(std::string_view changeId, core::TimePoint now);
    void onRefused(std::string_view changeId, core::TimePoint now);

    // Whether this instance may plan now, and send to a target that checks (or not) fencing.
    [[nodiscard]] bool mayPlan(core::TimePoint now) const;
    [[nodiscard]] bool maySend(bool checksFencing, core::TimePoint now) const;

    [[nodiscard]] size_t ordersUnderWay() const
    {
        return this->underWay.size();
    }

private:
    struct UnderWay {
        Order order;
        bool checksFencing = false;
        uint64_t fencingNumber = 0; // 0: not numbered yet.
        bool sent = false;
        core::TimePoint at;
    };
    // Since when a model has been beyond its bounds.
    struct Trend {
        std::optional<core::TimePoint> above;
        std::optional<core::TimePoint> below;
        std::optional<core::TimePoint> wrongRoles;
    };
    struct ModelState {
        ModelDemand demand;
        std::vector<const PlacedTarget *> serving; // Those being loaded left out.
        size_t loading = 0;
        double utilisation = 0;
    };

    void dropStale(std::span<const PlacedTarget> targets, core::TimePoint now);
    void earnWeights(core::TimePoint now);
    [[nodiscard]] ModelState stateOf(const ModelDemand &demand,
                                     std::span<const PlacedTarget> targets) const;
    void follow(const ModelState &state, core::TimePoint now);
    [[nodiscard]] bool wantsMore(const ModelState &state, core::TimePoint now) const;
    [[nodiscard]] bool canSpare(const ModelState &state) const;
    [[nodiscard]] bool isFree(const PlacedTarget &target, core::TimePoint now) const;
    [[nodiscard]] const PlacedTarget *targetToLoad(const ModelState &state,
                                                   std::span<const PlacedTarget> targets,
                                                   core::TimePoint now) const;
    [[nodiscard]] const PlacedTarget *leastLoaded(std::span<const PlacedTarget *const> among,
                                                  core::TimePoint now) const;
    bool grow(const ModelState &state,
              std::span<const PlacedTarget> targets,
              core::TimePoint now,
              std::vector<Order> &orders);
    bool shrink(const ModelState &state, core::TimePoint now, std::vector<Order> &orders);
    void balanceRoles(const ModelState &state, core::TimePoint now, std::vector<Order> &orders);
    void issue(Order order, const PlacedTarget &target, core::TimePoint now, std::vector<Order> &);
    void end(std::string_view changeId, core::TimePoint now);

    core::InstanceId self;
    core::Incarnation incarnation;
    PlacementOptions options;
    uint64_t term = 0;
    uint64_t nextOrder = 1;
    bool leads = false;
    core::TimePoint leadsSince;
    core::TimePoint leaseConfirmedAt;
    double savedGigabytes = 0;
    std::optional<core::TimePoint> savedAt;
    absl::btree_map<std::string, UnderWay> underWay;
    absl::btree_map<core::ModelId, Trend> trends;
    absl::btree_map<core::TargetId, core::TimePoint> restUntil;
};

} // namespace samphirebridge::placement
