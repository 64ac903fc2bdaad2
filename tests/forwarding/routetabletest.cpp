#include "samphirebridge/forwarding/routetable.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace samphirebridge;
using forwarding::RouteTable;

namespace
{

forwarding::Declaration declaration()
{
    forwarding::Declaration declared;
    declared.version = 3;
    declared.routes.push_back({.name = "short", .host = "A.example", .pathPrefix = "/x/"});
    declared.routes.push_back({.name = "long", .host = "a.example", .pathPrefix = "/x/y/"});
    declared.routes.push_back({.name = "all", .host = "b.example", .pathPrefix = "/"});
    declared.organisations.push_back({.id = core::OrganisationId("one"), .keys = {"k1"}});
    return declared;
}

std::string routeOf(const RouteTable &table, std::string_view host, std::string_view path)
{
    const forwarding::Route *route = table.findRoute(host, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

TEST_CASE("the longest prefix of the host wins")
{
    const RouteTable table(declaration());
    CHECK(routeOf(table, "a.example", "/x/1") == "short");
    CHECK(routeOf(table, "a.example", "/x/y/1") == "long");
    CHECK(routeOf(table, "a.example", "/x/y/") == "long");
    CHECK(routeOf(table, "a.example", "/x/y") == "short");
    CHECK(routeOf(table, "a.example:8080", "/x/1?y=/x/y/") == "short");
    CHECK(routeOf(table, "A.EXAMPLE", "/x/1") == "short");
    CHECK(routeOf(table, "b.example", "/anything") == "all");
}

TEST_CASE("no route is found for an unknown host or path, and no organisation for an unknown key")
{
    const RouteTable table(declaration());
    CHECK(routeOf(table, "c.example", "/x/1").empty());
    CHECK(routeOf(table, "a.example", "/").empty());
    CHECK(routeOf(table, "a.example", "/xy/1").empty());
    CHECK(routeOf(table, "a.example", "*").empty());
    CHECK(table.findOrganisation("k1") != nullptr);
    CHECK(table.findOrganisation("k2") == nullptr);
    CHECK(table.findOrganisation("") == nullptr);
}

TEST_CASE("requests are divided by the weights, and a service of weight 0 gets none")
{
    forwarding::Route route;
    route.services = {
        {core::ServiceId("most"), 90}, {core::ServiceId("few"), 10}, {core::ServiceId("none"), 0}};
    std::map<std::string, int> counts;
    for (int request = 0; request < 10'000; ++request) {
        ++counts[forwarding::chooseService(route, std::to_string(request)).value];
    }
    CHECK(counts["none"] == 0);
    CHECK(counts["few"] > 800);
    CHECK(counts["few"] < 1'200);
    CHECK(forwarding::chooseService(route, "7") == forwarding::chooseService(route, "7"));
}
