#include "samphirebridge/placement/orderplanner.h"

#include <catch2/catch.hpp>

#include <set>

using namespace samphirebridge;
using namespace samphirebridge::placement;
using namespace std::chrono_literals;

namespace
{

const core::ModelId Letters("letters");
const core::ModelId Forms("forms");
constexpr core::Duration Step = 1s;

PlacedTarget targetNamed(const std::string &name, std::vector<core::ModelId> models = {})
{
    PlacedTarget target;
    target.target = core::TargetId(name);
    target.incarnation = 1;
    target.dataCentre = core::DataCentreId("quito-1");
    target.checksFencing = true;
    target.models = std::move(models);
    return target;
}

ModelDemand demandFor(const core::ModelId &model, double meanRequestsInFlight, uint32_t minimum = 0)
{
    ModelDemand demand;
    demand.model = model;
    demand.meanRequestsInFlight = meanRequestsInFlight;
    demand.minimumTargets = minimum;
    demand.weightGigabytes = 10;
    return demand;
}

// A leading planner with a simulated ledger, and targets that complete every order at once.
struct Fleet {
    OrderPlanner planner{core::InstanceId("a"), 1, {}};
    std::vector<PlacedTarget> targets;
    std::vector<ModelDemand> demands;
    core::TimePoint now;
    std::vector<Order> orders;
    uint64_t number = 0;

    void run(core::Duration span)
    {
        for (const core::TimePoint end = this->now + span; this->now < end; this->now += Step) {
            this->planner.onLeaseConfirmed(1, this->now);
            for (const Order &order : this->planner.plan(this->targets, this->demands, this->now)) {
                this->orders.push_back(order);
                if (this->planner.onNumbered(order.changeId, ++this->number, this->now)) {
                    this->complete(order);
                }
            }
        }
    }

    void complete(const Order &order)
    {
        for (PlacedTarget &target : this->targets) {
            if (target.target != order.target) {
                continue;
            }
            if (order.kind == OrderKind::Load) {
                target.models.push_back(order.model);
            } else if (order.kind == OrderKind::Unload) {
                std::erase(target.models, order.model);
            } else {
                target.role = order.role;
            }
        }
        this->planner.onCompleted(order.changeId, this->now);
    }
};

} // namespace

TEST_CASE("nothing is planned or sent without a recently confirmed lease")
{
    Fleet fleet;
    fleet.targets = {targetNamed("t0")};
    fleet.demands = {demandFor(Letters, 0, 1)};
    CHECK(fleet.planner.plan(fleet.targets, fleet.demands, fleet.now).empty());
    fleet.planner.onLeaseConfirmed(1, fleet.now);
    const auto orders = fleet.planner.plan(fleet.targets, fleet.demands, fleet.now);
    REQUIRE(orders.size() == 1);
    CHECK_FALSE(fleet.planner.onNumbered(orders[0].changeId, 7, fleet.now + 10s).has_value());
    CHECK(fleet.planner.takeSendable(fleet.now + 10s).empty());
    fleet.planner.onLeaseConfirmed(1, fleet.now + 10s);
    const auto sendable = fleet.planner.takeSendable(fleet.now + 11s);
    REQUIRE(sendable.size() == 1);
    CHECK(sendable[0].fencingNumber == 7);
    CHECK(fleet.planner.takeSendable(fleet.now + 11s).empty());
    fleet.planner.onLeadershipLost();
    CHECK_FALSE(fleet.planner.onNumbered(orders[0].changeId, 8, fleet.now + 11s).has_value());
    // Orders of the lost leadership are not resumed in the next term.
    fleet.planner.onLeaseConfirmed(2, fleet.now + 20s);
    CHECK(fleet.planner.pendingOrderCount() == 0);
}

TEST_CASE("an idle model keeps its minimum of targets")
{
    Fleet fleet;
    fleet.targets = {
        targetNamed("t0", {Letters}), targetNamed("t1", {Letters}), targetNamed("t2", {Letters})};
    fleet.demands = {demandFor(Letters, 0, 2)};
    fleet.run(60min);
    CHECK(fleet.orders.size() == 1);
}

TEST_CASE("an order is not sent before the ledger numbered it")
{
    Fleet fleet;
    fleet.targets = {targetNamed("t0")};
    fleet.demands = {demandFor(Letters, 0, 1)};
    fleet.planner.onLeaseConfirmed(1, fleet.now);
    CHECK(fleet.planner.plan(fleet.targets, fleet.demands, fleet.now).size() == 1);
    CHECK(fleet.planner.takeSendable(fleet.now).empty());
    CHECK(fleet.planner.plan(fleet.targets, fleet.demands, fleet.now).empty());
}

TEST_CASE("two leaders may never send at once to a target that does not check fencing")
{
    // The latest possible confirmation of the old leader coincides with the new leader's first.
    const PlacementOptions options;
    OrderPlanner oldLeader(core::InstanceId("a"), 1, options);
    OrderPlanner newLeader(core::InstanceId("b"), 1, options);
    const core::TimePoint takeover(1min);
    oldLeader.onLeaseConfirmed(1, core::TimePoint());
    oldLeader.onLeaseConfirmed(1, takeover);
    newLeader.onLeaseConfirmed(2, takeover);
    core::TimePoint oldLast;
    std::optional<core::TimePoint> newFirst;
    for (core::TimePoint now = takeover; now < takeover + 1min; now += 100ms) {
        newLeader.onLeaseConfirmed(2, now);
        oldLast = oldLeader.maySend(false, now) ? now : oldLast;
        if (newLeader.maySend(false, now) && !newFirst) {
            newFirst = now;
        }
    }
    REQUIRE(newFirst.has_value());
    CHECK(oldLast + options.orderDeliveryTimeout < *newFirst);
    CHECK(newLeader.maySend(true, takeover + 1min));
    // No wait is needed before orders to a target that checks fencing.
    OrderPlanner third(core::InstanceId("c"), 1, options);
    third.onLeaseConfirmed(3, takeover);
    CHECK(third.maySend(true, takeover));
    CHECK_FALSE(third.maySend(false, takeover));
}

TEST_CASE("a model below its minimum is loaded at once, spread over data centres")
{
    Fleet fleet;
    fleet.targets = {targetNamed("t0"), targetNamed("t1"), targetNamed("t2")};
    fleet.targets[2].dataCentre = core::DataCentreId("quito-2");
    fleet.demands = {demandFor(Letters, 0, 2)};
    fleet.run(3s);
    REQUIRE(fleet.orders.size() == 2);
    CHECK(fleet.orders[0].target.value != fleet.orders[1].target.value);
    CHECK((fleet.orders[0].target.value == "t2" || fleet.orders[1].target.value == "t2"));
}

TEST_CASE("orders follow only lasting changes of load, not oscillations")
{
    Fleet fleet;
    fleet.targets = {targetNamed("t0", {Letters}), targetNamed("t1"), targetNamed("t2")};
    for (int phase = 0; phase < 30; ++phase) {
        fleet.demands = {demandFor(Letters, phase % 2 == 0 ? 15 : 2)};
        fleet.run(10s);
    }
    CHECK(fleet.orders.empty());
    fleet.demands = {demandFor(Letters, 15)};
    fleet.run(20s);
    CHECK(fleet.orders.size() == 1);
    fleet.run(10min);
    CHECK(fleet.orders.size() == 1);
    fleet.demands = {demandFor(Letters, 2)};
    fleet.run(4min);
    CHECK(fleet.orders.size() == 1);
    fleet.run(20min);
    REQUIRE(fleet.orders.size() == 2);
    CHECK(fleet.orders[1].kind == OrderKind::Unload);
}

TEST_CASE("an overloaded model gets a target that another model can spare, but not its last one")
{
    Fleet fleet;
    fleet.targets
        = {targetNamed("t0", {Letters}), targetNamed("t1", {Forms}), targetNamed("t2", {Forms})};
    fleet.demands = {demandFor(Letters, 40), demandFor(Forms, 1)};
    fleet.run(5min);
    size_t letters = 0;
    for (const PlacedTarget &target : fleet.targets) {
        letters += target.models == std::vector{Letters} ? 1 : 0;
    }
    CHECK(letters == 2);
}

TEST_CASE("loads stay within the read rate of the weight store")
{
    Fleet fleet;
    for (int target = 0; target < 60; ++target) {
        fleet.targets.push_back(targetNamed("t" + std::to_string(target)));
    }
    fleet.demands = {demandFor(Letters, 0, 60)};
    fleet.demands[0].weightGigabytes = 40;
    const PlacementOptions options;
    fleet.run(100s);
    const double loaded = 40.0 * static_cast<double>(fleet.orders.size());
    CHECK(loaded <= options.weightBurstGigabytes + 100 * options.weightGigabytesPerSecond);
    CHECK(loaded >= 200);
}

TEST_CASE(
    "pending orders are bounded, have unique ids, and are dropped when their incarnation ends")
{
    Fleet fleet;
    for (int target = 0; target < 10; ++target) {
        fleet.targets.push_back(targetNamed("t" + std::to_string(target)));
    }
    fleet.demands = {demandFor(Letters, 0, 10)};
    fleet.planner.onLeaseConfirmed(1, fleet.now);
    std::set<std::string> changeIds;
    for (int round = 0; round < 8; ++round) {
        for (const Order &order : fleet.planner.plan(fleet.targets, fleet.demands, fleet.now)) {
            CHECK(changeIds.insert(order.changeId).second);
        }
    }
    CHECK(fleet.planner.pendingOrderCount() == PlacementOptions{}.maxOrdersInFlight);
    for (PlacedTarget &target : fleet.targets) {
        ++target.incarnation;
    }
    CHECK_FALSE(fleet.planner.plan(fleet.targets, fleet.demands, fleet.now).empty());
    CHECK_FALSE(fleet.planner.onNumbered(*changeIds.begin(), 1, fleet.now).has_value());
}

TEST_CASE("roles are changed one at a time to match the prefill share")
{
    Fleet fleet;
    for (int target = 0; target < 8; ++target) {
        fleet.targets.push_back(targetNamed("t" + std::to_string(target), {Letters}));
    }
    fleet.demands = {demandFor(Letters, 60)};
    fleet.demands[0].prefillShare = 0.25;
    fleet.run(5min);
    REQUIRE(fleet.orders.size() == 2);
    CHECK(fleet.orders[0].kind == OrderKind::ChangeRole);
    CHECK(fleet.orders[0].role == Role::Prefill);
}
