#include "samphirebridge/placement/orderplanner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphirebridge::placement
{

namespace
{

// A target unloads a model only if the utilisation of the others stays below this fraction of
// growAbove, so that the model doesn't grow again at once.
constexpr double ShrinkMargin = 0.75;

core::Duration scale(core::Duration duration, double factor)
{
    return core::Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

bool servesModel(const PlacedTarget &target, const core::ModelId &model)
{
    return std::find(target.models.begin(), target.models.end(), model) != target.models.end();
}

// Sets since to now when the condition begins to hold, and clears it when the condition ends.
void trackSince(std::optional<core::TimePoint> &since, bool condition, core::TimePoint now)
{
    if (!condition) {
        since.reset();
    } else if (!since) {
        since = now;
    }
}

bool hasLasted(const std::optional<core::TimePoint> &since,
               core::Duration span,
               core::TimePoint now)
{
    return since && now - *since >= span;
}

} // namespace

OrderPlanner::OrderPlanner(core::InstanceId self,
                           core::Incarnation incarnation,
                           PlacementOptions options)
    : self(std::move(self))
    , incarnation(incarnation)
    , options(options)
    , availableGigabytes(options.weightBurstGigabytes)
{
}

void OrderPlanner::onLeaseConfirmed(uint64_t newTerm, core::TimePoint confirmedAt)
{
    if (!this->isLeader || newTerm != this->term) {
        this->onLeadershipLost();
        this->isLeader = true;
        this->term = newTerm;
        this->leaderSince = confirmedAt;
    }
    this->leaseConfirmedAt = std::max(this->leaseConfirmedAt, confirmedAt);
}

void OrderPlanner::onLeadershipLost()
{
    this->isLeader = false;
    this->pendingOrders.clear();
    this->trends.clear();
}

bool OrderPlanner::mayPlan(core::TimePoint now) const
{
    return this->isLeader && now - this->leaseConfirmedAt < this->options.orderLease;
}

bool OrderPlanner::maySend(bool checksFencing, core::TimePoint now) const
{
    if (!this->mayPlan(now)) {
        return false;
    }
    // The previous leader's lease can't have been confirmed later than this one's first
    // confirmation began. Its clock may run slower, and its last order may still be in delivery.
    const core::Duration previousLease
        = scale(this->options.orderLease, 1.0 + this->options.clockDrift)
          + this->options.orderDeliveryTimeout;
    return checksFencing || now - this->leaderSince >= previousLease;
}

std::vector<Order> OrderPlanner::plan(std::span<const PlacedTarget> targets,
                                      std::span<const ModelDemand> demands,
                                      core::TimePoint now)
{
    std::vector<Order> orders;
    if (!this->mayPlan(now)) {
        return orders;
    }
    this->dropStaleOrders(targets, now);
    this->refillWeightBudget(now);
    std::vector<ModelState> states;
    states.reserve(demands.size());
    for (const ModelDemand &demand : demands) {
        states.push_back(this->stateOf(demand, targets));
        this->updateTrend(states.back(), now);
    }
    // The model with the highest utilisation chooses its targets first.
    std::sort(states.begin(), states.end(), [](const ModelState &left, const ModelState &right) {
        return left.utilisation > right.utilisation;
    });
    bool starving = false;
    for (const ModelState &state : states) {
        const bool needsMore = this->needsMoreTargets(state, now);
        starving = (needsMore && !this->orderLoad(state, targets, now, orders)) || starving;
    }
    // Least utilised first. While another model waits for an available target, a model below its
    // bound gives one up without waiting for shrinkAfter.
    for (auto state = states.rbegin(); state != states.rend(); ++state) {
        const bool idle = hasLasted(
            this->trends[state->demand.model].belowSince, this->options.shrinkAfter, now);
        const bool yields = starving && this->trends[state->demand.model].belowSince;
        if ((idle || yields) && this->canSpareTarget(*state)
            && this->orderUnload(*state, now, orders)) {
            starving = false;
        }
    }
    for (const ModelState &state : states) {
        this->balanceRoles(state, now, orders);
    }
    return orders;
}

std::optional<NumberedOrder>
OrderPlanner::onNumbered(std::string_view changeId, uint64_t fencingNumber, core::TimePoint now)
{
    const auto entry = this->pendingOrders.find(std::string(changeId));
    if (entry == this->pendingOrders.end() || entry->second.sent) {
        return std::nullopt;
    }
    entry->second.fencingNumber = fencingNumber;
    if (!this->maySend(entry->second.checksFencing, now)) {
        return std::nullopt;
    }
    entry->second.sent = true;
    return NumberedOrder{entry->second.order, fencingNumber};
}

std::vector<NumberedOrder> OrderPlanner::takeSendable(core::TimePoint now)
{
    std::vector<NumberedOrder> result;
    for (auto &[changeId, order] : this->pendingOrders) {
        const bool isWaiting = order.fencingNumber != 0 && !order.sent;
        if (isWaiting && this->maySend(order.checksFencing, now)) {
            order.sent = true;
            result.push_back(NumberedOrder{order.order, order.fencingNumber});
        }
    }
    // A target that does not check fencing executes orders in the order of arrival.
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return left.fencingNumber < right.fencingNumber;
    });
    return result;
}

void OrderPlanner::onCompleted(std::string_view changeId, core::TimePoint now)
{
    this->finishOrder(changeId, now);
}

void OrderPlanner::onRefused(std::string_view changeId, core::TimePoint now)
{
    this->finishOrder(changeId, now);
}

void OrderPlanner::finishOrder(std::string_view changeId, core::TimePoint now)
{
    const auto entry = this->pendingOrders.find(std::string(changeId));
    if (entry == this->pendingOrders.end()) {
        return;
    }
    this->cooldownUntil[entry->second.order.target] = now + this->options.cooldown;
    this->pendingOrders.erase(entry);
}

void OrderPlanner::dropStaleOrders(std::span<const PlacedTarget> targets, core::TimePoint now)
{
    absl::erase_if(this->pendingOrders, [&](const auto &item) {
        const PendingOrder &order = item.second;
        const auto target
            = std::find_if(targets.begin(), targets.end(), [&](const PlacedTarget &candidate) {
                  return candidate.target == order.order.target;
              });
        const bool sameIncarnation
            = target != targets.end() && target->incarnation == order.order.incarnation;
        const bool timedOut = now - order.issuedAt > this->options.orderTimeout;
        return timedOut || !sameIncarnation || !target->ready;
    });
    absl::erase_if(this->cooldownUntil, [&](const auto &item) { return now >= item.second; });
}

void OrderPlanner::refillWeightBudget(core::TimePoint now)
{
    const core::Duration elapsed = now - this->refilledAt.value_or(now);
    const double refill
        = this->options.weightGigabytesPerSecond * std::chrono::duration<double>(elapsed).count();
    this->availableGigabytes
        = std::min(this->options.weightBurstGigabytes, this->availableGigabytes + refill);
    this->refilledAt = now;
}

OrderPlanner::ModelState OrderPlanner::stateOf(const ModelDemand &demand,
                                               std::span<const PlacedTarget> targets) const
{
    ModelState state;
    state.demand = demand;
    for (const PlacedTarget &target : targets) {
        if (!target.ready) {
            continue;
        }
        const auto order = std::find_if(
            this->pendingOrders.begin(), this->pendingOrders.end(), [&](const auto &item) {
                return item.second.order.target == target.target
                       && item.second.order.model == demand.model;
            });
        const bool ordered = order != this->pendingOrders.end();
        const auto kind = ordered ? order->second.order.kind : OrderKind::ChangeRole;
        if (servesModel(target, demand.model) && kind != OrderKind::Unload) {
            state.serving.push_back(&target);
        } else if (kind == OrderKind::Load) {
            ++state.loading;
        }
    }
    const double slots
        = static_cast<double>(state.serving.size() + state.loading) * this->options.slotsPerTarget;
    const double unserved
        = demand.meanRequestsInFlight > 0 ? std::numeric_limits<double>::max() : 0;
    state.utilisation = slots > 0 ? demand.meanRequestsInFlight / slots : unserved;
    return state;
}

void OrderPlanner::updateTrend(const ModelState &state, core::TimePoint now)
{
    Trend &trend = this->trends[state.demand.model];
    trackSince(trend.aboveSince, state.utilisation > this->options.growAbove, now);
    trackSince(trend.belowSince, state.utilisation < this->options.shrinkBelow, now);
}

bool OrderPlanner::needsMoreTargets(const ModelState &state, core::TimePoint now) const
{
    const size_t targetCount = state.serving.size() + state.loading;
    const size_t maximum = state.demand.maximumTargets;
    if (targetCount < state.demand.minimumTargets) {
        return true;
    }
    const auto trend = this->trends.find(state.demand.model);
    const bool overloaded = trend != this->trends.end()
                            && hasLasted(trend->second.aboveSince, this->options.growAfter, now);
    return overloaded && (maximum == 0 || targetCount < maximum);
}

bool OrderPlanner::canSpareTarget(const ModelState &state) const
{
    const size_t targetCount = state.serving.size();
    const size_t minimum = std::max<size_t>(1, state.demand.minimumTargets);
    if (targetCount <= minimum || state.loading > 0) {
        return false;
    }
    const double remainingSlots
        = static_cast<double>(targetCount - 1) * this->options.slotsPerTarget;
    return state.demand.meanRequestsInFlight
           < remainingSlots * this->options.growAbove * ShrinkMargin;
}

bool OrderPlanner::isAvailable(const PlacedTarget &target, core::TimePoint now) const
{
    const auto cooldownEnd = this->cooldownUntil.find(target.target);
    const bool coolingDown = cooldownEnd != this->cooldownUntil.end() && now < cooldownEnd->second;
    const bool ordered
        = std::any_of(this->pendingOrders.begin(),
                      this->pendingOrders.end(),
                      [&](const auto &item) { return item.second.order.target == target.target; });
    return target.ready && !coolingDown && !ordered;
}

const PlacedTarget *OrderPlanner::targetToLoad(const ModelState &state,
                                               std::span<const PlacedTarget> targets,
                                               core::TimePoint now) const
{
    const auto servingIn = [&](const core::DataCentreId &dataCentre) {
        return std::count_if(
            state.serving.begin(), state.serving.end(), [&](const PlacedTarget *target) {
                return target->dataCentre == dataCentre;
            });
    };
    const PlacedTarget *best = nullptr;
    for (const PlacedTarget &target : targets) {
        const bool hasRoom = target.models.size() < this->options.maxModelsPerTarget;
        if (!hasRoom || servesModel(target, state.demand.model)
            || !this->isAvailable(target, now)) {
            continue;
        }
        // Prefer the data centre with the fewest targets of the model, then the lower utilisation.
        const auto rank = [&](const PlacedTarget &candidate) {
            return std::pair(servingIn(candidate.dataCentre), candidate.utilisation);
        };
        if (best == nullptr || rank(target) < rank(*best)) {
            best = &target;
        }
    }
    return best;
}

const PlacedTarget *OrderPlanner::leastLoaded(std::span<const PlacedTarget *const> candidates,
                                              core::TimePoint now) const
{
    const PlacedTarget *best = nullptr;
    for (const PlacedTarget *target : candidates) {
        const bool lessLoaded = best == nullptr || target->utilisation < best->utilisation;
        if (lessLoaded && this->isAvailable(*target, now)) {
            best = target;
        }
    }
    return best;
}

bool OrderPlanner::orderLoad(const ModelState &state,
                             std::span<const PlacedTarget> targets,
                             core::TimePoint now,
                             std::vector<Order> &orders)
{
    const PlacedTarget *target = this->targetToLoad(state, targets, now);
    if (target == nullptr) {
        return false;
    }
    // A model larger than the burst is loaded once the whole burst is available, and uses it up.
    const double needed
        = std::min(state.demand.weightGigabytes, this->options.weightBurstGigabytes);
    const bool affordable = needed <= this->availableGigabytes;
    if (!affordable || this->pendingOrders.size() >= this->options.maxOrdersInFlight) {
        return true;
    }
    this->availableGigabytes -= needed;
    Order order;
    order.kind = OrderKind::Load;
    order.model = state.demand.model;
    order.role = target->role;
    this->issueOrder(std::move(order), *target, now, orders);
    return true;
}

bool OrderPlanner::orderUnload(const ModelState &state,
                               core::TimePoint now,
                               std::vector<Order> &orders)
{
    const PlacedTarget *target = this->leastLoaded(state.serving, now);
    if (target == nullptr || this->pendingOrders.size() >= this->options.maxOrdersInFlight) {
        return false;
    }
    Order order;
    order.kind = OrderKind::Unload;
    order.model = state.demand.model;
    order.role = target->role;
    this->issueOrder(std::move(order), *target, now, orders);
    this->trends[state.demand.model].belowSince.reset();
    return true;
}

void OrderPlanner::balanceRoles(const ModelState &state,
                                core::TimePoint now,
                                std::vector<Order> &orders)
{
    if (state.demand.prefillShare <= 0 || state.serving.size() < 2) {
        return;
    }
    const auto count = static_cast<double>(state.serving.size());
    const auto wantedPrefill = static_cast<size_t>(
        std::clamp(std::round(count * state.demand.prefillShare), 1.0, count - 1.0));
    std::vector<const PlacedTarget *> prefillTargets;
    std::vector<const PlacedTarget *> otherTargets;
    for (const PlacedTarget *target : state.serving) {
        (target->role == Role::Prefill ? prefillTargets : otherTargets).push_back(target);
    }
    Trend &trend = this->trends[state.demand.model];
    trackSince(trend.wrongRolesSince, prefillTargets.size() != wantedPrefill, now);
    const bool due = hasLasted(trend.wrongRolesSince, this->options.growAfter, now);
    if (!due || this->pendingOrders.size() >= this->options.maxOrdersInFlight) {
        return;
    }
    const bool needsPrefill = prefillTargets.size() < wantedPrefill;
    const PlacedTarget *target
        = this->leastLoaded(needsPrefill ? otherTargets : prefillTargets, now);
    if (target == nullptr) {
        return;
    }
    Order order;
    order.kind = OrderKind::ChangeRole;
    order.model = state.demand.model;
    order.role = needsPrefill ? Role::Prefill : Role::Decode;
    this->issueOrder(std::move(order), *target, now, orders);
    trend.wrongRolesSince.reset();
}

void OrderPlanner::issueOrder(Order order,
                              const PlacedTarget &target,
                              core::TimePoint now,
                              std::vector<Order> &orders)
{
    order.target = target.target;
    order.incarnation = target.incarnation;
    order.changeId = fmt::format(
        "order/{}/{}/{}/{}", this->self.value, this->incarnation, this->term, this->nextOrder++);
    this->pendingOrders.emplace(order.changeId,
                                PendingOrder{order, target.checksFencing, 0, false, now});
    orders.push_back(std::move(order));
}

} // namespace samphirebridge::placement
