// Tests that a request with allowed regions is sent to targets in these regions only.
#include "tests/routing/routerharness.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using core::RefusalReason;

namespace
{

using Regions = std::vector<std::string>;

const core::TimePoint Start = core::TimePoint(100s);

// Data centres d-1 and d-2 are in the region "andes", e-1 in "iberia", f-1 in none.
routing::RoutingOptions optionsWithRegions()
{
    routing::RoutingOptions options = longWaitOptions();
    options.subset.dataCentre = "d-1";
    options.dataCentreRegions
        = {{"d-1", "andes"}, {"d-2", "andes"}, {"e-1", "iberia"}, {"f-1", ""}};
    return options;
}

// A router that knows the regions, without targets.
class RegionRouter : public TestRouter
{
public:
    RegionRouter()
        : TestRouter(core::InstanceId("a"), optionsWithRegions(), std::mt19937_64(1))
    {
        addTargets(*this, 0);
    }
};

void addTarget(TestRouter &router,
               const std::string &id,
               const std::string &dataCentre,
               proto::TargetState state = proto::READY)
{
    proto::TargetRecord record = readyRecord(id);
    record.set_data_centre(dataCentre);
    record.set_state(state);
    router.onTarget(record, Start);
}

routing::RouteRequest requestIn(std::optional<Regions> regions)
{
    routing::RouteRequest request = requestOf('a');
    request.allowedRegions = std::move(regions);
    return request;
}

// Returns the targets that many choices for the request use. Some requests are open at a time, so
// that the load is spread over all targets that may be used.
std::set<std::string> usedTargets(TestRouter &router, const routing::RouteRequest &request)
{
    std::set<std::string> used;
    for (int round = 0; round < 60; ++round) {
        std::vector<routing::Ticket> open;
        for (int index = 0; index < 4; ++index) {
            const routing::Choice choice = send(router, request, Start);
            used.insert(choice.target.value);
            open.push_back(choice.ticket);
        }
        for (const routing::Ticket ticket : open) {
            router.onFinished(ticket, {}, Start);
        }
    }
    return used;
}

} // namespace

TEST_CASE("a request with allowed regions is sent to targets in these regions only")
{
    RegionRouter router;
    addTarget(router, "t1", "d-1");
    addTarget(router, "t2", "d-2");
    addTarget(router, "t3", "e-1");
    addTarget(router, "t4", "f-1");
    addTarget(router, "t5", "unlisted");
    addTarget(router, "t6", "");
    using Names = std::set<std::string>;
    CHECK(usedTargets(router, requestIn(Regions{"andes"})) == Names{"t1", "t2"});
    CHECK(usedTargets(router, requestIn(Regions{"iberia"})) == Names{"t3"});
    CHECK(usedTargets(router, requestIn(Regions{"andes", "iberia"})) == Names{"t1", "t2", "t3"});
    CHECK(usedTargets(router, requestIn(std::nullopt))
          == Names{"t1", "t2", "t3", "t4", "t5", "t6"});
}

// Guards against an empty list, or a name without a meaning, that is taken for no restriction.
TEST_CASE("a request whose allowed regions have no ready target is refused at once")
{
    RegionRouter router;
    addTarget(router, "t1", "d-1", proto::LEAVING);
    addTarget(router, "t3", "e-1");
    addTarget(router, "t4", "f-1");
    for (const Regions &regions :
         {Regions{}, Regions{""}, Regions{"andes"}, Regions{"unknown"}, Regions{"", "andes"}}) {
        const auto refusal = refusalOf(router.choose(requestIn(regions), Start));
        CHECK(refusal.reason == RefusalReason::NoTargetInRegion);
        CHECK(refusal.retryAfter > core::Duration::zero());
        CHECK(router.refuseOutsideRegions(requestIn(regions)));
    }
    CHECK(router.counters().refusedNoTargetInRegion == 10);
    CHECK_FALSE(router.refuseOutsideRegions(requestIn(Regions{"iberia"})));
    CHECK_FALSE(router.refuseOutsideRegions(requestIn(std::nullopt)));
    addTarget(router, "t1", "d-1");
    CHECK(send(router, requestIn(Regions{"andes"}), Start).target.value == "t1");
}

TEST_CASE("without any target only a request with allowed regions gets the reason of the regions")
{
    RegionRouter router;
    CHECK(refusalOf(router.choose(requestIn(std::nullopt), Start)).reason
          == RefusalReason::NoTarget);
    CHECK(refusalOf(router.choose(requestIn(Regions{"andes"}), Start)).reason
          == RefusalReason::NoTargetInRegion);
    addTarget(router, "t1", "d-1");
    const routing::Choice choice = send(router, requestIn(Regions{"andes"}), Start);
    router.onTargetNotice(choice.ticket, {.leaving = true}, Start);
    CHECK(refusalOf(router.choose(requestIn(Regions{"andes"}), Start)).reason
          == RefusalReason::NoTargetInRegion);
}

// Guards against a retry or a standby that leaves the regions because the targets there failed
// before or hold the request.
TEST_CASE("retries and further attempts stay in the allowed regions")
{
    RegionRouter router;
    addTarget(router, "t1", "d-1");
    addTarget(router, "t3", "e-1");
    routing::RouteRequest retry = requestIn(Regions{"andes"});
    retry.attempt = 2;
    retry.excluded = {core::TargetId("t1")};
    CHECK(send(router, retry, Start).target.value == "t1");
    routing::RouteRequest standby = requestIn(Regions{"andes"});
    standby.attempt = 2;
    standby.heldBy = {{core::TargetId("t1"), 1}};
    CHECK(std::holds_alternative<routing::Refusal>(router.choose(standby, Start)));
    routing::RouteRequest shared = requestIn(Regions{"andes"});
    shared.prefix = {1, 2, 3};
    shared.sharedBlocks = 2;
    CHECK(usedTargets(router, shared) == std::set<std::string>{"t1"});
}

// Guards against a refusal by an instance whose subset happens to have no target in the regions.
TEST_CASE("an instance with more targets than it uses finds the few in the allowed regions")
{
    RegionRouter router;
    for (int index = 0; index < 400; ++index) {
        addTarget(router, fmt::format("near{}", index), "d-1");
        addTarget(router, fmt::format("far{}", index), "f-1");
    }
    CHECK(refusalOf(router.choose(requestIn(Regions{"iberia"}), Start)).reason
          == RefusalReason::NoTargetInRegion);
    addTarget(router, "t3", "e-1");
    CHECK(usedTargets(router, requestIn(Regions{"iberia"})) == std::set<std::string>{"t3"});
    CHECK(usedTargets(router, requestIn(Regions{"andes"})).size() <= 64);
    // The target moves to another data centre with a new incarnation.
    proto::TargetRecord moved = readyRecord("t3", 2);
    moved.set_data_centre("f-1");
    router.onTarget(moved, Start);
    CHECK(refusalOf(router.choose(requestIn(Regions{"iberia"}), Start)).reason
          == RefusalReason::NoTargetInRegion);
    addTarget(router, "t4", "e-1");
    proto::TargetKind kind;
    kind.set_id("engine");
    kind.set_service("chat");
    router.setKinds({&kind, 1});
    CHECK(usedTargets(router, requestIn(Regions{"iberia"})) == std::set<std::string>{"t4"});
}

// Guards against pools that stay behind when more lists of regions were used than are kept.
TEST_CASE("many different lists of regions give the right targets")
{
    routing::RoutingOptions options = longWaitOptions();
    constexpr int Regions = 40;
    for (int region = 0; region < Regions; ++region) {
        options.dataCentreRegions[fmt::format("d{}", region)] = fmt::format("r{:02}", region);
    }
    TestRouter router(core::InstanceId("a"), options, std::mt19937_64(1));
    addTargets(router, 0);
    for (int region = 0; region < Regions; ++region) {
        addTarget(router, fmt::format("t{:02}", region), fmt::format("d{}", region));
    }
    for (int first = 0; first < Regions; ++first) {
        for (int second = first + 1; second < Regions; ++second) {
            const auto request = requestIn(
                std::vector{fmt::format("r{:02}", first), fmt::format("r{:02}", second)});
            const routing::Choice choice = send(router, request, Start);
            router.onFinished(choice.ticket, {}, Start);
            const bool inRegions = choice.target.value == fmt::format("t{:02}", first)
                                   || choice.target.value == fmt::format("t{:02}", second);
            CHECK(inRegions);
        }
    }
}
