#include "samphirebridge/forwarding/allowedregions.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace samphirebridge;
using forwarding::allowedRegionsIn;
using forwarding::allowedRegionsOf;

namespace
{

using Regions = std::vector<std::string>;

forwarding::Route routeWith(Regions regions)
{
    return {.name = "r", .host = {}, .pathPrefix = {}, .allowedRegions = std::move(regions)};
}

forwarding::Organisation organisationWith(Regions regions)
{
    return {.id = core::OrganisationId("o"), .allowedRegions = std::move(regions)};
}

} // namespace

// Guards against two lists without a common region that are taken for no restriction.
TEST_CASE("only regions that both the route and the organisation allow are allowed")
{
    const auto restricted = organisationWith({"c", "b"});
    const auto free = organisationWith({});
    CHECK_FALSE(allowedRegionsOf(routeWith({}), nullptr));
    CHECK_FALSE(allowedRegionsOf(routeWith({}), &free));
    CHECK(allowedRegionsOf(routeWith({"b", "a", "b"}), nullptr) == Regions{"a", "b"});
    CHECK(allowedRegionsOf(routeWith({"b", "a"}), &free) == Regions{"a", "b"});
    CHECK(allowedRegionsOf(routeWith({}), &restricted) == Regions{"b", "c"});
    CHECK(allowedRegionsOf(routeWith({"b", "a"}), &restricted) == Regions{"b"});
    CHECK(allowedRegionsOf(routeWith({"a"}), &restricted) == Regions{});
    CHECK(allowedRegionsOf(routeWith({"B"}), &restricted) == Regions{});
}

// Guards against a retry that follows the lists of a declaration that was replaced since.
TEST_CASE("a request that arrived under an earlier declaration follows the lists in force")
{
    const auto route = routeWith({"a"});
    const auto organisation = organisationWith({"a", "b"});
    forwarding::Declaration declaration;
    declaration.routes = {routeWith({"b"})};
    declaration.organisations = {organisationWith({"b", "c"})};
    CHECK(allowedRegionsIn(forwarding::RouteTable(declaration), route, &organisation)
          == Regions{"b"});
    declaration.routes.clear();
    CHECK(allowedRegionsIn(forwarding::RouteTable(declaration), route, &organisation) == Regions{});
    declaration.organisations.clear();
    CHECK(allowedRegionsIn(forwarding::RouteTable(declaration), route, &organisation)
          == Regions{"a"});
    declaration.routes = {routeWith({})};
    CHECK_FALSE(allowedRegionsIn(forwarding::RouteTable(declaration), route, nullptr));
}

TEST_CASE("a declaration is restricted if any route or organisation is")
{
    forwarding::Declaration declaration;
    declaration.routes = {routeWith({}), routeWith({})};
    declaration.organisations = {organisationWith({})};
    CHECK_FALSE(forwarding::restrictsRegions(declaration));
    declaration.organisations.push_back(organisationWith({"a"}));
    CHECK(forwarding::restrictsRegions(declaration));
    declaration.organisations.clear();
    declaration.routes.push_back(routeWith({"a"}));
    CHECK(forwarding::restrictsRegions(declaration));
}
