#include "samphirebridge/placement/orderplanner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphirebridge::placement
{

namespace
{

// A model is shrunk only if the rest would stay this far below the bound of growth.
constexpr double ShrinkMargin = 0.75;

core::Duration scale(core::Duration duration, double factor)
{
    return core::Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

bool holds(const PlacedTarget &target, const core::ModelId &model)
{
    return std::find(target.models.begin(), target.models.end(), model) != target.models.end();
}

// Starts or ends the time that something has been so.
void track(std::optional<core::TimePoint> &since, bool isSo, core::TimePoint now)
{
    if (!isSo) {
        since.reset();
    } else if (!since) {
        since = now;
    }
}

bool lasted(const std::optional<core::TimePoint> &since, core::Duration span, core::TimePoint now)
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
    , savedGigabytes(options.weightBurstGigabytes)
{
}

void OrderPlanner::onLease(uint64_t newTerm, core::TimePoint confirmedAt)
{
    if (!this->leads || newTerm != this->term) {
        this->onLeadershipLost();
        this->leads = true;
        this->term = newTerm;
        this->leadsSince = confirmedAt;
    }
    this->leaseConfirmedAt = std::max(this->leaseConfirmedAt, confirmedAt);
}

void OrderPlanner::onLeadershipLost()
{
    this->leads = false;
    this->underWay.clear();
    this->trends.clear();
}

bool OrderPlanner::mayPlan(core::TimePoint now) const
{
    return this->leads && now - this->leaseConfirmedAt < this->options.leaveToOrder;
}

bool OrderPlanner::maySend(bool checksFencing, core::TimePoint now) const
{
    if (!this->mayPlan(now)) {
        return false;
    }
    // The old leader's lease was confirmed at the latest when the new one's was.
    const core::Duration oldLeave
        = scale(this->options.leaveToOrder, 1.0 + this->options.clockDrift)
          + this->options.orderFlight;
    return checksFencing || now - this->leadsSince >= oldLeave;
}

std::vector<Order> OrderPlanner::plan(std::span<const PlacedTarget> targets,
                                      std::span<const ModelDemand> demands,
                                      core::TimePoint now)
{
    std::vector<Order> orders;
    if (!this->mayPlan(now)) {
        return orders;
    }
    this->dropStale(targets, now);
    this->earnWeights(now);
    std::vector<ModelState> states;
    states.reserve(demands.size());
    for (const ModelDemand &demand : demands) {
        states.push_back(this->stateOf(demand, targets));
        this->follow(states.back(), now);
    }
    // The most pressed model chooses first.
    std::sort(states.begin(), states.end(), [](const ModelState &left, const ModelState &right) {
        return left.utilisation > right.utilisation;
    });
    bool starving = false;
    for (const ModelState &state : states) {
        const bool wants = this->wantsMore(state, now);
        starving = (wants && !this->grow(state, targets, now, orders)) || starving;
    }
    for (auto state = states.rbegin(); state != states.rend(); ++state) {
        const bool idle
            = lasted(this->trends[state->demand.model].below, this->options.shrinkAfter, now);
        const bool spared = starving && this->trends[state->demand.model].below;
        if ((idle || spared) && this->canSpare(*state) && this->shrink(*state, now, orders)) {
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
    const auto found = this->underWay.find(std::string(changeId));
    if (found == this->underWay.end() || found->second.sent) {
        return std::nullopt;
    }
    found->second.fencingNumber = fencingNumber;
    if (!this->maySend(found->second.checksFencing, now)) {
        return std::nullopt;
    }
    found->second.sent = true;
    return NumberedOrder{found->second.order, fencingNumber};
}

std::vector<NumberedOrder> OrderPlanner::sendable(core::TimePoint now)
{
    std::vector<NumberedOrder> result;
    for (auto &[changeId, order] : this->underWay) {
        const bool waits = order.fencingNumber != 0 && !order.sent;
        if (waits && this->maySend(order.checksFencing, now)) {
            order.sent = true;
            result.push_back(NumberedOrder{order.order, order.fencingNumber});
        }
    }
    // A target that does not check takes orders as they come.
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return left.fencingNumber < right.fencingNumber;
    });
    return result;
}

void OrderPlanner::onDone(std::string_view changeId, core::TimePoint now)
{
    this->end(changeId, now);
}

void OrderPlanner::onRefused(std::string_view changeId, core::TimePoint now)
{
    this->end(changeId, now);
}

void OrderPlanner::end(std::string_view changeId, core::TimePoint now)
{
    const auto found = this->underWay.find(std::string(changeId));
    if (found == this->underWay.end()) {
        return;
    }
    this->restUntil[found->second.order.target] = now + this->options.settle;
    this->underWay.erase(found);
}

void OrderPlanner::dropStale(std::span<const PlacedTarget> targets, core::TimePoint now)
{
    absl::erase_if(this->underWay, [&](const auto &item) {
        const UnderWay &order = item.second;
        const auto target
            = std::find_if(targets.begin(), targets.end(), [&](const PlacedTarget &any) {
                  return any.target == order.order.target;
              });
        const bool sameLife
            = target != targets.end() && target->incarnation == order.order.incarnation;
        const bool late = now - order.at > this->options.orderTimeout;
        return late || !sameLife || !target->ready;
    });
    absl::erase_if(this->restUntil, [&](const auto &item) { return now >= item.second; });
}

void OrderPlanner::earnWeights(core::TimePoint now)
{
    const core::Duration passed = now - this->savedAt.value_or(now);
    const double earned
        = this->options.weightGigabytesPerSecond * std::chrono::duration<double>(passed).count();
    this->savedGigabytes
        = std::min(this->options.weightBurstGigabytes, this->savedGigabytes + earned);
    this->savedAt = now;
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
        const auto order
            = std::find_if(this->underWay.begin(), this->underWay.end(), [&](const auto &item) {
                  return item.second.order.target == target.target
                         && item.second.order.model == demand.model;
              });
        const bool ordered = order != this->underWay.end();
        const auto kind = ordered ? order->second.order.kind : OrderKind::ChangeRole;
        if (holds(target, demand.model) && kind != OrderKind::Unload) {
            state.serving.push_back(&target);
        } else if (kind == OrderKind::Load) {
            ++state.loading;
        }
    }
    const double places
        = static_cast<double>(state.serving.size() + state.loading) * this->options.placesPerTarget;
    const double none = demand.busyPlaces > 0 ? std::numeric_limits<double>::max() : 0;
    state.utilisation = places > 0 ? demand.busyPlaces / places : none;
    return state;
}

void OrderPlanner::follow(const ModelState &state, core::TimePoint now)
{
    Trend &trend = this->trends[state.demand.model];
    track(trend.above, state.utilisation > this->options.growAbove, now);
    track(trend.below, state.utilisation < this->options.shrinkBelow, now);
}

bool OrderPlanner::wantsMore(const ModelState &state, core::TimePoint now) const
{
    const size_t present = state.serving.size() + state.loading;
    const size_t most = state.demand.maximumTargets;
    if (present < state.demand.minimumTargets) {
        return true;
    }
    const auto trend = this->trends.find(state.demand.model);
    const bool pressed
        = trend != this->trends.end() && lasted(trend->second.above, this->options.growAfter, now);
    return pressed && (most == 0 || present < most);
}

bool OrderPlanner::canSpare(const ModelState &state) const
{
    const size_t present = state.serving.size();
    const size_t least = std::max<size_t>(1, state.demand.minimumTargets);
    if (present <= least || state.loading > 0) {
        return false;
    }
    const double rest = static_cast<double>(present - 1) * this->options.placesPerTarget;
    return state.demand.busyPlaces < rest * this->options.growAbove * ShrinkMargin;
}

bool OrderPlanner::isFree(const PlacedTarget &target, core::TimePoint now) const
{
    const auto rest = this->restUntil.find(target.target);
    const bool resting = rest != this->restUntil.end() && now < rest->second;
    const bool ordered
        = std::any_of(this->underWay.begin(), this->underWay.end(), [&](const auto &item) {
              return item.second.order.target == target.target;
          });
    return target.ready && !resting && !ordered;
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
        const bool roomy = target.models.size() < this->options.modelsPerTarget;
        if (!roomy || holds(target, state.demand.model) || !this->isFree(target, now)) {
            continue;
        }
        // Spread over data centres first, then the emptier target.
        const auto rank = [&](const PlacedTarget &any) {
            return std::pair(servingIn(any.dataCentre), any.utilisation);
        };
        if (best == nullptr || rank(target) < rank(*best)) {
            best = &target;
        }
    }
    return best;
}

const PlacedTarget *OrderPlanner::leastLoaded(std::span<const PlacedTarget *const> among,
                                              core::TimePoint now) const
{
    const PlacedTarget *best = nullptr;
    for (const PlacedTarget *target : among) {
        const bool emptier = best == nullptr || target->utilisation < best->utilisation;
        if (emptier && this->isFree(*target, now)) {
            best = target;
        }
    }
    return best;
}

bool OrderPlanner::grow(const ModelState &state,
                        std::span<const PlacedTarget> targets,
                        core::TimePoint now,
                        std::vector<Order> &orders)
{
    const PlacedTarget *target = this->targetToLoad(state, targets, now);
    if (target == nullptr) {
        return false;
    }
    // A model larger than the burst waits for a full store and leaves it empty.
    const double needed
        = std::min(state.demand.weightGigabytes, this->options.weightBurstGigabytes);
    const bool affordable = needed <= this->savedGigabytes;
    if (!affordable || this->underWay.size() >= this->options.ordersInFlight) {
        return true;
    }
    this->savedGigabytes -= needed;
    Order order;
    order.kind = OrderKind::Load;
    order.model = state.demand.model;
    order.role = target->role;
    this->issue(std::move(order), *target, now, orders);
    return true;
}

bool OrderPlanner::shrink(const ModelState &state, core::TimePoint now, std::vector<Order> &orders)
{
    const PlacedTarget *target = this->leastLoaded(state.serving, now);
    if (target == nullptr || this->underWay.size() >= this->options.ordersInFlight) {
        return false;
    }
    Order order;
    order.kind = OrderKind::Unload;
    order.model = state.demand.model;
    order.role = target->role;
    this->issue(std::move(order), *target, now, orders);
    this->trends[state.demand.model].below.reset();
    return true;
}

void OrderPlanner::balanceRoles(const ModelState &state,
                                core::TimePoint now,
                                std::vector<Order> &orders)
{
    if (state.demand.prefillPart <= 0 || state.serving.size() < 2) {
        return;
    }
    const auto count = static_cast<double>(state.serving.size());
    const auto wanted = static_cast<size_t>(
        std::clamp(std::round(count * state.demand.prefillPart), 1.0, count - 1.0));
    std::vector<const PlacedTarget *> readers;
    std::vector<const PlacedTarget *> others;
    for (const PlacedTarget *target : state.serving) {
        (target->role == Role::Prefill ? readers : others).push_back(target);
    }
    Trend &trend = this->trends[state.demand.model];
    track(trend.wrongRoles, readers.size() != wanted, now);
    const bool due = lasted(trend.wrongRoles, this->options.growAfter, now);
    if (!due || this->underWay.size() >= this->options.ordersInFlight) {
        return;
    }
    const bool more = readers.size() < wanted;
    const PlacedTarget *target = this->leastLoaded(more ? others : readers, now);
    if (target == nullptr) {
        return;
    }
    Order order;
    order.kind = OrderKind::ChangeRole;
    order.model = state.demand.model;
    order.role = more ? Role::Prefill : Role::Decode;
    this->issue(std::move(order), *target, now, orders);
    trend.wrongRoles.reset();
}

void OrderPlanner::issue(Order order,
                         const PlacedTarget &target,
                         core::TimePoint now,
                         std::vector<Order> &orders)
{
    order.target = target.target;
    order.incarnation = target.incarnation;
    order.changeId = fmt::format(
        "order/{}/{}/{}/{}", this->self.value, this->incarnation, this->term, this->nextOrder++);
    this->underWay.emplace(order.changeId, UnderWay{order, target.checksFencing, 0, false, now});
    orders.push_back(std::move(order));
}

} // namespace samphirebridge::placement
